#ifndef PLACEMENT_WORKER_TABLE_H_
#define PLACEMENT_WORKER_TABLE_H_

#include <span>
#include <unordered_map>
#include <vector>

#include "placement/interference.h"
#include "placement/types.h"

namespace hickoryusher::placement {

/// Index of a task in the scheduler's task table.
using TaskSlot = std::uint32_t;

/// A kind, or a single job, that may not be placed on a worker for some time.
struct Ban {
  KindId kind;      ///< Invalid for a ban of one job.
  core::JobId job;  ///< Invalid for a ban of a kind.
  core::TimePoint until;
};

struct Worker {
  WorkerSpec spec;
  core::Resources charged;
  bool up = false;
  bool quarantined = false;
  core::TimePoint retry_at;  ///< When a quarantined worker may try one task.
  std::vector<TaskSlot> tasks;
  std::vector<KindCount> kinds;
  std::vector<Ban> bans;
  WorkerGuardState guard;

  core::Resources Free() const { return spec.capacity - charged; }
};

/// Workers and the capacity that is charged on them. A charge is kept from the
/// placement until the attempt provably runs no more.
class WorkerTable {
 public:
  /// Adds the worker or updates its capacity, and marks it up.
  Worker& Up(const WorkerSpec& spec);
  /// Sets the capacity of every listed worker and takes away that of the
  /// others. Whether a worker is up does not change for those listed.
  void SetFleet(std::span<const WorkerSpec> fleet);
  /// Adds the worker without capacity unless it is known.
  Worker& Ensure(core::WorkerId id);
  Worker* Find(core::WorkerId id);
  const Worker* Find(core::WorkerId id) const;

  /// @remarks A charge may exceed the capacity: a task that runs is charged
  /// even on a worker that has not reported its capacity yet.
  void Charge(Worker& worker,
              TaskSlot slot,
              const JobSpec& job,
              const core::Resources& size);
  void Release(Worker& worker,
               TaskSlot slot,
               const JobSpec& job,
               const core::Resources& size);

  std::span<Worker> workers() { return workers_; }
  std::span<const Worker> workers() const { return workers_; }
  /// @returns the sum of the capacity of the fleet.
  const core::Resources& capacity() const { return capacity_; }
  /// @returns the number of tasks of @p kind in @p rack.
  int RackCount(core::RackId rack, KindId kind) const;

 private:
  void SetSpec(Worker& worker, const WorkerSpec& spec);
  int& RackSlot(core::RackId rack, KindId kind);

  std::vector<Worker> workers_;
  std::unordered_map<core::WorkerId, std::uint32_t> index_;
  std::vector<std::vector<int>> rack_counts_;
  core::Resources capacity_;
};

}  // namespace hickoryusher::placement

#endif  // PLACEMENT_WORKER_TABLE_H_
