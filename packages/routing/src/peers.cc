#include "peers_p.h"

#include <algorithm>
#include <ranges>

namespace hickoryusher::routing {

bool PeerTable::Note(const ShareEnvelope& envelope) {
  const PeerIdentity& from = envelope.from;
  Peer& peer = peers_[from.address.seat.value()];
  if (peer.incarnation.valid() && from.incarnation < peer.incarnation) {
    return false;
  }
  if (peer.incarnation != from.incarnation) {
    // A newer process at the address proves the older one dead. Its requests
    // are waited for by the newer one, which permits nothing before.
    peer = Peer{.incarnation = from.incarnation, .vm = from.vm};
  }
  if (envelope.to_incarnation == self_.incarnation && !peer.heard) {
    peer.heard = true;
    peer.listed = IsListed(peer.vm);
  }
  return !peer.proven_dead;
}

void PeerTable::NoteReleased(const ShareEnvelope& envelope,
                             core::TimePoint now) {
  Peer& peer = peers_[envelope.from.address.seat.value()];
  if (peer.heard) {
    peer.proven_dead = now;
    peer.released = true;
  }
}

void PeerTable::NoteVmList(const VmListRead& read, core::TimePoint now) {
  if (read.revision <= list_revision_) {
    return;
  }
  list_revision_ = read.revision;
  list_.assign(read.vms.begin(), read.vms.end());
  for (Peer& peer : peers_) {
    const bool listed = IsListed(peer.vm);
    if (peer.heard && peer.listed && !listed && !peer.proven_dead) {
      peer.proven_dead = now;
    }
    peer.listed = peer.listed || (peer.heard && listed);
  }
}

bool PeerTable::IsListed(core::VmId vm) const {
  return vm.valid() && std::ranges::find(list_, vm) != list_.end();
}

bool PeerTable::IsSuccessor(SeatId share) const {
  const std::uint32_t own = Distance(share, self_.address.seat.value());
  return std::ranges::all_of(
      std::views::iota(0U, own), [&](std::uint32_t step) {
        const Peer& peer = peers_[(share.value() + step) % seats()];
        return peer.proven_dead.has_value();
      });
}

}  // namespace hickoryusher::routing
