#include <algorithm>
#include <iterator>
#include <utility>

#include "slice_scheduler_p.h"

/// Runs of tasks whose job this owner has not read. An earlier owner that has
/// not learned yet that it is fenced may have read a job first and started it.
/// A job is stored before its tasks start, so that a read of the job table that
/// is sent after a worker's report returns it; only if it does not, the job is
/// closed or belongs to another slice.
namespace hickoryusher::jobs {

// Returns whether the job is known to have ended here.
bool SliceScheduler::IsClosed(std::string_view job) const {
  return std::ranges::any_of(
      final_jobs_, [job](const auto& entry) { return entry.second == job; });
}

// Returns whether the task is known to need no run here any more.
bool SliceScheduler::IsOver(const TaskAddress& task) {
  const Job* job = jobs_.Find(task.job);
  return IsClosed(task.job) ||
         (job != nullptr && task.occurrence < job->first_occurrence());
}

// Returns the task that a worker reports. Its occurrence may not be due by this
// owner's clock yet: it was by that of the owner that started it.
Task* SliceScheduler::FindReportedTask(const TaskAddress& address) {
  Job* job = jobs_.Find(address.job);
  if (job != nullptr && !job->is_part &&
      address.occurrence < job->occurrence_count()) {
    while (job->end_occurrence() <= address.occurrence) {
      AddOccurrence(*job);
    }
  }
  return jobs_.FindTask(address);
}

// Returns the task with this number in a job or a part; nullptr if the job has
// left the table, or the task is done and removed.
Task* SliceScheduler::FindTask(std::string_view job, std::uint32_t number) {
  Job* found = jobs_.Find(job);
  return found != nullptr && found->tasks.Contains(number)
             ? &found->tasks[number]
             : nullptr;
}

void SliceScheduler::HoldUnknownEnd(Worker& worker, const EndedRun& end) {
  if (const auto until = worker.LateStartOf(end.task.job);
      until && end.kind == EndKind::kDone) {
    worker.unsafe_ends.push_back({.number = end.number, .until = *until});
  }
  if (!IsOver(end.task)) {
    worker.unknown_ends.push_back({.end = end, .unread_since = now_});
    job_rows_.Refresh(now_);
  }
}

void SliceScheduler::HandleUnknownRun(Worker& worker, const ActiveRun& run) {
  const auto found =
      std::ranges::find_if(worker.unknown_runs, [&](const auto& unknown) {
        return unknown.run.run == run.run && unknown.run.task == run.task;
      });
  if (found == worker.unknown_runs.end() && !IsOver(run.task)) {
    worker.unknown_runs.push_back({.run = run, .unread_since = now_});
    job_rows_.Refresh(now_);
  } else if (found == worker.unknown_runs.end() || !found->unread_since) {
    StopUnknown(worker, run);
  }
}

void SliceScheduler::ForgetUnlistedRuns(Worker& worker,
                                        const WorkerReport& report) {
  std::erase_if(worker.unknown_runs, [&](const auto& unknown) {
    return std::ranges::none_of(report.running, [&](const ActiveRun& run) {
      return run.run == unknown.run.run && run.task == unknown.run.task;
    });
  });
}

// Handles the runs of a job that has been read after they were reported.
void SliceScheduler::HandleRunsOfNewJob() {
  for (const auto& worker : workers_.all()) {
    std::erase_if(worker->unknown_ends, [&](const auto& unknown) {
      Task* task = FindReportedTask(unknown.end.task);
      if (task != nullptr) {
        ApplyEnd(*worker, *task, unknown.end);
      }
      return task != nullptr;
    });
    const auto known = std::ranges::stable_partition(
        worker->unknown_runs, [this](const auto& unknown) {
          return FindReportedTask(unknown.run.task) == nullptr;
        });
    std::vector<ActiveRun> runs;
    std::ranges::transform(known, std::back_inserter(runs),
                           &Worker::UnknownRun::run);
    worker->unknown_runs.erase(known.begin(), known.end());
    for (const ActiveRun& run : runs) {
      HandleActive(*worker, *jobs_.FindTask(run.task), run);
    }
  }
}

// Ends the wait for the jobs of unknown runs that were reported before the last
// read of the job table: the ends may be acknowledged, and the runs are
// stopped.
void SliceScheduler::SettleUnknownRuns() {
  const core::TimePoint read = job_rows_.complete_until();
  for (const auto& worker : workers_.all()) {
    if (std::erase_if(worker->unknown_ends, [&](const auto& unknown) {
          return unknown.unread_since < read && !IsParked(unknown.end.task.job);
        }) > 0) {
      commit_due_ = std::min(commit_due_, now_);
    }
    for (Worker::UnknownRun& unknown : worker->unknown_runs) {
      if (unknown.unread_since && *unknown.unread_since < read &&
          !IsParked(unknown.run.task.job)) {
        unknown.unread_since.reset();
        StopUnknown(*worker, unknown.run);
      }
    }
  }
}

// Returns whether a run may be of a job that this owner has not read yet.
bool SliceScheduler::HasUnreadRuns() const {
  return std::ranges::any_of(workers_.all(), [](const auto& worker) {
    return !worker->unknown_ends.empty() ||
           std::ranges::any_of(worker->unknown_runs, [](const auto& unknown) {
             return unknown.unread_since.has_value();
           });
  });
}

}  // namespace hickoryusher::jobs
