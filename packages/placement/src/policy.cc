#include "placement/policy.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "core/overloaded.h"

namespace hickoryusher::placement {
namespace {

bool Admits(const Worker& worker, const PlacementRequest& request) {
  if (!worker.up || !core::Fits(request.size, worker.Free())) {
    return false;
  }
  // A quarantined worker is tried with a single task.
  if (worker.quarantined &&
      (request.now < worker.retry_at || !worker.tasks.empty())) {
    return false;
  }
  return std::ranges::none_of(worker.bans, [&](const Ban& ban) {
    return (ban.job.valid() ? ban.job == request.job
                            : ban.kind == request.kind) &&
           request.now < ban.until;
  });
}

/// Fraction of the scarcer of processors and memory that is charged once the
/// task is placed.
double Load(const Worker& worker, const PlacementRequest& request) {
  const core::Resources used = worker.charged + request.size;
  const core::Resources& capacity = worker.spec.capacity;
  const auto part = [](std::int64_t a, std::int64_t b) {
    return b == 0 ? 0.0 : static_cast<double>(a) / static_cast<double>(b);
  };
  return std::max(part(used.cpu_millis, capacity.cpu_millis),
                  part(used.memory_bytes, capacity.memory_bytes));
}

/// Keeps workers with accelerators for tasks that need them.
double AcceleratorWaste(const Worker& worker, const PlacementRequest& request) {
  return request.size.accelerators == 0 && worker.spec.capacity.accelerators > 0
             ? 1.0
             : 0.0;
}

/// A tenth of extra time for a service counts like a worker that is fuller by
/// four tenths.
constexpr double kExtraWeight = 4.0;

/// Lower is better; nothing if the worker must not be used.
using Score = std::optional<double>;

Score LearnedScore(const LearnedPlacement& policy,
                   const SlowdownTable& slowdowns,
                   const Worker& worker,
                   const PlacementRequest& request,
                   double best) {
  const double load = Load(worker, request);
  // Services are packed together, which leaves whole workers to batch work
  // that would slow them down.
  if (request.work_class != core::WorkClass::kBatch) {
    const double extra = slowdowns.Predict(request.kind, worker.kinds);
    return kExtraWeight * extra - load;
  }
  // Predicting slowdowns costs most of a placement and only adds to the score.
  if (load >= best) {
    return std::nullopt;
  }
  // No more batch work where the guard is already at work.
  if (worker.guard.throttle() > 0) {
    return std::nullopt;
  }
  double worst = 0;
  for (const KindCount& resident : worker.kinds) {
    if (resident.work_class == core::WorkClass::kBatch) {
      continue;
    }
    const double pair = slowdowns.Pair(resident.kind, request.kind);
    if (resident.extra + pair > policy.max_extra && pair > 0) {
      return std::nullopt;
    }
    worst = std::max(worst, pair);
  }
  return kExtraWeight * worst + load;
}

template <typename ScoreFunction>
Worker* Lowest(WorkerTable& workers,
               const PlacementRequest& request,
               ScoreFunction score) {
  Worker* best = nullptr;
  double best_score = std::numeric_limits<double>::infinity();
  for (Worker& worker : workers.workers()) {
    if (!Admits(worker, request)) {
      continue;
    }
    const Score value = score(worker, best_score);
    if (value.has_value() &&
        *value + AcceleratorWaste(worker, request) < best_score) {
      best = &worker;
      best_score = *value + AcceleratorWaste(worker, request);
    }
  }
  return best;
}

}  // namespace

bool IsLearned(const Policy& policy) {
  return std::holds_alternative<LearnedPlacement>(policy);
}

core::Resources SizeFor(const Policy& policy,
                        const SizeEstimator& estimator,
                        const JobSpec& job,
                        core::TimePoint now) {
  return IsLearned(policy) ? estimator.Estimate(job.kind, job.declared, now)
                           : job.declared;
}

Worker* Choose(const Policy& policy,
               WorkerTable& workers,
               const SlowdownTable& slowdowns,
               const PlacementRequest& request) {
  return std::visit(
      core::Overloaded{
          [&](const DeclaredSizes&) {
            return Lowest(workers, request,
                          [&](const Worker& w, double) -> Score {
                            return -Load(w, request);
                          });
          },
          [&](const LeastLoaded&) {
            return Lowest(workers, request,
                          [&](const Worker& w, double) -> Score {
                            return Load(w, request);
                          });
          },
          [&](const SpreadByRack&) {
            return Lowest(
                workers, request, [&](const Worker& w, double) -> Score {
                  return workers.RackCount(w.spec.rack, request.kind) +
                         Load(w, request);
                });
          },
          [&](const LearnedPlacement& policy_params) {
            return Lowest(workers, request, [&](const Worker& w, double best) {
              return LearnedScore(policy_params, slowdowns, w, request, best);
            });
          },
      },
      policy);
}

}  // namespace hickoryusher::placement
