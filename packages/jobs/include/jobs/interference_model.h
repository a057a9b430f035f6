#ifndef JOBS_INTERFERENCE_MODEL_H_
#define JOBS_INTERFERENCE_MODEL_H_

#include <span>
#include <vector>

#include "core/handle.h"

namespace hickoryusher::jobs {

/// What tasks run; tasks of one image behave alike.
using ImageId = core::Handle<struct ImageTag>;

/// Spare work next to a task that serves.
struct Neighbour {
  ImageId image;
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
  void Learn(ImageId serving,
             std::span<const Neighbour> neighbours,
             double raise,
             double noise);

  /// @returns the expected raise.
  double Raise(ImageId serving, std::span<const Neighbour> neighbours) const;

  /// @returns a raise that is probably not exceeded.
  double CautiousRaise(ImageId serving,
                       std::span<const Neighbour> neighbours) const;

 private:
  // A pair that has not been seen: most pairs have weights near 0, some 1 to 4.
  static constexpr double kFirstMean = 0.3;
  static constexpr double kFirstVariance = 1.0;

  struct Weight {
    double mean = kFirstMean;
    double variance = kFirstVariance;
  };
  Weight Find(ImageId serving, ImageId image) const;
  Weight& Row(ImageId serving, ImageId image);

  /// By serving image, then by the other's; missing ones are unknown.
  std::vector<std::vector<Weight>> weights_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_INTERFERENCE_MODEL_H_
