#include "routing/share_ledger.h"

namespace hickoryusher::routing {

ShareLedger::Builder& ShareLedger::Builder::AddDomain(
    core::FailureDomainId domain,
    std::uint32_t seats) {
  domains_.emplace_back(domain, seats);
  return *this;
}

ShareLedger::Builder& ShareLedger::Builder::Endpoints(
    std::span<const EndpointSpec> endpoints) {
  endpoints_.assign(endpoints.begin(), endpoints.end());
  return *this;
}

ShareLedger::Builder& ShareLedger::Builder::Self(const PeerIdentity& self) {
  self_ = self;
  return *this;
}

ShareLedger::Builder& ShareLedger::Builder::Settings(
    const ShareSettings& settings) {
  settings_ = settings;
  return *this;
}

ShareLedger::Builder& ShareLedger::Builder::StartedAt(core::TimePoint now) {
  started_ = now;
  return *this;
}

ShareLedger::Builder& ShareLedger::Builder::NoPredecessor() {
  predecessor_ = false;
  return *this;
}

}  // namespace hickoryusher::routing
