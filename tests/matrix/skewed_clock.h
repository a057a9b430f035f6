#ifndef MATRIX_SKEWED_CLOCK_H_
#define MATRIX_SKEWED_CLOCK_H_

#include <chrono>

#include "core/time.h"

namespace hickoryusher::matrix {

/// Clock of one process, whose rate may differ from that of true time.
class SkewedClock {
 public:
  core::TimePoint At(core::TimePoint true_time) const {
    const core::Duration passed = true_time - true_base_;
    return base_ + passed + passed * percent_ / 100;
  }

  /// @returns the first true time at which the clock shows @p shown.
  core::TimePoint TrueTimeOf(core::TimePoint shown) const {
    const core::Duration passed = shown - base_;
    core::TimePoint at = true_base_ + passed * 100 / (100 + percent_);
    while (At(at) < shown) {
      at += core::Duration(1);
    }
    return at;
  }

  void SetRate(int percent, core::TimePoint true_now) {
    base_ = At(true_now);
    true_base_ = true_now;
    percent_ = percent;
  }

 private:
  core::TimePoint base_{std::chrono::seconds(1000)};
  core::TimePoint true_base_{std::chrono::seconds(100)};
  int percent_ = 0;
};

}  // namespace hickoryusher::matrix

#endif  // MATRIX_SKEWED_CLOCK_H_
