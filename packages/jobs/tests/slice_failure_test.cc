#include <catch2/catch.hpp>
#include <chrono>

#include "slice_world.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

// An unanswered write took effect after a newer one (ysf-crowd trouble-2,
// TWICE).
TEST_CASE("a late write of progress does not undo a newer one", "[slice]") {
  SliceWorld world;
  world.StartJob("ccc");
  world.store.SetFault(FakeStore::Fault::kPostpone);
  world.workers.End(SliceWorld::Task("j", 0), EndKind::kDone);
  world.Advance(100ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(500ms);
  world.workers.End(SliceWorld::Task("j", 1), EndKind::kDone);
  world.Advance(500ms);
  world.store.ApplyPostponed();
  world.TakeOver();
  world.Advance(10s);
  CHECK(world.workers.starts(SliceWorld::Task("j", 0)) == 1);
  CHECK(world.workers.starts(SliceWorld::Task("j", 1)) == 1);
}

TEST_CASE("a write whose answer was lost does not depose the owner",
          "[slice]") {
  SliceWorld world;
  world.StartJob("cc");
  world.store.SetFault(FakeStore::Fault::kLoseAnswer);
  world.workers.End(SliceWorld::Task("j", 0), EndKind::kDone);
  world.Advance(300ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  CHECK_FALSE(world.owner->fenced());
  CHECK(world.workers.acknowledged("w1") == 1);
}

TEST_CASE("a task restarts after its worker's lease, not before", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.AddWorker("w2");
  world.Advance(100ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(4s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.Advance(5s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

TEST_CASE("a task restarts at once when its worker has begun another life",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("j", "c");
  world.Advance(2s);
  world.workers.Restart("w1", 2);
  world.Advance(2500ms);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Workers that had crashed were never used again (ysf-crowd mix 1042407535575:
// 36 of 48 workers left, LOST 11).
TEST_CASE("a worker whose lease has ended is used when it is back", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(9s);
  world.workers.Restart("w1", GENERATE(1, 2));
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

TEST_CASE("an unanswered start is sent again to the same worker", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.workers.SetFault("w1", FakeWorkers::Fault::kLoseAnswer);
  world.Advance(200ms);
  world.Submit("j", "c");
  world.Advance(500ms);
  world.AddWorker("w2");
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

TEST_CASE("a start that may come late is stopped before it goes elsewhere",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.workers.SetFault("w1", FakeWorkers::Fault::kLate);
  world.Advance(200ms);
  world.Submit("j", "c");
  world.Advance(3s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(3s);
  const std::size_t before = world.workers.starts(SliceWorld::Task("j"));
  CHECK(before == 1);
}

TEST_CASE("a task fails for good after its attempts", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(500ms);
  CHECK(world.PhaseOf("j") != JobPhase::kFailed);
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(500ms);
  CHECK(world.PhaseOf("j") == JobPhase::kFailed);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Jobs that can never be done put sound workers into quarantine, and lasting
// tasks found no place (hunt on bruitsen, mix 722233726577, LOST).
TEST_CASE("a job that always fails does not speak against its worker",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("poison", "c");
  world.Submit("poison2", "c");
  for (int i = 0; i < 2; ++i) {
    world.Advance(500ms);
    world.workers.End(SliceWorld::Task("poison"), EndKind::kFailed);
    world.workers.End(SliceWorld::Task("poison2"), EndKind::kFailed);
  }
  world.Advance(500ms);
  world.Submit("j", "c");
  world.Advance(500ms);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

TEST_CASE("a worker that fails the tasks of several jobs rests", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  for (const char* id : {"a", "b", "c"}) {
    world.Submit(id, "c");
    world.Advance(500ms);
    world.workers.End(SliceWorld::Task(id), EndKind::kFailed);
  }
  world.Advance(300ms);
  world.Submit("j", "c");
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 0);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// A reading of the jobs that began before a job's rows were removed brought it
// back (hunt on ysf-crowd, scale-2 698635240722, TWICE 64).
TEST_CASE("a late reading does not bring a closed job back", "[slice]") {
  SliceWorld world;
  world.StartJob();
  const Row row = *world.store.Find(JobRow(kSlice, "j"));
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(500ms);
  REQUIRE(world.PhaseOf("j") == JobPhase::kCompleted);
  world.store.SetFault(FakeStore::Fault::kLoseHistory);
  world.late_rows = {row};
  world.Submit("k", "c");
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

TEST_CASE("a job is followed after the history was lost", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kLoseHistory);
  world.Submit("j", "c");
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(500ms);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

}  // namespace
}  // namespace hickoryusher::jobs
