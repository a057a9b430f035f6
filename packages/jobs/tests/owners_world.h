#ifndef JOBS_TESTS_OWNERS_WORLD_H_
#define JOBS_TESTS_OWNERS_WORLD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fake_store.h"
#include "fake_workers.h"
#include "jobs/slice_board.h"
#include "jobs/slice_scheduler.h"
#include "slice_world.h"

namespace hickoryusher::jobs {

/// What happens to the calls of one process to the store or to a worker.
enum class LinkFault {
  kSilent,       ///< Calls are not carried out, and get no answer.
  kRefused,      ///< Calls are not carried out, and the caller learns of it.
  kLoseAnswers,  ///< Calls are carried out.
  kHold,         ///< Silent; calls are carried out late, whoever gets them.
};

inline constexpr std::size_t kLinkFaults = 4;

/// Simulates processes that compete for one slice, with their boards and
/// schedulers, over one store and the same workers. Links fail one by one.
class OwnersWorld {
 public:
  /// @param ends decides how long a run lasts and how it ends.
  struct RunEnd {
    core::Duration after{};
    EndKind kind = EndKind::kDone;
  };
  using RunEnds = std::function<RunEnd(const FakeWorkers::StartedRun&)>;

  OwnersWorld(std::chrono::milliseconds longest_lease, RunEnds ends);

  /// Adds a process that runs.
  void AddProcess(const std::string& name, const std::string& domain);
  void Kill(std::size_t process);
  /// Begins a new life of a process that does not run.
  void Start(std::size_t process);
  /// Lets the process hand its slice over, release it, and end.
  void Stop(std::size_t process);
  void Freeze(std::size_t process, core::Duration duration);
  std::size_t processes() const { return processes_.size(); }
  const std::string& domain(std::size_t process) const {
    return processes_[process].domain;
  }
  bool runs(std::size_t process) const {
    return processes_[process].board != nullptr;
  }
  /// @returns whether the process runs and does not gain a slice just now. One
  /// that does crashes if it is stopped: "an owner that stops before it has
  /// read the roster goes on".
  bool may_stop(std::size_t process) const;
  /// @returns the process that has a scheduler and the highest epoch.
  std::optional<std::size_t> owner() const;

  void FailStoreLink(std::size_t process,
                     LinkFault fault,
                     core::Duration duration);
  void FailWorkerLink(std::size_t process,
                      const std::string& worker,
                      LinkFault fault,
                      core::Duration duration);

  void AddWorker(const std::string& id);
  /// Ends the worker's life; the next one begins after @p duration.
  /// @param answers whether connections are refused meanwhile.
  void Restart(const std::string& worker,
               core::Duration duration,
               bool answers);
  /// Lets the worker answer nobody.
  void Hang(const std::string& worker, core::Duration duration);
  /// Lets the registry hear nothing from the worker.
  void Unlist(const std::string& worker, core::Duration duration);
  /// Lets the worker announce that it leaves, and leave after @p duration.
  void Drain(const std::string& worker, core::Duration duration);
  /// Lets the worker's clock run 2% slow.
  void SlowClock(const std::string& worker);
  std::vector<std::string> Workers() const;

  void Submit(const std::string& id, const std::string& steps);
  void Cancel(const std::string& id);
  /// @returns nothing if the job is not stored.
  std::optional<JobPhase> PhaseOf(const std::string& id) const;

  void Advance(std::chrono::milliseconds duration);
  core::TimePoint now() const { return now_; }

  FakeStore store;
  FakeWorkers workers;

  /// Log lines of all processes, with time and process.
  std::vector<std::string> log;
  bool keeps_log = false;
  /// Calls are also carried out after they were given up.
  bool late_calls = false;

 private:
  struct Link {
    core::TimePoint until;
    LinkFault fault = LinkFault::kSilent;
  };
  struct Process {
    std::string name;
    std::string domain;
    std::uint32_t life = 0;
    bool stopping = false;
    core::TimePoint frozen_until;
    std::unique_ptr<SliceBoard> board;
    std::unique_ptr<SliceScheduler> scheduler;
    Epoch epoch = 0;
    std::map<std::string, WorkerEntry> registry;
    Link store_link;
    std::map<std::string, Link> worker_links;
  };
  struct Worker {
    std::int64_t born = 1;
    bool up = true;
    bool refuses = true;  ///< Connections while it is down.
    bool gone = false;
    bool draining = false;
    bool slow_clock = false;
    core::Duration clock_behind{};
    core::TimePoint up_at;
    core::TimePoint hung_until;
    core::TimePoint unlisted_until;
    core::TimePoint leaves_at = core::TimePoint::max();
    core::TimePoint last_beat;
    core::TimePoint next_beat;
  };
  using Event = std::variant<StoreEvent, WorkerEvent>;
  struct Caller {
    std::size_t process = 0;
    std::uint32_t life = 0;
  };
  struct Answer {
    core::TimePoint at;
    Caller to;
    Event event;
  };
  struct WaitingFollow {
    core::TimePoint until;
    Caller from;
    FollowRows command;
  };
  struct WaitingRenewal {
    core::TimePoint until;
    Caller from;
    RenewLease order;
    std::int64_t born = 0;
  };
  using Late = std::variant<CommitRows, WorkerCommand>;

  void Begin(Process& process);
  void RunProcess(std::size_t index);
  void RunBoard(Process& process);
  void TakeNotices(std::size_t index);
  void Gain(std::size_t index, const SliceGained& gained);
  void ReadRegistry(Process& process);
  void Send(std::size_t index, const StoreCommand& command);
  void Send(std::size_t index, const WorkerCommand& command);
  void Deliver(std::size_t index, const WorkerCommand& command);
  void Reply(std::size_t index, Event event, core::Duration after = {});
  void ReplyUnanswered(std::size_t index,
                       const WorkerCommand& command,
                       core::Duration after);
  void Hold(Late call);
  std::optional<LinkFault> FaultOf(const Link& link) const;
  bool Reachable(const Worker& worker) const;
  void AnswerFollowers();
  void AnswerRenewals();
  void DeliverAnswers();
  void DeliverLate();
  void UpdateWorkers();
  void UpdateRegistry();
  void EndRuns();
  void Log(std::string_view who, std::string_view text);

  std::chrono::milliseconds longest_lease_;
  RunEnds ends_;
  core::TimePoint now_{std::chrono::hours(1)};
  CallIds ids_;
  std::int64_t born_ = 1;
  std::vector<Process> processes_;
  std::map<std::string, Worker> states_;
  std::map<std::string, WorkerEntry> registry_;
  std::vector<Answer> answers_;
  std::vector<WaitingFollow> follows_;
  std::vector<WaitingRenewal> renewals_;
  std::vector<std::pair<core::TimePoint, Late>> late_;
  std::vector<std::size_t> open_runs_;  ///< Indexes of started_runs.
  std::size_t seen_runs_ = 0;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_TESTS_OWNERS_WORLD_H_
