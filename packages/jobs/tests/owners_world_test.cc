#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "owners_world.h"

/// Two processes that own a slice one after the other, while the first one has
/// not learned of the second one yet.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kFirst = 0;
constexpr std::size_t kSecond = 1;

OwnersWorld::RunEnd NoEnd(const FakeWorkers::StartedRun&) {
  return {.after = 1h};
}

// Guards against a task that runs twice: an owner that was cut off from the
// store and from some workers took their leases for over, and started their
// tasks on the one worker that it reached. Its successor had adopted the runs
// and renewed the leases.
TEST_CASE("an owner without renewals does not take leases for over",
          "[slice]") {
  OwnersWorld world(6s, NoEnd);
  world.AddProcess("first", "yoff");
  world.AddWorker("w1");
  world.Advance(2s);
  world.AddProcess("second", "yoff");
  world.Submit("kept", "c");
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("kept")) == "w1");
  // Each of the other workers gets one task that has no room on w1.
  for (const std::string id : {"w2", "w3"}) {
    world.AddWorker(id);
  }
  world.Submit("x", "b");
  world.Submit("y", "b");
  world.Submit("z", "b");
  world.Advance(1s);
  std::vector<TaskAddress> tasks;
  for (const std::string id : {"x", "y", "z"}) {
    if (world.workers.WorkerOf(SliceWorld::Task(id)) != "w1") {
      tasks.push_back(SliceWorld::Task(id));
    } else {
      world.workers.End(SliceWorld::Task(id), EndKind::kDone);
    }
  }
  REQUIRE(tasks.size() == 2);
  world.FailStoreLink(kFirst, LinkFault::kSilent, 11400ms);
  for (const std::string worker : {"w2", "w3"}) {
    world.FailWorkerLink(kFirst, worker, LinkFault::kSilent, 11400ms);
  }
  world.FailWorkerLink(kSecond, "w1", LinkFault::kSilent, 11400ms);
  world.Advance(12s);
  for (const TaskAddress& task : tasks) {
    CHECK(world.workers.starts(task) == 1);
  }
}

// Guards against a crash: a process was told to stop after it had gained the
// slice and before it had read the roster, which lists a worker that is not in
// the registry any more.
TEST_CASE("an owner that stops before it has read the roster goes on",
          "[slice]") {
  OwnersWorld world(6s, NoEnd);
  world.AddProcess("first", "yoff");
  world.AddWorker("w1");
  world.Submit("j", "c");
  world.Advance(3s);
  REQUIRE_FALSE(world.workers.WorkerOf(SliceWorld::Task("j")).empty());
  world.Unlist("w1", 10s);
  world.Kill(kFirst);
  world.Advance(5s);
  world.Start(kFirst);
  while (world.may_stop(kFirst)) {
    world.Advance(10ms);
  }
  world.Stop(kFirst);
  world.Advance(2s);
  CHECK(world.runs(kFirst));
}

}  // namespace
}  // namespace hickoryusher::jobs
