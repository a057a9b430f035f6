#ifndef ROUTING_SHARE_TYPES_H_
#define ROUTING_SHARE_TYPES_H_

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "routing/slot_table.h"
#include "routing/types.h"

namespace hickoryusher::routing {

/// Place of an entry process in the deployment.
struct SeatAddress {
  core::FailureDomainId domain;
  SeatId seat;

  bool operator==(const SeatAddress&) const = default;
};

/// One run of the process at a seat.
struct PeerIdentity {
  SeatAddress address;
  core::Incarnation incarnation;
  core::VmId vm;

  bool operator==(const PeerIdentity&) const = default;
};

/// States that the sender is there. A VM that disappears from the VM list
/// proves the death only of a process that has been heard.
struct Hello {};

/// Asks for permission to use the share of a seat (`share.return`).
struct ShareAsk {
  SeatId share;
  std::uint64_t round = 0;  ///< Number of the sender's claim.
};

/// The sender does not use the share, and will not without the permission of
/// the receiver or proof of its death.
struct SharePermit {
  SeatId share;
  std::uint64_t round = 0;  ///< As in the ShareAsk.
};

/// The sender has stopped, with nothing in flight and nothing lent.
struct SharesReleased {};

/// Asks for a loan of slots, each with one connection (`share.lend`).
struct LoanAsk {
  LoanId loan;  ///< Unique within the sender's incarnation.
  core::EndpointId endpoint;
  int slots = 0;
};

struct LoanGrant {
  LoanId loan;
  core::EndpointId endpoint;
  int slots = 0;
  core::Duration duration{};  ///< Counted from when the borrower asked.
};

using ShareMessage = std::
    variant<Hello, ShareAsk, SharePermit, SharesReleased, LoanAsk, LoanGrant>;

struct ShareEnvelope {
  PeerIdentity from;
  SeatAddress to;
  /// The receiver's run as far as the sender knows it; invalid before it has
  /// heard from it. Shows the receiver that the message is not older than
  /// itself.
  core::Incarnation to_incarnation;
  ShareMessage message;
};

struct MessageReceived {
  ShareEnvelope envelope;
};

/// A complete read of the VM list, live and leaving VMs together.
///
/// @remarks A VmId stands for one life of a VM. A VM that left the list and
/// comes back, such as after a restart, needs a new one: with the old one, a
/// late read from between would prove the death of a process that lives.
struct VmListRead {
  std::uint64_t revision = 0;  ///< Older reads than the newest are ignored.
  std::span<const core::VmId> vms;
};

/// The router found no free slot.
struct LoanWanted {
  core::EndpointId endpoint;
  int slots = 0;
};

/// A timer of NextTimer has passed, or requests or connections have ended.
struct Wake {};

/// The process is shutting down.
struct ReleaseShares {};

using ShareEvent =
    std::variant<MessageReceived, VmListRead, LoanWanted, Wake, ReleaseShares>;

struct SendMessage {
  ShareEnvelope envelope;
};

/// The share of a seat was taken into use or given up. For the log.
struct ShareChanged {
  SeatId share;
  bool held = false;
};

/// The limit of an endpoint changed. Connections above the limit must be
/// closed and reported through SlotTable::SetOpenConnections.
struct LimitChanged {
  core::EndpointId endpoint;
  int slots = 0;
  int connections = 0;
};

/// A loan may be used. For the log.
struct LoanReceived {
  LoanId loan;
  core::EndpointId endpoint;
  int slots = 0;
  core::TimePoint expiry;
};

/// Everything is released after ReleaseShares; the process may exit. Repeated
/// until it does, because the message to the peers may be lost.
struct AllReleased {};

using ShareCommand = std::
    variant<SendMessage, ShareChanged, LimitChanged, LoanReceived, AllReleased>;
using ShareCommands = std::vector<ShareCommand>;

}  // namespace hickoryusher::routing

#endif  // ROUTING_SHARE_TYPES_H_
