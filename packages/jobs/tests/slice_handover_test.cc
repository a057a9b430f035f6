#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "slice_world.h"

/// Bounds that an owner hands to its successor: the term, the times in the
/// roster, and the ends that are read.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

/// Advances until the task has started @p starts times, for 20 s at most.
void AwaitStarts(SliceWorld& world,
                 const std::string& job,
                 std::size_t starts) {
  std::chrono::milliseconds passed{0};
  while (world.workers.starts(SliceWorld::Task(job)) < starts && passed < 20s) {
    world.Advance(10ms);
    passed += 10ms;
  }
}

/// @returns true once a log line shows the state of the worker's contact.
bool HasContact(const SliceWorld& world,
                const std::string& worker,
                const std::string& state) {
  return std::ranges::any_of(world.log, [&](const std::string& line) {
    return line.find("worker=" + worker + " ") != std::string::npos &&
           line.find("state=" + state + " ") != std::string::npos;
  });
}

// Guards against a task that runs twice: a start was sent again after the
// roster said when the last lease of its silent worker was over. Its lease was
// later than that, its answer was lost, and the successor relied on the roster.
TEST_CASE("no start is repeated while the roster says when leases are over",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.Advance(2s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(GENERATE(100ms, 400ms, 700ms, 1000ms, 1300ms));
  world.Submit("k", "c");
  while (!HasContact(world, "w1", "silent")) {
    world.Advance(10ms);
  }
  // No renewal is sent in this time.
  world.Advance(320ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLoseAnswer);
  world.Advance(800ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  const std::size_t starts = world.workers.starts(SliceWorld::Task("k"));
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w2");
  AwaitStarts(world, "k", starts + 1);
  REQUIRE(world.workers.starts(SliceWorld::Task("k")) == starts + 1);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a task that runs twice: a renewal on the clock of a worker's
// earlier life reached the next one after a task had been started there, so
// that the lease outlived the term, and the owner heard no more of the worker.
TEST_CASE("a renewal that arrives after a start outlives no term", "[slice]") {
  SliceWorld world;
  world.workers.longest_lease = 6s;
  world.StartJob();
  world.Advance(60s);
  world.EndTermIn(11s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLateLease);
  world.Advance(3s);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 60s);
  // Nothing starts in the new life before a renewal of the term, of which 7 s
  // are left at the start.
  world.Advance(7500ms);
  const core::TimePoint term_end = world.EndTermIn(7s);
  AwaitStarts(world, "j", 2);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  REQUIRE(world.now() < term_end - 6s);
  world.Advance(3s);
  world.workers.ExecuteLateLeases("w1", world.now());
  world.predecessor_term = term_end - world.now();
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w2");
  AwaitStarts(world, "j", 3);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 3);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// The same where the term goes on for longer: the successor waited for its end
// until the roster said when the last lease was over.
TEST_CASE("a renewal that arrives late is over by the time in the roster",
          "[slice]") {
  SliceWorld world;
  world.workers.longest_lease = 6s;
  world.StartJob();
  world.Advance(60s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLateLease);
  world.Advance(3s);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 60s);
  AwaitStarts(world, "j", 2);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(3s);
  world.workers.ExecuteLateLeases("w1", world.now());
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w2");
  AwaitStarts(world, "j", 3);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 3);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a long-running task that ends although its worker answers and
// its owner's term goes on: the worker missed one renewal while the store
// served reads alone, so that the roster could not be written again.
TEST_CASE("a worker that answers again is renewed while writes fail",
          "[slice]") {
  SliceWorld world;
  world.StartJob("t");
  world.Advance(2s);
  world.EndTermIn(12s);
  world.store.SetFault(FakeStore::Fault::kPostpone);
  world.Advance(3s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(2s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(6s);
  CHECK(world.workers.HoldsLease("w1", world.now()));
}

// Guards against tasks that wait for workers that have drained: the write of
// the roster without them failed, and as it named no worker, it was not sent
// again.
TEST_CASE("a failed write of an empty roster is repeated", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(2s);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.Drain("w1");
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(2s);
  const auto roster = world.store.Find(RosterRow(kSlice));
  REQUIRE(roster.has_value());
  CHECK(roster->value.empty());
}

// Guards against a slice without starts: the platform permits leases as long as
// the term of an owner, so that an order to an idle worker always might outlive
// it.
TEST_CASE("tasks start where leases as long as the term are permitted",
          "[slice]") {
  SliceWorld world;
  world.longest_lease = 12s;
  world.workers.longest_lease = 12s;
  world.TakeOver();
  world.AddWorker("w1");
  world.Submit("j", "c");
  for (int i = 0; i < 20; ++i) {
    world.EndTermIn(12s);
    world.Advance(1s);
  }
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a task that runs again after it is done: a worker listed more
// ends than fit into one report, as none could be stored for a while, and a new
// owner took the first report for all of them.
TEST_CASE("a worker with more ends than one report holds is not confirmed",
          "[slice]") {
  constexpr int kJobs = 560;
  SliceWorld world;
  world.workers.ends_per_report = 500;
  world.AddWorker("w1");
  for (int i = 0; i < kJobs; ++i) {
    world.Submit("j" + std::to_string(i), "c");
  }
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  for (int round = 0; round < 60; ++round) {
    for (int i = 0; i < kJobs; ++i) {
      world.workers.End(SliceWorld::Task("j" + std::to_string(i)),
                        EndKind::kDone);
    }
    world.Advance(200ms);
  }
  std::vector<int> started;
  for (int i = 0; i < kJobs; ++i) {
    if (world.workers.starts(SliceWorld::Task("j" + std::to_string(i))) == 1) {
      started.push_back(i);
    }
  }
  REQUIRE(started.size() > 500);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w2");
  world.Advance(5s);
  CHECK(std::ranges::none_of(started, [&](int i) {
    return world.workers.starts(SliceWorld::Task("j" + std::to_string(i))) > 1;
  }));
}

// Guards against ends that are never read: a worker lists the rest of its ends
// only once the first ones are acknowledged, which happened after it had
// reported all of them. Its runs must keep their lease meanwhile.
TEST_CASE("all ends of a worker are read in several reports", "[slice]") {
  constexpr int kJobs = 560;
  SliceWorld world;
  world.workers.ends_per_report = 500;
  world.AddWorker("w1");
  for (int i = 0; i < kJobs; ++i) {
    world.Submit("j" + std::to_string(i), "c");
  }
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  while (world.workers.ends("w1") <= 500) {
    world.Advance(600ms);
    const auto runs = world.workers.runs("w1");
    for (const FakeWorkers::Run& run : runs) {
      world.workers.End(run.task, EndKind::kDone);
    }
  }
  world.Advance(600ms);
  const auto running = world.workers.runs("w1");
  REQUIRE(world.workers.ends("w1") > 500);
  REQUIRE_FALSE(running.empty());
  world.store.SetFault(FakeStore::Fault::kNone);
  world.commit_delay = 200ms;
  world.TakeOver(/*predecessor_ended=*/false);
  world.Advance(5s);
  REQUIRE(world.workers.ends("w1") > 0);
  world.Advance(5s);
  CHECK(world.workers.ends("w1") == 0);
  CHECK(world.workers.HoldsLease("w1", world.now()));
  CHECK(std::ranges::all_of(running, [&](const FakeWorkers::Run& run) {
    return world.workers.starts(run.task) == 1;
  }));
  world.AddWorker("w2");
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j559")) == 1);
}

// Guards against long-running tasks that wait for over 9 s: a worker answered
// once and was silent again before the roster without its time was stored, so
// that the roster never said again when its last lease was over.
TEST_CASE("the roster has a time for a worker that is silent again",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.Advance(2s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kGone);
  world.Advance(3s);
  const auto has_time = [&] {
    return world.store.Find(RosterRow(kSlice))->value.find('@') !=
           std::string::npos;
  };
  REQUIRE(has_time());
  world.commit_delay = 800ms;
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(400ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kGone);
  world.Advance(2500ms);
  CHECK(has_time());
}

}  // namespace
}  // namespace hickoryusher::jobs
