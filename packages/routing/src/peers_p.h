#ifndef ROUTING_PEERS_P_H_
#define ROUTING_PEERS_P_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "routing/share_types.h"

namespace hickoryusher::routing {

/// What this process knows about the process at another seat.
struct Peer {
  core::Incarnation incarnation;  ///< Newest known; invalid before any message.
  core::VmId vm;
  /// The process answered this run of ours. Only then can the VM list or its
  /// own release prove it dead: a later process at its seat has started after
  /// ours and cannot use a share without our permission.
  bool heard = false;
  bool listed = false;  ///< The VM list showed its VM after it was heard.
  std::optional<core::TimePoint> proven_dead;
  bool released = false;  ///< Proven dead, and had nothing in flight.
};

/// The other seats of the own failure domain, by seat number.
class PeerTable {
 public:
  PeerTable(const PeerIdentity& self, std::uint32_t seats)
      : self_(self), peers_(seats) {}

  /// Notes the sender of a message.
  /// @returns false if a newer process is known at its seat: the message is
  /// late and must be ignored.
  bool Note(const ShareEnvelope& envelope);
  void NoteReleased(const ShareEnvelope& envelope, core::TimePoint now);
  void NoteVmList(const VmListRead& read, core::TimePoint now);

  const Peer& peer(std::uint32_t seat) const { return peers_[seat]; }
  std::uint32_t seats() const {
    return static_cast<std::uint32_t>(peers_.size());
  }
  /// @returns how far @p seat comes after @p share in cyclic order.
  std::uint32_t Distance(SeatId share, std::uint32_t seat) const {
    return (seat + seats() - share.value()) % seats();
  }
  /// @returns true if every seat from the share's own up to this process's is
  /// proven dead.
  bool IsSuccessor(SeatId share) const;

 private:
  bool IsListed(core::VmId vm) const;

  PeerIdentity self_;
  std::vector<Peer> peers_;
  std::uint64_t list_revision_ = 0;
  std::vector<core::VmId> list_;
};

}  // namespace hickoryusher::routing

#endif  // ROUTING_PEERS_P_H_
