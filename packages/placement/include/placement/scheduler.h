#ifndef PLACEMENT_SCHEDULER_H_
#define PLACEMENT_SCHEDULER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "chart/chart.h"
#include "placement/interference.h"
#include "placement/policy.h"
#include "placement/size_estimator.h"
#include "placement/types.h"

namespace hickoryusher::placement {

/// Matches an answer of the store to its request.
using GroupToken = core::Handle<struct GroupTag, std::uint64_t>;

/// Events of Scheduler.
struct Tick {};
struct SubmitJob {
  JobSpec job;
};
struct CancelJob {
  core::JobId job;
};
/// A claim found in the table after a takeover; sent after SubmitJob of its
/// job and before any report of its worker.
struct RestoreTask {
  core::JobId job;
  TaskRow row;
};
/// Every worker of the slice by the VM list. Until the first one, no job is
/// refused as impossible: after a takeover workers report one by one.
struct SetFleet {
  std::vector<WorkerSpec> workers;
};
/// The worker reports and takes new work.
struct WorkerUp {
  WorkerSpec worker;
};
/// The worker takes no new work for now.
struct WorkerPaused {
  core::WorkerId worker;
};
/// The worker no longer runs tasks.
struct WorkerTasksLost {
  core::WorkerId worker;
};
/// A report that WorkerLeases has accepted.
struct WorkerReport {
  core::WorkerId worker;
  std::vector<AttemptReport> attempts;
};
struct GroupWritten {
  GroupToken token;
};
/// A condition did not hold; nothing was written.
struct GroupConflicted {
  GroupToken token;
};
/// The write may have taken effect, or a read returned nothing.
struct GroupAnswerLost {
  GroupToken token;
};
/// Rows as read back; version 0 for a row that does not exist.
struct GroupRead {
  GroupToken token;
  std::vector<TaskRow> rows;
};
/// In hold mode nothing is claimed.
struct SetHold {
  bool hold = false;
};
struct SetQuota {
  core::TeamId team;
  core::Resources limit;
};
using Event = std::variant<Tick,
                           SubmitJob,
                           CancelJob,
                           RestoreTask,
                           SetFleet,
                           WorkerUp,
                           WorkerPaused,
                           WorkerTasksLost,
                           WorkerReport,
                           GroupWritten,
                           GroupConflicted,
                           GroupAnswerLost,
                           GroupRead,
                           SetHold,
                           SetQuota>;

/// Commands of Scheduler.

/// Writes all rows, or none unless the slice still has @p epoch and every row
/// its expected version.
struct WriteGroup {
  GroupToken token;
  core::Epoch epoch;
  std::vector<TaskRow> rows;
};
struct ReadGroup {
  GroupToken token;
  std::vector<core::TaskId> tasks;
};
/// One attempt on one worker.
struct TaskAddress {
  core::WorkerId worker;
  core::TaskId task;
  std::uint32_t attempt = 0;
};
struct StartTask {
  core::WorkerId worker;
  core::TaskId task;
  std::uint32_t attempt = 0;
  std::uint32_t checkpoint_attempt = 0;
  core::Resources size;  ///< The worker checks it against its own capacity.
};
struct StopTask : TaskAddress {};
struct CheckpointTask : TaskAddress {};
/// The end of the attempt is on record; the worker may forget it.
struct AckEnded : TaskAddress {};
/// Limits the batch work of a worker: 0 not at all, kMaxThrottle most.
struct ThrottleWorker {
  core::WorkerId worker;
  int level = 0;
};
struct TaskFinished {
  core::TaskId task;
  core::JobId job;
  Outcome outcome = Outcome::kDone;
};
/// The job can never run, or is stopped because it fails everywhere.
struct JobRefused {
  core::JobId job;
  std::string_view reason;  ///< A constant.
};
struct WorkerQuarantined {
  core::WorkerId worker;
  core::Duration backoff{};
};
/// A placement decision, for its log line.
struct Placed {
  core::TaskId task;
  std::uint32_t attempt = 0;
  core::WorkerId worker;
  core::Resources charge;
};
using Command = std::variant<WriteGroup,
                             ReadGroup,
                             StartTask,
                             StopTask,
                             CheckpointTask,
                             AckEnded,
                             ThrottleWorker,
                             TaskFinished,
                             JobRefused,
                             WorkerQuarantined,
                             Placed>;

struct SchedulerConfig {
  core::Epoch epoch;  ///< Of the slice; written with every row.
  Policy policy = LearnedPlacement{};
  EstimatorConfig estimator;
  GuardConfig guard;
  /// Share of all processors that each class is guaranteed, in percent.
  std::array<int, core::kWorkClasses.size()> floor_percent{};
  /// Placements per Tick, so that one Tick stays short.
  int placements_per_tick = 1000;
};

struct SchedulerCounts {
  std::size_t tasks = 0;
  std::size_t workers = 0;
  std::uint64_t starts = 0;
  std::uint64_t writes = 0;
  std::uint64_t evictions = 0;
};

/// Places the tasks of one slice on its workers.
///
/// @remarks Not thread-safe; Tick every 100 ms. One scheduler serves one term
/// of ownership: after a takeover a new one is filled by SubmitJob and
/// RestoreTask. A worker process that restarts without memory of its attempts
/// must come back under a new WorkerId.
class Scheduler {
 public:
  /// @param chart `task`; must outlive the scheduler.
  /// @param problems receives names that the chart uses and the code lacks.
  static std::optional<Scheduler> Create(const chart::Chart& chart,
                                         SchedulerConfig config,
                                         std::vector<chart::Problem>& problems);

  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;
  ~Scheduler();

  /// Handles @p event and appends the resulting commands to @p out.
  void Handle(const Event& event,
              core::TimePoint now,
              std::vector<Command>& out);

  SchedulerCounts counts() const;

  /// @returns the chart state of the task, or `none`.
  std::string_view StateName(core::TaskId task) const;

 private:
  struct Impl;
  explicit Scheduler(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace hickoryusher::placement

#endif  // PLACEMENT_SCHEDULER_H_
