#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "slice_world.h"

/// The wait for workers that do not answer the successor of a failed owner,
/// where the platform permits longer leases than owners grant.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kLongestPermitted{10'000};

// A process starts again 1.8 s after its last renewal, and owns its slice.
constexpr std::chrono::milliseconds kRestart{1'800};

// From the restart of a process, the tasks of its slice run again in time.
constexpr std::chrono::milliseconds kInTime{6'800};

void PermitLongLeases(SliceWorld& world) {
  world.longest_lease = kLongestPermitted;
  world.workers.longest_lease = kLongestPermitted;
  world.TakeOver();
}

/// Replaces the owner by a later process of the same VM.
void RestartOwner(SliceWorld& world) {
  world.predecessor_term = SliceBoard::kOwnerGrace - kRestart;
  world.TakeOver(/*predecessor_ended=*/true);
}

/// Advances until the task has started @p starts times, for 20 s at most.
/// @returns how long that took.
std::chrono::milliseconds AwaitStarts(SliceWorld& world, std::size_t starts) {
  std::chrono::milliseconds passed{0};
  while (world.workers.starts(SliceWorld::Task("j")) < starts && passed < 20s) {
    world.Advance(20ms);
    passed += 20ms;
  }
  return passed;
}

// Guards against a long-running task that is down for over 9 s: its worker had
// gone, and its owner was killed before the roster said so. The successor took
// the lease for the longest that is permitted, of which no owner grants more
// than 6 s.
TEST_CASE("a task waits for a usual lease after its owner has restarted",
          "[slice]") {
  SliceWorld world;
  PermitLongLeases(world);
  world.StartJob("w");
  world.Advance(5s);
  world.workers.SetFault(
      "w1", GENERATE(FakeWorkers::Fault::kSilent, FakeWorkers::Fault::kGone));
  world.Advance(GENERATE(0ms, 500ms, 1000ms));
  RestartOwner(world);
  world.AddWorker("w2");
  CHECK(AwaitStarts(world, 2) <= kInTime);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// The same for a task that an earlier owner had started, and for an owner that
// is killed again soon after it has adopted the task.
TEST_CASE("a usual lease is known to later owners", "[slice]") {
  SliceWorld world;
  PermitLongLeases(world);
  world.StartJob("w");
  world.Advance(5s);
  RestartOwner(world);
  world.Advance(GENERATE(500ms, 2s, 8s));
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  RestartOwner(world);
  world.AddWorker("w2");
  CHECK(AwaitStarts(world, 2) <= kInTime);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// The same for a worker that answers the successor once, so that the task is
// adopted, and is gone before its lease is renewed or soon after that.
TEST_CASE("an adopted task has the usual lease that it had", "[slice]") {
  SliceWorld world;
  PermitLongLeases(world);
  world.StartJob("w");
  world.Advance(5s);
  RestartOwner(world);
  const std::chrono::milliseconds answers = GENERATE(20ms, 60ms, 300ms);
  world.Advance(answers);
  world.workers.SetFault("w1", FakeWorkers::Fault::kGone);
  world.AddWorker("w2");
  CHECK(AwaitStarts(world, 2) <= kInTime);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a place that says of a start without an answer what was true
// of the run before it. Where no longer lease is permitted, places say nothing
// of leases, and a task that fails starts again on its worker without a write.
TEST_CASE("a place with a usual lease is not used for the next run",
          "[slice]") {
  const std::chrono::milliseconds longest = GENERATE(6s, 10s);
  SliceWorld world;
  world.longest_lease = longest;
  world.workers.longest_lease = longest;
  world.TakeOver();
  world.StartJob("w");
  world.Advance(5s);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == (longest > 6s ? 1 : 2));
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against a task that runs twice: its start reached a later life of the
// worker, where its lease was the longest that is permitted.
TEST_CASE("a start without an answer may hold the longest lease", "[slice]") {
  SliceWorld world;
  PermitLongLeases(world);
  world.AddWorker("w1");
  world.Advance(60s);
  const bool started_before = GENERATE(true, false);
  if (started_before) {
    // The stored place is of a run with a usual lease.
    world.Submit("j", "w");
    world.Advance(5s);
    world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  } else {
    world.Advance(5s);
    world.Submit("j", "w");
  }
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 60s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLoseAnswer);
  const std::size_t starts = started_before ? 2 : 1;
  AwaitStarts(world, starts);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == starts);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  RestartOwner(world);
  world.AddWorker("w2");
  AwaitStarts(world, starts + 1);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == starts + 1);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a task that runs twice: a renewal on the clock of an earlier
// life gave the worker the longest lease before the task started there.
TEST_CASE("a task on a worker in a new life may hold the longest lease",
          "[slice]") {
  SliceWorld world;
  PermitLongLeases(world);
  world.AddWorker("w1");
  world.Submit("j", "w");
  world.Advance(60s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLateLease);
  world.Advance(2s);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 60s);
  world.workers.ExecuteLateLeases("w1", world.now());
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  AwaitStarts(world, 2);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 2);
  world.Advance(GENERATE(100ms, 800ms, 1600ms));
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  RestartOwner(world);
  world.AddWorker("w2");
  AwaitStarts(world, 3);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 3);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

}  // namespace
}  // namespace hickoryusher::jobs
