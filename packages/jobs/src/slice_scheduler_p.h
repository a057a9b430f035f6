#ifndef JOBS_SRC_SLICE_SCHEDULER_P_H_
#define JOBS_SRC_SLICE_SCHEDULER_P_H_

#include "jobs/slice_scheduler.h"

namespace hickoryusher::jobs {

/// How often leases, retries and due times are checked. Leases are valid for
/// seconds, and occurrences may start 250 ms late at no loss.
inline constexpr core::Duration kTick = std::chrono::milliseconds(100);

/// Best-effort tasks wait for a worker whose unused CPU is at least this share
/// of what they request.
inline constexpr double kMinUnusedShare = 0.8;

/// How long a worker stays nominated for a waiting long-running task after the
/// task was last evaluated.
inline constexpr core::Duration kNominationTime =
    std::chrono::milliseconds(2000);

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
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_SRC_SLICE_SCHEDULER_P_H_
