#include "jobs/interference_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hickoryusher::jobs {
namespace {

// A pair that has not been seen: most pairs have weights near 0, some 1 to 4.
constexpr double kFirstMean = 0.3;
constexpr double kFirstVariance = 1.0;
constexpr double kMaxMean = 8.0;

// Weights change within seconds, so that no estimate becomes certain.
constexpr double kLeastVariance = 0.01;

// Standard deviations above the mean that a cautious estimate takes.
constexpr double kCaution = 0.5;

}  // namespace

InterferenceModel::Weight InterferenceModel::Find(
    std::string_view serving,
    std::string_view image) const {
  const auto found =
      weights_.find(Pair(std::string(serving), std::string(image)));
  return found == weights_.end()
             ? Weight{.mean = kFirstMean, .variance = kFirstVariance}
             : found->second;
}

double InterferenceModel::Raise(std::string_view serving,
                                std::span<const Neighbour> neighbours) const {
  return std::accumulate(
      neighbours.begin(), neighbours.end(), 0.0,
      [&](double sum, const Neighbour& n) {
        return sum + Find(serving, n.image).mean * n.share;
      });
}

double InterferenceModel::CautiousRaise(
    std::string_view serving,
    std::span<const Neighbour> neighbours) const {
  return std::accumulate(
      neighbours.begin(), neighbours.end(), 0.0,
      [&](double sum, const Neighbour& n) {
        const Weight weight = Find(serving, n.image);
        return sum +
               (weight.mean + kCaution * std::sqrt(weight.variance)) * n.share;
      });
}

void InterferenceModel::Learn(std::string_view serving,
                              std::span<const Neighbour> neighbours,
                              double raise,
                              double noise) {
  const double error = raise - Raise(serving, neighbours);
  // Several tasks of one image count as one larger neighbour.
  std::map<std::string_view, double> shares;
  for (const Neighbour& n : neighbours) {
    shares[n.image] += n.share;
  }
  double uncertainty = noise * noise;
  for (const auto& [image, share] : shares) {
    uncertainty += Find(serving, image).variance * share * share;
  }
  for (const auto& [image, share] : shares) {
    Weight weight = Find(serving, image);
    const double gain = weight.variance * share / uncertainty;
    weight.mean = std::clamp(weight.mean + gain * error, 0.0, kMaxMean);
    weight.variance =
        std::max(kLeastVariance, weight.variance * (1 - gain * share));
    weights_[Pair(std::string(serving), std::string(image))] = weight;
  }
}

}  // namespace hickoryusher::jobs
