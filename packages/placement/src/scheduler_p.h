#ifndef PLACEMENT_SCHEDULER_P_H_
#define PLACEMENT_SCHEDULER_P_H_

#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "chart/interpreter.h"
#include "placement/failure_ledger.h"
#include "placement/scheduler.h"
#include "placement/worker_table.h"
#include "write_groups_p.h"

namespace hickoryusher::placement {

struct Task {
  core::TaskId id;
  std::uint32_t job = 0;  ///< Index into the job table.
  chart::StateId state;
  Outcome outcome = Outcome::kDone;
  bool cancel_wanted = false;
  bool worker_lost = false;   ///< While the claim was being written.
  bool restored = false;      ///< Claimed by an earlier owner.
  bool claim_written = true;  ///< Of `attempt`; attempt 0 needs no claim.
  std::uint32_t attempt = 0;
  std::uint32_t checkpoint_attempt = 0;
  core::WorkerId worker;
  core::Resources charge;
  core::TimePoint started;
  std::uint64_t version = 0;  ///< Of the row.
  /// An ended attempt whose end is not on record yet.
  core::WorkerId ended_worker;
  std::uint32_t ended_attempt = 0;
};

/// Position of a job with waiting tasks: due time, deadline, job index.
using QueueKey = std::tuple<core::TimePoint, core::TimePoint, std::uint32_t>;

struct Job {
  JobSpec spec;
  std::vector<TaskSlot> pending;
  std::uint32_t open = 0;  ///< Tasks without a written result.
  bool checked = false;    ///< Against the fleet, see ImpossibleReason.
  bool started = false;    ///< A gang that has started together once.
  bool stopped = false;    ///< Failed everywhere, or can never run.
  QueueKey key;
};

struct Scheduler::Impl {
  /// One dispatch to a task.
  struct Context {
    Impl& scheduler;
    TaskSlot slot;
    core::TimePoint now;
    std::vector<Command>& out;

    Task& task() const { return scheduler.tasks[slot]; }
    Job& job() const { return scheduler.jobs[task().job]; }
  };
  using Interpreter = chart::Interpreter<Context>;

  Impl(Interpreter interpreter_in, SchedulerConfig config_in);

  static chart::Bindings<Context> Bindings();

  // Task and job tables (scheduler.cc).
  TaskSlot AddTask(core::TaskId id, std::uint32_t job);
  Task* Find(core::TaskId id);
  void Dispatch(TaskSlot slot,
                chart::EventId event,
                core::TimePoint now,
                std::vector<Command>& out);
  void FreeTask(TaskSlot slot);
  void Requeue(TaskSlot slot, core::TimePoint now);
  void Submit(const JobSpec& spec, core::TimePoint now);
  void Cancel(core::JobId id, core::TimePoint now, std::vector<Command>& out);
  void Restore(const RestoreTask& event,
               core::TimePoint now,
               std::vector<Command>& out);
  void StopJob(std::uint32_t job,
               std::string_view reason,
               core::TimePoint now,
               std::vector<Command>& out);
  void Apply(std::span<const WriteGroups::Resolved> resolved,
             core::TimePoint now,
             std::vector<Command>& out);

  // Actions of the chart (task_chart.cc).
  void QueueClaim(Context& context);
  void QueueResult(Context& context, Outcome outcome);
  void Release(TaskSlot slot);
  void SendStart(const Task& task, std::vector<Command>& out) const;
  void SendAck(Task& task, std::vector<Command>& out) const;

  // Placement rounds (scheduler_place.cc).
  void PlaceRound(core::TimePoint now, std::vector<Command>& out);
  bool PlaceOne(Job& job, core::TimePoint now, std::vector<Command>& out);
  bool PlaceGang(Job& job, core::TimePoint now, std::vector<Command>& out);
  Worker* Reserve(const Job& job, TaskSlot slot, core::TimePoint now);
  bool WithinQuota(const JobSpec& job, const core::Resources& size) const;
  /// @param evicted_cpu use of batch work that is not counted.
  bool WithinFloors(const JobSpec& job,
                    const core::Resources& size,
                    std::int64_t evicted_cpu) const;
  bool PermittedAfterEviction(const JobSpec& job,
                              const core::Resources& size) const;
  bool Permitted(const JobSpec& job, const core::Resources& size) const;
  std::string_view ImpossibleReason(const JobSpec& job,
                                    core::TimePoint now) const;
  void MakeRoom(const JobSpec& job,
                core::TimePoint now,
                std::vector<Command>& out);

  // Reports (scheduler_report.cc).
  void OnReport(const WorkerReport& report,
                core::TimePoint now,
                std::vector<Command>& out);
  void OnAttempt(Worker& worker,
                 const AttemptReport& attempt,
                 core::TimePoint now,
                 std::vector<Command>& out);
  void OnRunning(Worker& worker,
                 TaskSlot slot,
                 core::TimePoint now,
                 std::vector<Command>& out);
  void OnAbsent(Worker& worker,
                const WorkerReport& report,
                core::TimePoint now,
                std::vector<Command>& out);
  void OnFailure(Worker& worker,
                 std::uint32_t job,
                 core::TimePoint now,
                 std::vector<Command>& out);
  void Measure(Worker& worker,
               const WorkerReport& report,
               core::TimePoint now,
               std::vector<Command>& out);
  bool EvictCheapest(Worker& worker,
                     KindId victim,
                     core::TimePoint now,
                     std::vector<Command>& out);
  bool IsEvictable(const Task& task, core::TimePoint now) const;
  void LoseTasks(core::WorkerId worker,
                 core::TimePoint now,
                 std::vector<Command>& out);

  void ChargeUsage(const Job& job, const core::Resources& size, int sign);

  Interpreter interpreter;
  SchedulerConfig config;
  WorkerTable workers;
  SizeEstimator estimator;
  SlowdownTable slowdowns;
  FailureLedger failures;
  WriteGroups groups;
  std::vector<Task> tasks;
  std::vector<TaskSlot> free_tasks;
  std::unordered_map<core::TaskId, TaskSlot> task_index;
  std::vector<Job> jobs;
  std::vector<std::uint32_t> free_jobs;
  std::unordered_map<core::JobId, std::uint32_t> job_index;
  std::set<QueueKey> queue;
  std::unordered_map<core::TeamId, core::Resources> quotas;
  std::unordered_map<core::TeamId, core::Resources> team_use;
  std::array<core::Resources, core::kWorkClasses.size()> class_use{};
  bool hold = false;
  bool fleet_known = false;
  std::uint32_t unit = 0;  ///< Group unit of the gang being placed, or 0.
  std::uint32_t next_unit = 1;
  std::uint64_t next_claim = 1;
  SchedulerCounts totals;

  /// Events and states of the chart that the code names.
  struct Names {
    explicit Names(const chart::Chart& chart);
    chart::EventId place, claim_written, claim_refused, started, checkpoint,
        ended_done, ended_failed, ended_stopped, ended_checkpointed,
        worker_lost, cancel, result_written, restore;
    chart::StateId claimed, starting, running, checkpointing;
  } names;
};

}  // namespace hickoryusher::placement

#endif  // PLACEMENT_SCHEDULER_P_H_
