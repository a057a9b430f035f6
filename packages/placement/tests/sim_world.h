#ifndef PLACEMENT_TESTS_SIM_WORLD_H_
#define PLACEMENT_TESTS_SIM_WORLD_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "chart/chart.h"
#include "lease/slice_owner.h"
#include "lease/worker_guard.h"
#include "lease/worker_leases.h"
#include "placement/scheduler.h"
#include "sim_checker.h"
#include "sim_net.h"

namespace hickoryusher::placement::sim {

/// Faults put into the code around the decisions; the checker has to see each.
enum class Defect {
  kNone,
  kNoEpochCheck,       ///< Workers obey old owners.
  kNoLeaseEnd,         ///< Workers keep tasks after their lease.
  kShortLostWait,      ///< Owners wait too briefly for a lost worker.
  kShortTakeoverWait,  ///< A slice is taken over while its owner may act.
  kNoConditions,       ///< The table writes whatever the versions are.
  kLostIsWritten,      ///< A lost answer to a claim counts as written.
  kLostIsRefused,      ///< A lost answer to a claim counts as refused.
  kNoMargin,           ///< Estimates without safety margin.
  kCutCheckpoint,      ///< Checkpoints are not verified.
  kLateStart,          ///< Workers start however old the command is.
};

struct TrueJob {
  JobSpec spec;
  core::SliceId slice;
  TimePoint submit;
  std::optional<TimePoint> cancel;
  core::Resources use;  ///< Of one task at its start; grows by a tenth.
  double seconds = 10;  ///< Of work; services and watchers never end.
  bool fails = false;
};

/// Hand-written table service: conditional writes, all rows or none.
struct Table {
  Node node{.address = 0};
  bool down = false;
  std::map<core::SliceId, lease::SliceRow> slices;
  std::map<core::TaskId, TaskRow> tasks;
};

struct RunningTask {
  StartTask start;
  const TrueJob* job = nullptr;
  Phase phase = Phase::kRunning;
  double done_seconds = 0;
  bool checkpointing = false;
};

struct WorkerNode {
  Node node;
  core::WorkerId id;
  core::SliceId slice;
  WorkerSpec spec;
  bool fails = false;
  lease::WorkerGuard guard;
  std::map<TaskAttempt, RunningTask> runs;
  bool listed = true;  ///< On the VM list.
};

struct Term {
  core::Epoch epoch;
  std::optional<Scheduler> scheduler;
  std::set<core::JobId> submitted;
  std::set<core::JobId> cancelled;
  TimePoint next_load;
};

struct EntryNode {
  Node node;
  core::EntryId id;
  std::optional<lease::SliceOwner> owner;
  std::optional<lease::WorkerLeases> leases;
  std::map<core::SliceId, Term> terms;
};

struct WorldOptions {
  std::uint64_t seed = 1;
  Defect defect = Defect::kNone;
  bool faults = true;
};

/// Two slices, three entry processes, twelve workers and a table in one
/// process, with a schedule of faults drawn from the seed.
class World {
 public:
  explicit World(WorldOptions options);

  /// Runs 240 s with faults and 160 s without, then checks that all is done.
  void Run();

  const Checker& checker() const { return checker_; }
  int takeovers() const { return takeovers_; }
  int evictions() const { return evictions_; }

 private:
  // sim_world.cc
  void MakeJobs();
  void Disturb();
  void CutLink(Duration length);
  void FreezeWorker(WorkerNode& worker, Duration length);
  void KillWorker(WorkerNode& worker);
  void CheckEnd();
  core::JobId AddJob(TrueJob job);

  // sim_entry.cc
  void StartEntry(EntryNode& entry);
  void TickEntry(EntryNode& entry);
  void HandleSlice(EntryNode& entry, const lease::SliceEvent& event);
  void HandleTask(EntryNode& entry, core::SliceId slice, const Event& event);
  void Execute(EntryNode& entry, const std::vector<lease::SliceCommand>& out);
  void Execute(EntryNode& entry, const std::vector<lease::WorkerCommand>& out);
  void Execute(EntryNode& entry,
               core::SliceId slice,
               const std::vector<Command>& out);
  void Begin(EntryNode& entry, const lease::SliceBegun& begun);
  void LoadTerm(EntryNode& entry, core::SliceId slice);
  void FillTerm(EntryNode& entry,
                core::SliceId slice,
                core::Epoch epoch,
                const std::map<core::TaskId, TaskRow>& rows);
  void SubmitDue(EntryNode& entry, core::SliceId slice, Term& term);
  void WriteSlices(EntryNode& entry, const lease::WriteRows& write);
  void WriteTasks(EntryNode& entry,
                  core::SliceId slice,
                  const WriteGroup& write);
  void ReadTasks(EntryNode& entry, core::SliceId slice, const ReadGroup& read);
  void OnReport(EntryNode& entry,
                core::SliceId slice,
                const WorkerReport& report,
                core::Epoch epoch,
                TimePoint worker_time);
  template <typename Command>
  void SendToWorker(EntryNode& entry,
                    core::SliceId slice,
                    const Command& command);

  // sim_worker.cc
  void StartWorker(WorkerNode& worker);
  void TickWorker(WorkerNode& worker);
  void OnHeartbeat(WorkerNode& worker,
                   EntryNode& from,
                   const lease::Heartbeat& heartbeat);
  void OnCommand(WorkerNode& worker,
                 core::Epoch epoch,
                 std::optional<TimePoint> echo,
                 const StartTask& start);
  void OnCommand(WorkerNode& worker,
                 core::Epoch epoch,
                 std::optional<TimePoint> echo,
                 const StopTask& stop);
  void OnCommand(WorkerNode& worker,
                 core::Epoch epoch,
                 std::optional<TimePoint> echo,
                 const CheckpointTask& checkpoint);
  void OnCommand(WorkerNode& worker,
                 core::Epoch epoch,
                 std::optional<TimePoint> echo,
                 const AckEnded& ack);
  void EndRun(WorkerNode& worker, TaskAttempt attempt, Phase phase);
  core::Resources Use(const RunningTask& run) const;
  void CheckUse(const WorkerNode& worker);
  core::Epoch ObeyedEpoch(const WorkerNode& worker, core::Epoch epoch) const;
  WorkerNode* FindWorker(core::WorkerId id);
  const TrueJob* JobOf(core::TaskId task) const;

  WorldOptions options_;
  Net net_;
  Checker checker_;
  chart::Chart slice_chart_;
  chart::Chart worker_chart_;
  chart::Chart task_chart_;
  Table table_;
  std::deque<EntryNode> entries_;
  std::deque<WorkerNode> workers_;
  std::vector<TrueJob> jobs_;
  std::set<TaskAttempt> whole_checkpoints_;
  std::uint64_t next_task_ = 1;
  bool calm_ = false;
  int takeovers_ = 0;
  int evictions_ = 0;
};

}  // namespace hickoryusher::placement::sim

#endif  // PLACEMENT_TESTS_SIM_WORLD_H_
