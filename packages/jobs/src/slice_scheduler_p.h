#ifndef JOBS_SRC_SLICE_SCHEDULER_P_H_
#define JOBS_SRC_SLICE_SCHEDULER_P_H_

#include "jobs/slice_scheduler.h"

namespace hickoryusher::jobs {

/// How often leases, retries and due times are looked at. Leases last seconds,
/// and occurrences may start 250 ms late at no loss.
inline constexpr core::Duration kTick = std::chrono::milliseconds(100);

/// Tasks that use spare processors wait for a worker with this share of their
/// wish unused.
inline constexpr double kMinUnusedShare = 0.8;

/// A worker is kept for a lasting task without a place this long, from the last
/// time that the task was looked at.
inline constexpr core::Duration kNominationTime =
    std::chrono::milliseconds(2000);

/// What the actions of the chart `task_run` work on.
struct SliceScheduler::TaskContext {
  SliceScheduler& scheduler;
  Task& task;
  const EndedRun* end;  ///< Of the event, if it reports one.

  Job& job() const { return *task.job; }
};

/// What the actions of the chart `worker_contact` work on.
struct SliceScheduler::ContactContext {
  SliceScheduler& scheduler;
  Worker& worker;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_SRC_SLICE_SCHEDULER_P_H_
