#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "slice_world.h"

/// Limits on the tasks of a step on one worker.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

TaskAddress TaskOf(std::uint32_t index) {
  return {.job = "j", .index = index};
}

// Lets the task 0 run on w2 beside its end as done on w1, which has not been
// heard of since, while the task 2 waits for a worker without a task of the
// step.
void StartAgainOnOtherWorker(SliceWorld& world) {
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Submit("j", "d");
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(TaskOf(0)) == "w1");
  REQUIRE(world.workers.WorkerOf(TaskOf(1)) == "w2");
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.workers.End(TaskOf(0), EndKind::kDone);
  world.Advance(10s);
  world.workers.End(TaskOf(1), EndKind::kDone);
  world.Advance(1s);
  REQUIRE(world.workers.WorkerOf(TaskOf(0)) == "w2");
  world.Drain("w1");
  world.workers.SetFault("w2", FakeWorkers::Fault::kSlowStop);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(3s);
  REQUIRE(world.workers.acknowledged("w1") == 1);
}

// Guards against two tasks of a step on one worker beyond its limit: a run that
// is stopped, since another one of its task has ended as done, counted no more
// from that end on, 0.15 to 0.6 s before it was over.
TEST_CASE("a task of a step waits for the end of another one that is stopped",
          "[spread]") {
  SliceWorld world;
  StartAgainOnOtherWorker(world);
  CHECK(world.workers.starts(TaskOf(2)) == 0);
  world.workers.EndRun("w2", TaskOf(0), world.workers.runs("w2").front().number,
                       EndKind::kStopped);
  world.Advance(1s);
  CHECK(world.workers.WorkerOf(TaskOf(2)) == "w2");
  world.workers.End(TaskOf(2), EndKind::kDone);
  world.Advance(1s);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against room that is never free again.
TEST_CASE("a run that is stopped keeps no room after its worker restarts",
          "[spread]") {
  SliceWorld world;
  StartAgainOnOtherWorker(world);
  world.workers.Restart("w2", 2);
  world.workers.SetFault("w2", FakeWorkers::Fault::kNone);
  world.Advance(2s);
  CHECK(world.workers.WorkerOf(TaskOf(2)) == "w2");
}

TEST_CASE("a run that is stopped counts for a new owner", "[spread]") {
  SliceWorld world;
  StartAgainOnOtherWorker(world);
  world.TakeOver();
  world.Drain("w1");
  world.Advance(2s);
  CHECK(world.workers.starts(TaskOf(2)) == 0);
  world.workers.EndRun("w2", TaskOf(0), world.workers.runs("w2").front().number,
                       EndKind::kStopped);
  world.Advance(2s);
  CHECK(world.workers.WorkerOf(TaskOf(2)) == "w2");
}

// Guards against members of a gang that start on one worker beyond the limit of
// their step: those that were chosen in the same pass did not count.
TEST_CASE("members of a gang are spread over workers", "[spread]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("j", "n");
  world.Advance(1s);
  CHECK(world.workers.starts(TaskOf(0)) == 0);
  world.AddWorker("w2");
  world.Advance(1s);
  CHECK(world.workers.starts(TaskOf(0)) == 1);
  CHECK(world.workers.starts(TaskOf(1)) == 1);
  CHECK(world.workers.WorkerOf(TaskOf(0)) != world.workers.WorkerOf(TaskOf(1)));
}

}  // namespace
}  // namespace hickoryusher::jobs
