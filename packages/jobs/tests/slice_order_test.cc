#include <catch2/catch.hpp>
#include <chrono>

#include "slice_world.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against best-effort work that is slowed on every worker: serving tasks
// that took half of the processors were spread over all workers, so that no
// worker was left where best-effort work disturbs nothing.
TEST_CASE("serving tasks share a worker and leave another one free",
          "[order]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Submit("a", "p");
  world.Submit("b", "p");
  world.Advance(1s);
  const std::string worker = world.workers.WorkerOf(SliceWorld::Task("a"));
  REQUIRE_FALSE(worker.empty());
  CHECK(world.workers.WorkerOf(SliceWorld::Task("b")) == worker);
}

// Guards against a burst in which every job is late: in the order of their
// objectives, jobs took room from others until none could be on time.
TEST_CASE("of the waiting jobs the one with the least work left starts first",
          "[order]") {
  SliceWorld world;
  world.StartJob("b", "first");
  world.Submit("large", "bbb");
  world.Advance(5s);
  world.Submit("small", "b");
  world.Advance(1s);
  REQUIRE(world.workers.starts(SliceWorld::Task("large")) == 0);
  REQUIRE(world.workers.starts(SliceWorld::Task("small")) == 0);
  world.workers.End(SliceWorld::Task("first"), EndKind::kDone);
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("small")) == 1);
  CHECK(world.workers.starts(SliceWorld::Task("large")) == 0);
}

}  // namespace
}  // namespace hickoryusher::jobs
