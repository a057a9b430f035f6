#ifndef ENTRY_SRC_KEY_ARBITER_P_H_
#define ENTRY_SRC_KEY_ARBITER_P_H_

#include <vector>

#include "core/time.h"
#include "directory_p.h"
#include "key_store_p.h"
#include "peer_message_p.h"
#include "retry/key_claims.h"
#include "retry/request_events.h"
#include "store/command.h"
#include "store/event.h"
#include "ticket_manager_p.h"

namespace hickoryusher::entry {

struct KeyOutputs {
  std::vector<retry::RequestEvent> events;
  std::vector<store::Command> commands;
  std::vector<PeerCall> calls;
};

/// Decides who may run the request of a key: the issuing process for tickets,
/// the table service for keys chosen by callers.
class KeyArbiter {
 public:
  KeyArbiter(const Directory& directory,
             core::Incarnation incarnation,
             std::uint64_t secret);

  void Claim(const retry::ClaimKey& command,
             core::TimePoint deadline,
             core::TimePoint now);
  void Void(const retry::VoidKey& command, core::TimePoint now);
  void Report(const retry::StoreKeyOutcome& command, core::TimePoint now);
  void Handle(const store::Event& event, core::TimePoint now);
  void Handle(const PeerReply& reply, core::TimePoint now);

  /// Moves the outputs collected so far out.
  KeyOutputs TakeOutputs();

  TicketManager& tickets() { return tickets_; }

 private:
  void RunClaims(const retry::KeyEvent& event, core::TimePoint now);
  void On(const retry::WriteKeys& command);
  void On(const retry::ReadKeys& command);
  void On(const retry::KeyAnswer& answer);
  void AddTickets(TicketOutput&& output);

  const Directory& directory_;
  core::Incarnation incarnation_;
  TicketManager tickets_;
  retry::KeyClaims claims_;
  KeyStore store_;
  KeyOutputs outputs_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_KEY_ARBITER_P_H_
