#include "admission/controller.h"

#include <catch2/catch.hpp>

namespace hickoryusher::admission {
namespace {

using core::RequestId;
using core::WorkClass;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Controller with 10 slots, floors of 4 for latency-critical and 2 for batch.
class Harness {
 public:
  Harness() {
    auto built =
        ControllerBuilder()
            .Slots(10)
            .Class(WorkClass::kLatencyCritical, {.floor_share = 0.4})
            .Class(WorkClass::kBatch,
                   {.floor_share = 0.2, .initial_service_time = seconds(1)})
            .Build();
    REQUIRE(built.has_value());
    controller = *std::move(built);
  }

  std::vector<Command> Send(const Event& event) {
    std::vector<Command> out;
    controller->Handle(event, now, out);
    return out;
  }

  std::vector<Command> Queue(std::uint64_t id,
                             WorkClass work_class,
                             core::Duration remaining = seconds(60)) {
    return Send(RequestQueued{RequestId(id), work_class, now + remaining});
  }

  /// Queues batch requests with the ids below @p count.
  void QueueBatch(std::uint64_t count) {
    for (std::uint64_t id = 0; id < count; ++id) {
      Queue(id, WorkClass::kBatch);
    }
  }

  std::optional<Controller> controller;
  core::TimePoint now{seconds(100)};
};

// Guards against borrowing that takes a slot another class's floor needs.
TEST_CASE("a class borrows only what is left beside the other floors") {
  Harness h;
  h.QueueBatch(8);
  CHECK(h.controller->InUse(WorkClass::kBatch) == 6);
  for (const std::uint64_t id : {100, 101, 102, 103}) {
    CHECK(h.Queue(id, WorkClass::kLatencyCritical).size() == 1);
  }
  CHECK(h.controller->InUse(WorkClass::kLatencyCritical) == 4);
}

// Guards against changed floors that are not used, and against running requests
// that lose their slots.
TEST_CASE("changed floors hold for the requests that wait") {
  Harness h;
  h.QueueBatch(8);
  REQUIRE(h.controller->InUse(WorkClass::kBatch) == 6);
  FloorsChanged change;
  change.floor_shares[core::Index(WorkClass::kLatencyCritical)] = 0.3;
  CHECK(h.Send(change).size() == 1);
  CHECK(h.controller->InUse(WorkClass::kBatch) == 7);
  change.floor_shares[core::Index(WorkClass::kLatencyCritical)] = 0.9;
  CHECK(h.Send(change).empty());
  CHECK(h.controller->InUse(WorkClass::kBatch) == 7);
  CHECK(h.controller->Floor(WorkClass::kLatencyCritical) == 9);
}

// Guards against a request that waits although it cannot be served in time.
TEST_CASE("a request that would wait too long is refused with a retry time") {
  Harness h;
  h.QueueBatch(6);
  // Six slots of 1 s each: the next request waits about 167 ms.
  const auto refused = h.Queue(7, WorkClass::kBatch, milliseconds(160));
  REQUIRE(refused.size() == 1);
  const auto* refuse = std::get_if<Refuse>(&refused[0]);
  REQUIRE(refuse != nullptr);
  CHECK(refuse->refusal == Refusal::kWaitTooLong);
  CHECK(refuse->retry_after >= milliseconds(100));
  CHECK(h.Queue(8, WorkClass::kBatch, milliseconds(170)).empty());
}

// Guards against a queue that grows with a flood.
TEST_CASE("a full queue refuses") {
  Harness h;
  h.QueueBatch(10);
  CHECK(h.controller->Waiting(WorkClass::kBatch) == 4);
  const auto refused = h.Queue(11, WorkClass::kBatch);
  REQUIRE(refused.size() == 1);
  CHECK(std::get<Refuse>(refused[0]).refusal == Refusal::kQueueFull);
}

// Guards against a slot spent on a request whose deadline has passed.
TEST_CASE("the earliest deadline starts first and passed ones are refused") {
  Harness h;
  h.QueueBatch(6);
  h.Queue(20, WorkClass::kBatch, seconds(30));
  h.Queue(21, WorkClass::kBatch, seconds(20));
  h.Queue(22, WorkClass::kBatch, seconds(2));
  h.now += seconds(3);
  const auto out = h.Send(RequestFinished{RequestId(0)});
  REQUIRE(out.size() == 2);
  CHECK(std::get<Refuse>(out[0]).request == RequestId(22));
  CHECK(std::get<Refuse>(out[0]).refusal == Refusal::kDeadlinePassed);
  CHECK(std::get<Admit>(out[1]).request == RequestId(21));
}

// Guards against a slot that stays taken, or is freed twice.
TEST_CASE("a request that finishes while it waits frees no slot") {
  Harness h;
  h.QueueBatch(7);
  CHECK(h.Send(RequestFinished{RequestId(6)}).empty());
  CHECK(h.controller->Waiting(WorkClass::kBatch) == 0);
  CHECK(h.controller->InUse(WorkClass::kBatch) == 6);
  h.Send(RequestFinished{RequestId(0)});
  h.Send(RequestFinished{RequestId(0)});
  CHECK(h.controller->InUse(WorkClass::kBatch) == 5);
}

// Guards against more requests in flight than slots after a lease ends.
TEST_CASE("shrunken slots are not exceeded by a floor") {
  Harness h;
  h.QueueBatch(6);
  h.Send(SlotsChanged{5});
  CHECK(h.Queue(50, WorkClass::kLatencyCritical).empty());
  h.Send(RequestFinished{RequestId(0)});
  const auto out = h.Send(RequestFinished{RequestId(1)});
  REQUIRE(out.size() == 1);
  CHECK(std::get<Admit>(out[0]).request == RequestId(50));
}

// Guards against a shutdown that leaves a waiting caller without an outcome.
TEST_CASE("shutdown refuses what waits and what arrives") {
  Harness h;
  h.QueueBatch(8);
  CHECK(h.Send(ShutdownStarted{}).size() == 2);
  const auto refused = h.Queue(9, WorkClass::kLatencyCritical);
  REQUIRE(refused.size() == 1);
  CHECK(std::get<Refuse>(refused[0]).refusal == Refusal::kShutdown);
  CHECK(h.controller->InUse(WorkClass::kBatch) == 6);
}

// Guards against floors that together promise more than there is.
TEST_CASE("floors above all slots are refused") {
  ControllerBuilder builder;
  builder.Slots(10)
      .Class(WorkClass::kBatch, {.floor_share = 0.6})
      .Class(WorkClass::kLatencyCritical, {.floor_share = 0.5});
  CHECK_FALSE(builder.Build().has_value());
  CHECK_FALSE(builder.last_error().empty());
}

}  // namespace
}  // namespace hickoryusher::admission
