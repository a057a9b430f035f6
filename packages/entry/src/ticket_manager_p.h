#ifndef ENTRY_SRC_TICKET_MANAGER_P_H_
#define ENTRY_SRC_TICKET_MANAGER_P_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "directory_p.h"
#include "peer_message_p.h"
#include "retry/request_events.h"
#include "retry/ticket_issuer.h"
#include "rpc/codec.h"

namespace hickoryusher::entry {

/// What the ticket manager asks the router thread to do.
struct TicketOutput {
  std::vector<retry::RequestEvent> events;
  std::vector<PeerCall> calls;
};

/// Claims and voids tickets, here for those that this process issued, at the
/// issuing process for others, and answers the same calls of other processes.
class TicketManager {
 public:
  TicketManager(const Directory& directory,
                core::Incarnation incarnation,
                std::uint64_t secret);

  /// @returns @p count new tickets, or nothing if the count is out of range.
  std::optional<std::vector<std::string>> Issue(std::uint32_t count);

  /// Claims @p key for @p request.
  /// @param deadline of the request; no call is repeated after it.
  void Claim(core::RequestId request,
             std::string_view key,
             core::TimePoint deadline,
             core::TimePoint now,
             TicketOutput& out);

  void Void(core::RequestId request,
            std::string_view key,
            core::TimePoint now,
            TicketOutput& out);

  /// Tells the issuer the outcome of a claimed ticket. Sent once: a lost report
  /// only means that a repeated request is answered `unknown`.
  void Report(core::RequestId request,
              std::string_view key,
              const retry::StoredOutcome& outcome,
              TicketOutput& out);

  /// Takes the reply to a call that this object made.
  void Handle(const PeerReply& reply, core::TimePoint now, TicketOutput& out);

  /// Adds the methods `ticket.claim`, `ticket.void` and `ticket.report`.
  void AddMethods(rpc::Dispatcher& dispatcher);

 private:
  struct Pending {
    core::RequestId request;
    core::EntryId issuer;
    std::string text;
    core::TimePoint deadline;
    bool voiding = false;
    int tries = 1;
  };

  retry::ClaimId ClaimOf(core::RequestId request) const;
  retry::TicketAnswer Ask(const retry::TicketEvent& event);
  void Send(Pending pending, core::TimePoint now, TicketOutput& out);
  static retry::RequestEvent ClaimEvent(core::RequestId request,
                                        const retry::TicketAnswer& answer);
  static retry::RequestEvent VoidEvent(core::RequestId request,
                                       const retry::TicketAnswer& answer);
  static retry::RequestEvent ToEvent(const Pending& pending,
                                     const retry::TicketAnswer& answer);

  const Directory& directory_;
  core::Incarnation incarnation_;
  retry::TicketIssuer issuer_;
  std::unordered_map<PeerCallId, Pending> pending_;
  std::uint64_t next_call_ = 1;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_TICKET_MANAGER_P_H_
