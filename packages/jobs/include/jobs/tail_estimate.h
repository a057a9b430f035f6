#ifndef JOBS_TAIL_ESTIMATE_H_
#define JOBS_TAIL_ESTIMATE_H_

#include <chrono>
#include <optional>

#include "core/time.h"

namespace hickoryusher::jobs {

/// Time constant of the exponential smoothing with which workers report tails.
inline constexpr core::Duration kReportSmoothing =
    std::chrono::milliseconds(330);

/// Shortest interval over which smoothed reports are compared: over a shorter
/// one, rounding to whole milliseconds dominates the result.
inline constexpr core::Duration kMinReportWindow =
    std::chrono::milliseconds(300);

/// @returns the weight that a value of @p age keeps in a smoothed report.
double SmoothingWeight(core::Duration age);

/// Estimates the tail latency of one run since its last report.
///
/// @remarks A reported tail is smoothed: a short peak keeps later reports over
/// the target for more than a second after its cause has ended. Two reports
/// and the time between them give the mean of that time.
class TailEstimate {
 public:
  /// Adds a report, at least kMinReportWindow after the one before.
  /// @param settled whether the run is old enough for the smoothed report to
  /// show its tail; a first report is taken as it is then.
  void Update(double reported_ms, core::TimePoint at, bool settled = false);
  void Reset() { *this = {}; }

  /// @returns the tail since the last report but one; nothing before a second
  /// or settled report.
  const std::optional<double>& recent_ms() const { return recent_ms_; }

 private:
  std::optional<core::TimePoint> reported_at_;
  double reported_ms_ = 0;
  std::optional<double> recent_ms_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_TAIL_ESTIMATE_H_
