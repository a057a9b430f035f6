#ifndef JOBS_TESTS_SLICE_WORLD_H_
#define JOBS_TESTS_SLICE_WORLD_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fake_store.h"
#include "fake_workers.h"
#include "jobs/slice_board.h"
#include "jobs/slice_scheduler.h"

namespace hickoryusher::jobs {

inline const std::string kSlice = "yoff-0";
inline const std::string kOtherSlice = "port-0";

const chart::Chart& TaskChart();
const chart::Chart& ContactChart();
const chart::Chart& OwnershipChart();

/// @returns the entry of a worker with 32 cores and 125 GB.
WorkerEntry EntryOfWorker(const std::string& id, const std::string& domain);

/// @returns a configuration with the queue of SliceWorld::Submit.
QueueConfigPtr OneQueue();

/// Reads a document as SliceWorld::Submit describes it.
std::optional<JobSpec> ReadSteps(const StoredJob& stored);

/// Simulates the owner of one slice with a fake store, fake workers and a clock
/// that the test advances.
class SliceWorld {
 public:
  SliceWorld();

  /// One of several worlds, each with another slice, over one store.
  /// @param slice kSlice or kOtherSlice.
  SliceWorld(FakeStore& shared, const std::string& slice);

  /// Adds a worker with 32 cores and 125 GB to the registry.
  void AddWorker(const std::string& id);

  /// Replaces the owner of the slice by a new one with the next epoch.
  void TakeOver(bool predecessor_ended = true, bool configured = true);

  /// Lets the owner leave in good order, and replaces it.
  void HandOver();

  /// Lets the owner's term end after @p duration. @returns when it ends.
  core::TimePoint EndTermIn(std::chrono::milliseconds duration);

  /// Delivers the configuration to the owner.
  void Configure();

  /// Stores a job as intake does. Its document has one letter for each step;
  /// each step runs after the preceding one:
  /// - `c` and `b`: short-lived tasks of 1 and 20 cores;
  /// - `t`, `w` and `v`: long-running tasks of 12, 20 and 30 cores;
  /// - `k`: a long-running task of 20 cores with a limit on how many may be
  ///   unavailable;
  /// - `h`: a long-running task of 20 cores and 100 GB;
  /// - `s`: a long-running task of 20 cores with a target of 100 ms;
  /// - `p`: a long-running task of 8 cores with a target of 100 ms;
  /// - `z`: two long-running tasks of 20 cores;
  /// - `a`: two long-running tasks of 8 cores, at most one per worker;
  /// - `x`: long-running tasks of 20 cores, at most one of a step per worker;
  /// - `l`, `m` and `f`: best-effort tasks of 1, 4 and 20 cores;
  /// - `g` and `q`: a best-effort task of 1 core and 100 or 20 GB;
  /// - `d`: three short-lived tasks of 1 core, at most one per worker;
  /// - `n`: a gang of two tasks of 1 core, at most one per worker;
  /// - `y`: a gang of three best-effort tasks of 20 cores.
  /// With `/COUNT/INTERVAL` behind, it is run COUNT times, the first time at
  /// once, and then each INTERVAL milliseconds.
  void Submit(const std::string& id, const std::string& steps);
  void Cancel(const std::string& id);

  /// Stores a part of a job as another slice does that transfers these tasks.
  void SubmitPart(const std::string& id,
                  const std::string& steps,
                  const std::vector<std::uint32_t>& tasks);

  /// Adds the worker w1, submits a job and lets w1 start its first tasks.
  void StartJob(const std::string& steps = "c", const std::string& id = "j");

  /// Advances the clock in small steps and executes all commands.
  void Advance(std::chrono::milliseconds duration);

  /// Lists a worker in the registry with the start of its present life.
  void Register(const std::string& id, std::int64_t born);

  /// Marks a worker as draining in the registry.
  void Drain(const std::string& id);

  /// Removes a worker that was draining.
  void Remove(const std::string& id);

  /// Notifies the owner that the other slice has a whole free worker.
  /// @param incoming version of the announcement that the other slice has seen.
  void OfferRoomElsewhere(RowVersion incoming = 0);

  core::TimePoint now() const { return now_; }

  JobPhase PhaseOf(const std::string& id) const;

  static TaskAddress Task(const std::string& job, std::uint32_t step = 0) {
    return {.job = job, .step = step};
  }

 private:
  std::unique_ptr<FakeStore> own_store_;

 public:
  FakeStore& store;
  FakeWorkers workers;
  std::unique_ptr<SliceScheduler> owner;

  /// Commands on this table are answered later than those on other tables.
  std::string slow_table;
  std::string slow_worker;       ///< Answers later than the other workers.
  std::string unreadable_table;  ///< Values of its rows cannot be read.
  std::chrono::milliseconds commit_delay{0};  ///< Before writes are answered.
  std::chrono::milliseconds answer_delay{0};  ///< Before workers are heard.
  /// The longest that the platform permits, for the next owner.
  std::chrono::milliseconds longest_lease{6000};
  /// How long the term of the owner before lasts after a takeover.
  core::Duration predecessor_term = SliceBoard::kOwnerGrace;
  /// Since this epoch, owners have stored the places of long-running tasks.
  Epoch places_since = 1;
  std::size_t commits = 0;
  /// Memory for the jobs of the next owners.
  std::size_t job_bytes = 64UL * 1024 * 1024;
  /// Failure domains that the next owners know to be evacuated.
  FailureDomains evacuated;

  /// Time of day, which the clock does not advance.
  std::int64_t unix_ms = 0;

  /// Log lines of all owners.
  std::vector<std::string> log;
  /// Those of them that are warnings or errors.
  std::vector<std::string> warnings;

  /// Removed rows that reads of the job table still return.
  std::vector<Row> late_rows;

 private:
  void ExecuteCommands();
  void Deliver(const StoreCommand& command);
  void Deliver(const WorkerCommand& command);
  void AnswerFollowers();
  void AnswerRenewals();
  void GiveUpCalls();

  WorkerEntry EntryOf(const std::string& id) const;

  core::TimePoint now_{std::chrono::hours(1)};
  std::string slice_ = kSlice;
  CallIds ids_;
  Epoch epoch_ = 0;
  std::vector<std::string> registry_;
  /// FollowRows that wait for a change, with the end of their wait.
  std::vector<std::pair<core::TimePoint, FollowRows>> waiting_;
  std::vector<std::pair<core::TimePoint, StoreCommand>> slow_;
  std::vector<std::pair<core::TimePoint, RenewLease>> waiting_renewals_;
  std::vector<std::pair<core::TimePoint, WorkerEvent>> given_up_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_TESTS_SLICE_WORLD_H_
