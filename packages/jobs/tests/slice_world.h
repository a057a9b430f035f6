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
#include "jobs/slice_scheduler.h"

namespace hickoryusher::jobs {

inline const std::string kSlice = "yoff-0";
inline const std::string kOtherSlice = "port-0";

/// An owner of one slice with a store, workers and a clock that tests move.
class SliceWorld {
 public:
  SliceWorld();

  /// Adds a worker with 32 cores and 125 GB, in the registry.
  void AddWorker(const std::string& id);

  /// Makes a new owner of the slice, with the next epoch; the earlier one is
  /// gone.
  void TakeOver(bool predecessor_ended = true, bool configured = true);

  /// Gives the owner the configuration.
  void Configure();

  /// Stores a job as intake does. Its document names the steps, one letter for
  /// each step, each after the one before:
  /// - `c` and `b` for short tasks of 1 and 20 cores;
  /// - `t`, `w` and `v` for lasting tasks of 12, 20 and 30 cores; `k` for one
  /// of
  ///   20 cores that promises how many may be unavailable; `h` for one of 20
  ///   cores and 100 GB; `s` for one of 20 cores that has a target of 100 ms;
  /// - `l`, `m` and `f` for spare work of 1, 4 and 20 cores; `g` for spare work
  ///   of 1 core and 100 GB;
  /// - `x` for lasting tasks of 20 cores, of which a worker takes one of a
  /// step;
  /// - `y` for a gang of three tasks of spare work of 20 cores.
  void Submit(const std::string& id, const std::string& steps);
  void Cancel(const std::string& id);

  /// Adds the worker w1 and lets it start the first tasks of a job.
  void StartJob(const std::string& steps = "c", const std::string& id = "j");

  /// Moves the clock in small steps, and carries out all commands.
  void Advance(std::chrono::milliseconds duration);

  /// Marks a worker as leaving in the registry.
  void Drain(const std::string& id);

  /// Ends a worker that was leaving.
  void Remove(const std::string& id);

  /// Tells the owner that the other slice has a whole worker free. @param
  /// incoming version of the announcement that the other slice has seen.
  void OfferRoomElsewhere(RowVersion incoming = 0);

  JobPhase PhaseOf(const std::string& id) const;

  static TaskAddress Task(const std::string& job, std::uint32_t step = 0) {
    return {.job = job, .step = step};
  }

  FakeStore store;
  FakeWorkers workers;
  std::unique_ptr<SliceScheduler> owner;

  /// Rows of this table are answered later than those of others.
  std::string slow_table;
  std::string unreadable_table;  ///< Values of its rows cannot be read.
  std::chrono::milliseconds commit_delay{0};  ///< Until writes are answered.
  std::size_t commits = 0;

  /// What the owners have logged.
  std::vector<std::string> log;

  /// Rows that readings of the job table show although they are removed.
  std::vector<Row> late_rows;

 private:
  void ExecuteCommands();
  void Deliver(const StoreCommand& command);
  void Deliver(const WorkerCommand& command);
  void AnswerFollowers();
  void AnswerRenewals();
  void GiveUpCalls();

  core::TimePoint now_{std::chrono::hours(1)};
  CallIds ids_;
  Epoch epoch_ = 0;
  std::vector<std::string> registry_;
  /// FollowRows without a change, and when they are answered without one.
  std::vector<std::pair<core::TimePoint, FollowRows>> waiting_;
  std::vector<std::pair<core::TimePoint, StoreCommand>> slow_;
  std::vector<std::pair<core::TimePoint, RenewLease>> waiting_renewals_;
  std::vector<std::pair<core::TimePoint, WorkerEvent>> given_up_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_TESTS_SLICE_WORLD_H_
