#include "jobs/tail_estimate.h"

#include <algorithm>
#include <cmath>

namespace hickoryusher::jobs {

double SmoothingWeight(core::Duration age) {
  using Seconds = std::chrono::duration<double>;
  return std::exp(-Seconds(age) / Seconds(kReportSmoothing));
}

void TailEstimate::Update(double reported_ms,
                          core::TimePoint at,
                          bool settled) {
  if (reported_at_) {
    const double kept = SmoothingWeight(at - *reported_at_);
    recent_ms_ =
        std::max(0.0, (reported_ms - kept * reported_ms_) / (1 - kept));
  } else if (settled) {
    recent_ms_ = reported_ms;
  }
  reported_at_ = at;
  reported_ms_ = reported_ms;
}

}  // namespace hickoryusher::jobs
