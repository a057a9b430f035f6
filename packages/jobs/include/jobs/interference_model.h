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

/// Learns by how much the images of spare work disturb the images that serve.
///
/// @remarks The tail latency of a server with utilisation u is taken as
/// idle_tail / (1 - u), as in a queue with one server. Neighbours multiply u
/// by 1 + sum of weight x share. A weight belongs to a pair of images and is
/// estimated by a Kalman filter without covariances between pairs: most pairs
/// hardly disturb each other, and a few do strongly.
class InterferenceModel {
 public:
  /// @param raise by how much the utilisation was above the one expected
  /// without neighbours, as a share of that.
  /// @param noise standard deviation of @p raise.
  void Learn(std::string_view serving,
             std::span<const Neighbour> neighbours,
             double raise,
             double noise);

  /// @returns the expected raise.
  double Raise(std::string_view serving,
               std::span<const Neighbour> neighbours) const;

  /// @returns a raise that is probably not exceeded.
  double CautiousRaise(std::string_view serving,
                       std::span<const Neighbour> neighbours) const;

 private:
  struct Weight {
    double mean = 0;
    double variance = 0;
  };
  using Pair = std::pair<std::string, std::string>;

  Weight Find(std::string_view serving, std::string_view image) const;

  std::map<Pair, Weight> weights_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_INTERFERENCE_MODEL_H_
