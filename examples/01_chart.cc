// Loads a state chart, binds its names to functions and runs it.
#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "chart/interpreter.h"
#include "chart_yaml/load.h"

namespace {

namespace chart = hickoryusher::chart;

constexpr std::string_view kValve = R"(
chart: valve
initial: closed
events: [open, close]
states:
  closed:
    on: {open: {guard: has_pressure, target: opened, actions: [count]}}
    ignore: [open, close]
  opened:
    on: {close: closed}
    ignore: [open]
)";

struct Valve {
  double pressure_bar = 0;
  int openings = 0;
};

}  // namespace

int main() {
  hickoryusher::chart_yaml::Loader loader;
  const auto valve_chart = loader.LoadText(kValve, "valve.yaml");
  if (!valve_chart) {
    std::ranges::for_each(loader.errors(),
                          [](const std::string& e) { std::cerr << e << '\n'; });
    return 1;
  }
  chart::Bindings<Valve> bindings;
  bindings
      .Guard("has_pressure", [](const Valve& v) { return v.pressure_bar > 1; })
      .Action("count", [](Valve& v) { ++v.openings; });
  std::vector<chart::Problem> problems;
  const auto interpreter =
      chart::Interpreter<Valve>::Bind(*valve_chart, bindings, problems);
  if (!interpreter) {
    std::cerr << problems.front().text << '\n';
    return 1;
  }

  Valve valve;
  chart::StateId state = interpreter->Start(valve);
  const chart::EventId open = valve_chart->FindEvent("open");
  state = interpreter->Dispatch(state, open, valve).state;
  std::cout << "without pressure: " << valve_chart->StateName(state) << '\n';
  valve.pressure_bar = 2;
  state = interpreter->Dispatch(state, open, valve).state;
  std::cout << "with pressure: " << valve_chart->StateName(state) << '\n';
  return valve.openings == 1 ? 0 : 1;
}
