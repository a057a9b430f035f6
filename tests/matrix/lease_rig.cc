#include "lease_rig.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "chart_yaml/load.h"

namespace hickoryusher::matrix {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr core::Duration kSettled = seconds(20);

/// @returns a chart as it ships, loaded once by its caller.
chart::Chart LoadShipped(const std::string& name) {
  chart_yaml::Loader loader;
  auto chart =
      loader.LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/" + name + ".yaml");
  if (!chart.has_value()) {
    std::cerr << loader.errors().front() << "\n";
    std::exit(2);
  }
  return *std::move(chart);
}

const chart::Chart& ShippedSliceChart() {
  static const chart::Chart chart = LoadShipped("slice_lease");
  return chart;
}

const chart::Chart& ShippedTaskChart() {
  static const chart::Chart chart = LoadShipped("task");
  return chart;
}

const chart::Chart& ShippedWorkerChart() {
  static const chart::Chart chart = LoadShipped("worker_lease");
  return chart;
}

}  // namespace

LeaseRig::LeaseRig(const LeaseWorld::Charts& charts, std::size_t setup)
    : world_(charts), setup_(setup) {
  world_.AddJob({.declared = {.cpu_millis = 4000}}, {.cpu_millis = 3000},
                hours(1000));
  if (owned_before()) {
    world_.StartProcess(1);
    world_.RunFor(kSettled);
  }
}

void LeaseRig::Heal() {
  world_.links = {};
  world_.ReleaseHeld(/*drop_answers=*/false);
}

void LeaseRig::Inject(const Step& step) {
  if (!injected_ && !links_stay_cut()) {
    world_.links = {};
  }
  injected_ = true;
  world_.Inject(step);
}

bool LeaseRig::Finish() {
  if (!links_stay_cut()) {
    Heal();
  }
  const core::TimePoint end = world_.injector().End();
  world_.RunUntil([&] { return world_.now() > end; }, hours(1));
  world_.EndSkew();
  Heal();
  if (!world_.IsRunning(1)) {
    world_.StartProcess(1);
  }
  // Long enough for a takeover, an unconfirmed worker and a lost worker.
  world_.RunFor(seconds(60));
  world_.Note(TaskMustRun{LeaseWorld::kTask});
  return true;
}

WorkerLeaseRig::WorkerLeaseRig(const chart::Chart& chart, std::size_t setup)
    : LeaseRig({&ShippedSliceChart(), &chart, &ShippedTaskChart()}, setup) {
  world_.links.worker_of_0[0] = true;
  world_.links.between_processes = true;
  world_.links.store_of_1 = true;
  world_.StartProcess(0);
  world_.RunUntil([this] { return State() != "none"; }, seconds(30));
}

bool WorkerLeaseRig::Perform(std::string_view event) {
  const std::string before(State());
  if (event == "vm_gone") {
    world_.RemoveVm();
    return true;
  }
  if (event == "report") {
    world_.links.worker_of_0[0] = false;
  } else if (event == "silent" || event == "lease_over") {
    world_.links.worker_of_0[0] = true;
  } else if (event == "yielded") {
    world_.links.between_processes = false;
  }
  return world_.RunUntil([&] { return State() != before; }, hours(3));
}

SliceLeaseRig::SliceLeaseRig(const chart::Chart& chart, std::size_t setup)
    : LeaseRig({&chart, &ShippedWorkerChart(), &ShippedTaskChart()}, setup) {
  world_.StartProcess(0);
  world_.RunFor(seconds(2));
}

bool SliceLeaseRig::Perform(std::string_view event) {
  const std::string before(State());
  if (event == "takeover_due") {
    world_.links.store_of_1 = true;
    world_.hold = LeaseWorld::Hold::kWrites;
  } else if (event == "write_applied" || event == "row_ours") {
    world_.ReleaseHeld(/*drop_answers=*/false);
  } else if (event == "answer_lost") {
    world_.ReleaseHeld(/*drop_answers=*/true);
    world_.hold = LeaseWorld::Hold::kReads;
  } else if (event == "lease_over" || event == "hold_over") {
    world_.links.store_of_0 = true;
  }
  if (State() != before) {
    return true;
  }
  return world_.RunUntil([&] { return State() != before; }, hours(3));
}

}  // namespace hickoryusher::matrix
