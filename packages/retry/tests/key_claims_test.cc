#include "retry/key_claims.h"

#include <catch2/catch.hpp>
#include <random>

#include "core/overloaded.h"
#include "core/random.h"

namespace hickoryusher::retry {
namespace {

using std::chrono::seconds;

enum class StoreFault { kNone, kDown, kLostAfter, kLostBefore, kDelayed };

/// Table service with faults. Writes that are delayed land with the next call.
class FakeTable {
 public:
  KeyEvent Write(const WriteKeys& command, StoreFault fault) {
    LandDelayed();
    switch (fault) {
      case StoreFault::kDown:
        return KeyStoreDown{command.transaction};
      case StoreFault::kLostBefore:
        return KeysWriteLost{command.transaction};
      case StoreFault::kDelayed:
        delayed_ = command;
        return KeysWriteLost{command.transaction};
      case StoreFault::kLostAfter:
        Apply(command);
        return KeysWriteLost{command.transaction};
      case StoreFault::kNone:
        break;
    }
    std::vector<std::size_t> conflicts = Apply(command);
    if (conflicts.empty()) {
      return KeysWritten{command.transaction, version_};
    }
    return KeysConflicted{command.transaction, std::move(conflicts)};
  }

  KeyEvent Read(const ReadKeys& command, StoreFault fault) {
    if (fault == StoreFault::kDown) {
      return KeysReadFailed{command.transaction};
    }
    KeysRead read{.transaction = command.transaction};
    for (const KeyName& key : command.keys) {
      const auto found = rows_.find(key);
      read.rows.push_back(found == rows_.end() ? std::nullopt
                                               : std::optional(found->second));
    }
    return read;
  }

  /// The defect: rows are replaced although they exist.
  bool unconditional = false;

 private:
  std::vector<std::size_t> Apply(const WriteKeys& command) {
    std::vector<std::size_t> conflicts;
    for (std::size_t i = 0; i < command.writes.size(); ++i) {
      const bool holds = std::visit(
          core::Overloaded{[&](const InsertKey& write) {
                             return !rows_.contains(write.key) || unconditional;
                           },
                           [&](const UpdateKey& write) {
                             const auto found = rows_.find(write.key);
                             return found != rows_.end() &&
                                    found->second.version == write.version;
                           }},
          command.writes[i]);
      if (!holds) {
        conflicts.push_back(i);
      }
    }
    if (conflicts.empty()) {
      ++version_;
      for (const KeyWrite& write : command.writes) {
        std::visit(core::Overloaded{
                       [&](const InsertKey& w) {
                         rows_[w.key] = {.claim = w.claim, .version = version_};
                       },
                       [&](const UpdateKey& w) {
                         rows_[w.key] = {w.claim, w.outcome, version_};
                       }},
                   write);
      }
    }
    return conflicts;
  }

  void LandDelayed() {
    if (const auto command = std::exchange(delayed_, std::nullopt)) {
      Apply(*command);
    }
  }

  std::map<KeyName, KeyRow> rows_;
  KeyRowVersion version_ = 0;
  std::optional<WriteKeys> delayed_;
};

/// One entry process: claims, and the command that waits for the table.
struct Entry {
  KeyClaims claims;
  std::vector<KeyCommand> waiting;
};

class World {
 public:
  explicit World(std::uint64_t seed = 1) : random_(seed) {}

  void Give(Entry& entry, const KeyEvent& event) {
    std::vector<KeyCommand> out;
    entry.claims.Handle(event, now, out);
    for (KeyCommand& command : out) {
      if (const auto* answer = std::get_if<KeyAnswer>(&command)) {
        answers[answer->claim].push_back(*answer);
      } else {
        entry.waiting.push_back(std::move(command));
      }
    }
    most_in_flight = std::max(most_in_flight, entry.waiting.size());
  }

  void Claim(Entry& entry, std::uint64_t request, const std::string& key) {
    keys[Id(request)] = key;
    Give(entry, ClaimCallerKey{Id(request), {.text = key}, now + seconds(9)});
  }

  void AnswerAll(Entry& entry) {
    while (!entry.waiting.empty()) {
      Answer(entry, StoreFault::kNone);
    }
  }

  /// Lets the table answer the oldest command of @p entry.
  void Answer(Entry& entry, StoreFault fault) {
    REQUIRE_FALSE(entry.waiting.empty());
    const KeyCommand command = entry.waiting.front();
    entry.waiting.erase(entry.waiting.begin());
    if (const auto* write = std::get_if<WriteKeys>(&command)) {
      largest_group = std::max(largest_group, write->writes.size());
      Give(entry, table.Write(*write, fault));
    } else {
      Give(entry, table.Read(std::get<ReadKeys>(command), fault));
    }
  }

  KeyVerdict Verdict(std::uint64_t request) {
    REQUIRE(answers[Id(request)].size() == 1);
    return answers[Id(request)][0].verdict;
  }

  /// Two entries claim few keys under random faults.
  void Walk() {
    std::array<Entry, 2> entries;
    std::uniform_int_distribution<int> percent(0, 99);
    for (std::uint64_t request = 0; request < 4000; ++request) {
      Entry& entry = entries[request % 2];
      Claim(entry, request, std::to_string(percent(random_) + request / 10));
      while (!entry.waiting.empty() && percent(random_) < 60) {
        const int fault = percent(random_);
        Answer(entry, fault < 20 ? static_cast<StoreFault>(fault % 5)
                                 : StoreFault::kNone);
      }
    }
    std::ranges::for_each(entries, [this](Entry& entry) { AnswerAll(entry); });
  }

  /// @returns whether a key was granted twice.
  bool GrantedTwice() const {
    std::map<std::string, int> grants;
    for (const auto& [claim, given] : answers) {
      grants[keys.at(claim)] +=
          given.front().verdict == KeyVerdict::kGranted ? 1 : 0;
    }
    return std::ranges::any_of(grants,
                               [](const auto& g) { return g.second > 1; });
  }

  static ClaimId Id(std::uint64_t request) {
    return {core::EntryId(1), core::Incarnation(1), core::RequestId(request)};
  }

  FakeTable table;
  core::TimePoint now{seconds(100)};
  std::map<ClaimId, std::vector<KeyAnswer>> answers;
  std::map<ClaimId, std::string> keys;
  std::size_t most_in_flight = 0;
  std::size_t largest_group = 0;

 private:
  core::Random random_;
};

// Guards against one transaction for each claim, and against two at once.
TEST_CASE("claims that wait go in one group") {
  World world;
  Entry entry;
  for (std::uint64_t request = 0; request < 100; ++request) {
    world.Claim(entry, request, std::to_string(request));
  }
  CHECK(entry.waiting.size() == 1);
  world.AnswerAll(entry);
  CHECK(world.largest_group == kMaxKeysPerTransaction);
  CHECK(entry.claims.counters().transactions == 3);
  CHECK(world.Verdict(99) == KeyVerdict::kGranted);
}

// Guards against a lost answer that is taken for a refusal or a grant.
TEST_CASE("a lost answer is resolved by reading back") {
  for (const StoreFault fault :
       {StoreFault::kLostAfter, StoreFault::kLostBefore,
        StoreFault::kDelayed}) {
    World world;
    Entry entry;
    world.Claim(entry, 1, "k");
    world.Answer(entry, fault);
    world.AnswerAll(entry);
    CHECK(world.Verdict(1) == KeyVerdict::kGranted);
    world.Claim(entry, 2, "k");
    world.AnswerAll(entry);
    CHECK(world.Verdict(2) == KeyVerdict::kHeld);
  }
}

// Guards against an outage that grants, and one that blocks a key for ever.
TEST_CASE("an outage leaves claims unresolved and their keys usable") {
  World world;
  Entry entry;
  world.Claim(entry, 1, "k");
  world.Claim(entry, 2, "other");
  world.Answer(entry, StoreFault::kLostAfter);
  world.Answer(entry, StoreFault::kDown);
  CHECK(world.Verdict(1) == KeyVerdict::kUnresolved);
  CHECK(world.Verdict(2) == KeyVerdict::kUnresolved);
  CHECK(world.answers[World::Id(1)][0].retry_after > core::Duration::zero());
  CHECK(entry.waiting.empty());
  world.Claim(entry, 3, "k");
  world.AnswerAll(entry);
  CHECK(world.Verdict(3) == KeyVerdict::kGranted);

  // The outcome goes to the row that the first claim left behind.
  world.Give(entry,
             ReportKeyOutcome{
                 World::Id(3), {.text = "k"}, {.outcome = Outcome::kAnswered}});
  world.Answer(entry, StoreFault::kNone);
  Entry peer;
  world.Claim(peer, 4, "k");
  world.AnswerAll(peer);
  CHECK(world.Verdict(4) == KeyVerdict::kHeld);
  CHECK(world.answers[World::Id(4)][0].stored.has_value());
}

// Guards against a second grant or a missing answer under any faults.
TEST_CASE("random store faults never grant a key twice") {
  for (const std::uint64_t seed : {1, 2, 20261204}) {
    INFO("seed " << seed);
    World world(seed);
    world.Walk();
    CHECK_FALSE(world.GrantedTwice());
    CHECK(world.most_in_flight == 1);
    CHECK(world.answers.size() == 4000);
    CHECK(std::ranges::all_of(
        world.answers, [](const auto& a) { return a.second.size() == 1; }));
  }
}

// Guards against a check of grants that cannot fail.
TEST_CASE("a table that replaces rows is caught") {
  World world;
  world.table.unconditional = true;
  world.Walk();
  CHECK(world.GrantedTwice());
}

}  // namespace
}  // namespace hickoryusher::retry
