#ifndef PLACEMENT_INTERFERENCE_H_
#define PLACEMENT_INTERFERENCE_H_

#include <chrono>
#include <span>
#include <variant>
#include <vector>

#include "placement/types.h"

namespace hickoryusher::placement {

inline constexpr int kMaxThrottle = 2;

/// Number of tasks of one kind on a worker.
struct KindCount {
  KindId kind;
  core::WorkClass work_class = core::WorkClass::kBatch;
  int count = 0;
};

/// Slowdown that one task of a kind causes to a kind next to it, learned from
/// reports. The effects of several neighbours are taken to add up.
class SlowdownTable {
 public:
  /// Adjusts the pairs of @p victim so that the prediction for @p neighbours
  /// moves towards @p slowdown.
  void Learn(KindId victim,
             std::span<const KindCount> neighbours,
             double slowdown);

  /// Halves every pair once per @p half_life. A kind that was blamed wrongly
  /// is kept apart and so never measured again; it gets another chance.
  void Forget(core::Duration half_life, core::TimePoint now);

  /// @returns the extra time that one @p aggressor costs @p victim, as a
  /// fraction.
  double Pair(KindId victim, KindId aggressor) const;

  /// @returns the predicted extra time of @p victim among @p neighbours.
  double Predict(KindId victim, std::span<const KindCount> neighbours) const;

 private:
  std::vector<std::vector<float>> pairs_;  ///< By victim, then aggressor.
  core::TimePoint forgotten_at_;
};

struct GuardConfig {
  bool enabled = true;
  /// Slowdown of latency-critical tasks that calls for action.
  double limit = 1.10;
  /// Below this the throttle is eased. Apart from limit, so that the throttle
  /// does not switch on every report.
  double ease_below = 1.04;
  /// Reports in a row before a step, because one report can be noise.
  int reports_before_step = 2;
  /// A throttle gets this long to take effect before a task is evicted. Longer
  /// than the delay of reports.
  core::Duration throttle_grace = std::chrono::seconds(10);
  /// An evicted task runs at least this long before it is evicted again.
  core::Duration min_run = std::chrono::seconds(120);
  /// The kind of an evicted task is kept off the worker for this long.
  core::Duration ban = std::chrono::minutes(10);
};

struct SetThrottle {
  int level = 0;
};
struct EvictOne {};
using GuardAction = std::variant<std::monostate, SetThrottle, EvictOne>;

/// Protects the latency-critical tasks of one worker: throttle first, then
/// evict one task at a time.
class WorkerGuardState {
 public:
  /// @param slowdown worst slowdown of a latency-critical task in the report;
  /// 0 when none was measured.
  GuardAction OnReport(const GuardConfig& config,
                       double slowdown,
                       core::TimePoint now);

  int throttle() const { return throttle_; }

 private:
  int throttle_ = 0;
  int over_ = 0;
  int under_ = 0;
  core::TimePoint last_step_;
};

}  // namespace hickoryusher::placement

#endif  // PLACEMENT_INTERFERENCE_H_
