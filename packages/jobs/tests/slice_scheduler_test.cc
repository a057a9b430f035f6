#include <catch2/catch.hpp>
#include <chrono>

#include "slice_world.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

TEST_CASE("the steps of a job run in order", "[slice]") {
  SliceWorld world;
  world.StartJob("cc");
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j", 0)) == "w1");
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j", 1)).empty());
  world.workers.End(SliceWorld::Task("j", 0), EndKind::kDone);
  world.Advance(500ms);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j", 1)) == "w1");
  world.workers.End(SliceWorld::Task("j", 1), EndKind::kDone);
  world.Advance(500ms);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
  CHECK_FALSE(world.store.Find(JobRow(kSlice, "j")).has_value());
}

// Guards against acknowledging an end that is not stored yet: a power loss
// would then lose it.
TEST_CASE("an end is acknowledged only once it is stored", "[slice]") {
  SliceWorld world;
  world.StartJob("cc");
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.workers.End(SliceWorld::Task("j", 0), EndKind::kDone);
  world.Advance(1s);
  CHECK(world.workers.acknowledged("w1") == 0);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  CHECK(world.workers.acknowledged("w1") == 1);
}

TEST_CASE("a cancelled job is stopped and reported as cancelled", "[slice]") {
  SliceWorld world;
  world.StartJob("cc");
  world.Cancel("j");
  world.Advance(1s);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")).empty());
  CHECK(world.PhaseOf("j") == JobPhase::kCancelled);
  CHECK_FALSE(world.store.Find(JobRow(kSlice, "j")).has_value());
}

TEST_CASE("simultaneous ends are stored in one write", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  for (int i = 0; i < 10; ++i) {
    world.Submit("j" + std::to_string(i), "cc");
  }
  world.Advance(1s);
  const std::size_t before = world.commits;
  for (int i = 0; i < 10; ++i) {
    world.workers.End(SliceWorld::Task("j" + std::to_string(i)),
                      EndKind::kDone);
  }
  world.Advance(1s);
  CHECK(world.commits - before <= 2);
}

// Guards against an owner that spins while the store refuses a write or leaves
// it without an answer: the write is due, and waits for its retry or its
// answer.
TEST_CASE("an owner that cannot store ends waits without spinning", "[slice]") {
  const auto fault =
      GENERATE(FakeStore::Fault::kRefuse, FakeStore::Fault::kPostpone);
  SliceWorld world;
  world.StartJob("cc");
  world.store.SetFault(fault);
  world.workers.End(SliceWorld::Task("j", 0), EndKind::kDone);
  for (int i = 0; i < 50; ++i) {
    world.Advance(10ms);
    CHECK(world.owner->next_timer() > world.now());
  }
}

}  // namespace
}  // namespace hickoryusher::jobs
