#ifndef JOBS_PACE_PLAN_H_
#define JOBS_PACE_PLAN_H_

#include <cstdint>
#include <span>
#include <vector>

namespace hickoryusher::jobs {

inline constexpr std::uint32_t kFullPacePercent = 100;

/// Which best-effort tasks are paused because a serving task on their worker
/// stays over its latency target.
enum class PaceAlarm {
  kNone,
  kPauseDisturbing,  ///< Those with more than a negligible raise.
  kPauseAll,
};

/// Plans the paces of the best-effort tasks on one worker. Tasks that take the
/// smallest share of a headroom come first and run at full pace; the others
/// share what is left.
///
/// @param headrooms by serving task: the raise of its utilisation that
/// best-effort tasks may cause; greater than 0.
/// @param raises by best-effort task, then by serving task: the raise that it
/// causes at full pace.
/// @returns the pace in percent by best-effort task.
std::vector<std::uint32_t> PlanPaces(
    std::span<const double> headrooms,
    std::span<const std::vector<double>> raises,
    PaceAlarm alarm);

}  // namespace hickoryusher::jobs

#endif  // JOBS_PACE_PLAN_H_
