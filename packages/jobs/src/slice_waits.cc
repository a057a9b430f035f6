#include <algorithm>
#include <array>
#include <limits>

#include "slice_scheduler_p.h"

/// Logs why tasks and restored jobs wait.
namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// Callers notice work that has not run for 3 s; the line is logged before that.
constexpr core::Duration kLongWait = milliseconds(2000);

// Each line evaluates every worker once.
constexpr core::Duration kWaitLogInterval = milliseconds(1000);

// Indexed by SliceScheduler::Obstacle.
constexpr std::array<std::string_view, 13> kObstacleNames = {
    "free",
    "evacuated",
    "not_usable",
    "outlives_term",
    "other_service",
    "no_label",
    "spread",
    "no_room",
    "kept_for_other",
    "no_spare_cpu",
    "over_target",
    "disturbs_service",
    "late_start_elsewhere"};

}  // namespace

// Logs, for a group of which no task runs, how many workers each obstacle
// excludes for its next task.
void SliceScheduler::LogWait(Job& job, const Group& group) {
  if (now_ < next_wait_log_ ||
      now_ < group.idle_since.value_or(now_) + kLongWait) {
    return;
  }
  next_wait_log_ = now_ + kWaitLogInterval;
  const StepSpec& step = job.StepOf(group);
  const auto tasks = job.TasksOf(group);
  const auto waiting = std::ranges::find_if(
      tasks, [this](const Task& task) { return MayStart(task); });
  if (waiting == tasks.end()) {
    return;
  }
  std::array<std::size_t, kObstacleNames.size()> counts{};
  double most_room = std::numeric_limits<double>::lowest();
  for (const auto& worker : workers_.all()) {
    ++counts.at(
        static_cast<std::size_t>(FindObstacle(*worker, job, group, *waiting)));
    most_room = std::max(most_room, MinHeadroomOn(*worker, group.image, step));
  }
  core::LogLine line("task_waits");
  line.Add("task", ToText(job.AddressOf(*waiting)))
      .Add("waited_ms", core::ToMillis(now_ - *group.idle_since))
      .Add("cpu_millis", step.need.cpu_millis)
      .Add("memory_bytes", step.need.memory_bytes)
      .Add("late_ms", core::ToMillis(now_ - job.objective));
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      line.Add(kObstacleNames[i], counts[i]);
    }
  }
  if (step.best_effort) {
    line.Add("most_room", most_room);
  }
  options_.log(line);
}

// Logs how many workers tasks of earlier owners still wait for, and the one
// whose lease ends last.
void SliceScheduler::LogUnconfirmed() {
  if (now_ < next_unconfirmed_log_) {
    return;
  }
  next_unconfirmed_log_ = now_ + kWaitLogInterval;
  std::size_t unconfirmed = 0;
  const Worker* last = nullptr;
  for (const auto& worker : workers_.all()) {
    if (IsUnconfirmed(*worker)) {
      ++unconfirmed;
      if (last == nullptr || worker->lease_end > last->lease_end) {
        last = worker.get();
      }
    }
  }
  if (last == nullptr) {
    return;
  }
  options_.log(
      core::LogLine("restored_jobs_wait")
          .Add("slice", options_.slice.name)
          .Add("workers", unconfirmed)
          .Add("last", last->entry.id)
          .Add("lease_left_ms", core::ToMillis(LeaseEnd(*last) - now_)));
}

}  // namespace hickoryusher::jobs
