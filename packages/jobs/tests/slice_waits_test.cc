#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "slice_world.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

std::string LastLine(const SliceWorld& world, std::string_view event) {
  const std::string start = "event=" + std::string(event) + " ";
  const auto found = std::find_if(
      world.log.rbegin(), world.log.rend(),
      [&](const std::string& line) { return line.starts_with(start); });
  return found == world.log.rend() ? std::string() : *found;
}

// Guards against a job that waits for 12 s while no log line says why.
TEST_CASE("a task that waits long is logged with the obstacle on each worker",
          "[waits]") {
  SliceWorld world;
  world.StartJob("s", "serving");
  world.workers.SetUsage(SliceWorld::Task("serving"), 300);
  world.Advance(1s);
  world.Submit("spare", "f");
  world.Advance(1500ms);
  CHECK(LastLine(world, "task_waits").empty());
  world.Advance(1500ms);
  const std::string line = LastLine(world, "task_waits");
  CHECK(line.find("task=spare.0.0.0") != std::string::npos);
  CHECK(line.find("over_target=1") != std::string::npos);
  CHECK(line.find("most_room=") != std::string::npos);
}

TEST_CASE("the workers that restored jobs wait for are logged", "[waits]") {
  SliceWorld world;
  world.StartJob();
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.TakeOver();
  world.AddWorker("w2");
  world.Advance(3s);
  const std::string line = LastLine(world, "restored_jobs_wait");
  CHECK(line.find("workers=1") != std::string::npos);
  CHECK(line.find("last=w1") != std::string::npos);
}

}  // namespace
}  // namespace hickoryusher::jobs
