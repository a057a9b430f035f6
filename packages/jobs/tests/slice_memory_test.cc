#include <malloc.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "jobs/job_table.h"
#include "slice_world.h"

/// What an owner holds for the jobs of its slice.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

std::size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

struct JobShape {
  int jobs = 0;
  std::uint32_t steps = 0;
  std::uint32_t tasks = 0;  ///< Of each step.
  std::uint32_t occurrences = 0;
  std::size_t document_bytes = 0;
};

void AddJobs(JobTable& table, const JobShape& shape) {
  for (int i = 0; i < shape.jobs; ++i) {
    JobSpec spec{.id = "5c0e7a21d94b36f8" + std::to_string(i),
                 .queue = "diary",
                 .payload = std::string(shape.document_bytes / 2, 'x'),
                 .steps = std::vector<StepSpec>(shape.steps),
                 .repeat_count = shape.occurrences};
    for (StepSpec& step : spec.steps) {
      step.count = shape.tasks;
      step.after = {0};
    }
    Job& job =
        table.Add(std::move(spec), std::string(shape.document_bytes, 'y'));
    while (job.end_occurrence() < job.occurrence_count()) {
      table.AddOccurrence(job);
    }
  }
}

// Guards against an owner that is killed for its memory although its jobs are
// within the limit: small jobs took two thirds more than they were counted for.
TEST_CASE("jobs take no more memory than they are counted for", "[memory]") {
  if (AllocatedBytes() == 0) {
    return;  // The allocator of a sanitizer does not tell.
  }
  const JobShape shape = GENERATE(
      JobShape{.jobs = 5'000, .steps = 1, .tasks = 1, .document_bytes = 200},
      JobShape{.jobs = 5'000, .steps = 2, .tasks = 8, .document_bytes = 400},
      JobShape{.jobs = 500, .steps = 5, .tasks = 4, .document_bytes = 60'000},
      JobShape{
          .jobs = 5, .steps = 20'000, .tasks = 1, .document_bytes = 60'000},
      JobShape{.jobs = 5, .steps = 1, .tasks = 20'000, .document_bytes = 200},
      JobShape{.jobs = 5,
               .steps = 1,
               .tasks = 1,
               .occurrences = 20'000,
               .document_bytes = 200});
  JobTable table{chart::StateId(), chart::StateId()};
  const std::size_t before = AllocatedBytes();
  AddJobs(table, shape);
  INFO(shape.steps << " steps, " << shape.tasks << " tasks");
  CHECK(AllocatedBytes() - before <= table.bytes());
  for (int i = 0; i < shape.jobs; ++i) {
    table.Remove("5c0e7a21d94b36f8" + std::to_string(i));
  }
  CHECK(table.bytes() == 0);
}

// Guards against an owner, and its successor, that holds ever more jobs that
// have ended: of 16 that a write closed, it removed the rows of 5.
TEST_CASE("rows of jobs that have ended are removed as fast as jobs are closed",
          "[memory]") {
  constexpr int kJobs = 32;
  SliceWorld world;
  world.AddWorker("w1");
  const auto run_jobs = [&](const std::string& name) {
    for (int i = 0; i < kJobs; ++i) {
      world.Submit(name + std::to_string(i), "c");
    }
    world.Advance(1s);
    for (int i = 0; i < kJobs; ++i) {
      world.workers.End(SliceWorld::Task(name + std::to_string(i)),
                        EndKind::kDone);
    }
    world.Advance(2s);
  };
  run_jobs("a");
  const std::size_t bytes = world.owner->job_bytes();
  CHECK(bytes > 0);
  world.Advance(125s);
  run_jobs("b");
  for (int i = 0; i < kJobs; ++i) {
    const std::string name = std::to_string(i);
    INFO(name);
    CHECK_FALSE(world.store.Find(ProgressRow(kSlice, "a" + name)).has_value());
    CHECK(world.PhaseOf("b" + name) == JobPhase::kCompleted);
  }
  CHECK(world.owner->job_bytes() == bytes);
}

}  // namespace
}  // namespace hickoryusher::jobs
