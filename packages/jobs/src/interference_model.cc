#include "jobs/interference_model.h"

#include <algorithm>
#include <numeric>

namespace hickoryusher::jobs {
namespace {

// Weight of a pair that has not been seen: a worker full of such work would
// more than double the tail.
constexpr double kFirstWeight = 0.8;
constexpr double kMaxWeight = 6.0;

// Share of an error that one observation corrects. Tails of half a second are
// rough figures, so a single one must not decide.
constexpr double kLearningRate = 0.3;

// Keeps a small neighbour from being blamed for all of an error.
constexpr double kNormFloor = 0.03;

}  // namespace

double InterferenceModel::Weight(std::string_view serving,
                                 std::string_view image) const {
  const auto found =
      weights_.find(Pair(std::string(serving), std::string(image)));
  return found == weights_.end() ? kFirstWeight : found->second;
}

double InterferenceModel::Effect(std::string_view serving,
                                 std::span<const Neighbour> neighbours) const {
  return std::accumulate(neighbours.begin(), neighbours.end(), 0.0,
                         [&](double sum, const Neighbour& neighbour) {
                           return sum + Weight(serving, neighbour.image) *
                                            neighbour.share;
                         });
}

void InterferenceModel::Learn(std::string_view serving,
                              std::span<const Neighbour> neighbours,
                              double log_calm,
                              double log_tail) {
  const double norm = std::accumulate(
      neighbours.begin(), neighbours.end(), kNormFloor,
      [](double sum, const Neighbour& n) { return sum + n.share * n.share; });
  const double error = log_tail - log_calm - Effect(serving, neighbours);
  for (const Neighbour& neighbour : neighbours) {
    const double moved = Weight(serving, neighbour.image) +
                         kLearningRate * error * neighbour.share / norm;
    weights_[Pair(std::string(serving), std::string(neighbour.image))] =
        std::clamp(moved, 0.0, kMaxWeight);
  }
}

}  // namespace hickoryusher::jobs
