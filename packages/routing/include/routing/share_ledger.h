#ifndef ROUTING_SHARE_LEDGER_H_
#define ROUTING_SHARE_LEDGER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "routing/share_types.h"

namespace hickoryusher::routing {

struct ShareSettings {
  /// Longest time for which a request may be in flight. The caller must not
  /// send requests with a later deadline.
  core::Duration longest_deadline = std::chrono::seconds(600);
  core::Duration loan = std::chrono::seconds(5);
  /// Largest error of a clock's rate. Every wait for another process is longer
  /// and every use of a loan shorter by it.
  double clock_margin = 0.01;
  core::Duration ask_interval = std::chrono::milliseconds(200);
  core::Duration hello_interval = std::chrono::seconds(1);
  /// Slots of an endpoint that are never lent.
  int lending_reserve = 1;
};

/// Decides which part of each endpoint's slots and connections this process may
/// use, so that all processes together never exceed them, without a counter
/// that they share.
///
/// @remarks The slots of an endpoint are divided among the seats of its domain.
/// The share of a seat belongs to the first seat, from the seat itself in
/// cyclic order, whose process is not proven dead. A process uses a share only
/// after each other seat of the domain has either permitted it or is proven
/// dead for as long as its requests and loans may last. Silence proves nothing.
/// Not thread-safe; belongs to the router thread.
class ShareLedger {
 public:
  class Builder;

  ShareLedger(ShareLedger&&) noexcept;
  ShareLedger& operator=(ShareLedger&&) noexcept;
  ~ShareLedger();

  /// Applies an event and writes the resulting limits and loans to @p slots.
  /// @param out receives the commands.
  void Handle(const ShareEvent& event,
              SlotTable& slots,
              core::TimePoint now,
              ShareCommands& out);

  /// @returns when to send Wake next.
  core::TimePoint NextTimer() const;

  bool Holds(SeatId share) const;

 private:
  class Impl;
  explicit ShareLedger(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

class ShareLedger::Builder {
 public:
  /// Adds a failure domain, whose seats are numbered from 0.
  Builder& AddDomain(core::FailureDomainId domain, std::uint32_t seats);
  /// @param endpoints all endpoints, in the order of their EndpointIds.
  Builder& Endpoints(std::span<const EndpointSpec> endpoints);
  Builder& Self(const PeerIdentity& self);
  Builder& Settings(const ShareSettings& settings);
  /// States when the process started. Until the requests of an earlier process
  /// at its seat must have ended, it takes and permits nothing.
  Builder& StartedAt(core::TimePoint now);
  /// States that no process ever ran at this seat, so that there is nothing to
  /// wait for. Only for the first start of a deployment.
  Builder& NoPredecessor();

  /// @returns the ledger, or nothing; see problems().
  std::optional<ShareLedger> Build();

  std::span<const std::string> problems() const { return problems_; }

 private:
  friend class Impl;

  std::vector<std::pair<core::FailureDomainId, std::uint32_t>> domains_;
  std::vector<EndpointSpec> endpoints_;
  PeerIdentity self_;
  ShareSettings settings_;
  core::TimePoint started_;
  bool predecessor_ = true;
  std::vector<std::string> problems_;
};

}  // namespace hickoryusher::routing

#endif  // ROUTING_SHARE_LEDGER_H_
