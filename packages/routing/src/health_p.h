#ifndef ROUTING_HEALTH_P_H_
#define ROUTING_HEALTH_P_H_

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "chart/interpreter.h"
#include "routing/router.h"
#include "routing/types.h"

namespace hickoryusher::routing {

/// Endpoints of one service in one failure domain; the limit on ejections
/// applies to each group.
struct HealthGroup {
  int size = 0;
  int out = 0;  ///< Ejected or probing.
};

/// Average success latency over the endpoints of a service.
struct LatencyReference {
  double nanos = 0;  ///< 0 before the first success.

  void Add(core::Duration latency);
};

/// Data that the health chart of one endpoint works on.
struct EndpointHealth {
  const RouterSettings* settings = nullptr;
  LatencyReference* reference = nullptr;
  HealthGroup* group = nullptr;
  chart::StateId state;
  Health health = Health::kHealthy;
  double failures = 0;       ///< Average of recent results, 0 to 1.
  double latency_nanos = 0;  ///< EWMA of successes; 0 before the first.
  int successes = 0;
  core::TimePoint last_success;
  core::TimePoint now;
  core::Duration backoff{};
  std::optional<core::TimePoint> timer;
  bool trial_due = false;  ///< The next suitable request is for this endpoint.
  core::TimePoint trial_since;

  void StartTimer(chart::EventId, core::Duration duration) {
    timer = now + duration;
  }
  void CancelTimer(chart::EventId) { timer.reset(); }

  /// Average success latency, drawn back to the service's average with age: an
  /// endpoint that was slow gets no requests that could show that it recovered.
  double ExpectedNanos(core::TimePoint at) const;
  bool IsSlow() const;
  void AddLatency(core::Duration latency);
  void AddResult(double weight, double failed);
};

/// Runs the health chart of every endpoint.
class HealthTable {
 public:
  static std::optional<HealthTable> Create(const chart::Chart& chart,
                                           std::vector<std::string>& problems);

  /// @returns true if the endpoint's state changed.
  bool Record(EndpointHealth& endpoint,
              const AttemptResult& result,
              core::TimePoint now) const;
  bool Leave(EndpointHealth& endpoint, core::TimePoint now) const;
  bool Return(EndpointHealth& endpoint, core::TimePoint now) const;
  bool FireTimer(EndpointHealth& endpoint, core::TimePoint now) const;
  void Start(EndpointHealth& endpoint) const;

 private:
  using Interpreter = chart::Interpreter<EndpointHealth>;

  explicit HealthTable(Interpreter interpreter);
  bool Dispatch(EndpointHealth& endpoint,
                chart::EventId event,
                core::TimePoint now) const;

  Interpreter interpreter_;
  chart::EventId success_;
  chart::EventId failure_;
  chart::EventId trial_due_;
  chart::EventId leave_;
  chart::EventId return_;
  std::vector<Health> names_;  ///< By state.
};

}  // namespace hickoryusher::routing

#endif  // ROUTING_HEALTH_P_H_
