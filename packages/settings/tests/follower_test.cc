#include "settings/follower.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "settings/keys.h"

namespace hickoryusher::settings {
namespace {

Delta DeltaTo(Revision head) {
  Delta delta{.head = head};
  for (Revision r = 1; r <= head; ++r) {
    delta.entries.push_back({.path = "/p",
                             .value = static_cast<std::int64_t>(r),
                             .revision = r,
                             .change_id = "c" + std::to_string(r)});
  }
  return delta;
}

// Guards against a new process that serves an old read of the store or the
// settings of a peer that lags.
TEST_CASE("a new process is ready with the highest revision heard") {
  struct Row {
    std::optional<FollowEvent> store;
    std::optional<FollowEvent> first;
    std::optional<FollowEvent> second;
    bool ready;
    Revision head;
  };
  const FollowEvent old_read = StoreAnswered{DeltaTo(3)};
  const FollowEvent lagging = PeerAnswered{.peer = 0, .delta = DeltaTo(2)};
  const FollowEvent current = PeerAnswered{.peer = 1, .delta = DeltaTo(5)};
  const FollowEvent starting = PeerAnswered{.peer = 1, .ready = false};
  const Row rows[] = {
      {old_read, lagging, std::nullopt, false, 3},
      {old_read, lagging, current, true, 5},
      {StoreFailed{}, lagging, current, true, 5},
      {StoreFailed{}, lagging, std::nullopt, false, 2},
      {std::nullopt, lagging, current, false, 5},
      {old_read, PeerFailed{0}, PeerFailed{1}, true, 3},
      {StoreFailed{}, PeerFailed{0}, PeerFailed{1}, false, 0},
      {StoreFailed{}, PeerFailed{0}, starting, false, 0},
      {StoreAnswered{}, PeerFailed{0}, starting, true, 0},
  };
  for (const Row& row : rows) {
    Follower follower({.peers = 2});
    follower.Advance({});
    CHECK(follower.TakeCommands().size() == 3);
    for (const auto& event : {row.second, row.store, row.first}) {
      if (event) {
        follower.Handle({}, *event);
      }
    }
    CHECK(follower.ready() == row.ready);
    CHECK(follower.tree().head() == row.head);
  }
}

// Guards against a read that misses a change in the middle.
TEST_CASE("a gap in the revisions ends a delta") {
  std::vector<Entry> entries = DeltaTo(5).entries;
  entries.erase(entries.begin() + 3);
  CHECK(MakeDelta(0, entries, false).head == 3);
  CHECK(MakeDelta(1, entries, false).head == 1);
}

// Guards against a source that is asked without pause while it shows nothing
// new, and against two questions to one source at once.
TEST_CASE("a source is asked at its interval") {
  Follower follower({.peers = 0});
  core::TimePoint now{};
  follower.Advance(now);
  CHECK(follower.TakeCommands().size() == 1);
  follower.Advance(now + std::chrono::hours(1));
  CHECK(follower.TakeCommands().empty());
  follower.Handle(now, StoreAnswered{{.more = true}});
  CHECK(follower.next_due() == now + std::chrono::seconds(1));
  follower.Handle(now, StoreAnswered{{.head = 1, .more = true}});
  CHECK(follower.next_due() == now);
}

// Guards against peers that are asked all the time although the store answers,
// and against a process without the store that waits for the quiet interval.
TEST_CASE("peers are asked rarely while the store answers") {
  constexpr std::size_t kPeers = 8;
  struct Row {
    bool store_answers;
    std::size_t least;
    std::size_t most;
  };
  // In 80 s: once per peer, or one peer every 500 ms.
  const Row rows[] = {{true, 7, 9}, {false, 150, 170}};
  for (const Row& row : rows) {
    Follower follower({.peers = kPeers});
    core::TimePoint now{std::chrono::seconds(100)};
    const core::TimePoint end = now + std::chrono::seconds(80);
    std::size_t asked = 0;
    follower.Advance(now);
    while (now < end) {
      for (const FollowCommand& command : follower.TakeCommands()) {
        if (const auto* ask = std::get_if<AskPeer>(&command)) {
          ++asked;
          follower.Handle(now, PeerAnswered{.peer = ask->peer});
        } else if (row.store_answers) {
          follower.Handle(now, StoreAnswered{});
        } else {
          follower.Handle(now, StoreFailed{});
        }
      }
      now = std::max(now, follower.next_due().value_or(end));
      follower.Advance(now);
    }
    // The first round asks every peer at once.
    CHECK(asked >= kPeers + row.least);
    CHECK(asked <= kPeers + row.most);
  }
}

// Guards against a key that reaches another team's settings, and against a
// bearer that can be read from the settings.
TEST_CASE("a bearer key reaches its team's subtree only") {
  const auto key = Keys::Create("bruit", "k1");
  const auto admin = Keys::Create("admin", "k1");
  REQUIRE((key && admin));
  CHECK(key->path == "/teams/bruit/keys/k1");
  CHECK(key->hash.find(key->bearer.substr(9)) == std::string::npos);
  Tree tree;
  for (const NewKey& made : {*key, *admin}) {
    tree = tree.With({.id = "c", .path = made.path, .value = made.hash});
  }
  const auto principal = Keys::Authenticate(tree, key->bearer);
  REQUIRE(principal.has_value());
  CHECK(principal->MayReach("/teams/bruit/services/carnet/share"));
  CHECK(principal->MayReach("/teams/bruit"));
  CHECK_FALSE(principal->MayReach("/teams/bruit2/services/carnet/share"));
  CHECK_FALSE(principal->MayReach("/capacity/cpu_millis"));
  CHECK(Keys::Authenticate(tree, admin->bearer)
            ->MayReach("/capacity/cpu_millis"));
  std::string wrong = key->bearer;
  wrong.back() = wrong.back() == '0' ? '1' : '0';
  const std::string secret = key->bearer.substr(9);
  for (const std::string& bad :
       {wrong, std::string(), "admin.k1." + secret, "bruit.k2." + secret,
        "bruit.k1." + secret + "0", std::string("bruit.k1."),
        "../x.k1." + secret}) {
    CHECK_FALSE(Keys::Authenticate(tree, bad).has_value());
  }
}

}  // namespace
}  // namespace hickoryusher::settings
