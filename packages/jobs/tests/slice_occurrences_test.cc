#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "slice_world.h"

/// Jobs whose steps run more than once.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kSmallJobBytes = 16UL * 1024;

TaskAddress Occurrence(std::uint32_t occurrence) {
  return {.job = "j", .occurrence = occurrence};
}

// Lets an occurrence of the job become due, run and end.
void RunOccurrence(SliceWorld& world, std::uint32_t occurrence) {
  world.unix_ms = 60'000 * std::int64_t{occurrence};
  world.Advance(1s);
  REQUIRE(world.workers.starts(Occurrence(occurrence)) == 1);
  world.workers.End(Occurrence(occurrence), EndKind::kDone);
  world.Advance(1s);
}

// Submits a job, ends its first task, and lets its second occurrence be due.
void BeginSecondOccurrence(SliceWorld& world, const std::string& steps) {
  world.StartJob(steps);
  world.workers.End(Occurrence(0), EndKind::kDone);
  world.unix_ms = 60'000;
  world.Advance(1s);
}

// Guards against an owner that is killed for its memory, again after each
// claim: it held a task for each occurrence, also of those due in weeks, 7 MB
// for a job of 20,000.
TEST_CASE("a job takes memory for the occurrences that are due and not done",
          "[occurrences]") {
  SliceWorld world;
  world.StartJob("c/20000/60000");
  CHECK(world.owner->job_bytes() < kSmallJobBytes);
  const std::size_t begun = world.owner->job_bytes();
  for (std::uint32_t occurrence = 0; occurrence < 5; ++occurrence) {
    RunOccurrence(world, occurrence);
  }
  CHECK(world.owner->job_bytes() < begun);
  world.TakeOver();
  world.Advance(1s);
  CHECK(world.owner->job_bytes() < kSmallJobBytes);
}

TEST_CASE("a new owner runs the occurrences that are not done",
          "[occurrences]") {
  SliceWorld world;
  BeginSecondOccurrence(world, "cc/4/60000");
  world.TakeOver();
  world.Advance(1s);
  for (std::uint32_t occurrence = 0; occurrence < 4; ++occurrence) {
    world.unix_ms = 60'000 * std::int64_t{occurrence};
    world.Advance(1s);
    for (std::uint32_t step = 0; step < 2; ++step) {
      const TaskAddress task{
          .job = "j", .occurrence = occurrence, .step = step};
      CHECK(world.workers.starts(task) == 1);
      world.workers.End(task, EndKind::kDone);
      world.Advance(1s);
    }
  }
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against a run that is stopped, or started again beside it, because it
// began by the clock of an earlier owner, which was ahead.
TEST_CASE("a run goes on whose occurrence a new owner does not take for due",
          "[occurrences]") {
  SliceWorld world;
  BeginSecondOccurrence(world, "c/4/60000");
  REQUIRE(world.workers.starts(Occurrence(1)) == 1);
  world.TakeOver();
  world.unix_ms = 59'000;
  world.Advance(2s);
  CHECK(world.workers.WorkerOf(Occurrence(1)) == "w1");
  world.unix_ms = 60'000;
  world.Advance(2s);
  CHECK(world.workers.starts(Occurrence(1)) == 1);
  world.workers.End(Occurrence(1), EndKind::kDone);
  world.Advance(1s);
  RunOccurrence(world, 2);
}

// Guards against a job that takes more memory than when it was accepted: all of
// its occurrences may become due at once.
TEST_CASE("occurrences wait for open ones of their job while memory is used up",
          "[occurrences]") {
  SliceWorld world;
  world.job_bytes = kSmallJobBytes;
  world.TakeOver();
  world.AddWorker("w1");
  world.Submit("j", "c/20000/0");
  world.Advance(1s);
  CHECK(world.owner->job_bytes() <= kSmallJobBytes);
  CHECK(world.owner->load()->job_room_bytes < std::int64_t{kSmallJobBytes});
  std::uint32_t ended = 0;
  const auto end_occurrences = [&](std::uint32_t count) {
    for (const std::uint32_t until = ended + count; ended < until; ++ended) {
      REQUIRE(world.workers.WorkerOf(Occurrence(ended)) == "w1");
      world.workers.End(Occurrence(ended), EndKind::kDone);
      world.Advance(1s);
      CHECK(world.owner->job_bytes() <= kSmallJobBytes);
    }
  };
  end_occurrences(100);
  world.Submit("k", "c");
  world.Advance(1s);
  end_occurrences(10);
  CHECK(world.workers.starts(SliceWorld::Task("k")) == 1);
}

// Guards against an answer about a run whose task is gone.
TEST_CASE("an order is answered after its occurrence is done",
          "[occurrences]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("j", "c/4/60000");
  world.workers.SetFault("w1", FakeWorkers::Fault::kLoseAnswer);
  world.Advance(500ms);
  REQUIRE(world.workers.starts(Occurrence(0)) == 1);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.workers.End(Occurrence(0), EndKind::kDone);
  world.Advance(5s);
  CHECK(world.workers.starts(Occurrence(0)) == 1);
  RunOccurrence(world, 1);
}

}  // namespace
}  // namespace hickoryusher::jobs
