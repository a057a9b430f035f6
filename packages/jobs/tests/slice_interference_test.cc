#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

#include "slice_world.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

/// A serving task and a best-effort task on the same worker.
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

/// A serving task whose own load is known to use half of its latency target.
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

// Guards against a missed target: best-effort work whose learned interference
// was too small to be counted made a service miss its target for 4 s.
TEST_CASE("best-effort work is paused while a target is missed",
          "[interference]") {
  BusyService world;
  world.Submit("spare", "l");
  // The owner learns that one core of it does not change the tail.
  world.Advance(600s);
  REQUIRE(world.workers.PaceOf(SliceWorld::Task("spare")) == 100);
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(3s);
  CHECK(world.workers.PaceOf(SliceWorld::Task("spare")) == 0);
}

TEST_CASE("a pace whose order was not confirmed is ordered again",
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

TEST_CASE("best-effort work resumes when the target is met again",
          "[interference]") {
  Neighbours world;
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(2s);
  world.workers.SetUsage(SliceWorld::Task("serving"), 20);
  world.Advance(5s);
  CHECK(world.workers.PaceOf(SliceWorld::Task("spare")) > 0);
}

// Guards against needless pauses: best-effort tasks spent over half of their
// time at a pace of 0, although most of them hardly interfere.
TEST_CASE("best-effort work continues beside a task that is busy by itself",
          "[interference]") {
  BusyService world;
  world.Submit("spare", "m");
  // The owner learns that it hardly changes the tail.
  world.Advance(60s);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("spare")) == "w1");
  for (const double tail : {60, 70, 80, 90}) {
    world.workers.SetUsage(SliceWorld::Task("serving"), tail);
    world.Advance(5s);
  }
  CHECK(world.workers.PaceOf(SliceWorld::Task("spare")) > 0);
}

TEST_CASE("no best-effort work starts beside a task that misses its target",
          "[interference]") {
  SliceWorld world;
  world.StartJob("s", "serving");
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(1s);
  world.Submit("spare", "f");
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("spare")) == 0);
}

// Guards against a job that waits forever beside idle processors because its
// tasks would interfere with every service at full pace.
TEST_CASE(
    "best-effort work that disturbs every service starts slowed after a delay",
    "[interference]") {
  BusyService world;
  // Close to the share of the target that may be used.
  world.workers.SetUsage(SliceWorld::Task("serving"), 65);
  world.Advance(30s);
  world.Submit("spare", "f");
  world.Advance(1s);
  REQUIRE(world.workers.starts(SliceWorld::Task("spare")) == 0);
  // Accepted work must run again within 3 s.
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

// Guards against jobs that wait behind slowed tasks: with a limit of two slowed
// tasks for 16 workers, these made little progress, and other jobs waited for
// 30 s.
TEST_CASE("a slowed task does not prevent others from starting",
          "[interference]") {
  BusyService world;
  world.workers.SetUsage(SliceWorld::Task("serving"), 65);
  world.Advance(30s);
  world.Submit("first", "f");
  world.Advance(3s);
  REQUIRE(world.workers.starts(SliceWorld::Task("first")) == 1);
  // Above the alarm level nothing else may start, and the first task is paused.
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(3s);
  REQUIRE(world.workers.PaceOf(SliceWorld::Task("first")) == 0);
  world.workers.SetUsage(SliceWorld::Task("serving"), 74);
  world.Advance(1s);
  world.Submit("second", "l");
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("second")) == 1);
}

// Guards against a missed floor: slowed tasks held memory that tasks needed
// which could run at full pace.
TEST_CASE("a slowed task takes at most half of a worker's free memory",
          "[interference]") {
  BusyService world;
  world.workers.SetUsage(SliceWorld::Task("serving"), 84);
  world.Advance(30s);
  world.Submit("spare", "g");
  world.Advance(5s);
  CHECK(world.workers.starts(SliceWorld::Task("spare")) == 0);
}

// Guards against a job that waits for 44 s although a worker has room for
// several of its tasks: slowed tasks of other jobs held half of the memory, and
// no task that would be slowed may start then.
TEST_CASE("best-effort work starts where slowed tasks hold half of the memory",
          "[interference]") {
  SliceWorld world;
  world.StartJob("p", "serving");
  world.workers.SetUsage(SliceWorld::Task("serving"), 84);
  world.Advance(30s);
  for (const char* job : {"first", "second", "third"}) {
    world.Submit(job, "q");
    world.Advance(3s);
    REQUIRE(world.workers.starts(SliceWorld::Task(job)) == 1);
  }
  // 65 of 125 GB are free, and 20 GB are needed.
  world.Submit("fourth", "q");
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("fourth")) == 1);
}

// Guards against a missed floor, as above: memory for one more task is kept for
// the time at which it can run at full pace.
TEST_CASE("slowed tasks leave memory for one more task at full pace",
          "[interference]") {
  SliceWorld world;
  world.StartJob("p", "serving");
  world.workers.SetUsage(SliceWorld::Task("serving"), 84);
  world.Advance(30s);
  for (const char* job : {"first", "second", "third", "fourth", "fifth"}) {
    world.Submit(job, "q");
    world.Advance(3s);
    REQUIRE(world.workers.starts(SliceWorld::Task(job)) == 1);
  }
  world.Submit("sixth", "q");
  world.Advance(5s);
  CHECK(world.workers.starts(SliceWorld::Task("sixth")) == 0);
  world.workers.SetUsage(SliceWorld::Task("serving"), 20);
  world.Advance(60s);
  CHECK(world.workers.starts(SliceWorld::Task("sixth")) == 1);
}

// Guards against a task that goes back and forth between two busy workers: one
// was moved 17 times, each time at the price of a stop and a start.
TEST_CASE("a slowed task waits longer before each further move",
          "[interference]") {
  BusyService world;
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(30s);
  world.AddWorker("w2");
  world.Submit("other", "s");
  world.Advance(1s);
  world.workers.SetUsage(SliceWorld::Task("other"), 20);
  world.Advance(30s);
  // Reports come every 700 ms; each phase between them and the moves counts.
  world.Advance(GENERATE(0ms, 100ms, 200ms, 300ms, 400ms, 500ms, 600ms));
  world.Submit("spare", "f");
  world.Advance(3s);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("spare")) == "w2");
  // Keeps both services at a low load, then raises that beside the task.
  auto raise_load = [&world, on_second = true]() mutable {
    world.workers.SetUsage(SliceWorld::Task("serving"), 20);
    world.workers.SetUsage(SliceWorld::Task("other"), 20);
    world.Advance(120s);
    world.workers.SetUsage(SliceWorld::Task(on_second ? "other" : "serving"),
                           300);
    on_second = !on_second;
  };
  // Counts from when the pace is one from which tasks move.
  constexpr std::uint32_t kSlowedPace = 30;
  const auto time_to_move = [&] {
    const TaskAddress spare = SliceWorld::Task("spare");
    const std::size_t starts = world.workers.starts(spare);
    auto waited = 0ms;
    while (waited < 10s && world.workers.starts(spare) == starts) {
      world.Advance(10ms);
      const bool slowed =
          waited > 0ms || world.workers.PaceOf(spare) <= kSlowedPace;
      waited += slowed ? 10ms : 0ms;
    }
    return waited;
  };
  std::vector<std::chrono::milliseconds> times;
  for (int i = 0; i < 3; ++i) {
    raise_load();
    times.push_back(time_to_move());
    world.Advance(1s);
  }
  CAPTURE(times[0].count(), times[1].count(), times[2].count());
  CHECK(times[0] >= 600ms);
  CHECK(times[1] >= 1200ms);
  CHECK(times[2] >= 2400ms);
  CHECK(times[1] > times[0]);
  CHECK(times[2] > times[1] + 500ms);
  CHECK(times[2] < 10s);
}

// Guards against a gang that starts slowed: its members cannot be slowed
// individually.
TEST_CASE("a best-effort gang does not start without headroom",
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
