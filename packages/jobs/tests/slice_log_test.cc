#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <iterator>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "slice_world.h"

/// Lines from which two lives of a worker, two owners of a slice, and the
/// orders that were still under way can be told after an incident.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;
using Catch::Matchers::Contains;

constexpr std::size_t kMaxListed = 20;

bool IsStart(const WorkerCommand& command) {
  return std::holds_alternative<StartRun>(command);
}

std::vector<std::string> LinesOf(const std::vector<std::string>& log,
                                 std::string_view event) {
  const std::string start = "event=" + std::string(event) + " ";
  std::vector<std::string> lines;
  std::ranges::copy_if(
      log, std::back_inserter(lines),
      [&](const std::string& line) { return line.starts_with(start); });
  return lines;
}

/// The worker w1 has a job whose first start there is held back.
void HoldStart(SliceWorld& world) {
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.Hold(IsStart);
  world.Submit("j", "c");
  world.Advance(100ms);
  REQUIRE(world.workers.held().size() == 1);
  world.workers.Hold({});
}

// Guards against a start without an answer that cannot be told from others by
// the lines of its owner: neither its level, nor the life and the owner.
TEST_CASE("a late start is a warning that names life and owner", "[log]") {
  SliceWorld world;
  HoldStart(world);
  const auto placed = LinesOf(world.log, "task_placed");
  REQUIRE(placed.size() == 1);
  CHECK_THAT(placed[0], Contains(" born=1 generation="));
  CHECK_THAT(placed[0], Contains(" slice=yoff-0 epoch=1"));
  CHECK(LinesOf(world.warnings, "task_placed").empty());
  // It counts as unanswered, and is sent again.
  world.Advance(2s);
  const auto unanswered = LinesOf(world.warnings, "start_unanswered");
  REQUIRE(unanswered.size() == 1);
  CHECK_THAT(unanswered[0],
             Contains(" born=1 ") && Contains(" slice=yoff-0 epoch=1"));
  CHECK_FALSE(LinesOf(world.warnings, "run_lost").empty());
  const auto seen = LinesOf(world.warnings, "late_start_seen");
  REQUIRE(seen.size() == 1);
  CHECK_THAT(seen[0], Contains(" task=j.0.0.0 ") && Contains(" worker=w1 ") &&
                          Contains(" born=1 ") && Contains(" sent_ms_ago="));
  world.Advance(13s);
  CHECK(LinesOf(world.warnings, "late_start_seen").size() == 1);
  CHECK(LinesOf(world.log, "late_start_expired").size() == 1);
}

// Guards against an owner whose starts may still come late when it ends, and
// whose log does not say which.
TEST_CASE("an owner that ends lists its late starts up to a bound", "[log]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.Hold(IsStart);
  for (std::size_t i = 0; i < kMaxListed + 5; ++i) {
    world.Submit("j" + std::to_string(i), "c");
  }
  world.Advance(1500ms);
  world.owner->LogLoss("expired", world.now());
  const auto lost = LinesOf(world.warnings, "slice_lost");
  REQUIRE(lost.size() == 1);
  CHECK_THAT(lost[0], Contains(" slice=yoff-0 epoch=1 ") &&
                          Contains(" cause=expired ") &&
                          Contains(" late_starts=25"));
  const auto left = LinesOf(world.warnings, "late_start_left");
  REQUIRE(left.size() == kMaxListed);
  CHECK_THAT(left[0], Contains(" task=j") && Contains(" worker=w1 ") &&
                          Contains(" left_ms="));
}

// Guards against a takeover after which nobody can tell whose runs the new
// owner waits for, or takes for over without an answer.
TEST_CASE("a new owner lists the workers that it has not heard of", "[log]") {
  SliceWorld world;
  for (std::size_t i = 0; i < kMaxListed + 6; ++i) {
    world.AddWorker("w" + std::to_string(i));
  }
  world.Advance(2s);
  for (std::size_t i = 1; i < kMaxListed + 6; ++i) {
    world.workers.SetFault("w" + std::to_string(i),
                           FakeWorkers::Fault::kSilent);
  }
  world.log.clear();
  world.TakeOver();
  world.Advance(3s);
  const auto restored = LinesOf(world.log, "slice_restored");
  REQUIRE(restored.size() == 1);
  CHECK_THAT(restored[0], Contains(" epoch=2 ") && Contains(" workers=26 ") &&
                              Contains(" roster=26 "));
  const auto unheard = LinesOf(world.warnings, "worker_unheard");
  REQUIRE(unheard.size() == kMaxListed);
  CHECK_THAT(unheard[0], Contains(" worker=w1 ") && Contains(" reason=") &&
                             Contains(" lease_left_ms=") &&
                             Contains(" total=25 ") &&
                             Contains(" slice=yoff-0 epoch=2"));
}

}  // namespace
}  // namespace hickoryusher::jobs
