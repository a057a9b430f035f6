#ifndef SETTINGS_FOLLOWER_H_
#define SETTINGS_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "core/time.h"
#include "settings/tree.h"
#include "settings/types.h"

namespace hickoryusher::settings {

/// Asks the store for the latest entry of every path.
struct AskSnapshot {};

/// Asks the store for the changes after a revision.
struct AskStore {
  Revision after = 0;
};

/// Asks a peer for the changes after a revision (`settings.since`).
struct AskPeer {
  std::size_t peer = 0;
  Revision after = 0;
};

using FollowCommand = std::variant<AskSnapshot, AskStore, AskPeer>;

/// Answers AskSnapshot and AskStore.
struct StoreAnswered {
  Delta delta;
};

struct StoreFailed {};

struct PeerAnswered {
  std::size_t peer = 0;
  bool ready = true;  ///< What Follower::ready returns at the peer.
  Delta delta;
};

struct PeerFailed {
  std::size_t peer = 0;
};

using FollowEvent =
    std::variant<StoreAnswered, StoreFailed, PeerAnswered, PeerFailed>;

/// Keeps a process's copy of the settings up to date. Its head only moves
/// forward, whatever the sources answer.
///
/// @remarks A new process is ready once the store and every peer have answered
/// or failed, and one of them has answered. The tree then holds the highest
/// revision that was heard, so an old read or a peer that lags cannot decide
/// alone while a better source answers.
class Follower {
 public:
  struct Options {
    std::size_t peers = 0;
    core::Duration store_interval = std::chrono::seconds(1);
    /// Between questions to any peer, which take turns, while the store does
    /// not answer.
    core::Duration peer_interval = std::chrono::milliseconds(500);
    /// The same while the store answers. Peers then only make up for a store
    /// that answers with an old state, and each question costs several hundred
    /// bytes of the 3 KB/s that a node may spend on control.
    core::Duration quiet_peer_interval = std::chrono::seconds(10);
  };

  explicit Follower(const Options& options);

  /// Asks the sources that are due. A source is asked again only after its
  /// answer or failure was handled.
  void Advance(core::TimePoint now);

  void Handle(core::TimePoint now, const FollowEvent& event);

  std::optional<core::TimePoint> next_due() const;
  std::vector<FollowCommand> TakeCommands() {
    return std::exchange(commands_, {});
  }

  bool ready() const { return ready_; }
  const Tree& tree() const { return tree_; }

 private:
  struct Source {
    core::TimePoint due = core::TimePoint::min();
    bool asked = false;
    bool heard = false;     ///< Has answered or failed since the start.
    bool answered = false;  ///< Has answered with settings since the start.
  };

  void Ask(std::size_t index);
  void Hear(core::TimePoint now, std::size_t index, const Delta* delta);
  void UpdateReady();
  core::Duration PeerInterval() const;
  void SpreadPeers(core::TimePoint now);

  Options options_;
  Tree tree_;
  bool ready_ = false;
  bool has_snapshot_ = false;
  bool store_answers_ = false;
  std::vector<Source> sources_;  ///< The peers, then the store.
  std::vector<FollowCommand> commands_;
};

}  // namespace hickoryusher::settings

#endif  // SETTINGS_FOLLOWER_H_
