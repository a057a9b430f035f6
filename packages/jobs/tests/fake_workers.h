#ifndef JOBS_TESTS_FAKE_WORKERS_H_
#define JOBS_TESTS_FAKE_WORKERS_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/time.h"
#include "jobs/worker_calls.h"

namespace hickoryusher::jobs {

/// Simulates workers whose tasks run until the test ends them.
class FakeWorkers {
 public:
  struct Run {
    TaskAddress task;
    RunNumber number = 0;
    std::string checkpoint;
    std::uint32_t percent = 100;  ///< Last ordered pace.
  };

  /// A run that a worker has started, for checks of the whole history.
  struct StartedRun {
    TaskAddress task;
    RunNumber number = 0;
    std::string worker;
    std::int64_t born = 0;  ///< Of the life that carried out the order.
    bool strayed = false;   ///< The order was sent to an earlier life.
    FencingToken token = 0;
    core::TimePoint sent;
    core::TimePoint begun;
    core::TimePoint ended = core::TimePoint::max();
    /// Since when only orders that were sent to earlier lives prolong it.
    core::TimePoint strayed_lease_since = core::TimePoint::max();
    std::optional<EndKind> kind;  ///< None if the run ended with its life.
    std::uint64_t end_number = 0;
    /// The lease of the worker was over before the end was acknowledged.
    bool lapsed = false;
    core::TimePoint acknowledged = core::TimePoint::max();
  };

  /// A report that was sent to the owner.
  struct SentReport {
    std::string worker;
    std::int64_t born = 0;
    FencingToken token = 0;
    core::TimePoint at;
  };

  /// How a worker treats orders.
  enum class Fault {
    kNone,
    kSilent,      ///< Neither executes nor answers orders.
    kGone,        ///< Refuses connections.
    kLoseAnswer,  ///< Executes orders, but loses the answers.
    kLate,        ///< No answer; ExecuteLateCommands executes starts.
    kLateLease,   ///< Renewals of leases arrive with ExecuteLateLeases.
    kSlowStop,    ///< Runs ordered to stop continue until End.
  };

  void Add(const std::string& worker) { workers_[worker]; }
  void SetFault(const std::string& worker, Fault fault) {
    workers_[worker].fault = fault;
  }

  /// Holds back the orders that match @p filter, on their way to any worker.
  void Hold(std::function<bool(const WorkerCommand&)> filter) {
    hold_ = std::move(filter);
  }

  /// Delivers the oldest or newest order that is held back to the life that its
  /// worker has now. @returns the answer; nothing if none is held back.
  std::optional<WorkerEvent> DeliverOldest(core::TimePoint now);
  std::optional<WorkerEvent> DeliverNewest(core::TimePoint now);
  std::span<const WorkerCommand> held() const { return held_; }

  /// @returns the answer, or nothing if there is none yet.
  std::optional<WorkerEvent> Handle(const WorkerCommand& command,
                                    core::TimePoint now);

  /// Sets the reported tail latency or CPU use of a task.
  void SetUsage(const TaskAddress& task, double usage) {
    usage_[ToText(task)] = usage;
  }

  /// @returns the pace of a running task, or 0 if it does not run.
  std::uint32_t PaceOf(const TaskAddress& task) const;

  /// @returns true if the worker has unacknowledged ends.
  bool HasEnds(const std::string& worker) const {
    const auto found = workers_.find(worker);
    return found != workers_.end() && !found->second.ends.empty();
  }

  /// @returns the number of unacknowledged ends.
  std::size_t ends(const std::string& worker) {
    return workers_[worker].ends.size();
  }

  /// Ends the run of a task on whichever worker runs it.
  void End(const TaskAddress& task, EndKind kind, std::string checkpoint = {});

  /// Ends one run. Nothing happens unless that worker runs it.
  void EndRun(const std::string& worker,
              const TaskAddress& task,
              RunNumber number,
              EndKind kind);
  void ExecuteLateCommands(const std::string& worker);

  /// Handles the lease of a renewal that arrives and then waits for an end.
  /// Unless it is late, the lease does not change again when it is answered.
  void Accept(RenewLease& order, core::TimePoint now);

  /// Executes late renewals, also those sent to an earlier life of the worker.
  void ExecuteLateLeases(const std::string& worker, core::TimePoint now);

  /// Ends the runs of workers whose lease is over.
  void EndLeases(core::TimePoint now);

  std::span<const StartedRun> started_runs() const { return started_runs_; }
  std::span<const SentReport> sent_reports() const { return sent_reports_; }

  /// Simulates another worker at the same address.
  void Replace(const std::string& worker) {
    workers_[worker].replaced = true;
    workers_[worker].runs.clear();
  }

  /// Restarts the worker's process, which loses its state.
  void Restart(const std::string& worker, std::int64_t born);

  /// Lets the worker's clock show @p duration less, as that of a new life does.
  void SetBackClock(const std::string& worker, core::Duration duration) {
    workers_[worker].clock_behind = duration;
  }

  /// @returns the worker that runs the task, or an empty string.
  std::string WorkerOf(const TaskAddress& task) const;
  const std::vector<Run>& runs(const std::string& worker) {
    return workers_[worker].runs;
  }
  std::int64_t born(const std::string& worker) { return workers_[worker].born; }
  std::uint64_t acknowledged(const std::string& worker) {
    return workers_[worker].acknowledged;
  }
  std::size_t starts(const TaskAddress& task) const;

  /// @returns true if the tasks of the worker may run at @p now.
  bool HoldsLease(const std::string& worker, core::TimePoint now) {
    const Worker& found = workers_[worker];
    return found.lease_until_ms >
           core::ToMillis((now - found.clock_behind).time_since_epoch());
  }

  /// Workers shorten longer leases to this.
  core::Duration longest_lease = core::Duration::max();

  /// Reports list the first ends, up to this many.
  std::size_t ends_per_report = std::numeric_limits<std::size_t>::max();

  /// @returns the end of the worker's lease, on its clock.
  std::int64_t lease_until_ms(const std::string& worker) {
    return workers_[worker].lease_until_ms;
  }

 private:
  struct Worker {
    Fault fault = Fault::kNone;
    std::vector<Run> runs;
    std::vector<EndedRun> ends;
    std::vector<StartRun> late;
    std::uint64_t next_end = 1;
    std::uint64_t acknowledged = 0;
    FencingToken token = 0;
    std::int64_t born = 1;
    std::int64_t lease_until_ms = 0;
    /// The same without orders that were sent to earlier lives.
    std::int64_t own_lease_until_ms = 0;
    /// The highest run of each task that was stopped or has ended.
    std::map<std::string, RunNumber> closed;
    core::Duration clock_behind{};
    bool replaced = false;
  };

  /// Where an order was on its way to when it was sent.
  struct Origin {
    std::int64_t born = 0;
    core::TimePoint sent;
  };

  const Origin& OriginOf(const Worker& worker,
                         CallId call,
                         core::TimePoint now);
  void EndRun(const std::string& name,
              Worker& worker,
              std::vector<Run>::iterator run,
              EndKind kind,
              std::string checkpoint);
  void Close(Worker& worker, const TaskAddress& task, RunNumber run);
  void NoteEnd(const std::string& worker,
               const Worker& state,
               const EndedRun* end,
               const Run& run);

  OrderOutcome Execute(Worker& worker,
                       const StartRun& order,
                       core::TimePoint now);
  OrderOutcome Execute(Worker& worker,
                       const StopRun& order,
                       core::TimePoint now);
  OrderOutcome Execute(Worker& worker,
                       const SetPace& order,
                       core::TimePoint now);
  LeaseAnswered Report(Worker& worker,
                       const RenewLease& order,
                       core::TimePoint now);

  void Extend(Worker& worker,
              std::int64_t until_ms,
              core::TimePoint now,
              bool strayed) const;

  std::function<bool(const WorkerCommand&)> hold_;
  std::vector<WorkerCommand> held_;  ///< In the order in which they were sent.
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::vector<RenewLease>> late_renewals_;
  std::vector<TaskAddress> started_;
  std::vector<StartedRun> started_runs_;
  std::vector<SentReport> sent_reports_;
  std::map<CallId, Origin> origins_;
  core::TimePoint now_;
  bool delivers_held_ = false;
  std::map<std::string, double> usage_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_TESTS_FAKE_WORKERS_H_
