#ifndef ROUTING_POLICY_H_
#define ROUTING_POLICY_H_

#include <variant>

namespace hickoryusher::routing {

/// Takes two eligible endpoints at random and chooses the one with the lower
/// score: load x average success latency x penalties of poor health.
struct PowerOfTwoChoices {
  /// Factor on the score of a suspect endpoint. Suspects still get some
  /// requests, so that more of them than may be ejected cannot shift the whole
  /// load to the others.
  double suspect_penalty = 8;
};

/// Chooses the endpoint with the fewest requests in flight per slot. A
/// baseline for measurements: it prefers endpoints that fail fast.
struct LeastLoaded {};

/// Chooses any eligible endpoint. A baseline for measurements.
struct RandomChoice {};

using Policy = std::variant<PowerOfTwoChoices, LeastLoaded, RandomChoice>;

}  // namespace hickoryusher::routing

#endif  // ROUTING_POLICY_H_
