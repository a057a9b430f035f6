#include "routing/router.h"

#include <catch2/catch.hpp>
#include <string>

#include "chart_yaml/load.h"

namespace hickoryusher::routing {
namespace {

using namespace std::chrono_literals;

const core::ServiceId kService(0);

/// One router over endpoints of one service, 8 to a rack, on a manual clock.
class Fixture {
 public:
  explicit Fixture(std::uint32_t endpoints, RouterSettings settings = {})
      : chart_(*chart_yaml::Loader().LoadFile(HICKORYUSHER_SOURCE_DIR
                                              "/charts/endpoint_health.yaml")) {
    Router::Builder builder;
    builder.HealthChart(chart_).Settings(settings).StartWithOwnShare().Seat(
        core::FailureDomainId(0), SeatId(0), 1);
    for (std::uint32_t i = 0; i < endpoints; ++i) {
      builder.AddEndpoint({.service = kService,
                           .vm = core::VmId(i),
                           .rack = core::RackId(i / 8),
                           .domain = core::FailureDomainId(0)});
    }
    router_.emplace(*builder.Build());
  }

  std::optional<Decision> Choose(RequestFacts facts = {.idempotent = true}) {
    facts.service = kService;
    facts.deadline = now + 1s;
    return router_->Choose(facts, now);
  }

  /// Sends one request after another.
  /// @param result gives the result at an endpoint.
  /// @returns the number of requests by endpoint.
  template <typename Result>
  std::vector<int> Run(int requests, Result result) {
    std::vector<int> counts(router_->endpoints().size());
    for (int i = 0; i < requests; ++i) {
      now += 1ms;
      const auto decision = Choose();
      if (decision) {
        const std::uint32_t chosen = decision->slot.endpoint.value();
        ++counts[chosen];
        router_->Release(decision->slot, result(chosen), now);
      }
    }
    return counts;
  }

  Router& router() { return *router_; }

  core::TimePoint now{1h};

 private:
  chart::Chart chart_;
  std::optional<Router> router_;
};

// Guards against an endpoint whose fast failures draw requests.
TEST_CASE("an endpoint that fails at once gets almost no requests") {
  Fixture fixture(16);
  const auto counts =
      fixture.Run(5000, [](std::uint32_t endpoint) -> AttemptResult {
        return endpoint == 3 ? AttemptResult(Failed{})
                             : AttemptResult(Succeeded{5ms});
      });
  CHECK(counts[3] < 30);
  CHECK(counts[4] > 200);
}

// Guards against a slow endpoint that keeps its part of the requests.
TEST_CASE("a slow endpoint is avoided and used again when it recovered") {
  Fixture fixture(16);
  const auto slow = [](std::uint32_t endpoint) -> AttemptResult {
    return Succeeded{endpoint == 3 ? 100ms : 5ms};
  };
  CHECK(fixture.Run(5000, slow)[3] < 60);
  fixture.Run(60000,
              [](std::uint32_t) -> AttemptResult { return Succeeded{5ms}; });
  CHECK(fixture.Run(5000, [](std::uint32_t) -> AttemptResult {
    return Succeeded{5ms};
  })[3] > 150);
}

// Guards against a fault of this process that takes out the whole service.
TEST_CASE("at most the stated share of the endpoints is ejected") {
  Fixture fixture(16);
  fixture.Run(2000, [](std::uint32_t) -> AttemptResult { return TimedOut{}; });
  int out = 0;
  for (std::uint32_t i = 0; i < 16; ++i) {
    const Health health = fixture.router().health(core::EndpointId(i));
    out += health == Health::kEjected || health == Health::kProbing ? 1 : 0;
  }
  CHECK(out == 8);
  CHECK(fixture.Choose().has_value());
}

// Guards against requests to a VM that is leaving, and against one that comes
// back and is never used again.
TEST_CASE("a leaving VM gets no request until it returns") {
  Fixture fixture(4);
  const auto succeed = [](std::uint32_t) -> AttemptResult {
    return Succeeded{5ms};
  };
  fixture.router().Handle(VmLeaving{core::VmId(1)}, fixture.now);
  fixture.router().Handle(EndpointLeaving{core::EndpointId(2)}, fixture.now);
  const auto counts = fixture.Run(500, succeed);
  CHECK(counts[1] == 0);
  CHECK(counts[2] == 0);
  fixture.router().Handle(VmReturned{core::VmId(1)}, fixture.now);
  CHECK(fixture.Run(500, succeed)[1] > 50);
}

// Guards against retries that go to the rack that just timed out, and against
// requests that are refused although only that rack has free slots.
TEST_CASE("racks to be tried last are used only when no other is free") {
  Fixture fixture(16);
  const core::RackId last[] = {core::RackId(0)};
  int elsewhere = 0;
  while (const auto decision =
             fixture.Choose({.idempotent = true, .racks_last = last})) {
    if (decision->reason == Reason::kRackTriedLast) {
      CHECK(decision->slot.endpoint.value() < 8);
      break;
    }
    CHECK(decision->slot.endpoint.value() >= 8);
    ++elsewhere;
  }
  CHECK(elsewhere == 64);
}

// Guards against a slot that is reserved twice and a refusal without a reason.
TEST_CASE("no slot is reserved twice") {
  Fixture fixture(2);
  int reserved = 0;
  while (fixture.Choose()) {
    ++reserved;
  }
  CHECK(reserved == 16);
  CHECK(fixture.router().last_error().reason == Reason::kNoFreeSlot);
  CHECK(fixture.router().last_error().retry_after > 0ns);
  const core::EndpointId avoid[] = {core::EndpointId(0), core::EndpointId(1)};
  CHECK_FALSE(fixture.Choose({.avoid = avoid}).has_value());
  CHECK(fixture.router().last_error().reason == Reason::kNoHealthyEndpoint);
}

// Guards against a trial with a request that must not be lost.
TEST_CASE("an ejected endpoint is tried with one idempotent request") {
  Fixture fixture(2);
  const auto fail_first = [](std::uint32_t endpoint) -> AttemptResult {
    return endpoint == 0 ? AttemptResult(TimedOut{})
                         : AttemptResult(Succeeded{5ms});
  };
  fixture.Run(1100, fail_first);
  REQUIRE(fixture.router().health(core::EndpointId(0)) == Health::kEjected);
  fixture.now += 1s;
  const auto other = fixture.Choose({.idempotent = false});
  REQUIRE(other.has_value());
  CHECK(other->slot.endpoint.value() == 1);
  const auto trial = fixture.Choose();
  REQUIRE(trial.has_value());
  CHECK(trial->reason == Reason::kTrial);
  CHECK(fixture.Choose()->slot.endpoint.value() == 1);
  fixture.router().Release(trial->slot, Succeeded{5ms}, fixture.now);
  CHECK(fixture.router().health(core::EndpointId(0)) == Health::kSuspect);
}

}  // namespace
}  // namespace hickoryusher::routing
