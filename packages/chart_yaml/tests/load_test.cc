#include "chart_yaml/load.h"

#include <catch2/catch.hpp>
#include <filesystem>

namespace hickoryusher::chart_yaml {
namespace {

// Guards against form faults that are accepted or reported without their line.
TEST_CASE("faulty chart files are refused with path and line") {
  struct Row {
    std::string_view text;
    std::string_view expected;
  };
  const Row rows[] = {
      {"chart: a\ninitial: s\nevents: []\nstates:\n  s: {final: true}\nextra: "
       "1\n",
       "f.yaml:6: a chart: unknown key 'extra'"},
      {"chart: a\ninitial: s\nevents: x\nstates:\n  s: {final: true}\n",
       "f.yaml:3: events: expected a list of names"},
      {"chart: a\ninitial: s\nevents: [e]\nstates:\n  s: {on: {e: t}}\n",
       "f.yaml:5: state 's', event 'e': target 't' is not defined"},
      {"chart: a\ninitial: s\nevents: [e]\nstates:\n  s: {}\n",
       "f.yaml:5: state 's': event 'e' has no unconditional transition and is "
       "not "
       "listed under ignore"},
      {"chart: [a\n", "f.yaml:2: end of sequence flow not found"},
  };
  for (const Row& row : rows) {
    Loader loader;
    CHECK_FALSE(loader.LoadText(row.text, "f.yaml").has_value());
    REQUIRE_FALSE(loader.errors().empty());
    CHECK(loader.errors().front() == row.expected);
  }
}

// Guards against a shipped chart that the binary would refuse at start.
TEST_CASE("every shipped chart passes the checks") {
  const std::filesystem::path folder =
      std::filesystem::path(HICKORYUSHER_SOURCE_DIR) / "charts";
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    Loader loader;
    const auto chart = loader.LoadFile(entry.path().string());
    for (const std::string& error : loader.errors()) {
      UNSCOPED_INFO(error);
    }
    CHECK(chart.has_value());
  }
}

// Guards against a list of guarded transitions that is read in another order.
TEST_CASE("a list of transitions keeps its order") {
  Loader loader;
  const auto chart = loader.LoadText(
      "chart: a\ninitial: s\nevents: [e]\nstates:\n  s:\n    on:\n      e:\n"
      "        - {guard: g, target: t}\n        - {target: u}\n"
      "  t: {final: true}\n  u: {final: true}\n",
      "f.yaml");
  REQUIRE(chart.has_value());
  const chart::State& state = chart->state(chart->initial());
  REQUIRE(state.transitions.size() == 2);
  CHECK(chart->StateName(state.transitions[0].target) == "t");
  CHECK(chart->StateName(state.transitions[1].target) == "u");
}

}  // namespace
}  // namespace hickoryusher::chart_yaml
