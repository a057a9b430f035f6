#ifndef JOBS_INTERFERENCE_MODEL_H_
#define JOBS_INTERFERENCE_MODEL_H_

#include <span>
#include <vector>

#include "core/handle.h"

namespace hickoryusher::jobs {

/// Identifies the image that a task runs. Tasks of one image are assumed to
/// interfere alike.
using ImageId = core::Handle<struct ImageTag>;

/// A task, or several of one image, on the same worker as a serving task.
struct Neighbour {
  ImageId image;
  /// CPU that it uses, as a share of the worker's capacity.
  double share = 0;
};

/// Estimates by how much the neighbours' images raise the utilisation of
/// serving images.
///
/// @remarks The tail latency of a server with utilisation u is modelled as
/// idle_tail / (1 - u), as in a queue with one server. Neighbours multiply u by
/// 1 + sum of weight x share. A weight belongs to a pair of images and is
/// estimated by a Kalman filter without covariances between pairs: most pairs
/// hardly interfere, and a few do strongly.
class InterferenceModel {
 public:
  /// @param raise relative increase of the utilisation over the one expected
  /// without neighbours.
  /// @param noise standard deviation of @p raise.
  void Learn(ImageId serving,
             std::span<const Neighbour> neighbours,
             double raise,
             double noise);

  /// @returns the expected raise.
  double Raise(ImageId serving, std::span<const Neighbour> neighbours) const;

  /// @returns a raise that is probably not exceeded: it takes the mean of each
  /// weight plus a share of its standard deviation.
  double CautiousRaise(ImageId serving,
                       std::span<const Neighbour> neighbours) const;

 private:
  // Initial estimate for a pair without observations: most pairs have weights
  // near 0, some 1 to 4.
  static constexpr double kFirstMean = 0.8;
  static constexpr double kFirstVariance = 1.0;

  struct Weight {
    double mean = kFirstMean;
    double variance = kFirstVariance;
  };
  Weight Find(ImageId serving, ImageId image) const;
  Weight& Row(ImageId serving, ImageId image);

  /// Indexed by serving image, then by the neighbour's image; pairs without an
  /// entry have the initial estimate.
  std::vector<std::vector<Weight>> weights_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_INTERFERENCE_MODEL_H_
