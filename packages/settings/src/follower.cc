#include "settings/follower.h"

#include <algorithm>

#include "core/overloaded.h"

namespace hickoryusher::settings {

Follower::Follower(const Options& options)
    : options_(options), sources_(options.peers + 1) {}

void Follower::Advance(core::TimePoint now) {
  for (std::size_t i = 0; i < sources_.size(); ++i) {
    if (!sources_[i].asked && sources_[i].due <= now) {
      Ask(i);
    }
  }
}

void Follower::Ask(std::size_t index) {
  sources_[index].asked = true;
  if (index < options_.peers) {
    commands_.emplace_back(AskPeer{.peer = index, .after = tree_.head()});
  } else if (has_snapshot_) {
    commands_.emplace_back(AskStore{.after = tree_.head()});
  } else {
    commands_.emplace_back(AskSnapshot{});
  }
}

void Follower::Handle(core::TimePoint now, const FollowEvent& event) {
  std::visit(
      core::Overloaded{
          [&](const StoreAnswered& e) { Hear(now, options_.peers, &e.delta); },
          [&](const StoreFailed&) { Hear(now, options_.peers, nullptr); },
          [&](const PeerAnswered& e) {
            Hear(now, e.peer, e.ready ? &e.delta : nullptr);
          },
          [&](const PeerFailed& e) { Hear(now, e.peer, nullptr); }},
      event);
}

void Follower::Hear(core::TimePoint now,
                    std::size_t index,
                    const Delta* delta) {
  Source& source = sources_[index];
  const bool is_store = index == options_.peers;
  source.asked = false;
  source.heard = true;
  const core::Duration peer_pause =
      ready_ ? PeerInterval() * static_cast<std::int64_t>(options_.peers)
             : options_.peer_interval;
  source.due = now + (is_store ? options_.store_interval : peer_pause);
  if (delta != nullptr) {
    const bool moved = tree_.Apply(*delta);
    source.answered = true;
    // After any complete answer the changes since then are enough.
    has_snapshot_ = true;
    if (delta->more && moved) {
      source.due = now;
    }
  }
  const bool was_ready = ready_;
  UpdateReady();
  const bool store_changed = is_store && store_answers_ != (delta != nullptr);
  store_answers_ = is_store ? delta != nullptr : store_answers_;
  if (ready_ && (store_changed || !was_ready)) {
    SpreadPeers(now);
  }
}

core::Duration Follower::PeerInterval() const {
  return ready_ && store_answers_ ? options_.quiet_peer_interval
                                  : options_.peer_interval;
}

void Follower::SpreadPeers(core::TimePoint now) {
  for (std::size_t i = 0; i < options_.peers; ++i) {
    sources_[i].due = now + PeerInterval() * static_cast<std::int64_t>(i + 1);
  }
}

void Follower::UpdateReady() {
  ready_ = ready_ || (std::ranges::all_of(sources_, &Source::heard) &&
                      std::ranges::any_of(sources_, &Source::answered));
}

std::optional<core::TimePoint> Follower::next_due() const {
  std::optional<core::TimePoint> next;
  for (const Source& source : sources_) {
    if (!source.asked) {
      next = next ? std::min(*next, source.due) : source.due;
    }
  }
  return next;
}

}  // namespace hickoryusher::settings
