#include <catch2/catch.hpp>
#include <chrono>

#include "slice_world.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

/// A task that serves, and spare work next to it, on one worker.
class Neighbours : public SliceWorld {
 public:
  Neighbours() {
    StartJob("s", "serving");
    workers.SetUsage(Task("serving"), 20);
    Advance(1s);
    Submit("spare", "f");
    Advance(500ms);
    REQUIRE(workers.WorkerOf(Task("spare")) == "w1");
  }
};

// A target was missed for 4 s by work whose learned weight was too small to
// count (bruitsen scale-2, HARM 1).
TEST_CASE("spare work rests while a target is missed", "[interference]") {
  Neighbours world;
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(3s);
  CHECK(world.workers.PaceOf(SliceWorld::Task("spare")) == 0);
}

TEST_CASE("a pace that was not ordered for sure is ordered again",
          "[interference]") {
  Neighbours world;
  world.workers.SetFault("w1", FakeWorkers::Fault::kLate);
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(2s);
  CHECK(world.workers.PaceOf(SliceWorld::Task("spare")) == 100);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(1s);
  CHECK(world.workers.PaceOf(SliceWorld::Task("spare")) == 0);
}

TEST_CASE("spare work goes on when the target is kept again",
          "[interference]") {
  Neighbours world;
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(2s);
  world.workers.SetUsage(SliceWorld::Task("serving"), 20);
  world.Advance(5s);
  CHECK(world.workers.PaceOf(SliceWorld::Task("spare")) > 0);
}

TEST_CASE("no spare work joins a task that misses its target",
          "[interference]") {
  SliceWorld world;
  world.StartJob("s", "serving");
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(1s);
  world.Submit("spare", "f");
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("spare")) == 0);
}

}  // namespace
}  // namespace hickoryusher::jobs
