#include "lease_rig.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include "chart_yaml/load.h"

namespace hickoryusher::matrix {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr core::Duration kSettled = seconds(20);
constexpr core::Resources kNoLimit{.cpu_millis = 1'000'000,
                                   .memory_bytes = 1'000'000'000'000};
constexpr core::Duration kEndless = hours(1000);

/// One worker has room for one task of this size.
constexpr std::int64_t kLarge = 18'000;
constexpr std::int64_t kLargeUse = 17'000;

/// Setups of the task rig.
constexpr std::size_t kUrgentSetup = 1;    ///< Evicts during the fault.
constexpr std::size_t kTooLargeSetup = 2;  ///< No worker has room.
constexpr std::size_t kCutSetup = 3;       ///< Links stay cut.

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
  static const chart::Chart kChart = LoadShipped("slice_lease");
  return kChart;
}

const chart::Chart& ShippedTaskChart() {
  static const chart::Chart kChart = LoadShipped("task");
  return kChart;
}

const chart::Chart& ShippedWorkerChart() {
  static const chart::Chart kChart = LoadShipped("worker_lease");
  return kChart;
}

}  // namespace

LeaseRig::LeaseRig(const LeaseWorld::Charts& charts,
                   std::size_t setup,
                   const TaskSpec& task)
    : world_(charts), setup_(setup) {
  world_.AddJob({.declared = task.declared}, task.use, kEndless);
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
  world_.SetQuota(kNoLimit);
  Heal();
  if (!world_.IsRunning(1)) {
    world_.StartProcess(1);
  }
  // Long enough for a takeover, an unconfirmed worker and a lost worker.
  world_.RunFor(seconds(60));
  if (!world_.HasEnded(LeaseWorld::kTask)) {
    world_.Note(TaskMustRun{LeaseWorld::kTask});
  }
  return true;
}

WorkerLeaseRig::WorkerLeaseRig(const chart::Chart& chart, std::size_t setup)
    : LeaseRig({&ShippedSliceChart(), &chart, &ShippedTaskChart()}, setup) {
  world_.TestPlaceOfTask();
  TestedLink() = true;
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
    TestedLink() = false;
  } else if (event == "silent" || event == "lease_over") {
    TestedLink() = true;
  } else if (event == "yielded") {
    world_.links.between_processes = false;
  }
  return world_.RunUntil([&] { return State() != before; }, hours(3));
}

TaskRig::TaskRig(const chart::Chart& chart, std::size_t setup)
    : LeaseRig({&ShippedSliceChart(), &ShippedWorkerChart(), &chart},
               setup == kCutSetup ? 2 : 0,
               setup == kTooLargeSetup
                   ? TaskSpec{.declared = {.cpu_millis = 64'000}}
                   : TaskSpec{.declared = {.cpu_millis = kLarge},
                              .use = {.cpu_millis = kLargeUse}}),
      task_setup_(setup) {
  world_.StartProcess(0);
  world_.RunUntil([this] { return State() != "none"; }, seconds(30));
}

bool TaskRig::Perform(std::string_view event) {
  const std::string before(State());
  const bool is_large = task_setup_ == kTooLargeSetup;
  if (event == "cancel" && !is_large) {
    world_.CancelJobOf(LeaseWorld::kTask);
  } else if (event == "checkpoint") {
    AddService();
    world_.RunFor(seconds(5));
    world_.AddUrgentJob();
  } else if (event == "ended_done") {
    world_.EndTask(LeaseWorld::kTask, placement::Phase::kDone);
  } else if (event == "worker_lost") {
    world_.links.worker_of_0.at(world_.PlaceOf(LeaseWorld::kTask).value()) =
        true;
  } else if (event == "restore" || event == "ended_stopped" ||
             event == "ended_failed" || event == "claim_refused") {
    // Not caused here; other paths lead to the same states.
    return false;
  }
  return world_.RunUntil([&] { return State() != before; }, seconds(60));
}

void TaskRig::Inject(const Step& step) {
  if (!std::exchange(injected_task_, true)) {
    world_.StartProcess(1);
    if (task_setup_ == kUrgentSetup) {
      world_.AddUrgentJob();
    }
  }
  LeaseRig::Inject(step);
}

/// Besides what every lease rig does, evicts and resumes a task, so that P3
/// has something to look at in every cell.
bool TaskRig::Finish() {
  for (const core::TaskId service : services_) {
    world_.CancelJobOf(service);
  }
  LeaseRig::Finish();
  world_.CancelJobOf(LeaseWorld::kTask);
  world_.RunFor(seconds(10));
  if (world_.LiveWorkers() > 1) {
    AddService();
  }
  const core::TaskId evictable =
      world_.AddJob({.declared = {.cpu_millis = kLarge}},
                    {.cpu_millis = kLargeUse}, kEndless);
  world_.RunFor(seconds(20));
  world_.AddUrgentJob();
  world_.RunFor(seconds(60));
  world_.Note(TaskMustRun{evictable});
  return true;
}

/// A service that fills a worker and cannot be evicted.
void TaskRig::AddService() {
  services_.push_back(
      world_.AddJob({.work_class = core::WorkClass::kLatencyCritical,
                     .declared = {.cpu_millis = kLarge}},
                    {.cpu_millis = kLargeUse}, kEndless));
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
