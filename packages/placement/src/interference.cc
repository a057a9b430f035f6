#include "placement/interference.h"

#include <algorithm>
#include <cmath>

namespace hickoryusher::placement {
namespace {

/// Share of the prediction error that one report corrects. Small, because one
/// report is noisy and a worker reports every second.
constexpr double kLearningRate = 0.1;
constexpr core::Duration kForgetInterval = std::chrono::seconds(1);

}  // namespace

double SlowdownTable::Pair(KindId victim, KindId aggressor) const {
  return victim.value() < pairs_.size() &&
                 aggressor.value() < pairs_[victim.value()].size()
             ? pairs_[victim.value()][aggressor.value()]
             : 0.0;
}

double SlowdownTable::Predict(KindId victim,
                              std::span<const KindCount> neighbours) const {
  double extra = 0;
  for (const KindCount& neighbour : neighbours) {
    extra += neighbour.count * Pair(victim, neighbour.kind);
  }
  return extra;
}

void SlowdownTable::Learn(KindId victim,
                          std::span<const KindCount> neighbours,
                          double slowdown) {
  double norm = 0;
  for (const KindCount& neighbour : neighbours) {
    norm += static_cast<double>(neighbour.count) * neighbour.count;
  }
  if (norm <= 0) {
    return;
  }
  const double error = (slowdown - 1.0) - Predict(victim, neighbours);
  if (victim.value() >= pairs_.size()) {
    pairs_.resize(victim.value() + 1);
  }
  std::vector<float>& row = pairs_[victim.value()];
  for (const KindCount& neighbour : neighbours) {
    if (neighbour.kind.value() >= row.size()) {
      row.resize(neighbour.kind.value() + 1);
    }
    float& pair = row[neighbour.kind.value()];
    const double step = kLearningRate * error * neighbour.count / norm;
    pair = static_cast<float>(std::max(0.0, pair + step));
  }
}

void SlowdownTable::Forget(core::Duration half_life, core::TimePoint now) {
  const core::Duration passed = now - forgotten_at_;
  if (passed < kForgetInterval) {
    return;
  }
  forgotten_at_ = now;
  const double half_lives = std::chrono::duration<double>(passed) / half_life;
  const auto factor = static_cast<float>(std::exp2(-half_lives));
  for (std::vector<float>& row : pairs_) {
    std::ranges::for_each(row, [factor](float& pair) { pair *= factor; });
  }
}

GuardAction WorkerGuardState::OnReport(const GuardConfig& config,
                                       double slowdown,
                                       core::TimePoint now) {
  if (!config.enabled) {
    return {};
  }
  over_ = slowdown > config.limit ? over_ + 1 : 0;
  under_ = slowdown < config.ease_below ? under_ + 1 : 0;
  const bool settled = now - last_step_ >= config.throttle_grace;
  if (under_ >= config.reports_before_step && throttle_ > 0 && settled) {
    last_step_ = now;
    under_ = 0;
    return SetThrottle{.level = --throttle_};
  }
  if (over_ < config.reports_before_step || (throttle_ > 0 && !settled)) {
    return {};
  }
  last_step_ = now;
  over_ = 0;
  if (throttle_ < kMaxThrottle) {
    return SetThrottle{.level = ++throttle_};
  }
  return EvictOne{};
}

}  // namespace hickoryusher::placement
