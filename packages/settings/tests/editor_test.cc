#include "settings/editor.h"

#include <catch2/catch.hpp>

#include "chart_yaml/load.h"

namespace hickoryusher::settings {
namespace {

constexpr const char* kPath = "/teams/carnet/services/diary/enabled";

/// An editor with one change, answered by hand.
struct EditorHarness {
  chart::Chart chart =
      chart_yaml::Loader()
          .LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/settings_revision.yaml")
          .value();
  std::vector<chart::Problem> problems;
  Editor editor =
      Editor::Create(chart, KnownSettings(), {.max_changes = 1}, 1, problems)
          .value();
  core::TimePoint now{};

  explicit EditorHarness(const Change& change, const Tree& tree = {}) {
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
  EditorHarness harness(MakeChange());
  harness.FindNothing();
  harness.ReadNothing();
  const auto write = harness.Expect<WriteChange>();
  CHECK(write.revision == 1);
  harness.editor.Handle(harness.now, NoAnswer{write.serial});
  const auto read = harness.Expect<ReadOutcome>();
  CHECK(read.change_id == "c-1");
  // The late answer of the write belongs to an earlier command.
  harness.editor.Handle(harness.now, HeadMoved{write.serial});
  harness.editor.Handle(harness.now,
                        OutcomeRead{.serial = read.serial, .revision = 1});
  const auto results = harness.editor.TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(std::get<Accepted>(results[0].outcome).revision == 1);
}

// Guards against a change reported as not written while an earlier write of it
// can still take effect.
TEST_CASE("the deadline tells not written from unknown") {
  for (const bool resubmitted : {false, true}) {
    EditorHarness harness(MakeChange(resubmitted));
    CHECK_FALSE(harness.editor.Submit(harness.now, {.id = "c-2"}, Tree()));
    std::vector<EditResult> results;
    while (results.empty()) {
      for (const EditCommand& command : harness.editor.TakeCommands()) {
        harness.editor.Handle(
            harness.now, NotRun{std::visit(
                             [](const auto& c) { return c.serial; }, command)});
      }
      harness.now = harness.editor.next_due().value();
      harness.editor.Advance(harness.now);
      results = harness.editor.TakeResults();
    }
    CHECK(harness.now.time_since_epoch() == Editor::Options().deadline);
    CHECK(std::holds_alternative<Unknown>(results[0].outcome) == resubmitted);
    CHECK(std::holds_alternative<NotWritten>(results[0].outcome) !=
          resubmitted);
    CHECK_FALSE(harness.editor.next_due().has_value());
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
  EditorHarness harness(MakeChange(true), tree);
  harness.FindNothing();
  harness.ReadNothing();
  const auto command = harness.Expect<ReadChanges>();
  CHECK(command.after == 0);
  harness.editor.Handle(
      harness.now,
      ChangesRead{.serial = command.serial, .delta = MakeDelta(0, log, false)});
  const auto results = harness.editor.TakeResults();
  REQUIRE(results.size() == 1);
  CHECK(std::get<Accepted>(results[0].outcome).revision == 1);
}

}  // namespace
}  // namespace hickoryusher::settings
