#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "slice_world.h"

/// What a successor reads in the roster: which workers may run tasks, and until
/// when those may that do not answer.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against long-running tasks that wait for over 9 s: a worker had
// drained, with all its tasks moved away, and its owner failed before the last
// lease there was over, so that the successor waited for its report.
TEST_CASE("a successor does not wait for a worker that has drained",
          "[slice]") {
  SliceWorld world;
  world.StartJob("w");
  world.AddWorker("w2");
  world.Advance(2s);
  const bool leaves = GENERATE(true, false);
  if (leaves) {
    world.Drain("w1");
  } else {
    world.Remove("w1");
    world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
    world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  }
  world.Advance(1s);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w2");
  world.Remove("w1");
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.TakeOver(/*predecessor_ended=*/false);
  world.Remove("w1");
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 3);
}

// Guards against a task that runs again after it is done: its worker was
// draining, and its end, the last one there, was not stored when the owner
// failed.
TEST_CASE("a draining worker stays in the roster until its ends are stored",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.AddWorker("w2");
  world.Advance(2s);
  world.Drain("w1");
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(1s);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.slow_worker = "w1";
  world.TakeOver(/*predecessor_ended=*/false);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a task that runs twice: an owner that was turned away by the
// store renewed the lease of a worker that answered again, although the roster
// said when the last one was over, and its successor relied on that.
TEST_CASE("no lease is granted while the roster says when the last one is over",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.Advance(2s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(3s);
  const std::int64_t until = world.workers.lease_until_ms("w1");
  world.Submit("k", "c");
  world.Advance(100ms);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(1s);
  CHECK(world.workers.lease_until_ms("w1") == until);
  CHECK(world.workers.starts(SliceWorld::Task("k")) == 0);
  const bool store_returns = GENERATE(true, false);
  if (store_returns) {
    world.store.SetFault(FakeStore::Fault::kNone);
    world.Advance(1s);
    CHECK(world.workers.lease_until_ms("w1") > until);
    CHECK(world.workers.starts(SliceWorld::Task("k")) == 1);
  } else {
    world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
    world.store.SetFault(FakeStore::Fault::kNone);
    world.TakeOver(/*predecessor_ended=*/false);
    world.AddWorker("w2");
    while (world.workers.starts(SliceWorld::Task("j")) == 1) {
      REQUIRE(world.workers.HoldsLease("w1", world.now() - 1s));
      world.Advance(20ms);
    }
    CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
  }
}

// Guards against long-running tasks that wait for over 9 s: a worker was lost
// after a renewal that had waited for ends to be stored. Its lease then ended
// by more than the longest one after the clock in the last report, as that of a
// worker does which has restarted, so that the roster had no time for it.
TEST_CASE("the roster has a time for a worker whose renewal was delayed",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.Submit("k", "c");
  world.Advance(2s);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("k")) == "w1");
  world.commit_delay = 200ms;
  world.workers.End(SliceWorld::Task("k"), EndKind::kDone);
  world.Advance(100ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kGone);
  world.Advance(3s);
  CHECK(world.store.Find(RosterRow(kSlice))->value.find('@') !=
        std::string::npos);
}

}  // namespace
}  // namespace hickoryusher::jobs
