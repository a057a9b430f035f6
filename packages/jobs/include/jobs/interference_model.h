#ifndef JOBS_INTERFERENCE_MODEL_H_
#define JOBS_INTERFERENCE_MODEL_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace hickoryusher::jobs {

/// Spare work next to a task that serves.
struct Neighbour {
  std::string_view image;
  /// Processors it works on, as a share of the worker's.
  double share = 0;
};

/// Learns from reported tail latencies by how much the images of spare work
/// disturb the images that serve.
///
/// @remarks A neighbour multiplies the tail by exp(weight x share). Weights
/// are adjusted by normalised least mean squares.
class InterferenceModel {
 public:
  /// Moves the weights towards an observation.
  /// @param log_calm logarithm of the tail that is expected without
  /// neighbours.
  /// @param log_tail logarithm of the tail that was reported.
  void Learn(std::string_view serving,
             std::span<const Neighbour> neighbours,
             double log_calm,
             double log_tail);

  /// @returns the logarithm of the factor by which the neighbours raise the
  /// tail.
  double Effect(std::string_view serving,
                std::span<const Neighbour> neighbours) const;

  double Weight(std::string_view serving, std::string_view image) const;

 private:
  using Pair = std::pair<std::string, std::string>;

  std::map<Pair, double> weights_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_INTERFERENCE_MODEL_H_
