#ifndef JOBS_WORKER_POOL_H_
#define JOBS_WORKER_POOL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "chart/chart.h"
#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "jobs/job_table.h"
#include "jobs/types.h"
#include "jobs/worker_calls.h"

namespace hickoryusher::jobs {

/// A worker as seen by the owner of its slice. Its contact is a state of the
/// chart `worker_contact`.
struct Worker {
  core::WorkerId id;
  WorkerEntry entry;
  bool listed = true;  ///< In the fleet's registry.
  /// In the stored roster, so that a later owner of the slice queries it for
  /// its runs. Only then may tasks be placed on it.
  bool in_roster = false;
  /// The roster may say when the last lease is over, so that none is granted.
  bool leases_closed = false;
  /// The last report lists no run, and none was started since.
  bool runs_nothing = false;
  chart::StateId contact;
  std::int64_t born_unix_ms = 0;  ///< Of the incarnation that reported last.

  std::int64_t clock_ms = 0;  ///< The worker's clock at clock_at.
  core::TimePoint clock_at;
  /// The latest time on the worker's clock until which a lease was granted.
  std::int64_t granted_until_ms = 0;
  /// Nothing runs there later than this unless the lease is renewed.
  core::TimePoint lease_end;
  /// The same if the worker has restarted unnoticed: the end of the lease is a
  /// time on its clock, which then starts anew.
  core::TimePoint lease_end_after_restart;

  core::Resources used;                  ///< Reserved by tasks.
  core::Resources used_by_long_running;  ///< Part of `used` that long-running
                                         ///< tasks reserve.
  std::int64_t best_effort_demand = 0;
  std::vector<Task*> tasks;

  /// Generation of the next order. Once the worker has answered one of it, no
  /// order of an earlier generation is carried out in that life any more.
  Generation generation = 1;
  /// The generation that began when the present life was learned of, or when
  /// the last lease was over. Answers to earlier orders say nothing about this
  /// life. The numbers of ends below belong to it.
  Generation life = 1;
  core::TimePoint life_since;  ///< When that generation began.
  /// Generation of the last order with an acknowledgement.
  Generation acknowledging = 0;
  std::uint64_t last_end = 0;  ///< Highest number of an end that was handled.
  std::uint64_t acknowledged = 0;  ///< Ends up to this one are durable.
  std::uint64_t forgotten = 0;     ///< The worker lists no ends up to this one.

  /// Of a task whose job this owner has not read. An earlier owner may have
  /// read and started it.
  struct UnknownRun {
    ActiveRun run;
    /// When it was reported first; nothing once the job table has been read
    /// since, without this job.
    std::optional<core::TimePoint> unread_since;
  };
  struct UnknownEnd {
    EndedRun end;
    core::TimePoint unread_since;
  };
  std::vector<UnknownRun> unknown_runs;  ///< In the last report.
  /// Not acknowledged before the job table has been read; by number.
  std::vector<UnknownEnd> unknown_ends;

  /// A start that was neither answered nor seen carried out. A life of the
  /// worker that has seen no token carries it out if it comes there first.
  struct LateStart {
    std::string job;
    std::uint32_t task = 0;  ///< Its number in the job.
    RunNumber run = 0;
    core::TimePoint until;  ///< When it can come no more.
    bool seen = false;      ///< A copy of it was seen carried out.
    /// Of an earlier owner's start; as in RosterLateStart.
    std::uint32_t copies = 0;
  };
  std::vector<LateStart> late_starts;

  /// An end as done of a task with a late start. A start after the end was
  /// acknowledged would run the task again.
  struct UnsafeEnd {
    std::uint64_t number = 0;
    core::TimePoint until;  ///< Not acknowledged before.
  };
  std::vector<UnsafeEnd> unsafe_ends;

  /// A run that its task needs no more, and that may go on. Its room is
  /// reserved.
  struct LeftRun {
    TaskAddress task;
    RunNumber run = 0;
    StepSpec step;
    core::TimePoint settled;  ///< As in Task.
    Generation ordered = 0;   ///< As in Task.
  };
  std::vector<LeftRun> left_runs;

  std::optional<CallId> renewal;  ///< The last one, until it is answered.
  core::TimePoint answered;  ///< When the last one with an answer was sent.
  core::TimePoint next_renewal;

  /// Interference that each serving task can still tolerate (`rooms`), and CPU
  /// for best-effort work (`unused_millis`). Recomputed when the tasks, their
  /// paces or tails change.
  struct ServingHeadroom {
    ImageId image;
    double room = 0;
  };
  std::vector<ServingHeadroom> rooms;
  /// Since when the tail latency of a task here has been over its target; max()
  /// if none is.
  core::TimePoint over_target_since = core::TimePoint::max();
  double unused_millis = 0;
  bool headrooms_valid = false;

  /// Best-effort load in the report window, smoothed as the reported tails are:
  /// by image, up to load_until.
  std::vector<Neighbour> window_load;
  core::TimePoint window_start;
  core::TimePoint load_until;

  /// Jobs of which runs failed here since the last run that ended well, each
  /// once: repeated failures of one job may be caused by the job itself.
  std::vector<std::string> failing_jobs;
  core::TimePoint quarantined_until;  ///< After failures.
  std::uint32_t quarantines = 0;

  bool HasLabel(std::string_view label) const;

  /// Records that the worker's clock showed @p millis no later than @p now.
  void SetClock(std::int64_t millis, core::TimePoint now);

  /// @returns whether no start is on its way that nobody has seen carried out.
  bool AllRunsSeen() const;

  /// Records that the start of a run may be carried out until @p until.
  void ExpectLateStart(std::string_view job,
                       std::uint32_t task,
                       RunNumber run,
                       core::TimePoint until);

  /// Records that the start can come no more: it was answered, or its run is
  /// reported. @returns whether it was expected.
  bool ForgetLateStart(std::string_view job, std::uint32_t task, RunNumber run);

  /// @returns when the last late start of the task can come no more; nothing if
  /// there is none.
  std::optional<core::TimePoint> LateStartOf(const Task& task) const;

  /// The same of all tasks of a job.
  std::optional<core::TimePoint> LateStartOf(std::string_view job) const;

  /// Forgets the starts that can come no more at @p now, and the ends that are
  /// safe since. @returns whether there were any.
  bool ExpireLateStarts(core::TimePoint now);

  /// @returns the worker's clock at @p now as far as known.
  std::int64_t ClockAt(core::TimePoint now) const;

  /// @returns up to which number ends may be acknowledged once they are stored.
  std::uint64_t last_settled_end() const;

  void Reserve(const StepSpec& step);
  void Release(const StepSpec& step);

  core::Resources free() const { return entry.capacity - used; }

  /// @returns the capacity for further long-running tasks if all short-lived
  /// tasks are stopped.
  core::Resources long_running_room() const {
    return entry.capacity - used_by_long_running;
  }
};

/// @returns where orders for the worker go.
Destination DestinationOf(const Worker& worker);

/// @returns what a task of the step reserves on a worker.
core::Resources Reservation(const StepSpec& step);

/// The workers of one slice. Handles stay valid.
class WorkerPool {
 public:
  Worker& Add(WorkerEntry entry, chart::StateId contact);

  Worker& Get(core::WorkerId id) const { return *workers_[id.value()]; }

  /// @returns the worker, or nullptr.
  Worker* Find(std::string_view id);

  std::span<const std::unique_ptr<Worker>> all() const { return workers_; }

 private:
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_WORKER_POOL_H_
