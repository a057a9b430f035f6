#include "chart/chart.h"

#include <catch2/catch.hpp>

#include "chart/interpreter.h"

namespace hickoryusher::chart {
namespace {

/// Door with a lock: closed -> open -> closed, and closed -> removed.
ChartBuilder DoorChart() {
  ChartBuilder builder;
  builder.Name("door").Initial("closed").Event("push").Event("remove");
  builder.AddState({.name = "closed",
                    .line = 3,
                    .exit = {"log_exit"},
                    .transitions = {{.event = "push",
                                     .guard = "unlocked",
                                     .target = "open",
                                     .actions = {"log_push"}},
                                    {.event = "remove", .target = "removed"}},
                    .ignored = {"push"}});
  builder.AddState({.name = "open",
                    .line = 9,
                    .entry = {"log_entry"},
                    .transitions = {{.event = "push", .target = "closed"}},
                    .ignored = {"remove"},
                    .timers = {{.duration = "hold_open", .event = "push"}}});
  builder.AddState({.name = "removed", .line = 15, .final = true});
  return builder;
}

struct Door {
  bool locked = false;
  std::vector<std::string> log;
  std::optional<core::Duration> timer;

  void StartTimer(EventId, core::Duration duration) { timer = duration; }
  void CancelTimer(EventId) { timer.reset(); }
};

Bindings<Door> DoorBindings() {
  Bindings<Door> bindings;
  bindings.Guard("unlocked", [](const Door& door) { return !door.locked; })
      .Action("log_exit", [](Door& door) { door.log.emplace_back("exit"); })
      .Action("log_push", [](Door& door) { door.log.emplace_back("push"); })
      .Action("log_entry", [](Door& door) { door.log.emplace_back("entry"); })
      .Duration("hold_open",
                [](const Door&) { return std::chrono::seconds(5); });
  return bindings;
}

// Guards against actions run in another order than exit, transition, entry.
TEST_CASE("a transition runs exit, transition and entry actions in order") {
  ChartBuilder builder = DoorChart();
  const std::optional<Chart> chart = builder.Build();
  REQUIRE(chart.has_value());
  std::vector<Problem> problems;
  const auto interpreter =
      Interpreter<Door>::Bind(*chart, DoorBindings(), problems);
  REQUIRE(interpreter.has_value());

  Door door;
  const StateId start = interpreter->Start(door);
  const Step step =
      interpreter->Dispatch(start, chart->FindEvent("push"), door);
  CHECK(chart->StateName(step.state) == "open");
  CHECK(door.log == std::vector<std::string>{"exit", "push", "entry"});
  CHECK(door.timer == core::Duration(std::chrono::seconds(5)));

  const Step back =
      interpreter->Dispatch(step.state, chart->FindEvent("push"), door);
  CHECK(chart->StateName(back.state) == "closed");
  CHECK_FALSE(door.timer.has_value());
}

// Guards against a transition that is taken although its guard is false.
TEST_CASE("an event whose guards are all false is ignored") {
  ChartBuilder builder = DoorChart();
  const std::optional<Chart> chart = builder.Build();
  REQUIRE(chart.has_value());
  std::vector<Problem> problems;
  const auto interpreter =
      Interpreter<Door>::Bind(*chart, DoorBindings(), problems);
  REQUIRE(interpreter.has_value());
  Door door{.locked = true};
  const StateId start = interpreter->Start(door);
  const Step step =
      interpreter->Dispatch(start, chart->FindEvent("push"), door);
  CHECK(step.disposition == Disposition::kIgnored);
  CHECK(step.state == start);
  CHECK(door.log.empty());
}

// Guards against a name in a chart file that no function stands behind.
TEST_CASE("unbound names are reported together") {
  ChartBuilder builder = DoorChart();
  const std::optional<Chart> chart = builder.Build();
  REQUIRE(chart.has_value());
  std::vector<Problem> problems;
  CHECK_FALSE(
      Interpreter<Door>::Bind(*chart, Bindings<Door>(), problems).has_value());
  CHECK(problems.size() == 5);
}

// Guards against charts that cannot run as written.
TEST_CASE("faulty charts are refused with the line") {
  struct Row {
    std::string_view fault;
    std::function<void(ChartBuilder&)> change;
    int line;
    std::string_view text;
  };
  const Row rows[] = {
      {"unreachable",
       [](ChartBuilder& b) {
         b.AddState({.name = "attic", .line = 20, .final = true});
       },
       20, "state 'attic' cannot be reached"},
      {"uncovered event", [](ChartBuilder& b) { b.Event("knock"); }, 3,
       "state 'closed': event 'knock' has no unconditional transition and is "
       "not "
       "listed under ignore"},
      {"unknown target",
       [](ChartBuilder& b) {
         b.AddState(
             {.name = "x",
              .line = 20,
              .transitions = {{.event = "push", .target = "y", .line = 21}}});
       },
       21, "state 'x', event 'push': target 'y' is not defined"},
      {"unknown initial", [](ChartBuilder& b) { b.Initial("ajar", 2); }, 2,
       "initial state 'ajar' is not defined"},
      {"duplicate state",
       [](ChartBuilder& b) {
         b.AddState({.name = "open", .line = 30, .final = true});
       },
       30, "state 'open' is defined twice"},
  };
  for (const Row& row : rows) {
    INFO(row.fault);
    ChartBuilder builder = DoorChart();
    row.change(builder);
    CHECK_FALSE(builder.Build().has_value());
    REQUIRE_FALSE(builder.problems().empty());
    const bool found =
        std::ranges::any_of(builder.problems(), [&row](const Problem& problem) {
          return problem.line == row.line && problem.text == row.text;
        });
    CHECK(found);
  }
}

}  // namespace
}  // namespace hickoryusher::chart
