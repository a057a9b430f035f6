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
  /// In the stored roster, so that a successor asks it what runs there. Only
  /// then may it get tasks.
  bool in_roster = false;
  chart::StateId contact;
  std::int64_t born_unix_ms = 0;  ///< Of the lifetime that reported last.

  std::int64_t clock_ms = 0;  ///< Of the worker, at clock_at.
  core::TimePoint clock_at;
  /// Nothing runs there later than this unless the lease is renewed.
  core::TimePoint lease_end;

  core::Resources used;     ///< Reserved by tasks.
  core::Resources lasting;  ///< The part of tasks that do not end.
  std::int64_t best_effort_demand = 0;
  std::vector<Task*> tasks;

  std::uint64_t last_end = 0;      ///< Largest number of an end taken.
  std::uint64_t acknowledged = 0;  ///< Ends up to this one are durable.

  std::optional<CallId> renewal;
  core::TimePoint renewal_sent;
  core::TimePoint next_renewal;

  /// Room that each serving task has left for disturbance, and processors for
  /// spare work. Recomputed when the tasks, their paces or tails change.
  struct ServingHeadroom {
    ImageId image;
    double room = 0;
  };
  std::vector<ServingHeadroom> rooms;
  /// Since when a tail here has been over its target; max() if none is.
  core::TimePoint over_target_since = core::TimePoint::max();
  double unused_millis = 0;
  bool headrooms_valid = false;

  /// Jobs of which runs failed here since the last good end, each once: a job
  /// that always fails says nothing about its workers.
  std::vector<std::string> failing_jobs;
  core::TimePoint quarantined_until;  ///< Quarantine after failures.
  std::uint32_t quarantines = 0;

  bool HasLabel(std::string_view label) const;

  /// @returns the worker's clock at @p now as far as known.
  std::int64_t ClockAt(core::TimePoint now) const;

  void Reserve(const StepSpec& step);
  void Release(const StepSpec& step);

  core::Resources free() const { return entry.capacity - used; }

  /// @returns what lasting tasks can have if all others make way.
  core::Resources long_running_room() const { return entry.capacity - lasting; }
};

/// @returns where orders for the worker go.
Destination DestinationOf(const Worker& worker);

/// @returns what a task of the step reserves on a worker.
core::Resources Reservation(const StepSpec& step);

/// The workers of one slice. Handles stay valid.
class WorkerPool {
 public:
  Worker& Add(WorkerEntry entry, chart::StateId contact);

  Worker& Get(core::WorkerId id) { return *workers_[id.value()]; }

  /// @returns the worker, or nullptr.
  Worker* Find(std::string_view id);

  std::span<const std::unique_ptr<Worker>> all() const { return workers_; }

 private:
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_WORKER_POOL_H_
