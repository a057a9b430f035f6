#include <catch2/catch.hpp>
#include <chrono>

#include "slice_world.h"

/// What tasks wait for after a change of the owner, planned and not.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

/// Two long-running tasks, j and other. The worker of j leaves, and j has ended
/// and finds no room; the worker of other does not answer any more.
class LeavingWorker : public SliceWorld {
 public:
  LeavingWorker() {
    StartJob("w");
    AddWorker("w2");
    Submit("other", "v");
    Advance(500ms);
    REQUIRE(workers.WorkerOf(Task("other")) == "w2");
    Drain("w1");
    Submit("short", "b");
    workers.End(Task("j"), EndKind::kStopped);
    Advance(200ms);
    REQUIRE(workers.WorkerOf(Task("j")).empty());
    workers.SetFault("w2", FakeWorkers::Fault::kGone);
  }

  /// Room for j and short comes while the new owner has not heard of w2.
  void AddRoom() {
    Drain("w1");
    AddWorker("w3");
    AddWorker("w4");
    Advance(1s);
  }
};

// Guards against a long-running task that is down for over 9 s: it had been
// moved off a worker that left, and its owner released the slice before it had
// started again. The successor assumed the longest lease for another worker
// that had left, and all stored jobs waited for that one.
TEST_CASE("after a hand-over nothing waits for a worker that has left",
          "[slice]") {
  LeavingWorker world;
  world.HandOver();
  world.AddRoom();
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
  CHECK(world.workers.starts(SliceWorld::Task("short")) == 1);
  // It may still run on the worker that does not answer.
  CHECK(world.workers.starts(SliceWorld::Task("other")) == 1);
}

// Guards against the same when each of several owners leaves before the wait of
// the one before is over.
TEST_CASE("a wait for a worker does not begin anew with each hand-over",
          "[slice]") {
  LeavingWorker world;
  world.HandOver();
  world.AddRoom();
  std::chrono::milliseconds passed{1200};
  while (world.workers.starts(SliceWorld::Task("other")) == 1 && passed < 20s) {
    world.Advance(900ms);
    world.HandOver();
    world.Drain("w1");
    world.AddWorker("w5");
    world.Advance(100ms);
    passed += 1s;
  }
  CHECK(passed < 8s);
  CHECK_FALSE(world.workers.HoldsLease("w2", world.now()));
}

// Guards against a long-running task that is down for over 9 s after its owner
// was killed: it waited for a worker on which it had never run.
TEST_CASE("a long-running task waits only for the worker where it may run",
          "[slice]") {
  LeavingWorker world;
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddRoom();
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
  CHECK(world.workers.starts(SliceWorld::Task("other")) == 1);
  while (world.workers.starts(SliceWorld::Task("other")) == 1) {
    REQUIRE(world.workers.HoldsLease("w2", world.now() - 10s));
    world.Advance(20ms);
  }
  CHECK_FALSE(world.workers.HoldsLease("w2", world.now()));
}

// Guards against a task that runs twice: a new owner that knows of no run of it
// starts it at once, although its end as done was read and not stored before
// the hand-over.
TEST_CASE("an end that is read before a hand-over is stored with it",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.AddWorker("w2");
  world.commit_delay = 300ms;
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(GENERATE(0ms, 20ms, 100ms));
  world.HandOver();
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against a task that runs twice: the order to start it was carried out
// without an answer, just before its owner handed the slice over.
TEST_CASE("a task whose start has no answer is handed over with its worker",
          "[slice]") {
  const std::string steps = GENERATE("c", "w");
  SliceWorld world;
  world.StartJob();
  world.Advance(2s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLoseAnswer);
  world.Submit("k", steps);
  while (world.workers.starts(SliceWorld::Task("k")) == 0) {
    world.Advance(10ms);
  }
  world.HandOver();
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.AddWorker("w2");
  const std::size_t starts = world.workers.starts(SliceWorld::Task("k"));
  while (world.workers.starts(SliceWorld::Task("k")) == starts) {
    REQUIRE(world.workers.HoldsLease("w1", world.now() - 10s));
    world.Advance(20ms);
  }
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a slice that nobody owns for long: its owner leaves while the
// store takes no writes.
TEST_CASE("a hand-over that cannot be stored is given up", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.store.SetFault(FakeStore::Fault::kRefuse);
  const core::TimePoint begun = world.now();
  world.HandOver();
  CHECK(world.now() <= begun + 1s);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.AddWorker("w2");
  world.Advance(4s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a task that runs twice: a hand-over of an owner before the
// last one counted.
TEST_CASE("only the last owner's hand-over counts", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.HandOver();
  world.Submit("j", "c");
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w2");
  world.Advance(4s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a long-running task that runs twice: it ran where no row said
// so, its owner failed, and its worker did not answer the next one.
TEST_CASE("a long-running task starts once its place is stored", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.commit_delay = 500ms;
  world.Submit("j", "w");
  world.Advance(400ms);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 0);
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against the same: an unanswered write of an earlier place took effect
// after a later one.
TEST_CASE("a late write of a place does not replace a later one", "[slice]") {
  SliceWorld world;
  world.StartJob("w");
  world.AddWorker("w2");
  world.Advance(1s);
  world.store.SetFault(FakeStore::Fault::kPostpone);
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(500ms);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(2s);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 2);
  world.store.ApplyPostponed();
  const std::string place = world.workers.WorkerOf(SliceWorld::Task("j"));
  world.workers.SetFault(place, FakeWorkers::Fault::kSilent);
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w3");
  while (world.workers.starts(SliceWorld::Task("j")) == 2) {
    REQUIRE(world.workers.HoldsLease(place, world.now() - 10s));
    world.Advance(20ms);
  }
  CHECK_FALSE(world.workers.HoldsLease(place, world.now()));
}

// Guards against a long-running task that runs twice during an upgrade: an
// owner of an earlier version moved it and did not store its place.
TEST_CASE("places count only if all owners since have stored them", "[slice]") {
  LeavingWorker world;
  world.places_since = GENERATE(0, 2);
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddRoom();
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against long-running tasks that end in an outage of the store: the
// lease of their worker was not renewed while another one waited for the write
// of its place there.
TEST_CASE("a task that waits for its place does not end its worker's lease",
          "[slice]") {
  SliceWorld world;
  world.longest_lease = 10s;
  world.TakeOver();
  world.StartJob("t");
  world.Advance(2s);
  world.EndTermIn(12s);
  world.Submit("k", "t");
  world.store.SetFault(FakeStore::Fault::kPostpone);
  world.Advance(9s);
  CHECK(world.workers.starts(SliceWorld::Task("k")) == 0);
  CHECK(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a task that runs twice: an owner left soon after it had taken
// the slice over, and had not read a job that the owner before, still at work,
// had started.
TEST_CASE("no hand-over is stored while an earlier owner may start jobs",
          "[slice]") {
  const bool ended = GENERATE(false, true);
  SliceWorld world;
  world.StartJob();
  world.TakeOver(ended);
  world.Advance(1s);
  world.HandOver();
  CHECK(world.store.Find(HandOverRow(kSlice, 0)).has_value() == ended);
}

}  // namespace
}  // namespace hickoryusher::jobs
