#include "retry/request_table.h"

#include "request_fixture.h"

namespace hickoryusher::retry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::RequestId kRequest(7);

/// Starts a request and admits it.
void Begin(Fixture& f, bool idempotent, const Key& key = {}) {
  f.Send(RequestArrived{.request = kRequest,
                        .deadline = f.now + seconds(5),
                        .idempotent = idempotent,
                        .key = key});
  f.Send(AdmissionGranted{kRequest});
}

/// Chooses endpoint @p number in rack @p number and connects to it.
void Connect(Fixture& f, std::uint32_t number) {
  f.Send(EndpointChosen{.request = kRequest,
                        .attempt = core::AttemptId(number),
                        .endpoint = core::EndpointId(number),
                        .rack = core::RackId(number)});
  f.Send(ExchangeConnected{kRequest, core::AttemptId(number)});
}

void Break(Fixture& f, std::uint32_t attempt, ExchangeStage stage) {
  f.Send(ExchangeFailed{kRequest, core::AttemptId(attempt), stage,
                        Reason::kConnectionBroken});
}

// Guards against a plain request that is not delivered, or not exactly once.
TEST_CASE("a request is admitted, sent and answered") {
  Fixture f;
  const core::AttemptId attempt(3);
  Begin(f, false);
  REQUIRE(f.All<AskAdmission>().size() == 1);
  REQUIRE(f.Fresh<ChooseEndpoint>().size() == 1);
  Connect(f, 3);
  REQUIRE(f.All<StartExchange>().size() == 1);
  CHECK(f.All<StartExchange>()[0].endpoint == core::EndpointId(3));
  f.Send(ExchangeSent{kRequest, attempt});
  f.Send(ExchangeFirstByte{kRequest, attempt});
  f.Send(ExchangeCompleted{kRequest, attempt, 200});
  const auto delivered = f.Fresh<DeliverOutcome>();
  REQUIRE(delivered.size() == 1);
  CHECK(delivered[0].outcome == Outcome::kAnswered);
  CHECK(delivered[0].attempt == attempt);
  CHECK(delivered[0].status == 200);
  CHECK(f.Fresh<ReleaseEndpoint>().size() == 1);
  CHECK(f.table->size() == 0);
  f.Send(ExchangeCompleted{kRequest, attempt, 200});
  CHECK(f.fresh.empty());
  CHECK(f.table->counters().late_dropped == 1);
}

// Guards against not_run for a request whose earlier attempt may have run.
TEST_CASE("a last attempt that did not run does not hide an earlier one") {
  Fixture f;
  Begin(f, true);
  Connect(f, 1);
  Break(f, 1, ExchangeStage::kReceiving);
  f.ExpireLastTimer();
  REQUIRE(f.Fresh<ChooseEndpoint>().size() == 1);
  f.Send(NoEndpoint{.request = kRequest});
  REQUIRE(f.Fresh<DeliverOutcome>().size() == 1);
  CHECK(f.Fresh<DeliverOutcome>()[0].outcome == Outcome::kUnknown);
}

// Guards against a service's own timeout that is not used.
TEST_CASE("a request's first-byte timeout replaces that of the policy") {
  Fixture f;
  f.Send(RequestArrived{.request = kRequest,
                        .deadline = f.now + seconds(5),
                        .idempotent = true,
                        .first_byte_timeout = std::chrono::milliseconds(321)});
  f.Send(AdmissionGranted{kRequest});
  Connect(f, 1);
  CHECK(f.All<StartTimer>().back().at ==
        f.now + std::chrono::milliseconds(321));
}

// Guards against a retry at the same endpoint or first in the same rack.
TEST_CASE("a retry avoids endpoints and racks that failed") {
  Fixture f;
  Begin(f, true);
  Connect(f, 1);
  Break(f, 1, ExchangeStage::kSending);
  f.ExpireLastTimer();
  const auto choose = f.Fresh<ChooseEndpoint>();
  REQUIRE(choose.size() == 1);
  CHECK(choose[0].avoid.Contains(core::EndpointId(1)));
  CHECK(choose[0].racks_tried_last.Contains(core::RackId(1)));
  f.Send(EndpointChosen{.request = kRequest,
                        .attempt = core::AttemptId(2),
                        .endpoint = core::EndpointId(1)});
  CHECK(f.Fresh<StartExchange>().empty());
  CHECK(f.Fresh<ReleaseEndpoint>().size() == 1);
}

// Guards against a switch that has no effect, so that nothing is measured, and
// against a timeout of the adapter that escapes it.
TEST_CASE("a first-byte timeout puts the rack last only if switched on") {
  for (const auto& [on, by_adapter] :
       {std::pair(true, false), std::pair(false, false), std::pair(true, true),
        std::pair(false, true)}) {
    Fixture f(ShippedChart(), {.avoid_slow_racks = on});
    Begin(f, true);
    Connect(f, 1);
    if (by_adapter) {
      f.Send(ExchangeFailed{kRequest, core::AttemptId(1),
                            ExchangeStage::kAwaitingFirstByte,
                            Reason::kFirstByteTimeout});
    } else {
      f.ExpireLastTimer();
      CHECK(f.Fresh<CancelExchange>().size() == 1);
    }
    f.ExpireLastTimer();
    const auto choose = f.Fresh<ChooseEndpoint>();
    REQUIRE(choose.size() == 1);
    CHECK(choose[0].racks_tried_last.Contains(core::RackId(1)) == on);
    // The abandoned endpoint answers after all.
    f.Send(ExchangeCompleted{kRequest, core::AttemptId(1), 200});
    CHECK(f.fresh.empty());
    CHECK(f.table->counters().stale_dropped == 1);
  }
}

// Guards against a key whose later submissions never learn the outcome.
TEST_CASE("the holder of a key stores its outcome") {
  Fixture f;
  Begin(f, false, {.kind = KeyKind::kCaller, .text = "k"});
  f.Send(KeyGranted{kRequest});
  Connect(f, 1);
  f.Send(ExchangeCompleted{kRequest, core::AttemptId(1), 201});
  const auto stored = f.Fresh<StoreKeyOutcome>();
  REQUIRE(stored.size() == 1);
  CHECK(stored[0].key.text == "k");
  CHECK(stored[0].attempt == core::AttemptId(1));
  CHECK(stored[0].outcome.outcome == Outcome::kAnswered);
  CHECK(stored[0].outcome.status == 201);
}

// Guards against a slot that stays taken when the choice comes too late.
TEST_CASE("an endpoint chosen after the deadline is released") {
  Fixture f;
  Begin(f, false);
  f.ExpireLastTimer();
  REQUIRE(f.Fresh<DeliverOutcome>().size() == 1);
  CHECK(f.Fresh<DeliverOutcome>()[0].outcome == Outcome::kNotRun);
  Connect(f, 1);
  CHECK(f.All<ReleaseEndpoint>().size() == 1);
  CHECK(f.All<StartExchange>().empty());
}

// Guards against a drain that interrupts requests, or that lets new ones in.
TEST_CASE("shutdown lets a sent request finish and refuses a new one") {
  Fixture f;
  Begin(f, false);
  Connect(f, 1);
  f.Send(ShutdownStarted{});
  CHECK(f.fresh.empty());
  f.Send(RequestArrived{.request = core::RequestId(8),
                        .deadline = f.now + seconds(5)});
  REQUIRE(f.Fresh<DeliverOutcome>().size() == 1);
  CHECK(f.Fresh<DeliverOutcome>()[0].reason == Reason::kShutdown);
  f.Send(ExchangeCompleted{kRequest, core::AttemptId(1), 200});
  CHECK(f.Fresh<DeliverOutcome>()[0].outcome == Outcome::kAnswered);
}

// Guards against an outage in which retries multiply the load.
TEST_CASE("the budget allows a tenth of first attempts over ten seconds") {
  RetryBudget budget(0.1, 3);
  core::TimePoint now(seconds(100));
  for (int i = 0; i < 1000; ++i) {
    budget.CountFirstAttempt(now);
  }
  const auto spend = [&] {
    int allowed = 0;
    for (; budget.Allows(now); ++allowed) {
      budget.CountRetry(now);
    }
    return allowed;
  };
  CHECK(spend() == 100);
  now += seconds(1);
  // The floor of 3 a second holds although the tenth is used up.
  CHECK(spend() == 3);
  now += seconds(10);
  for (int i = 0; i < 50; ++i) {
    budget.CountFirstAttempt(now);
  }
  CHECK(spend() == 5);
}

// Guards against a failing request that gives up although it could only wait.
TEST_CASE("without budget a silent endpoint keeps the request") {
  Fixture f(ShippedChart(), {.budget_ratio = 0, .budget_min_per_second = 0});
  Begin(f, true);
  Connect(f, 1);
  f.ExpireLastTimer();
  CHECK(f.fresh.empty());
  f.Send(ExchangeCompleted{kRequest, core::AttemptId(1), 200});
  CHECK(f.Fresh<DeliverOutcome>()[0].outcome == Outcome::kAnswered);
}

// Guards against delays that collide, grow without limit or pass the deadline.
TEST_CASE("backoff has full jitter, a cap and stays within the deadline") {
  const RetryPolicy policy{.backoff_base = milliseconds(10),
                           .backoff_cap = milliseconds(50)};
  const std::uint64_t seed = 5;
  INFO("seed " << seed);
  core::Random random(seed);
  const auto largest = [&](std::size_t retry, core::Duration remaining) {
    core::Duration most{};
    for (int i = 0; i < 2000; ++i) {
      most = std::max(most, DrawBackoff(policy, retry, remaining, random));
    }
    return most;
  };
  CHECK(largest(1, seconds(5)) <= milliseconds(10));
  CHECK(largest(1, seconds(5)) > milliseconds(9));
  CHECK(largest(3, seconds(5)) > milliseconds(38));
  CHECK(largest(40, seconds(5)) <= milliseconds(50));
  CHECK(largest(3, milliseconds(8)) <= milliseconds(4));
}

}  // namespace
}  // namespace hickoryusher::retry
