#include "settings/editor.h"

#include <catch2/catch.hpp>

#include "chart_yaml/load.h"

namespace hickoryusher::settings {
namespace {

constexpr const char* kPath = "/teams/carnet/services/diary/enabled";

/// An editor with one change, answered by hand.
struct Desk {
  chart::Chart chart =
      chart_yaml::Loader()
          .LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/settings_revision.yaml")
          .value();
  std::vector<chart::Problem> problems;
  Editor editor =
      Editor::Create(chart, KnownSettings(), {.max_changes = 1}, 1, problems)
          .value();
  core::TimePoint now{};

  explicit Desk(const Change& change, const Tree& tree = {}) {
    REQUIRE(editor.Submit(now, change, tree));
  }
  template <typename Command>
  Command Expect() {
    while (true) {
      const std::vector<EditCommand> commands = editor.TakeCommands();
      if (!commands.empty()) {
        return std::get<Command>(commands.at(0));
      }
      now = editor.next_due().value();
      editor.Advance(now);
    }
  }
  void FindNothing() {
    editor.Handle(now, OutcomeRead{.serial = Expect<ReadOutcome>().serial});
  }
  void ReadNothing() {
    const auto command = Expect<ReadChanges>();
    editor.Handle(now, ChangesRead{.serial = command.serial,
                                   .delta = {.after = command.after,
                                             .head = command.after}});
  }
};

Change MakeChange(bool resubmitted = false) {
  return {
      .id = "c-1", .path = kPath, .value = true, .resubmitted = resubmitted};
}

// Guards against a write that is sent again before its id is read back, and
// against a read that finds it being taken for another change.
TEST_CASE("a write without an answer is resolved by its change id") {
  Desk desk(MakeChange());
  desk.FindNothing();
  desk.ReadNothing();
  const auto write = desk.Expect<WriteChange>();
  CHECK(write.revision == 1);
  desk.editor.Handle(desk.now, NoAnswer{write.serial});
  const auto read = desk.Expect<ReadOutcome>();
  CHECK(read.change_id == "c-1");
  // The late answer of the write belongs to an earlier command.
  desk.editor.Handle(desk.now, HeadMoved{write.serial});
  desk.editor.Handle(desk.now,
                     OutcomeRead{.serial = read.serial, .revision = 1});
  const auto results = desk.editor.TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(std::get<Accepted>(results[0].outcome).revision == 1);
}

// Guards against a change reported as not written while an earlier write of it
// can still take effect.
TEST_CASE("the deadline tells not written from unknown") {
  for (const bool resubmitted : {false, true}) {
    Desk desk(MakeChange(resubmitted));
    CHECK_FALSE(desk.editor.Submit(desk.now, {.id = "c-2"}, Tree()));
    std::vector<EditResult> results;
    while (results.empty()) {
      for (const EditCommand& command : desk.editor.TakeCommands()) {
        desk.editor.Handle(
            desk.now, NotRun{std::visit([](const auto& c) { return c.serial; },
                                        command)});
      }
      desk.now = desk.editor.next_due().value();
      desk.editor.Advance(desk.now);
      results = desk.editor.TakeResults();
    }
    CHECK(desk.now.time_since_epoch() == Editor::Options().deadline);
    CHECK(std::holds_alternative<Unknown>(results[0].outcome) == resubmitted);
    CHECK(std::holds_alternative<NotWritten>(results[0].outcome) !=
          resubmitted);
    CHECK_FALSE(desk.editor.next_due().has_value());
  }
}

// Guards against a written change that is reported as lost: it was overwritten
// since, a peer has told this process so, and the store's reads are stale.
TEST_CASE("a stale read does not turn a written change into a conflict") {
  const std::vector<Entry> log = {
      {.path = kPath, .value = true, .revision = 1, .change_id = "c-1"},
      {.path = kPath, .value = false, .revision = 2, .change_id = "other"}};
  Tree tree;
  REQUIRE(tree.Apply({.head = 2, .entries = log}));
  Desk desk(MakeChange(true), tree);
  desk.FindNothing();
  desk.ReadNothing();
  const auto command = desk.Expect<ReadChanges>();
  CHECK(command.after == 0);
  desk.editor.Handle(desk.now, ChangesRead{.serial = command.serial,
                                           .delta = MakeDelta(0, log, false)});
  const auto results = desk.editor.TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(std::get<Accepted>(results[0].outcome).revision == 1);
}

}  // namespace
}  // namespace hickoryusher::settings
