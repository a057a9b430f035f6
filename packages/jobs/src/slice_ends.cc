#include <algorithm>
#include <optional>

#include "slice_scheduler_p.h"

/// Handles the ends of runs that workers report.
namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// Number of different jobs with failed runs, without a successful end between
// them, after which a worker is quarantined: it gets no tasks for a while.
constexpr std::uint32_t kFailuresToQuarantine = 3;
constexpr core::Duration kFirstQuarantine = milliseconds(2000);
constexpr std::uint32_t kMaxQuarantineDoublings = 3;
constexpr core::Duration kEarlyFailure = milliseconds(1000);

}  // namespace

void SliceScheduler::HandleEnd(Worker& worker, const EndedRun& end) {
  if (end.number <= worker.last_end) {
    return;
  }
  worker.last_end = end.number;
  // Stored with the next commit, even if nothing else changes.
  commit_due_ = std::min(commit_due_, now_ + kTick);
  Task* task = FindReportedTask(end.task);
  const bool lapsed = end.kind == EndKind::kLapsed;
  options_.log(
      AddLife(core::LogLine("run_ended", lapsed ? core::LogLevel::kWarning
                                                : core::LogLevel::kInfo)
                  .Add("task", ToText(end.task))
                  .Add("run", end.run)
                  .Add("worker", worker.entry.id)
                  .Add("number", end.number),
              worker)
          .Add("how", ToString(end.kind))
          .Add("known", task != nullptr));
  if (task == nullptr) {
    HoldUnknownEnd(worker, end);
  } else {
    ApplyEnd(worker, *task, end);
  }
}

void SliceScheduler::ApplyEnd(Worker& worker, Task& task, const EndedRun& end) {
  Job* job = task.job;
  LogLateStartSeen(worker, task, end.run);
  ForgetLateStart(worker, task, end.run);
  if (const auto until = worker.LateStartOf(task);
      until && end.kind == EndKind::kDone) {
    worker.unsafe_ends.push_back({.number = end.number, .until = *until});
  }
  const bool current = task.worker == worker.id && task.run == end.run;
  if (task.run == end.run) {
    task.start_copies = 0;
  }
  const bool counted =
      std::ranges::find(task.failures, end.run) != task.failures.end();
  if (!current && task.worker.valid() && end.kind != EndKind::kDone) {
    // This is the end of an earlier run; the current run continues.
    if (end.kind == EndKind::kFailed && !counted) {
      CountFailure(task, end.run);
    }
    return;
  }
  // A long-running task may fail at any time. Only a failure soon after its
  // start counts against the worker.
  const bool late_failure =
      job->StepOf(task).long_running && now_ > task.started + kEarlyFailure;
  if (end.kind == EndKind::kDone ||
      (end.kind == EndKind::kFailed && !late_failure)) {
    UpdateQuarantine(worker, end.kind, end.task.job);
  }
  if (end.kind == EndKind::kFailed) {
    task.last_failed_on = worker.id;
  }
  switch (end.kind) {
    case EndKind::kDone:
      if (job->StepOf(task).gang) {
        // The successful end of one member counts for the whole gang.
        for (Task& member : job->TasksOf(job->groups[task.group])) {
          EndAsDone(worker, member, end);
        }
      } else {
        EndAsDone(worker, task, end);
      }
      Unblock(*job);
      UpdatePhase(*job);
      break;
    case EndKind::kFailed:
      if (!counted) {
        Dispatch(task, "ended_failed", &end);
      }
      break;
    default:
      Dispatch(task, "ended_early", &end);
  }
  placement_due_ = true;
}

void SliceScheduler::UpdateQuarantine(Worker& worker,
                                      EndKind kind,
                                      std::string_view job) {
  if (kind == EndKind::kDone) {
    worker.failing_jobs.clear();
    worker.quarantines = 0;
    return;
  }
  if (std::ranges::find(worker.failing_jobs, job) !=
      worker.failing_jobs.end()) {
    return;
  }
  worker.failing_jobs.emplace_back(job);
  if (worker.failing_jobs.size() < kFailuresToQuarantine) {
    return;
  }
  const core::Duration pause =
      kFirstQuarantine *
      (1U << std::min(worker.quarantines, kMaxQuarantineDoublings));
  worker.quarantined_until = now_ + pause;
  ++worker.quarantines;
  // After the pause, a failure of one more job renews the quarantine.
  worker.failing_jobs.pop_back();
  options_.log(core::LogLine("worker_quarantined", core::LogLevel::kWarning)
                   .Add("worker", worker.entry.id)
                   .Add("pause_ms", core::ToMillis(pause)));
}

}  // namespace hickoryusher::jobs
