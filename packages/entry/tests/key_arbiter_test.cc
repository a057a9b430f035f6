#include "key_arbiter_p.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "rpc/codec.h"
#include "store_fake/fake_platform.h"
#include "test_directory.h"

namespace hickoryusher::entry {
namespace {

using retry::KeyKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two entry processes with their arbiters, joined by a table and by calls that
/// the test can lose.
class Cluster {
 public:
  Cluster() {
    for (std::uint32_t i = 0; i < 2; ++i) {
      arbiters_.push_back(std::make_unique<KeyArbiter>(
          tests_[i].directory, core::Incarnation(100 + i), 7 + i));
      dispatchers_.push_back(std::make_unique<rpc::Dispatcher>());
      arbiters_.back()->tickets().AddMethods(*dispatchers_.back());
    }
  }

  store::FakePlatform& platform() { return platform_; }

  /// @returns a new key of this kind; tickets come from entry 0.
  std::string NewKey(KeyKind kind) {
    return kind == KeyKind::kTicket ? arbiters_[0]->tickets().Issue(1)->front()
                                    : "diary-17";
  }

  /// Claims a key at one entry and runs until quiet.
  /// @returns the event for the request.
  retry::RequestEvent Claim(std::size_t entry,
                            std::uint64_t request,
                            KeyKind kind,
                            std::string text) {
    arbiters_[entry]->Claim({.request = core::RequestId(request),
                             .service = core::ServiceId(0),
                             .key = {.kind = kind, .text = std::move(text)}},
                            now_ + seconds(30), now_);
    return Run(entry);
  }

  void Report(std::size_t entry,
              std::uint64_t request,
              KeyKind kind,
              std::string text) {
    arbiters_[entry]->Report({.request = core::RequestId(request),
                              .service = core::ServiceId(0),
                              .key = {.kind = kind, .text = std::move(text)},
                              .outcome = {.outcome = retry::Outcome::kAnswered,
                                          .status = 200,
                                          .response = "r"}},
                             now_);
    Run(entry);
  }

  int lost_requests = 0;  ///< Calls that do not arrive.
  int lost_replies = 0;   ///< Calls that take effect without a reply.

 private:
  retry::RequestEvent Run(std::size_t entry) {
    retry::RequestEvent last = retry::ShutdownStarted{};
    for (int i = 0; i < 2'000; ++i) {
      KeyOutputs outputs = arbiters_[entry]->TakeOutputs();
      for (store::Command& command : outputs.commands) {
        platform_.Send(now_, std::move(command));
      }
      for (const PeerCall& call : outputs.calls) {
        Call(entry, call);
      }
      if (!outputs.events.empty()) {
        last = outputs.events.back();
      }
      now_ += milliseconds(10);
      for (const store::Event& event : platform_.Advance(now_)) {
        arbiters_[entry]->Handle(event, now_);
      }
    }
    return last;
  }

  void Call(std::size_t from, const PeerCall& call) {
    PeerReply reply{.id = call.id, .text = std::nullopt};
    if (lost_requests > 0) {
      --lost_requests;
    } else {
      reply.text = dispatchers_[call.to.value()]->Handle(call.text);
      if (lost_replies > 0) {
        --lost_replies;
        reply.text.reset();
      }
    }
    arbiters_[from]->Handle(reply, now_);
  }

  TestDirectory tests_[2] = {TestDirectory("e0"), TestDirectory("e1")};
  std::vector<std::unique_ptr<KeyArbiter>> arbiters_;
  std::vector<std::unique_ptr<rpc::Dispatcher>> dispatchers_;
  store::FakePlatform platform_;
  core::TimePoint now_{seconds(1'000)};
};

template <typename Event>
bool Is(const retry::RequestEvent& event) {
  return std::holds_alternative<Event>(event);
}

// Guards against a key that is granted to two requests.
TEST_CASE("a key is granted once, whichever entry claims it") {
  for (const KeyKind kind : {KeyKind::kTicket, KeyKind::kCaller}) {
    Cluster cluster;
    const std::string key = cluster.NewKey(kind);
    CHECK(Is<retry::KeyGranted>(cluster.Claim(1, 1, kind, key)));
    CHECK(Is<retry::KeyHeld>(cluster.Claim(0, 1, kind, key)));
    CHECK(Is<retry::KeyHeld>(cluster.Claim(1, 2, kind, key)));
  }
}

// Guards against a caller that does not get the response kept with its key.
TEST_CASE("a repeated request gets the outcome of the first") {
  for (const KeyKind kind : {KeyKind::kTicket, KeyKind::kCaller}) {
    Cluster cluster;
    const std::string key = cluster.NewKey(kind);
    REQUIRE(Is<retry::KeyGranted>(cluster.Claim(1, 1, kind, key)));
    cluster.Report(1, 1, kind, key);
    const retry::RequestEvent repeated = cluster.Claim(0, 9, kind, key);
    REQUIRE(Is<retry::KeyHeld>(repeated));
    const auto& held = std::get<retry::KeyHeld>(repeated);
    REQUIRE(held.stored.has_value());
    CHECK(held.stored->status == 200);
    CHECK(held.stored->response == "r");
  }
}

// Guards against a lost message that grants a ticket twice or loses it.
TEST_CASE("a lost call or reply does not change who holds a ticket") {
  struct Row {
    int lost_requests;
    int lost_replies;
    bool granted;
  };
  const Row rows[] = {
      {1, 0, true}, {0, 1, true}, {1, 1, true}, {3, 0, false}, {0, 3, false}};
  for (const Row& row : rows) {
    Cluster cluster;
    const std::string key = cluster.NewKey(KeyKind::kTicket);
    cluster.lost_requests = row.lost_requests;
    cluster.lost_replies = row.lost_replies;
    const auto first = cluster.Claim(1, 1, KeyKind::kTicket, key);
    CHECK(Is<retry::KeyGranted>(first) == row.granted);
    const auto second = cluster.Claim(0, 2, KeyKind::kTicket, key);
    const bool both =
        Is<retry::KeyGranted>(first) && Is<retry::KeyGranted>(second);
    CHECK_FALSE(both);
  }
}

// Guards against a store fault that grants a key twice or answers "not run".
TEST_CASE("store faults leave a caller's key granted at most once") {
  struct Row {
    std::string_view name;
    store::FakePlatform::Switches switches;
    bool granted;
  };
  const Row rows[] = {
      {"outage", {.outage = true}, false},
      {"slow", {.delay = milliseconds(900)}, true},
      {"late effect", {.delay = seconds(3)}, false},
      {"lost answer", {.lost_answers = 1}, true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    Cluster cluster;
    cluster.platform().Switch(row.switches);
    const auto first = cluster.Claim(0, 1, KeyKind::kCaller, "replan-4");
    CHECK(Is<retry::KeyGranted>(first) == row.granted);
    CHECK(Is<retry::KeyUnresolved>(first) != row.granted);
    cluster.platform().Switch({});
    const auto second = cluster.Claim(1, 1, KeyKind::kCaller, "replan-4");
    const bool both =
        Is<retry::KeyGranted>(first) && Is<retry::KeyGranted>(second);
    CHECK_FALSE(both);
  }
}

// Guards against tickets of an earlier run of the issuer and malformed ones.
TEST_CASE("a ticket that nobody can decide is unresolved") {
  Cluster cluster;
  const std::string rows[] = {"t1.0.99.0.0000000000000000",
                              "t1.77.100.0.0000000000000000", "t1.x",
                              "t1.0.100.0.zz"};
  for (const std::string& row : rows) {
    INFO(row);
    CHECK(Is<retry::KeyUnresolved>(cluster.Claim(1, 1, KeyKind::kTicket, row)));
  }
}

}  // namespace
}  // namespace hickoryusher::entry
