#ifndef JOBS_SLICE_SCHEDULER_H_
#define JOBS_SLICE_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "chart/chart.h"
#include "chart/interpreter.h"
#include "core/log_limiter.h"
#include "core/log_line.h"
#include "core/name_table.h"
#include "jobs/hand_over.h"
#include "jobs/interference_model.h"
#include "jobs/job_rows.h"
#include "jobs/job_table.h"
#include "jobs/operator_state.h"
#include "jobs/pace_plan.h"
#include "jobs/queues.h"
#include "jobs/roster.h"
#include "jobs/rows.h"
#include "jobs/slice_board.h"
#include "jobs/slice_load.h"
#include "jobs/slice_scheduler_types.h"
#include "jobs/store_clock.h"
#include "jobs/table_follower.h"
#include "jobs/transfer_policy.h"
#include "jobs/worker_calls.h"
#include "jobs/worker_pool.h"

namespace hickoryusher::jobs {

/// Limits that the platform sets.
struct FleetLimits {
  core::Duration longest_lease{};
  core::Duration keep_final_jobs{};  ///< How long their state can be queried.
};

/// The charts that a SliceScheduler interprets.
struct SliceCharts {
  const chart::Chart& task_run;
  const chart::Chart& worker_contact;
};

/// Runs the jobs of one slice on the slice's workers, as its owner.
///
/// @remarks What runs is recorded by the workers, not in the store: the first
/// answer of a worker's life to an order with a token that this life was given
/// lists every run that can still be on it. Starting a task therefore needs no
/// write. The end of a run is acknowledged to the worker once it is stored.
class SliceScheduler : private SliceSchedulerTypes {
 public:
  struct Options {
    SliceInfo slice;
    core::SliceId id;  ///< Index of the slice in all_slices.
    std::vector<SliceInfo> all_slices;
    Epoch epoch = 0;
    RowVersion fence_version = 0;
    bool predecessor_ended = false;        ///< As in SliceGained.
    core::TimePoint predecessor_term_end;  ///< As in SliceGained.
    core::TimePoint earlier_term_end;      ///< As in SliceGained.
    Epoch places_since = 0;                ///< As in SliceGained.
    std::string incarnation;               ///< Of this process.
    std::string predecessor;               ///< As in SliceGained.
    std::string predecessor_incarnation;   ///< As in SliceGained.
    FleetLimits limits;
    /// Memory for the slice's jobs, of what the process may use.
    std::size_t job_bytes = std::numeric_limits<std::int32_t>::max();
    /// Reads a job's document; nothing if it cannot be read.
    std::function<std::optional<JobSpec>(const StoredJob&)> read_document;
    std::function<void(const core::LogLine&)> log;
  };

  /// @param charts must outlive the scheduler.
  static std::unique_ptr<SliceScheduler> Create(
      Options options,
      SliceCharts charts,
      CallIds& ids,
      core::TimePoint now,
      std::vector<chart::Problem>& problems);

  SliceScheduler(const SliceScheduler&) = delete;
  SliceScheduler& operator=(const SliceScheduler&) = delete;
  ~SliceScheduler();

  void SetConfig(QueueConfigPtr config, core::TimePoint now);

  /// @param domains on whose workers no task may start from now on.
  void SetEvacuated(const FailureDomains& domains, core::TimePoint now);

  /// @param end when the ownership ends if it is not renewed; no lease is
  /// granted beyond it.
  void SetTermEnd(core::TimePoint end);

  /// @returns true while tasks wait for a renewal of the term, which shows that
  /// no successor knows more about their last runs.
  bool needs_renewed_term() const;

  void SetStoreClock(const StoreClock& clock) { store_clock_ = clock; }

  /// Apply changes in the registry to workers of the slice's failure domain.
  void UpdateWorker(const WorkerEntry& entry, core::TimePoint now);
  void RemoveWorker(std::string_view id, core::TimePoint now);

  void Handle(const StoreEvent& event, core::TimePoint now);
  void Handle(const WorkerEvent& event, core::TimePoint now);

  /// Processes due timers and pending work. @param unix_ms Unix time at @p now.
  void Run(core::TimePoint now, std::int64_t unix_ms);

  std::vector<StoreCommand> PopStoreCommands();
  std::vector<WorkerCommand> PopWorkerCommands();
  core::TimePoint next_timer() const { return next_timer_; }

  /// @param loads of all slices, by index.
  void SetLoads(std::vector<std::optional<SliceLoad>> loads);

  /// @returns the load that is published to callers and other processes;
  /// nothing before the slice's jobs have been read.
  std::optional<SliceLoad> load();

  /// @returns about how much memory the slice's jobs take, with those that have
  /// ended and can still be queried.
  std::size_t job_bytes() const;

  /// @returns how often a worker was evaluated for a task. These evaluations
  /// take most of the time of placement.
  std::uint64_t candidates_evaluated() const { return candidates_evaluated_; }

  /// Ends scheduling for good, because the slice is to be released, and stores
  /// for the successor where tasks may run.
  void HandOver(core::TimePoint now);

  /// @returns true once the slice may be released after HandOver.
  bool handed_over() const;

  /// Logs why the slice was lost, and what of this owner may still reach
  /// workers. @param cause as in SliceLost.
  void LogLoss(std::string_view cause, core::TimePoint now);

  /// @returns true once a worker has refused an order with this owner's epoch.
  bool fenced() const { return fenced_; }
  core::SliceId slice() const { return options_.id; }

 private:
  struct TaskContext;
  struct ContactContext;
  SliceScheduler(Options options, SliceCharts charts, CallIds& ids);
  static chart::Bindings<TaskContext> MakeTaskBindings();
  static chart::Bindings<ContactContext> MakeContactBindings();

  // Jobs and their rows.
  void HandleRow(const Row& row);
  void HandleJobRow(const Row& row);
  void AddJob(const Row& row, JobSpec spec, const StoredJob& stored);
  void UpdateOccurrences(Job& job);
  void AddOccurrence(Job& job);
  void AddLaterOccurrence(Job& job);
  void AddDueOccurrences(Job& job);
  void RestoreOccurrences(Job& job,
                          const StoredJob& stored,
                          const Progress& progress);
  void DropTasks(Job& job, const StoredJob& stored);
  bool HasMemoryFor(std::size_t bytes) const;
  bool IsParked(std::string_view job) const;
  void ParkJob(const Row& row, const StoredJob& stored, std::size_t bytes);
  void ReadParkedJob();
  void FinishParkedRead(const StoreEvent& event);
  void HandleCancellation(std::string_view id);
  std::string JobText(const Job& job, std::span<const std::uint32_t> tasks);
  void ApplyProgress(Job& job, const Progress& progress);
  bool IsReadable(const RowsRead& page) const;
  void HandleProgressPage(const RowsRead& page);
  void FinishRestore();
  void RefreshQueue(Job& job);
  void Unblock(Job& job);
  bool IsUnblocked(const Job& job, const Group& group) const;
  void Halt(Job& job, JobPhase phase);
  void UpdatePhase(Job& job);

  // Tasks.
  void Dispatch(Task& task, std::string_view event, const EndedRun* end = {});
  void SendStart(Task& task);
  void SendStop(Task& task);
  void MarkRunning(Task& task);
  void CountFailure(Task& task, RunNumber run);
  void DetachFromWorker(Task& task);
  static bool IsState(const Task& task, chart::StateId state);

  // Workers.
  Worker& AddWorker(const WorkerEntry& entry);
  void DispatchContact(Worker& worker, std::string_view event);
  void TurnAwayOrders(Worker& worker);
  bool IsCurrent(const TaskCall& call, const Task& task) const;
  void HandleOrderAnswer(const TaskCall& call, const OrderAnswered& answer);
  void HandlePaceAnswer(const TaskCall& run, const OrderAnswered& answer);
  void HandleStopAnswer(Task& task, const OrderAnswered& answer);
  void HandleRenewal(const RenewalCall& call, const LeaseAnswered& answer);
  FencingToken NextToken(const Worker& worker) const;
  static void BeginGeneration(Worker& worker);
  void EndLife(Worker& worker);
  void HandleReport(const RenewalCall& call, const WorkerReport& report);
  void HandleEnd(Worker& worker, const EndedRun& end);
  void ApplyEnd(Worker& worker, Task& task, const EndedRun& end);
  void EndAsDone(Worker& worker, Task& task, const EndedRun& end);
  static Worker::LeftRun LeftRunOf(const Task& task);
  void KeepLeftRun(Worker& worker, const Worker::LeftRun& left);
  void SettleLeftRun(Worker& worker,
                     const TaskAddress& task,
                     RunNumber run) const;
  void DropLeftRuns(Worker& worker,
                    const RenewalCall& call,
                    const WorkerReport& report);
  void ReleaseLeftRuns(Worker& worker, std::span<const Worker::LeftRun> over);
  static std::uint32_t CountOfStep(const Worker& worker,
                                   const Job& job,
                                   const Group& group);
  void HandleActive(Worker& worker,
                    const ActiveRun& run,
                    const RenewalCall& call,
                    const WorkerReport& report);
  void HandleActive(Worker& worker, Task& task, const ActiveRun& run);
  void AdoptRunOfOtherLife(const Worker& worker,
                           Task& task,
                           const ActiveRun& run,
                           const RenewalCall& call,
                           const WorkerReport& report);
  bool IsMissing(const Task& task,
                 const RenewalCall& call,
                 const WorkerReport& report) const;
  bool CompletesGang(const Task& task) const;
  void DropMissing(Worker& worker,
                   const RenewalCall& call,
                   const WorkerReport& report);
  void LoseRun(Worker& worker, Task& task, std::string_view cause);
  void ExpectLateStart(Worker& worker,
                       std::string_view job,
                       std::uint32_t task,
                       RunNumber run);
  static bool IsOnlyCopy(const Task& task, RunNumber run);
  void ForgetLateStart(Worker& worker, const Task& task, RunNumber run);
  void ExpectPendingStarts();
  void RestoreLateStarts(Worker& worker,
                         const RosterEntry& entry,
                         std::int64_t clock_ms) const;
  void RestoreLateStarts(Job& job) const;
  std::vector<RosterLateStart> LateStartsOf(const Worker& worker,
                                            std::size_t limit);
  void NoteStartAnswer(const TaskCall& call,
                       const OrderAnswered& answer,
                       const Task* task);
  bool WaitsForLateStart(const Task& task) const;
  bool RepeatsStart(const Task& task) const;
  void StopUnknown(Worker& worker, const ActiveRun& run);
  void UpdateQuarantine(Worker& worker, EndKind kind, std::string_view job);
  void RenewLeases();
  void RenewLease(Worker& worker);
  void LoseSeenRuns(Worker& worker);
  void RecordLease(Worker& worker, std::int64_t until_ms);
  core::TimePoint LeaseEnd(const Worker& worker) const;
  void HandleClock(Worker& worker, std::int64_t clock_ms);
  void HandleClock(const TaskCall& call, std::int64_t clock_ms);
  std::int64_t LeastClockOf(const Worker& worker) const;
  std::int64_t LeaseUntil(const Worker& worker) const;
  core::TimePoint PredecessorLeaseEnd(core::Duration longest) const;
  core::TimePoint PredecessorUsualLeaseEnd() const;
  bool MayNoteUsualLease(const Worker& worker) const;
  void AccrueLoad(Worker& worker) const;
  void LearnInterference(Worker& worker);
  void LearnFrom(Task& serving, std::span<const Neighbour> neighbours);
  bool IsOverTarget(const Task& serving) const;
  void UpdateOverTarget(Worker& worker) const;
  void AdjustPace(Worker& worker);
  void PaceBestEffort(Worker& worker);
  PaceAlarm AlarmOn(const Worker& worker) const;
  void SetPaceOf(Worker& worker,
                 Task& task,
                 std::uint32_t percent,
                 const PaceInputs& inputs);
  static bool ServesImage(const Worker& worker, ImageId image);
  int OtherServingImages(Worker& worker, ImageId image) const;
  void RefreshHeadrooms(Worker& worker) const;
  static std::vector<Neighbour> BestEffortLoad(const Worker& worker);
  double BaselineUtilisation(const Job& job) const;
  double PlannedUtilisation(const Job& job) const;
  double IdleTail(const StepSpec& step) const;
  double AllowedUtilisation(const StepSpec& step) const;
  double HeadroomFor(const Task& serving,
                     double utilisation,
                     std::span<const Neighbour> neighbours) const;
  double HeadroomBeside(const Task& serving, const Worker& worker) const;
  double MinHeadroomOn(Worker& worker,
                       ImageId image,
                       const StepSpec& added) const;
  double HeadroomShareOn(Worker& worker,
                         ImageId image,
                         const StepSpec& added) const;
  bool IsOwnerSince(core::TimePoint time) const;
  bool MayOutliveTerm(const Worker& worker) const;
  bool MayGrantLease(const Worker& worker) const;
  bool WritesSucceed() const;
  bool MayGetLateLease(const Worker& worker) const;
  bool MayRunPastTerm(const Worker& worker) const;
  bool Answers(const Worker& worker) const;
  bool IsUnconfirmed(const Worker& worker) const;
  bool AllConfirmed() const;
  bool IsUsable(const Worker& worker) const;
  static bool IsLeaving(const Worker& worker);
  bool HasLeft(const Worker& worker) const;
  bool NeedsRenewal(const Worker& worker) const;
  bool IsRosterOutdated(const Worker& worker) const;
  void ScheduleRosterWrite();

  // Placement.
  void Place();
  bool PlaceGroup(Job& job, Group& group);
  bool HasNominatedWorker(const Task& task) const;
  void UpdateIdleSince(Job& job, Group& group) const;
  Obstacle FindMismatch(const Worker& worker,
                        const Job& job,
                        const Group& group) const;
  bool IsFeasible(const Worker& worker,
                  const Job& job,
                  const Group& group) const;
  Obstacle FindObstacle(Worker& worker,
                        const Job& job,
                        const Group& group,
                        const Task& task) const;
  void PlaceGang(Job& job, Group& group);
  Worker* ChooseWorker(const Job& job, const Group& group, const Task& task);
  Obstacle FindBestEffortObstacle(Worker& worker,
                                  const Group& group,
                                  const StepSpec& step) const;
  bool IsOverdue(const Group& group) const;
  bool Oversubscribes(Worker& worker,
                      const Group& group,
                      const StepSpec& step) const;
  static bool Serves(const Worker& worker);
  double Score(Worker& worker, const Group& group, const StepSpec& step) const;
  double ServingScore(Worker& worker, ImageId image) const;
  bool IsReady(const Task& task) const;
  bool MayStart(const Task& task) const;

  // Log lines about workers and changes of the owner.
  core::LogLine& AddLife(core::LogLine& line, const Worker& worker) const;
  core::LogLine LineOf(std::string_view event,
                       core::LogLevel level,
                       const Worker& worker,
                       const Worker::LateStart& start);
  void LogRestored();
  std::string_view ReasonUnheard(const Worker& worker) const;
  void LogUnheard();
  void LogLateStartSeen(Worker& worker, const Task& task, RunNumber run);
  void LogExpiredLateStarts(const Worker& worker, core::TimePoint now);

  // Waits.
  void LogWait(Job& job, const Group& group);
  void LogUnconfirmed();

  // Room for long-running tasks.
  bool NominateWorker(const Task& task);
  bool MakeRoom(const Task& task);
  std::vector<Move> FindMoves(const Task& task,
                              const Worker& worker,
                              const RoomIndex& rooms);
  RoomIndex IndexRooms();
  Worker* FindRoomElsewhere(const Task& task,
                            const Worker& from,
                            const RoomIndex& rooms,
                            std::span<const Move> taken);
  bool MaySearch(Job& job);
  void PreemptShortTasks(const core::Resources& need, const Worker& worker);
  bool MayStop(const Task& task) const;
  void Nominate(const Worker& worker, const Task& task);
  void DropNominations(const Task& task);
  bool IsNominated(const Worker& worker,
                   const Task& task,
                   const core::Resources& need) const;

  // Moves.
  void MoveTasks();
  std::vector<std::uint32_t> WaitingTasks(const Job& job);
  std::optional<TransferPlan> PlanTransfer(
      const Job& job,
      std::span<const std::uint32_t> tasks) const;
  void TransferJobs();
  bool HasUsableWorker() const;
  bool MayTransfer(const Job& job) const;
  void TransferOtherFor(Job& job);
  void BeginTransfer(Job& job, TransferPlan plan);
  void FinishAnnouncement(const StoreEvent& event);
  void ContinueTransfer();
  CommitRows WriteOfTransfer(Job& job);
  bool IsWholeJob(const Job& job, std::span<const std::uint32_t> tasks) const;
  void FinishTransfer(const StoreEvent& event);
  void FinishMove(const std::string& id, RowVersion version);
  void MoveAway(Task& task);
  void AdoptRow(const std::string& id, std::span<const Row> present);
  void EndTransfer();

  // Transfers of jobs of which nothing runs.
  bool IsEvacuated() const { return IsEvacuated(options_.id.value()); }
  bool IsEvacuated(std::size_t slice) const;
  bool RunsNowhere(const Job& job) const;
  std::optional<WaitingJob> DescribeWaiting(Job& job);
  bool MayTransferWaiting() const;
  void TransferWaitingJobs();
  void BeginWaitingTransfer();
  void SendWaitingTransfer();
  void AppendTransfer(CommitRows& write,
                      const Job& job,
                      std::size_t target,
                      std::span<const std::uint32_t> tasks = {});
  void FinishWaitingTransfer(const StoreEvent& event);
  void ReleaseWaitingJobs();
  void SettleTransfer(Job& job);
  void ForgetMovedJobs();
  void LogEvacuation();

  // Runs of tasks whose job this owner has not read.
  bool IsClosed(std::string_view job) const;
  bool IsOver(const TaskAddress& task);
  Task* FindReportedTask(const TaskAddress& address);
  Task* FindTask(std::string_view job, std::uint32_t number);
  void HoldUnknownEnd(Worker& worker, const EndedRun& end);
  void HandleUnknownRun(Worker& worker, const ActiveRun& run);
  static void ForgetUnlistedRuns(Worker& worker, const WorkerReport& report);
  void HandleRunsOfNewJob();
  void SettleUnknownRuns();
  bool HasUnreadRuns() const;

  // Runs of earlier owners.
  bool MayBeStarted(core::TimePoint stored) const;
  bool IsReadTooLate(const Job& job) const;
  bool KnowsAllRuns() const;
  bool MayRunUnseen(const Task& task) const;
  bool MayRunUnseenOn(const LastWorker& last);
  void SettleTasks();
  void InitLastWorkers(Job& job);
  void InitLastWorkers(Task& task);
  void InitFromHandOver(Task& task);
  void InitFromPlaces(Job& job, const Places& places);
  void AddLastWorker(Task& task, std::string_view id, bool usual_lease);
  void HandleHandOver(const Row& row, std::int64_t clock_ms);
  void HandlePlaces(const Row& row);
  void NoteUsualLease(Task& task);
  void AdoptLease(Task& task, Worker& worker);
  void CollectPlaces(Job& job, Commit& commit);
  void FinishPlaces(Job& job);
  bool MayStartThere(const Task& task);
  void CollectHandOver(Commit& commit);
  std::vector<std::string> TasksThatMayRunOn(const Worker& worker);

  // Commits.
  void MarkDirty(Job& job, bool urgent);
  bool MayCommit() const;
  core::TimePoint NextCommit() const;
  void StartCommit();
  void FinishCommit(const StoreEvent& event);
  void CollectJobs(Commit& commit);
  void CollectRemovals(Commit& commit);
  void CollectStrayCancellations(Commit& commit);
  Progress ProgressOf(const Job& job) const;
  void CollectRoster(Commit& commit);
  void HandleConflict(const Commit& commit, const RowsConflicted& conflict);
  void MarkStored(const Commit& commit, RowVersion version);
  void HandleRoster(const Row& row, std::int64_t clock_ms);
  bool MayCloseLeases(const Worker& worker) const;
  void LogLoad();
  static void AddWorkerTo(SliceLoad& load, const WorkerEntry& entry);

  // Late starts can be many after a worker or a network was lost.
  static constexpr std::uint64_t kLateStartLinesPerSecond = 20;

  Options options_;
  SliceCharts charts_;
  CallIds& ids_;
  std::optional<chart::Interpreter<TaskContext>> task_chart_;
  std::optional<chart::Interpreter<ContactContext>> contact_chart_;
  QueueConfigPtr config_;
  core::TimePoint now_;
  std::int64_t unix_ms_ = 0;
  core::TimePoint next_timer_;
  bool fenced_ = false;
  core::TimePoint gained_;
  core::TimePoint term_end_ = core::TimePoint::max();
  /// When a run was last taken for over, or another life of a worker learned
  /// of, without a report that says so.
  core::TimePoint term_needed_since_;
  StoreClock store_clock_;

  /// States of the chart `task_run` that decisions depend on.
  struct TaskStates {
    chart::StateId blocked;
    chart::StateId ready;
    chart::StateId placing;
    chart::StateId starting;
    chart::StateId running;
    chart::StateId stopping;
    chart::StateId done;
    chart::StateId elsewhere;
  };
  TaskStates states_;
  JobTable jobs_;
  WorkerPool workers_;
  TableFollower job_rows_;
  /// complete_until() of job_rows_ before its last answer.
  core::TimePoint rows_complete_before_;
  std::optional<CallId> progress_read_;
  std::string progress_from_;
  bool progress_loaded_ = false;
  core::TimePoint progress_retry_;
  std::map<std::string, StoredProgress, std::less<>> stored_progress_;
  std::map<std::string, Places, std::less<>> stored_places_;
  std::map<std::string, ParkedJob, std::less<>> parked_jobs_;
  std::optional<ParkedRead> parked_read_;
  core::TimePoint parked_retry_;
  RowVersion roster_version_ = 0;
  bool roster_due_ = false;
  bool restored_ = false;  ///< All jobs and their progress are known.
  bool closing_ = false;   ///< HandOver was called.
  bool hand_over_stored_ = false;
  bool hand_over_rejected_ =
      false;  ///< A row of the predecessor is unreadable.

  /// Where the predecessor's tasks may run, by the text of their addresses;
  /// nothing unless it has handed the slice over.
  std::optional<std::map<std::string, std::vector<std::string>, std::less<>>>
      handed_over_workers_;
  /// By worker: when the leases that the predecessor has granted are over.
  std::map<std::string, core::TimePoint, std::less<>> handed_over_leases_;
  core::TimePoint closing_until_;

  std::unordered_map<CallId, PendingCall> calls_;
  core::NameTable<ImageId> images_;
  InterferenceModel interference_;
  core::TimePoint next_move_;
  core::TimePoint next_transfer_;
  /// By serving image: the smallest tail latency seen, in milliseconds.
  std::map<std::string, double, std::less<>> idle_tails_;
  std::map<std::string, Baseline, std::less<>> baseline_utilisations_;
  bool placement_due_ = false;
  core::TimePoint next_placement_;

  std::set<std::string> dirty_;
  core::TimePoint commit_due_ = core::TimePoint::max();
  std::optional<Commit> commit_;
  core::TimePoint commit_retry_;
  std::deque<std::pair<core::TimePoint, std::string>> final_jobs_;
  /// Cancelled jobs; a part of one may be read later than its cancellation.
  std::set<std::string, std::less<>> cancelled_jobs_;
  /// Those of which neither the job nor a part was here when it was cancelled.
  std::set<std::string> stray_cancellations_;

  /// By job whose rows this owner removed: rows up to this version come from a
  /// read that began before the removal, and are ignored.
  std::map<std::string, RowVersion, std::less<>> removed_jobs_;

  std::optional<Transfer> transfer_;

  std::optional<WaitingTransfer> waiting_transfer_;
  FailureDomains evacuated_;
  bool waiting_transfer_due_ = false;
  core::TimePoint next_waiting_transfer_;
  core::TimePoint next_evacuation_log_;
  std::uint64_t transferred_jobs_ = 0;  ///< Since the evacuation began.
  /// Entries of removed_jobs_ of jobs that have left, with the time.
  std::deque<std::pair<core::TimePoint, std::string>> moved_jobs_;

  std::map<core::WorkerId, Nomination> nominations_;
  /// Tasks of nominations_ at the start of a placement pass.
  std::set<const Task*> nominated_tasks_;
  core::TimePoint search_tick_;
  std::size_t searches_ = 0;  ///< Since search_tick_.
  std::vector<std::optional<SliceLoad>> loads_;
  /// Version of the last announcement by another slice, and until when room is
  /// held for the announced job.
  RowVersion incoming_version_ = 0;
  core::TimePoint incoming_until_;

  std::uint64_t candidates_evaluated_ = 0;
  core::LogLimiter late_start_lines_{kLateStartLinesPerSecond};
  core::TimePoint unheard_log_due_ = core::TimePoint::max();
  core::TimePoint next_wait_log_;
  core::TimePoint next_unconfirmed_log_;
  core::TimePoint next_load_log_;
  core::TimePoint next_commit_log_;

  std::vector<StoreCommand> store_commands_;
  std::vector<WorkerCommand> worker_commands_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_SLICE_SCHEDULER_H_
