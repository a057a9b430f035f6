#ifndef ROUTING_ROUTER_H_
#define ROUTING_ROUTER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "chart/chart.h"
#include "routing/policy.h"
#include "routing/types.h"

namespace hickoryusher::routing {

struct RouterSettings {
  Policy policy = PowerOfTwoChoices{};
  /// Largest part of a service's endpoints in one failure domain that may be
  /// ejected at a time. A fault of this process itself looks like a fault of
  /// all endpoints and must not take them all out.
  double max_ejected_share = 0.5;
  core::Duration first_ejection = std::chrono::seconds(1);
  core::Duration longest_ejection = std::chrono::seconds(30);
  /// Time after which a suspect endpoint without results gets a request.
  core::Duration trial_interval = std::chrono::seconds(1);
  std::uint64_t seed = 1;
};

/// Static part of an endpoint's slots or connections that belongs to a seat.
/// The remainder of the division is rotated by endpoint, so that no seat gets
/// it everywhere.
constexpr int StaticShare(int total,
                          core::EndpointId endpoint,
                          SeatId seat,
                          std::uint32_t seats) {
  const auto whole = static_cast<std::uint32_t>(total);
  const std::uint32_t turn = (seat.value() + endpoint.value()) % seats;
  return static_cast<int>(whole / seats + (turn < whole % seats ? 1 : 0));
}

/// Chooses an endpoint for each request and learns from the results.
///
/// @remarks Not thread-safe; belongs to the router thread.
class Router {
 public:
  class Builder;

  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  ~Router();

  /// Chooses an endpoint and reserves a slot of it.
  /// @returns the choice, or nothing; see last_error(). Every choice must be
  /// followed by one Release.
  std::optional<Decision> Choose(const RequestFacts& request,
                                 core::TimePoint now);

  /// Gives the slot of a choice back.
  /// @param result what became of the attempt.
  void Release(const Slot& slot,
               const AttemptResult& result,
               core::TimePoint now);

  /// Applies a change of the fleet. An endpoint that leaves gets no request
  /// from this call on; results of requests in flight are still accepted.
  void Handle(const MembershipEvent& event, core::TimePoint now);

  /// @returns why the last Choose gave nothing.
  const ChooseError& last_error() const;

  Health health(core::EndpointId endpoint) const;

  /// Limits and use of slots; the share ledger writes the limits.
  SlotTable& slots();
  const SlotTable& slots() const;
  std::span<const EndpointSpec> endpoints() const;

 private:
  class Impl;
  explicit Router(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

/// Collects the endpoints and checks them together.
class Router::Builder {
 public:
  /// @param health chart `endpoint_health`; must outlive the router.
  Builder& HealthChart(const chart::Chart& health);
  /// Adds the endpoint whose EndpointId is the number of those added before.
  Builder& AddEndpoint(const EndpointSpec& endpoint);
  Builder& Settings(const RouterSettings& settings);
  /// States the position of this process.
  /// @param seats number of seats in @p domain.
  Builder& Seat(core::FailureDomainId domain, SeatId seat, std::uint32_t seats);
  /// Starts with the seat's static share instead of no slots. Only for a
  /// process that no other process could have succeeded, such as in tests.
  Builder& StartWithOwnShare();

  /// @returns the router, or nothing; see problems().
  std::optional<Router> Build();

  /// @returns every fault that the last Build found.
  std::span<const std::string> problems() const { return problems_; }

 private:
  const chart::Chart* health_ = nullptr;
  std::vector<EndpointSpec> endpoints_;
  RouterSettings settings_;
  core::FailureDomainId domain_;
  SeatId seat_;
  std::uint32_t seats_ = 0;
  bool own_share_ = false;
  std::vector<std::string> problems_;
};

}  // namespace hickoryusher::routing

#endif  // ROUTING_ROUTER_H_
