#include "cells.h"

#include <algorithm>
#include <optional>
#include <type_traits>
#include <variant>

#include "chart_paths.h"
#include "checkers.h"
#include "core/overloaded.h"
#include "lease_rig.h"
#include "request_rig.h"
#include "settings_rig.h"

namespace hickoryusher::matrix {
namespace {

template <typename Rig>
struct RigType {};

using AnyRig = std::variant<std::monostate,
                            RigType<RequestRig>,
                            RigType<WorkerLeaseRig>,
                            RigType<SliceLeaseRig>,
                            RigType<TaskRig>,
                            RigType<SettingsRig>>;

AnyRig RigOf(std::string_view chart) {
  if (chart == "request_attempt") {
    return RigType<RequestRig>{};
  }
  if (chart == "worker_lease") {
    return RigType<WorkerLeaseRig>{};
  }
  if (chart == "slice_lease") {
    return RigType<SliceLeaseRig>{};
  }
  if (chart == "task") {
    return RigType<TaskRig>{};
  }
  if (chart == "settings_revision") {
    return RigType<SettingsRig>{};
  }
  return std::monostate{};
}

constexpr std::size_t kMaxPaths = 60;

/// @returns true if the component is in the state at the end of @p path.
template <typename Rig>
bool Follow(Rig& rig, const Path& path) {
  return std::ranges::all_of(path, [&](const PathStep& step) {
    return rig.Perform(step.event) && rig.State() == step.target;
  });
}

/// What the runs of one cell have shown so far.
struct Progress {
  bool reached = false;
  bool applied = false;
};

void LookAt(const History& history, std::string_view setup, Cell& cell) {
  for (const Checker& checker : Checkers()) {
    if (checker.run == nullptr) {
      continue;
    }
    const Check check = checker.run(history);
    if (check.looked) {
      cell.looked.emplace(checker.guarantee);
    }
    for (const std::string& violation : check.violations) {
      cell.violated.emplace(checker.guarantee);
      cell.violations.push_back(std::string(checker.guarantee) + ": " +
                                violation + " (setup " + std::string(setup) +
                                ")");
    }
  }
}

/// Runs one cell with one setup along the first path that works.
template <typename Rig>
void RunSetup(const chart::Chart& chart,
              std::span<const Path> paths,
              const Fault& fault,
              std::size_t setup,
              Progress& progress,
              Cell& cell) {
  for (const Path& path : paths) {
    Rig rig(chart, setup);
    if (!Follow(rig, path)) {
      continue;
    }
    progress.reached = true;
    std::ranges::for_each(fault.steps,
                          [&](const Step& step) { rig.Inject(step); });
    const std::string name = std::to_string(setup);
    if (!rig.Finish()) {
      cell.violations.push_back("the run did not become quiet (setup " + name +
                                ")");
    }
    if (rig.injector().AllEffective()) {
      progress.applied = true;
      LookAt(rig.history(), name, cell);
      return;
    }
  }
}

void Judge(const FaultTable& table,
           const Fault& fault,
           const Progress& progress,
           Cell& cell) {
  std::vector<std::string> concerned;
  if (const auto more = fault.checks.find(cell.chart);
      more != fault.checks.end()) {
    concerned = more->second;
  }
  if (const auto row = table.concerned.find(cell.chart);
      row != table.concerned.end()) {
    concerned.insert(concerned.end(), row->second.begin(), row->second.end());
  }
  const auto missing =
      std::ranges::find_if(concerned, [&](const std::string& guarantee) {
        return !cell.looked.contains(guarantee);
      });
  if (!cell.violations.empty()) {
    cell.reason = "violation: " + cell.violations.front();
  } else if (!progress.reached) {
    cell.reason = "the state was not reached";
  } else if (!progress.applied) {
    cell.reason = "the fault had no effect";
  } else if (concerned.empty()) {
    cell.reason = "no guarantee is listed for the chart";
  } else if (missing != concerned.end()) {
    cell.reason = "the checker of " + *missing + " saw nothing to check";
  } else {
    cell.status = CellStatus::kProved;
  }
}

template <typename Rig>
void RunCell(const chart::Chart& chart,
             std::span<const Path> paths,
             const FaultTable& table,
             const Fault& fault,
             Cell& cell) {
  Progress progress;
  for (std::size_t setup = 0; setup < Rig::kSetups; ++setup) {
    RunSetup<Rig>(chart, paths, fault, setup, progress, cell);
  }
  Judge(table, fault, progress, cell);
}

}  // namespace

std::vector<Cell> RunChart(const chart::Chart& chart,
                           const FaultTable& table,
                           std::span<const Fault> faults) {
  std::vector<Cell> cells;
  for (std::size_t i = 0; i < chart.states().size(); ++i) {
    const chart::StateId state(static_cast<std::uint16_t>(i));
    const std::vector<Path> paths = PathsTo(chart, state, kMaxPaths);
    for (const Fault& fault : faults) {
      Cell cell{.chart = std::string(chart.name()),
                .state = std::string(chart.StateName(state)),
                .fault = fault.name};
      if (const auto reason =
              fault.ReasonNotApplicable(cell.chart, cell.state)) {
        cell.status = CellStatus::kNotApplicable;
        cell.reason = *reason;
      } else {
        std::visit(
            core::Overloaded{
                [&](std::monostate) { cell.reason = "the chart has no rig"; },
                [&]<typename Rig>(RigType<Rig>) {
                  RunCell<Rig>(chart, paths, table, fault, cell);
                }},
            RigOf(cell.chart));
      }
      cells.push_back(std::move(cell));
    }
  }
  return cells;
}

}  // namespace hickoryusher::matrix
