#include "jobs/interference_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hickoryusher::jobs {
namespace {

constexpr double kMaxMean = 8.0;

// Lower limit of the variance. Weights change within seconds, so the filter has
// to keep adapting.
constexpr double kMinVariance = 0.01;

// Number of standard deviations that CautiousRaise adds to the mean.
constexpr double kCautiousDeviations = 0.5;

}  // namespace

InterferenceModel::Weight InterferenceModel::Find(ImageId serving,
                                                  ImageId image) const {
  if (serving.value() >= weights_.size() ||
      image.value() >= weights_[serving.value()].size()) {
    return {};
  }
  return weights_[serving.value()][image.value()];
}

InterferenceModel::Weight& InterferenceModel::Row(ImageId serving,
                                                  ImageId image) {
  if (serving.value() >= weights_.size()) {
    weights_.resize(serving.value() + 1);
  }
  std::vector<Weight>& row = weights_[serving.value()];
  if (image.value() >= row.size()) {
    row.resize(image.value() + 1);
  }
  return row[image.value()];
}

double InterferenceModel::Raise(ImageId serving,
                                std::span<const Neighbour> neighbours) const {
  return std::accumulate(neighbours.begin(), neighbours.end(), 0.0,
                         [&](double sum, const Neighbour& n) {
                           return sum + Find(serving, n.image).mean * n.share;
                         });
}

double InterferenceModel::CautiousRaise(
    ImageId serving,
    std::span<const Neighbour> neighbours) const {
  return std::accumulate(
      neighbours.begin(), neighbours.end(), 0.0,
      [&](double sum, const Neighbour& n) {
        const Weight weight = Find(serving, n.image);
        return sum + (weight.mean +
                      kCautiousDeviations * std::sqrt(weight.variance)) *
                         n.share;
      });
}

void InterferenceModel::Learn(ImageId serving,
                              std::span<const Neighbour> neighbours,
                              double raise,
                              double noise) {
  const double error = raise - Raise(serving, neighbours);
  // Several tasks of one image count as one larger neighbour.
  std::vector<Neighbour> merged;
  for (const Neighbour& n : neighbours) {
    const auto same = std::ranges::find(merged, n.image, &Neighbour::image);
    if (same == merged.end()) {
      merged.push_back(n);
    } else {
      same->share += n.share;
    }
  }
  double uncertainty = noise * noise;
  for (const Neighbour& n : merged) {
    uncertainty += Find(serving, n.image).variance * n.share * n.share;
  }
  for (const Neighbour& n : merged) {
    Weight& weight = Row(serving, n.image);
    const double gain = weight.variance * n.share / uncertainty;
    weight.mean = std::clamp(weight.mean + gain * error, 0.0, kMaxMean);
    weight.variance =
        std::max(kMinVariance, weight.variance * (1 - gain * n.share));
  }
}

}  // namespace hickoryusher::jobs
