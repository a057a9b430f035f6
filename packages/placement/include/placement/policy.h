#ifndef PLACEMENT_POLICY_H_
#define PLACEMENT_POLICY_H_

#include <variant>

#include "placement/size_estimator.h"
#include "placement/worker_table.h"

namespace hickoryusher::placement {

/// Baseline: declared sizes, on the worker with the least room left.
struct DeclaredSizes {};
/// Baseline: declared sizes, on the worker with the most room left.
struct LeastLoaded {};
/// Baseline: declared sizes, in the rack with the fewest tasks of the kind.
struct SpreadByRack {};
/// Estimated sizes, where the learned slowdowns are least.
struct LearnedPlacement {
  /// Predicted extra time of a latency-critical task, as a fraction, above
  /// which a neighbour is not added.
  double max_extra = 0.05;
  /// See SlowdownTable::Forget.
  core::Duration forget_half_life = std::chrono::minutes(10);
};
using Policy =
    std::variant<DeclaredSizes, LeastLoaded, SpreadByRack, LearnedPlacement>;

/// A task to place.
struct PlacementRequest {
  core::JobId job;
  KindId kind;
  core::WorkClass work_class = core::WorkClass::kBatch;
  core::Resources size;
  core::TimePoint now;
};

/// @returns the size to charge for a task of @p job.
core::Resources SizeFor(const Policy& policy,
                        const SizeEstimator& estimator,
                        const JobSpec& job,
                        core::TimePoint now);

/// @returns the worker to place the task on, or nullptr if none has room.
Worker* Choose(const Policy& policy,
               WorkerTable& workers,
               const SlowdownTable& slowdowns,
               const PlacementRequest& request);

/// @returns true if the policy places by learned sizes and slowdowns.
bool IsLearned(const Policy& policy);

}  // namespace hickoryusher::placement

#endif  // PLACEMENT_POLICY_H_
