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

/// A task that serves and is known to be at half of its target by its own load.
class BusyService : public SliceWorld {
 public:
  BusyService() {
    StartJob("s", "serving");
    workers.SetUsage(Task("serving"), 20);
    Advance(1s);
    workers.SetUsage(Task("serving"), 50);
    Advance(30s);
  }
};

// A target was missed for 4 s by work whose learned weight was too small to
// count (bruitsen scale-2, HARM 1).
TEST_CASE("spare work rests while a target is missed", "[interference]") {
  BusyService world;
  world.Submit("spare", "l");
  // Learns that one core of it does not change the tail.
  world.Advance(600s);
  REQUIRE(world.workers.PaceOf(SliceWorld::Task("spare")) == 100);
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
  // A target may be missed for 4 s.
  world.Advance(2s);
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

// Over half of the time of spare tasks passed at a pace of 0, although most of
// them hardly disturb (bruitsen scale-1).
TEST_CASE("spare work goes on beside a task that is busy by itself",
          "[interference]") {
  BusyService world;
  world.Submit("spare", "m");
  // Learns that it hardly changes the tail.
  world.Advance(60s);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("spare")) == "w1");
  for (const double tail : {60, 70, 80, 90}) {
    world.workers.SetUsage(SliceWorld::Task("serving"), tail);
    world.Advance(5s);
  }
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

// A job waited without end beside idle processors, since its tasks would have
// disturbed every service at full pace (ysf-crowd incident inc1, LOST).
TEST_CASE("spare work that disturbs every service starts slowed after a while",
          "[interference]") {
  BusyService world;
  // Near the share of the target that may be used up.
  world.workers.SetUsage(SliceWorld::Task("serving"), 65);
  world.Advance(30s);
  world.Submit("spare", "f");
  world.Advance(1s);
  REQUIRE(world.workers.starts(SliceWorld::Task("spare")) == 0);
  // Accepted work must be at work again within 3 s.
  for (auto waited = 1000ms; waited < 3000ms; waited += 10ms) {
    if (world.workers.starts(SliceWorld::Task("spare")) == 1) {
      break;
    }
    world.Advance(10ms);
  }
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("spare")) == "w1");
  world.Advance(20ms);
  CHECK(world.workers.PaceOf(SliceWorld::Task("spare")) < 50);
}

// Two slowed tasks for 16 workers were the limit; they hardly worked, and other
// jobs waited for 30 s behind them (ysf-crowd trouble-1 1087275995185, LOST 4).
TEST_CASE("a slowed task does not keep others from starting",
          "[interference]") {
  BusyService world;
  world.workers.SetUsage(SliceWorld::Task("serving"), 65);
  world.Advance(30s);
  world.Submit("first", "f");
  world.Advance(3s);
  REQUIRE(world.workers.starts(SliceWorld::Task("first")) == 1);
  // Above its alarm nothing else may join, and the first one rests.
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(3s);
  REQUIRE(world.workers.PaceOf(SliceWorld::Task("first")) == 0);
  world.workers.SetUsage(SliceWorld::Task("serving"), 74);
  world.Advance(1s);
  world.Submit("second", "l");
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("second")) == 1);
}

// Slowed tasks kept memory from tasks that could work at full pace (trial on
// ysf-crowd: a floor of line-replan was missed).
TEST_CASE("a slowed task leaves half of a worker's memory free",
          "[interference]") {
  BusyService world;
  world.workers.SetUsage(SliceWorld::Task("serving"), 74);
  world.Advance(30s);
  world.Submit("spare", "g");
  world.Advance(5s);
  CHECK(world.workers.starts(SliceWorld::Task("spare")) == 0);
}

// Members of a gang cannot be slowed one by one.
TEST_CASE("a gang of spare work does not start without room",
          "[interference]") {
  BusyService world;
  world.workers.SetUsage(SliceWorld::Task("serving"), 65);
  world.Advance(30s);
  world.Submit("gang", "y");
  world.Advance(5s);
  CHECK(world.workers.starts(SliceWorld::Task("gang")) == 0);
}

}  // namespace
}  // namespace hickoryusher::jobs
