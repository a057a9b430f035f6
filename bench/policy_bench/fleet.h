#ifndef POLICY_BENCH_FLEET_H_
#define POLICY_BENCH_FLEET_H_

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "chart/chart.h"
#include "core/random.h"
#include "placement/scheduler.h"

namespace hickoryusher::placement::bench {

/// What a kind is really like; the scheduler sees only declared sizes and
/// reports.
struct TrueKind {
  core::WorkClass work_class = core::WorkClass::kBatch;
  core::Resources use;
  double declared_factor = 2;  ///< Declared size over true size.
  double seconds = 120;        ///< Mean run time of a batch task.
};

struct Scenario {
  int workers = 48;
  int seconds = 2400;
  int report_lag_seconds = 5;
  std::vector<TrueKind> kinds;
  /// Extra time of a service, as a fraction, for each neighbour of a kind.
  std::vector<std::vector<double>> pair_extra;
  int service_kinds = 3;
  int noisy_kind = 0;  ///< Arrives in waves.
};

/// Draws sizes, run times and slowdowns of pairs.
Scenario MakeScenario(std::uint64_t seed);

struct Result {
  double p99 = 0;  ///< Of the services' slowdown, over tasks and seconds.
  double p50 = 0;
  double batch_hours = 0;     ///< Core hours of useful batch work.
  double repeated_hours = 0;  ///< Core hours lost to checkpoints.
  int evictions = 0;
  int deadlines_met = 0;
  int deadlines = 0;
};

/// Runs @p policy on the scenario, one step a second.
Result RunPolicy(const chart::Chart& chart,
                 const Scenario& scenario,
                 std::uint64_t seed,
                 const SchedulerConfig& config);

}  // namespace hickoryusher::placement::bench

#endif  // POLICY_BENCH_FLEET_H_
