#ifndef PLACEMENT_SIZE_ESTIMATOR_H_
#define PLACEMENT_SIZE_ESTIMATOR_H_

#include <chrono>
#include <vector>

#include "placement/types.h"

namespace hickoryusher::placement {

struct EstimatorConfig {
  /// Added to the reported use. Covers the difference between the reported
  /// quantile and the largest task of the kind.
  int margin_percent = 15;
  int quantile_percent = 95;
  int min_samples = 20;
  /// Reports older than this say nothing about present use.
  core::Duration max_report_age = std::chrono::seconds(30);
};

/// Estimates the size of a task from the reported use of its kind.
class SizeEstimator {
 public:
  explicit SizeEstimator(EstimatorConfig config) : config_(config) {}

  /// Records the use of one task that has run long enough to show it.
  void Record(KindId kind, const core::Resources& use, core::TimePoint now);

  /// @returns the estimate, or @p declared while there are too few samples or
  /// reports have stopped. Accelerators are always as declared.
  core::Resources Estimate(KindId kind,
                           const core::Resources& declared,
                           core::TimePoint now) const;

 private:
  struct Kind {
    std::vector<core::Resources> samples;  ///< Ring of the newest kMaxSamples.
    std::size_t next = 0;
    core::TimePoint last_report;
    core::Resources estimate;
    bool known = false;
  };

  void Recompute(Kind& kind) const;

  EstimatorConfig config_;
  std::vector<Kind> kinds_;
};

}  // namespace hickoryusher::placement

#endif  // PLACEMENT_SIZE_ESTIMATOR_H_
