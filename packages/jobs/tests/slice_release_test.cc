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

}  // namespace
}  // namespace hickoryusher::jobs
