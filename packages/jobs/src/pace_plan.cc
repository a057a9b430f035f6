#include "jobs/pace_plan.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace hickoryusher::jobs {
namespace {

// Paces change in steps to limit the number of calls to workers.
constexpr std::uint32_t kPaceStepPercent = 10;

// A raise by a single best-effort task up to this value does not justify
// slowing it.
constexpr double kNegligibleRaise = 0.01;

// Returns the largest share of a headroom that the raises take.
double LargestShare(std::span<const double> headrooms,
                    std::span<const double> raises) {
  return std::transform_reduce(
      headrooms.begin(), headrooms.end(), raises.begin(), 0.0,
      [](double a, double b) { return std::max(a, b); },
      [](double headroom, double raise) { return raise / headroom; });
}

// Returns the largest fraction of the full pace whose raises fit.
double FittingFraction(std::span<const double> headrooms,
                       std::span<const double> raises,
                       bool pause_disturbing) {
  return std::transform_reduce(
      headrooms.begin(), headrooms.end(), raises.begin(), 1.0,
      [](double a, double b) { return std::min(a, b); },
      [pause_disturbing](double headroom, double raise) {
        if (raise <= kNegligibleRaise) {
          return 1.0;
        }
        return pause_disturbing ? 0.0 : std::max(headroom, 0.0) / raise;
      });
}

}  // namespace

std::vector<std::uint32_t> PlanPaces(
    std::span<const double> headrooms,
    std::span<const std::vector<double>> raises,
    PaceAlarm alarm) {
  std::vector<std::uint32_t> paces(raises.size());
  if (alarm == PaceAlarm::kPauseAll) {
    return paces;
  }
  std::vector<double> left(headrooms.begin(), headrooms.end());
  std::vector<std::size_t> order(raises.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::sort(order, {}, [&](std::size_t task) {
    return LargestShare(headrooms, raises[task]);
  });
  for (const std::size_t task : order) {
    const double fraction = FittingFraction(
        left, raises[task], alarm == PaceAlarm::kPauseDisturbing);
    paces[task] = static_cast<std::uint32_t>(fraction * kFullPacePercent /
                                             kPaceStepPercent) *
                  kPaceStepPercent;
    std::ranges::transform(
        left, raises[task], left.begin(), [&](double headroom, double raise) {
          return headroom - raise * paces[task] / kFullPacePercent;
        });
  }
  return paces;
}

}  // namespace hickoryusher::jobs
