#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "slice_world.h"

/// An owner whose failure domain is evacuated, or has no worker for its jobs.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

const FailureDomains kOwnDomain = {"yoff"};

SliceLoad FreeSlice() {
  return {.capacity_millis = 100'000,
          .services = {{"noise",
                        {.largest = {.cpu_millis = 32'000,
                                     .memory_bytes = 125'000'000'000}}}}};
}

void Evacuate(SliceWorld& world) {
  world.evacuated = kOwnDomain;
  world.owner->SetEvacuated(kOwnDomain, world.now());
}

bool IsElsewhere(const SliceWorld& world, const std::string& id) {
  return world.store.Find(JobRow(kOtherSlice, id)).has_value() &&
         !world.store.Find(JobRow(kSlice, id)).has_value();
}

// Guards against starts on workers that are to be emptied: 6,393 tasks were
// started in an evacuated failure domain on one day.
TEST_CASE("nothing starts in an evacuated domain, and what runs goes on",
          "[slice]") {
  SliceWorld world;
  world.StartJob("cc", "j");
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  Evacuate(world);
  world.Submit("short", "c");
  world.Submit("long", "t");
  world.Submit("gang", "y");
  world.Advance(5s);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  CHECK(world.workers.HoldsLease("w1", world.now()));
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(2s);
  CHECK(world.workers.started_runs().size() == 1);
  world.evacuated.clear();
  world.owner->SetEvacuated({}, world.now());
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j", 1)) == 1);
  CHECK(world.workers.starts(SliceWorld::Task("short")) == 1);
  CHECK(world.workers.starts(SliceWorld::Task("long")) == 1);
}

// Guards against the same by a new owner, and by an order that is repeated.
TEST_CASE("nothing starts in an evacuated domain after a takeover", "[slice]") {
  const bool hand_over = GENERATE(false, true);
  const auto fault =
      GENERATE(FakeWorkers::Fault::kSilent, FakeWorkers::Fault::kLoseAnswer);
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Advance(500ms);
  world.workers.SetFault("w1", fault);
  world.Submit("j", "c");
  world.Submit("k", "t");
  world.Advance(300ms);
  Evacuate(world);
  const std::size_t starts = world.workers.started_runs().size();
  world.Advance(2s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  hand_over ? world.HandOver() : world.TakeOver();
  world.Advance(15s);
  CHECK(world.workers.started_runs().size() == starts);
}

// Guards against a task whose place was written when the evacuation came.
TEST_CASE("a long-running task whose place was stored does not start",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.commit_delay = 100ms;
  world.Submit("k", "t");
  world.Advance(60ms);
  Evacuate(world);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("k")) == 0);
}

// Guards against jobs that wait in an evacuated slice until it is taken back,
// while another one could run them; also the rest of jobs of which a task ran.
TEST_CASE("waiting jobs leave an evacuated slice", "[slice]") {
  SliceWorld world;
  world.StartJob("cc", "j");
  for (int i = 0; i < 20; ++i) {
    world.Submit("b" + std::to_string(i), "b");
  }
  world.Advance(500ms);
  Evacuate(world);
  world.owner->SetLoads({SliceLoad{}, FreeSlice()});
  world.Advance(2s);
  CHECK_FALSE(IsElsewhere(world, "j"));
  std::size_t left = 0;
  for (int i = 0; i < 20; ++i) {
    left += IsElsewhere(world, "b" + std::to_string(i)) ? 1 : 0;
  }
  // One runs here.
  CHECK(left == 19);
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(1s);
  REQUIRE(IsElsewhere(world, "j"));
  const auto progress =
      DecodeProgress(world.store.Find(ProgressRow(kOtherSlice, "j"))->value);
  CHECK(progress->done == std::vector{true, false, false, false});
}

// Guards against a long-running job with a limit on unavailable tasks that is
// held in an evacuated slice, although nothing of it runs.
TEST_CASE("long-running jobs that have not started leave an evacuated slice",
          "[slice]") {
  const std::string steps = GENERATE("w", "k");
  SliceWorld world;
  Evacuate(world);
  world.AddWorker("w1");
  world.Submit("j", steps);
  world.Advance(500ms);
  world.OfferRoomElsewhere();
  world.Advance(2s);
  CHECK(IsElsewhere(world, "j"));
}

// Guards against jobs that are lost in a failure domain whose workers are gone
// for good: intake had chosen its slice.
TEST_CASE("waiting jobs leave a slice without workers", "[slice]") {
  SliceWorld world;
  world.StartJob("c", "ran");
  world.workers.End(SliceWorld::Task("ran"), EndKind::kDone);
  world.Advance(500ms);
  world.Submit("b1", "b");
  world.Advance(500ms);
  world.Submit("b2", "b");
  world.workers.SetFault("w1", FakeWorkers::Fault::kGone);
  world.Remove("w1");
  for (int i = 0; i < 9; ++i) {
    world.owner->SetLoads({SliceLoad{}, FreeSlice()});
    world.Advance(1s);
  }
  CHECK(IsElsewhere(world, "b2"));
  // Its run was given up when the lease was over.
  CHECK(IsElsewhere(world, "b1"));
}

// Guards against a repeated run number, which a worker that had the earlier run
// refuses, and which would count as a failure that is known already.
TEST_CASE("run numbers rise when a job comes back", "[slice]") {
  SliceWorld world;
  world.StartJob("c", "j");
  const RunNumber first = world.workers.runs("w1").front().number;
  Evacuate(world);
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.owner->SetLoads({SliceLoad{}, FreeSlice()});
  world.Advance(1s);
  REQUIRE(IsElsewhere(world, "j"));
  const auto job = world.store.Find(JobRow(kOtherSlice, "j"));
  CHECK(DecodeStoredJob(job->value)->runs_above >= first);
  // The other slice gives it back.
  const auto progress = world.store.Find(ProgressRow(kOtherSlice, "j"));
  world.store.Run(CommitRows{
      .puts = {{.key = ProgressRow(kSlice, "j"), .value = progress->value},
               {.key = JobRow(kSlice, "j"), .value = job->value}},
      .removals = {progress->key, job->key}});
  world.owner->SetEvacuated({}, world.now());
  world.Advance(1s);
  REQUIRE(world.workers.runs("w1").size() == 1);
  CHECK(world.workers.runs("w1").front().number > first);
}

}  // namespace
}  // namespace hickoryusher::jobs
