#ifndef JOBS_SLICE_SCHEDULER_TYPES_H_
#define JOBS_SLICE_SCHEDULER_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "jobs/job_table.h"
#include "jobs/progress.h"
#include "jobs/rows.h"
#include "jobs/slice_load.h"
#include "jobs/transfer_policy.h"
#include "jobs/types.h"
#include "jobs/worker_pool.h"

namespace hickoryusher::jobs {

/// Types of SliceScheduler's own state.
struct SliceSchedulerTypes {
  struct TaskCall {
    std::string job;
    std::uint32_t number = 0;
    RunNumber run = 0;
    core::WorkerId worker;
    Generation generation = 0;
    /// The least that the worker's clock showed when the order was sent.
    std::int64_t clock_ms = 0;
    bool starts = false;  ///< The run, instead of stopping it.
  };
  struct RenewalCall {
    core::WorkerId worker;
    Generation generation = 0;
    core::TimePoint sent;
    std::uint64_t acknowledged = 0;
  };
  struct PaceCall {
    TaskCall run;
  };
  using PendingCall = std::variant<TaskCall, RenewalCall, PaceCall>;

  /// Why a task is not placed on a worker.
  enum class Obstacle {
    kNone,
    kEvacuated,     ///< The failure domain is evacuated.
    kNotUsable,     ///< Silent, unlisted, leaving or quarantined.
    kOutlivesTerm,  ///< Its lease might last for longer than the term.
    kOtherService,
    kNoLabel,
    kSpread,  ///< Has the maximum number of tasks of the step.
    kNoRoom,
    kNominatedForOther,  ///< Capacity is held for a long-running task.
    kNoUnusedCpu,
    kOverTarget,  ///< A serving task there misses its latency target.
    kDisturbs,    ///< Would bring a serving task there near its target.
    /// Another worker may still carry out an earlier start of the task.
    kLateStartElsewhere,
  };

  /// The move of a long-running task to another worker.
  struct Move {
    Task* task = nullptr;
    Worker* to = nullptr;
  };

  /// What decided a pace, for the log.
  struct PaceInputs {
    double headroom = 0;  ///< Smallest headroom of a serving task there.
    double raise = 0;     ///< Largest raise by the task at full pace.
  };

  /// Workers that long-running tasks may move to, ordered by the CPU that is
  /// not reserved by long-running tasks.
  using RoomIndex = std::vector<Worker*>;

  /// The ends of a worker's life up to a number.
  struct EndsOfWorker {
    core::WorkerId worker;
    Generation life = 0;
    std::uint64_t last = 0;
  };

  /// A transaction that waits for the store's answer.
  struct Commit {
    CommitRows rows;
    std::vector<std::string> jobs;
    std::vector<EndsOfWorker> ends;
    /// Workers in the roster, if it is written too.
    std::optional<std::vector<core::WorkerId>> roster;
    std::vector<core::WorkerId> opened;  ///< Of these, those without a time.
    bool hand_over = false;              ///< Contains the rows of HandOver.
    std::vector<std::string> stray_cancellations;
  };

  /// Tasks of one job, by number, and the slice that has room for them.
  struct TransferPlan {
    std::size_t target = 0;
    std::vector<std::uint32_t> tasks;
    SliceLoad left;  ///< The target's load without the room of these tasks.
  };

  struct StoredProgress {
    Progress progress;
    RowVersion version = 0;
  };

  /// A job that is left in the store until there is memory for it.
  struct ParkedJob {
    std::string queue;
    RowVersion version = 0;  ///< Of its row.
    std::size_t bytes = 0;   ///< That it needs, with one occurrence.
    /// Up to when the job table was known before the row was read.
    core::TimePoint complete_before;
  };

  struct ParkedRead {
    CallId call;
    std::string job;
  };

  /// Utilisation of a job's tasks without best-effort work beside them.
  struct Baseline {
    double value = 0;
    double slope = 0;  ///< In 1/s.
    double peak = 0;   ///< Recent maximum of `value`.
    core::TimePoint updated;
  };

  /// The transfer of tasks to another slice: of a whole job, or of a part.
  struct Transfer {
    std::string job;
    TransferPlan plan;
    std::string new_id;  ///< In the target slice.
    RowVersion job_version = 0;
    bool announced = false;  ///< The target slice holds room for them.
    core::TimePoint announced_at;
    std::optional<CallId> call;
    core::TimePoint not_before;
  };

  /// The transfer of whole jobs of which nothing runs.
  struct WaitingTransfer {
    std::vector<std::string> jobs;
    std::size_t target = 0;
    TransferReason reason = TransferReason::kEvacuated;
    std::optional<CallId> call;
    core::TimePoint not_before;
    bool unanswered = false;  ///< A copy of the write may still take effect.
  };

  /// Capacity that is held on a worker for a waiting long-running task.
  struct Nomination {
    const Task* task = nullptr;
    core::Resources need;
    core::TimePoint since;
    core::TimePoint until;
  };
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_SLICE_SCHEDULER_TYPES_H_
