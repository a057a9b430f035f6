#include <catch2/catch.hpp>
#include <set>

#include "chart_yaml/load.h"
#include "placement/failure_ledger.h"
#include "placement/scheduler.h"

namespace hickoryusher::placement {
namespace {

constexpr std::int64_t kGb = 1'000'000'000;

JobSpec Job(std::uint64_t id, std::int64_t cpu_millis, std::uint32_t tasks) {
  return {.job = core::JobId(id),
          .team = core::TeamId(1),
          .kind = KindId(static_cast<std::uint32_t>(id % 100)),
          .declared = {.cpu_millis = cpu_millis, .memory_bytes = kGb},
          .first_task = core::TaskId(id * 1000),
          .tasks = tasks};
}

/// A scheduler with a store that answers at once and two workers of 4 cores.
struct Bench {
  chart::Chart chart = Load();
  core::TimePoint now{std::chrono::hours(1)};
  Scheduler scheduler;
  std::vector<Command> seen;
  bool store_answers = true;

  explicit Bench(SchedulerConfig config = {}) : scheduler(Make(config)) {
    SetFleet fleet;
    for (std::uint32_t i = 0; i < 2; ++i) {
      fleet.workers.push_back(
          {.worker = core::WorkerId(i),
           .capacity = {.cpu_millis = 4000, .memory_bytes = 16 * kGb}});
      Handle(WorkerUp{fleet.workers.back()});
    }
    Handle(fleet);
  }

  static chart::Chart Load() {
    chart_yaml::Loader loader;
    auto chart = loader.LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/task.yaml");
    REQUIRE(chart.has_value());
    return *chart;
  }
  Scheduler Make(SchedulerConfig config) {
    config.epoch = core::Epoch(1);
    std::vector<chart::Problem> problems;
    auto made = Scheduler::Create(chart, config, problems);
    REQUIRE(made.has_value());
    return std::move(*made);
  }
  void Handle(const Event& event) {
    std::vector<Command> out;
    scheduler.Handle(event, now, out);
    for (const Command& command : out) {
      seen.push_back(command);
      const auto* write = std::get_if<WriteGroup>(&command);
      if (write != nullptr && store_answers) {
        Handle(GroupWritten{.token = write->token});
      }
    }
  }
  void Step() {
    now += std::chrono::milliseconds(100);
    Handle(Tick{});
  }
  template <typename CommandType>
  std::vector<CommandType> All() const {
    std::vector<CommandType> found;
    for (const Command& command : seen) {
      if (const auto* typed = std::get_if<CommandType>(&command)) {
        found.push_back(*typed);
      }
    }
    return found;
  }
};

// Guards against P1: more work on a worker than it can hold.
TEST_CASE("no worker is given more than its capacity") {
  Bench bench;
  bench.Handle(SubmitJob{Job(1, 1500, 10)});
  bench.Step();
  CHECK(bench.All<StartTask>().size() == 4);
}

// Guards against a gang of which only a part has started.
TEST_CASE("a gang starts whole or not at all") {
  Bench bench;
  bench.Handle(SubmitJob{Job(1, 3000, 1)});
  bench.Step();
  JobSpec gang = Job(2, 2000, 4);
  gang.gang = true;
  bench.Handle(SubmitJob{gang});
  bench.Step();
  CHECK(bench.All<StartTask>().size() == 1);
  bench.Handle(CancelJob{core::JobId(1)});
  const StartTask first = bench.All<StartTask>().front();
  bench.Handle(WorkerReport{
      .worker = first.worker,
      .attempts = {{.task = first.task, .attempt = 1, .phase = Phase::kDone}}});
  bench.Step();
  CHECK(bench.All<StartTask>().size() == 5);
}

// Guards against jobs that wait for ever, or block others, because they can
// never run.
TEST_CASE("jobs that can never run are refused with the reason") {
  Bench bench;
  bench.Handle(
      SetQuota{.team = core::TeamId(1),
               .limit = {.cpu_millis = 6000, .memory_bytes = kGb * 9}});
  bench.Handle(SubmitJob{Job(1, 5000, 1)});
  JobSpec gang = Job(2, 4000, 3);
  gang.gang = true;
  bench.Handle(SubmitJob{gang});
  JobSpec pair = Job(3, 4000, 2);
  pair.gang = true;
  bench.Handle(SubmitJob{pair});
  bench.Handle(SubmitJob{Job(4, 1000, 1)});
  bench.Step();
  std::set<std::string_view> reasons;
  for (const JobRefused& refused : bench.All<JobRefused>()) {
    reasons.insert(refused.reason);
  }
  CHECK(reasons == std::set<std::string_view>{"larger than every worker",
                                              "gang larger than the fleet",
                                              "larger than the team's quota"});
  CHECK(bench.All<StartTask>().size() == 1);
}

// Guards against a team that uses more than its quota.
TEST_CASE("a quota limits what runs at once") {
  Bench bench;
  bench.Handle(
      SetQuota{.team = core::TeamId(1),
               .limit = {.cpu_millis = 3000, .memory_bytes = kGb * 9}});
  bench.Handle(SubmitJob{Job(1, 1000, 8)});
  bench.Step();
  CHECK(bench.All<StartTask>().size() == 3);
}

// Guards against batch work that takes the part guaranteed to services.
TEST_CASE("a class leaves the floor of the others free") {
  Bench bench({.floor_percent = {50, 0, 0}});
  bench.Handle(SubmitJob{Job(1, 1000, 8)});
  bench.Step();
  CHECK(bench.All<StartTask>().size() == 4);
}

// Guards against an order other than urgent first, then the nearest deadline.
TEST_CASE("urgent work goes first, then the earliest deadline") {
  Bench bench;
  JobSpec late = Job(1, 4000, 1);
  late.deadline = bench.now + std::chrono::minutes(50);
  JobSpec early = Job(2, 4000, 1);
  early.deadline = bench.now + std::chrono::minutes(5);
  JobSpec urgent = Job(3, 4000, 1);
  urgent.urgent = true;
  for (const JobSpec& job : {late, early, urgent}) {
    bench.Handle(SubmitJob{job});
  }
  bench.Step();
  const std::vector<Placed> placed = bench.All<Placed>();
  REQUIRE(placed.size() == 2);
  CHECK(placed[0].task == urgent.first_task);
  CHECK(placed[1].task == early.first_task);
}

// Guards against claims made without a lease, and starts before the claim.
TEST_CASE("nothing is claimed in hold mode or started before its claim") {
  Bench bench;
  bench.store_answers = false;
  bench.Handle(SetHold{.hold = true});
  bench.Handle(SubmitJob{Job(1, 1000, 1)});
  bench.Step();
  CHECK(bench.seen.empty());
  bench.Handle(SetHold{.hold = false});
  bench.Step();
  CHECK(bench.All<WriteGroup>().size() == 1);
  CHECK(bench.All<StartTask>().empty());
}

// Guards against a failing job that takes its workers out of service, and a
// failing worker that stays in service.
TEST_CASE("failing jobs are told from failing workers") {
  FailureLedger ledger;
  const auto worker = [](std::uint32_t id) { return core::WorkerId(id); };
  ledger.Failed(worker(1), core::JobId(1));
  ledger.Failed(worker(1), core::JobId(2));
  CHECK_FALSE(ledger.Failed(worker(1), core::JobId(2)).quarantine);
  const auto third = ledger.Failed(worker(1), core::JobId(3));
  CHECK(third.quarantine);
  CHECK(third.backoff == kFirstBackoff);
  CHECK(ledger.Failed(worker(1), core::JobId(4)).backoff == 2 * kFirstBackoff);

  ledger.Failed(worker(2), core::JobId(9));
  ledger.Failed(worker(3), core::JobId(9));
  CHECK(ledger.Failed(worker(4), core::JobId(9)).stop_job);
  ledger.Failed(worker(2), core::JobId(5));
  CHECK_FALSE(ledger.Failed(worker(2), core::JobId(6)).quarantine);
}

}  // namespace
}  // namespace hickoryusher::placement
