#ifndef RETRY_TICKET_ISSUER_H_
#define RETRY_TICKET_ISSUER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/handle.h"
#include "core/ids.h"
#include "retry/claim_id.h"
#include "retry/ticket.h"
#include "retry/types.h"

namespace hickoryusher::retry {

/// A question to the issuer that its answer is matched to.
using TicketCallId = core::Handle<struct TicketCallTag, std::uint64_t>;

// Events.

struct IssueTickets {
  TicketCallId call;
  std::uint32_t count = 1;
};

struct ClaimTicket {
  TicketCallId call;
  ClaimId claim;
  Ticket ticket;
};

/// Asks that the ticket can never be claimed, so that `not_run` is proven.
struct VoidTicket {
  TicketCallId call;
  Ticket ticket;
};

/// Reported by the entry whose claim was granted.
struct ReportTicketOutcome {
  ClaimId claim;
  Ticket ticket;
  StoredOutcome outcome;
};

using TicketEvent =
    std::variant<IssueTickets, ClaimTicket, VoidTicket, ReportTicketOutcome>;

// Commands.

struct TicketsIssued {
  TicketCallId call;
  std::vector<Ticket> tickets;
};

/// The count is zero or above the limit of one call.
struct TicketsRefused {
  TicketCallId call;
  std::uint32_t max_count = 0;
};

enum class TicketVerdict : std::uint8_t {
  kGranted,  ///< The claim holds the ticket and may run the request.
  kHeld,     ///< Claimed by another; the outcome is attached if known.
  kVoid,     ///< Never claimed and never to be claimed: not run.
  kUnknown,  ///< Another incarnation, or older than the issuer remembers.
  kInvalid,  ///< Never issued: bad input.
};

struct TicketAnswer {
  TicketCallId call;
  TicketVerdict verdict = TicketVerdict::kUnknown;
  std::optional<StoredOutcome> stored;
};

using TicketCommand = std::variant<TicketsIssued, TicketsRefused, TicketAnswer>;

struct TicketIssuerSettings {
  core::EntryId entry;
  core::Incarnation incarnation;
  std::uint64_t secret = 0;  ///< Drawn anew for each incarnation.
  std::uint32_t max_per_call = 1000;
  /// Newest tickets that can still be claimed; one bit each.
  std::size_t window = std::size_t{1} << 20U;
  std::size_t max_recent = 20'000;  ///< Claims remembered with their outcome.
  std::size_t max_recent_bytes = std::size_t{32} << 20U;  ///< Of responses.
};

/// Issues tickets and grants each to one claim. Its memory is bounded by the
/// settings. Not thread-safe.
///
/// @remarks A claim or outcome that is no longer remembered is answered with
/// `held` without an outcome, or `unknown`, never with a second grant.
class TicketIssuer {
 public:
  /// @param settings window and max_recent must be positive.
  explicit TicketIssuer(const TicketIssuerSettings& settings);

  /// Handles one event and appends the resulting commands to @p out.
  void Handle(const TicketEvent& event, std::vector<TicketCommand>& out);

  std::size_t recent_size() const { return recent_.size(); }
  std::size_t recent_bytes() const { return recent_bytes_; }

 private:
  struct Recent {
    std::optional<ClaimId> holder;  ///< Empty when the ticket is void.
    std::optional<StoredOutcome> outcome;
  };

  void On(const IssueTickets& event);
  void On(const ClaimTicket& event);
  void On(const VoidTicket& event);
  void On(const ReportTicketOutcome& event);

  /// @returns why a ticket cannot be decided here, or nothing.
  std::optional<TicketVerdict> Reject(const Ticket& ticket) const;
  std::vector<bool>::reference Used(std::uint64_t sequence);
  void Remember(std::uint64_t sequence, Recent recent);
  void ForgetOldest();
  TicketAnswer AnswerUsed(TicketCallId call, std::uint64_t sequence) const;

  TicketIssuerSettings settings_;
  std::uint64_t next_sequence_ = 0;
  std::vector<bool> used_;  ///< Claimed or void, by sequence modulo window.
  std::unordered_map<std::uint64_t, Recent> recent_;
  std::deque<std::uint64_t> recent_order_;
  std::size_t recent_bytes_ = 0;
  std::vector<TicketCommand>* out_ = nullptr;
};

}  // namespace hickoryusher::retry

#endif  // RETRY_TICKET_ISSUER_H_
