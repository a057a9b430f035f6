#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "slice_world.h"

/// The bounds after which an owner takes leases for over.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

void UseLongLeases(SliceWorld& world) {
  world.longest_lease = 10s;
  world.workers.longest_lease = 10s;
  world.TakeOver();
}

/// Advances until the task has started @p starts times, for 20 s at most.
/// @returns how long that took.
std::chrono::milliseconds AwaitStarts(SliceWorld& world,
                                      const std::string& job,
                                      std::size_t starts) {
  std::chrono::milliseconds passed{0};
  while (world.workers.starts(SliceWorld::Task(job)) < starts && passed < 20s) {
    world.Advance(20ms);
    passed += 20ms;
  }
  return passed;
}

// Guards against a task that runs twice: the registry showed the new life of a
// worker, a start was then sent again with a lease on the old clock, its answer
// was lost, and a report showed the run without prolonging the recorded lease.
TEST_CASE("a start repeated after a restart keeps the longest lease",
          "[slice]") {
  SliceWorld world;
  UseLongLeases(world);
  world.AddWorker("w1");
  world.Advance(60s);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 60s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Submit("j", "c");
  world.Advance(500ms);
  world.Register("w1", 2);
  world.Advance(300ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLoseAnswer);
  AwaitStarts(world, "j", 1);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 1);
  while (world.log.back().find("report") == std::string::npos) {
    world.Advance(20ms);
  }
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.AddWorker("w2");
  AwaitStarts(world, "j", 2);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 2);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a task that runs twice: a worker restarted soon after its
// birth, unnoticed, and was given a task 100 s later. Its clock was too little
// behind to count as that of a new life, but the lease was longer by that.
TEST_CASE("a clock that is a little behind prolongs the lease", "[slice]") {
  SliceWorld world;
  UseLongLeases(world);
  world.AddWorker("w1");
  world.Advance(100s);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 2900ms);
  world.Submit("j", "c");
  AwaitStarts(world, "j", 1);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.AddWorker("w2");
  AwaitStarts(world, "j", 2);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 2);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a task that runs twice: a renewal on the clock of a worker's
// old life was executed by the new one, seconds after it was sent, when the
// owner already granted leases on the new clock.
TEST_CASE("a late renewal may reach a new life", "[slice]") {
  SliceWorld world;
  UseLongLeases(world);
  world.StartJob();
  world.Advance(60s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLateLease);
  world.Advance(3200ms);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 60s);
  AwaitStarts(world, "j", 2);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 2);
  world.Advance(100ms);
  world.workers.ExecuteLateLeases("w1", world.now());
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.AddWorker("w2");
  AwaitStarts(world, "j", 3);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 3);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a task that runs twice: the term of an owner ended during an
// outage of the store, and its successor started the task on another worker
// although the first one, which held a lease for longer, could have reported
// it.
TEST_CASE("a worker is queried before leases of an earlier owner count as over",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.AddWorker("w2");
  world.Advance(2s);
  world.slow_worker = "w1";
  world.predecessor_term = -1s;
  world.TakeOver(/*predecessor_ended=*/GENERATE(true, false));
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a task that runs again after it is done: it ended while the
// store was away, and its owner's successor did not read the ends that the
// worker still listed.
TEST_CASE("ends that an earlier owner could not store are read", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.AddWorker("w2");
  world.Advance(2s);
  world.slow_worker = "w1";
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.predecessor_term = -1s;
  world.TakeOver();
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against an earlier owner's tasks that never run again because their
// worker does not answer any more.
TEST_CASE("an unreachable worker keeps its tasks until the term has ended",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.AddWorker("w2");
  world.workers.SetFault(
      "w1", GENERATE(FakeWorkers::Fault::kSilent, FakeWorkers::Fault::kGone));
  world.predecessor_term = 4s;
  world.TakeOver(/*predecessor_ended=*/false);
  world.Advance(4s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(AwaitStarts(world, "j", 2) <= 1500ms);
}

// Guards against a task that runs twice: near the end of its term, an owner
// learned that a worker had restarted. A renewal on the clock of the life
// before had given the new life a lease that outlived the term, and the owner
// started the task there again.
TEST_CASE("no task starts under a lease that outlives the term", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.Advance(60s);
  const core::TimePoint term_end = world.EndTermIn(6s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLateLease);
  world.Advance(3s);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 60s);
  world.workers.ExecuteLateLeases("w1", world.now());
  world.Advance(3s);
  const core::TimePoint over = term_end + 200ms;  // The successor's bound.
  CHECK((world.workers.runs("w1").empty() ||
         !world.workers.HoldsLease("w1", over)));
  // The store answers again.
  world.EndTermIn(60s);
  AwaitStarts(world, "j", 2);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against a task that waits during an outage of the store although a
// worker that runs other tasks, and so is known to be in its present life, has
// room.
TEST_CASE("tasks start on workers in use until the term ends", "[slice]") {
  SliceWorld world;
  UseLongLeases(world);
  world.StartJob();
  world.Submit("k", "cc");
  world.Advance(20s);
  world.EndTermIn(10s);
  world.Advance(7s);
  world.workers.End(SliceWorld::Task("k", 0), EndKind::kDone);
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("k", 1)) == 1);
}

// Guards against a task that runs twice: an owner that had not renewed its term
// for 5 s started it on a worker that had restarted unnoticed, so that the
// lease outlived the term, and was then killed. Its successor took the lease
// for over at the end of the term in the row.
TEST_CASE(
    "no task starts on a worker that may have restarted near the end of "
    "the term",
    "[slice]") {
  SliceWorld world;
  UseLongLeases(world);
  world.AddWorker("w1");
  world.Advance(60s);
  world.EndTermIn(6s);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 60s);
  world.Submit("j", "c");
  world.Advance(100ms);
  const std::size_t starts = world.workers.starts(SliceWorld::Task("j"));
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(2s);
  // What the row of the slice says.
  world.predecessor_term = 3900ms;
  world.TakeOver();
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.AddWorker("w2");
  AwaitStarts(world, "j", starts + 1);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == starts + 1);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a long-running task that waits for over 9 s: a start that the
// lost worker never got was sent again, with a longer lease, and kept all runs
// there for the longest lease that the platform permits.
TEST_CASE("an unanswered start does not keep the other tasks of a lost worker",
          "[slice]") {
  SliceWorld world;
  UseLongLeases(world);
  world.StartJob("w");
  world.Advance(2s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Submit("k", "c");
  world.Advance(100ms);
  world.AddWorker("w2");
  CHECK(AwaitStarts(world, "j", 2) <= 8900ms);
}

// Guards against a long-running task that waits for over 9 s without a fault:
// its worker drained and left while no other one had room, and its owner was
// released before the lease was over. The successor waits anew.
TEST_CASE("a successor does not wait anew for a worker that has left",
          "[slice]") {
  const std::chrono::milliseconds longest = GENERATE(6s, 10s);
  SliceWorld world;
  world.longest_lease = longest;
  world.workers.longest_lease = longest;
  world.TakeOver();
  world.StartJob("w");
  world.Advance(2s);
  world.Drain("w1");
  world.Advance(2500ms);
  world.Remove("w1");
  world.Advance(4s);
  world.TakeOver();
  world.Remove("w1");
  world.AddWorker("w2");
  CHECK(AwaitStarts(world, "j", 2) <= 5s);
}

// Guards against an outage of the store that lets the leases of a slice lapse:
// near the end of the term leases are short, and the reports that are waited
// for come later than their end.
TEST_CASE("leases outlast an outage of the store for 9 s", "[slice]") {
  const std::chrono::milliseconds phase =
      GENERATE(0ms, 300ms, 600ms, 900ms, 1200ms);
  SliceWorld world;
  world.StartJob();
  world.Advance(2s + phase);
  world.EndTermIn(std::chrono::duration_cast<std::chrono::milliseconds>(
      SliceBoard::kOwnerGrace));
  // The outage begins 0.5 s after the last renewal of the term; a try follows
  // 0.7 s after its end.
  world.Advance(10200ms);
  world.EndTermIn(11s);
  for (int i = 0; i < 100; ++i) {
    world.Advance(20ms);
    REQUIRE(world.workers.HoldsLease("w1", world.now()));
  }
}

}  // namespace
}  // namespace hickoryusher::jobs
