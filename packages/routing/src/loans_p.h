#ifndef ROUTING_LOANS_P_H_
#define ROUTING_LOANS_P_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "routing/share_ledger.h"
#include "routing/share_types.h"

namespace hickoryusher::routing {

/// Loans that this process has given. One slot is lent with one connection.
class LentLoans {
 public:
  LentLoans(const ShareSettings& settings, std::size_t endpoints)
      : settings_(settings), lent_(endpoints) {}

  /// Lends what is free of @p allowance, or repeats an earlier grant whose
  /// reply may have been lost.
  /// @param slots number wanted.
  /// @returns the grant, or nothing if no slot is free.
  std::optional<LoanGrant> Lend(const PeerIdentity& to,
                                const LoanAsk& ask,
                                int allowance,
                                const SlotEntry& entry,
                                core::TimePoint now);

  /// Takes back the loans whose time is over.
  /// @returns the endpoints concerned.
  std::vector<core::EndpointId> Expire(core::TimePoint now);

  int lent(core::EndpointId endpoint) const { return lent_[endpoint.value()]; }
  bool empty() const { return loans_.empty(); }

 private:
  struct Loan {
    PeerIdentity to;
    LoanGrant grant;
    core::TimePoint until;
  };

  ShareSettings settings_;
  std::vector<Loan> loans_;
  std::vector<int> lent_;  ///< By endpoint.
};

/// Loans that this process has asked for.
class AskedLoans {
 public:
  AskedLoans(
      const ShareSettings& settings,
      SeatAddress self,
      std::span<const std::pair<core::FailureDomainId, std::uint32_t>> domains)
      : settings_(settings),
        self_(self),
        domains_(domains.begin(), domains.end()) {}

  /// @returns the next lender to ask, unless an ask for the endpoint is still
  /// open, and the message to it.
  std::optional<std::pair<SeatAddress, LoanAsk>> Ask(
      const LoanWanted& wanted,
      core::FailureDomainId domain,
      core::TimePoint now);

  /// @returns the slots to add, if the grant answers an open ask and has time
  /// left.
  std::optional<BorrowedSlots> Accept(const LoanGrant& grant,
                                      core::TimePoint now);

 private:
  struct Open {
    LoanAsk ask;
    core::TimePoint asked;
  };

  ShareSettings settings_;
  SeatAddress self_;
  std::vector<std::pair<core::FailureDomainId, std::uint32_t>> domains_;
  std::vector<Open> open_;
  std::uint64_t next_id_ = 0;
  std::uint32_t next_seat_ = 0;
};

}  // namespace hickoryusher::routing

#endif  // ROUTING_LOANS_P_H_
