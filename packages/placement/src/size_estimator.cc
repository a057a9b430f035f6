#include "placement/size_estimator.h"

#include <algorithm>
#include <array>
#include <span>

namespace hickoryusher::placement {
namespace {

/// Enough for a 95% quantile; older samples say little about present use.
constexpr std::size_t kMaxSamples = 64;
/// Recomputing on every sample would sort once per running task and report.
constexpr std::size_t kRecomputeEvery = 8;

std::int64_t Quantile(std::span<const core::Resources> samples,
                      std::int64_t core::Resources::*member,
                      int percent) {
  std::array<std::int64_t, kMaxSamples> values{};
  std::ranges::transform(samples, values.begin(),
                         [member](const auto& s) { return s.*member; });
  const std::size_t rank = (samples.size() - 1) * percent / 100;
  std::nth_element(values.begin(), values.begin() + rank,
                   values.begin() + samples.size());
  return values.at(rank);
}

}  // namespace

void SizeEstimator::Record(KindId id,
                           const core::Resources& use,
                           core::TimePoint now) {
  if (id.value() >= kinds_.size()) {
    kinds_.resize(id.value() + 1);
  }
  Kind& kind = kinds_[id.value()];
  if (kind.samples.size() < kMaxSamples) {
    kind.samples.push_back(use);
  } else {
    kind.samples[kind.next % kMaxSamples] = use;
  }
  ++kind.next;
  kind.last_report = now;
  if (kind.samples.size() >= static_cast<std::size_t>(config_.min_samples) &&
      (!kind.known || kind.next % kRecomputeEvery == 0)) {
    Recompute(kind);
  }
}

void SizeEstimator::Recompute(Kind& kind) const {
  const auto with_margin = [this](std::int64_t value) {
    return value + value * config_.margin_percent / 100;
  };
  kind.known = true;
  kind.estimate.cpu_millis = with_margin(Quantile(
      kind.samples, &core::Resources::cpu_millis, config_.quantile_percent));
  kind.estimate.memory_bytes = with_margin(Quantile(
      kind.samples, &core::Resources::memory_bytes, config_.quantile_percent));
}

core::Resources SizeEstimator::Estimate(KindId id,
                                        const core::Resources& declared,
                                        core::TimePoint now) const {
  if (id.value() >= kinds_.size()) {
    return declared;
  }
  const Kind& kind = kinds_[id.value()];
  if (!kind.known || now - kind.last_report > config_.max_report_age) {
    return declared;
  }
  core::Resources estimate = kind.estimate;
  estimate.accelerators = declared.accelerators;
  return estimate;
}

}  // namespace hickoryusher::placement
