#ifndef JOBS_SRC_SLICE_SCHEDULER_P_H_
#define JOBS_SRC_SLICE_SCHEDULER_P_H_

#include <algorithm>

#include "jobs/slice_scheduler.h"

namespace hickoryusher::jobs {

/// How often leases, retries and due times are checked. Leases are valid for
/// seconds, and occurrences may start 250 ms late at no loss.
inline constexpr core::Duration kTick = std::chrono::milliseconds(100);

/// Pause before rows are read again after a call that failed.
inline constexpr core::Duration kReadRetryDelay =
    std::chrono::milliseconds(200);

/// Best-effort tasks wait for a worker whose unused CPU is at least this share
/// of what they request.
inline constexpr double kMinUnusedShare = 0.8;

/// How long a worker stays nominated for a waiting long-running task after the
/// task was last evaluated.
inline constexpr core::Duration kNominationTime =
    std::chrono::milliseconds(2000);

/// How long a slice holds room for tasks that another slice has announced. They
/// arrive once they have stopped (within 200 ms) and one write is done.
inline constexpr core::Duration kIncomingTimeout =
    std::chrono::milliseconds(1500);

/// Prefix of the keys of the rows with the hand-over to the next owner. Sorts
/// before all job ids.
inline constexpr std::string_view kHandOverKey = "!handover";

/// @returns true if @p key, of a row of the progress table, is a key of
/// HandOverRow.
bool IsHandOverKey(std::string_view key);

/// Suffix of the keys of PlacesRow.
inline constexpr std::string_view kPlacesSuffix = "!places";

/// @returns true if @p key, of a row of the progress table, is a key of
/// PlacesRow.
bool IsPlacesKey(std::string_view key);

inline bool IsServing(const Task& task) {
  return task.job->StepOf(task).latency_target > core::Duration();
}

inline bool IsBestEffort(const Task& task) {
  return task.job->StepOf(task).best_effort;
}

inline double ShareOf(double cpu_millis, const Worker& worker) {
  return cpu_millis / static_cast<double>(std::max<std::int64_t>(
                          worker.entry.capacity.cpu_millis, 1));
}

inline ImageId ImageOf(const Task& task) {
  return task.job->groups[task.group].image;
}

inline double CpuDemandMillis(const Task& task) {
  return static_cast<double>(task.job->StepOf(task).need.cpu_millis);
}

// Returns the share of the worker that a best-effort task uses at its pace.
inline double PacedShare(const Task& task, const Worker& worker) {
  return ShareOf(CpuDemandMillis(task) * task.pace_percent / kFullPacePercent,
                 worker);
}

/// Context of the actions of the chart `task_run`.
struct SliceScheduler::TaskContext {
  SliceScheduler& scheduler;
  Task& task;
  const EndedRun* end;  ///< Of the event, if it reports one.

  Job& job() const { return *task.job; }
};

/// Context of the actions of the chart `worker_contact`.
struct SliceScheduler::ContactContext {
  SliceScheduler& scheduler;
  Worker& worker;
  std::string_view event;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_SRC_SLICE_SCHEDULER_P_H_
