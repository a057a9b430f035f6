#include "fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>

namespace hickoryusher::placement::bench {
namespace {

constexpr std::int64_t kGb = 1'000'000'000;
constexpr core::Resources kCapacity = {.cpu_millis = 32'000,
                                       .memory_bytes = 125 * kGb};
constexpr int kServicesPerWorker = 3;
constexpr int kCheckpointSeconds = 4;
constexpr int kWarmUpSeconds = 120;
constexpr int kWavePeriod = 600;
constexpr int kWaveLength = 120;
/// Tasks of each kind waiting at any time, so that throughput is limited by
/// placement and not by which kind happens to wait.
constexpr int kBacklog = 40;
/// Part of its speed and of its effect that a batch task loses per level.
constexpr double kThrottleEffect = 0.45;

struct Run {
  std::uint32_t attempt = 0;
  std::size_t kind = 0;
  double done = 0;  ///< Seconds of work, including resumed work.
  double needed = 0;
  int checkpoint_left = -1;
  Phase phase = Phase::kRunning;
  core::Resources use;
};

struct Machine {
  std::map<std::uint64_t, Run> runs;
  int throttle = 0;
  std::deque<WorkerReport> reports;  ///< Delayed by the lag.
};

struct TaskTruth {
  std::size_t kind = 0;
  double needed = 0;
  double done = 0;  ///< Kept by a checkpoint.
  double size_factor = 1;
  int deadline = 0;
};

class Fleet {
 public:
  Fleet(const chart::Chart& chart,
        const Scenario& scenario,
        std::uint64_t seed,
        const SchedulerConfig& config)
      : scenario_(scenario), random_(seed), machines_(scenario.workers) {
    std::vector<chart::Problem> problems;
    scheduler_ = Scheduler::Create(chart, config, problems);
    if (!scheduler_.has_value()) {
      std::cerr << "event=chart_not_bound\n";
      std::exit(1);
    }
  }

  Result Run() {
    StartFleet();
    for (second_ = 0; second_ < scenario_.seconds; ++second_) {
      now_ += std::chrono::seconds(1);
      SubmitBatch();
      Handle(Tick{});
      for (std::size_t i = 0; i < machines_.size(); ++i) {
        Step(machines_[i]);
        SendReport(i);
      }
    }
    return Summarise();
  }

 private:
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }

  void StartFleet() {
    for (std::uint32_t i = 0; i < machines_.size(); ++i) {
      Handle(WorkerUp{{.worker = core::WorkerId(i),
                       .rack = core::RackId(i / 8),
                       .capacity = kCapacity}});
    }
    for (int kind = 0; kind < scenario_.service_kinds; ++kind) {
      Submit(static_cast<std::size_t>(kind),
             kServicesPerWorker * scenario_.workers / scenario_.service_kinds,
             0);
    }
    Handle(Tick{});
  }

  void Submit(std::size_t kind, int tasks, int deadline) {
    const TrueKind& truth = scenario_.kinds[kind];
    const auto declared = [&](std::int64_t value) {
      return static_cast<std::int64_t>(static_cast<double>(value) *
                                       truth.declared_factor);
    };
    JobSpec job{.job = core::JobId(next_job_++),
                .team = core::TeamId(0),
                .kind = KindId(static_cast<std::uint32_t>(kind)),
                .work_class = truth.work_class,
                .declared = {.cpu_millis = declared(truth.use.cpu_millis),
                             .memory_bytes = declared(truth.use.memory_bytes)},
                .first_task = core::TaskId(truths_.size()),
                .tasks = static_cast<std::uint32_t>(tasks)};
    if (deadline > 0) {
      job.deadline = now_ + std::chrono::seconds(deadline);
    }
    waiting_[kind] += tasks;
    for (int i = 0; i < tasks; ++i) {
      truths_.push_back({.kind = kind,
                         .needed = truth.seconds * Uniform(0.3, 1.7),
                         .size_factor = Uniform(0.85, 1.1),
                         .deadline = deadline > 0 ? second_ + deadline : 0});
    }
    Handle(SubmitJob{job});
  }

  void SubmitBatch() {
    const auto first = static_cast<std::size_t>(scenario_.service_kinds);
    const std::size_t ordinary = scenario_.kinds.size() - first - 1;
    for (std::size_t kind = first; kind < first + ordinary; ++kind) {
      while (waiting_[kind] < kBacklog) {
        Submit(kind, kBacklog, static_cast<int>(Uniform(600, 1800)));
      }
    }
    const int phase = second_ % kWavePeriod;
    if (phase >= kWavePeriod / 2 && phase < kWavePeriod / 2 + kWaveLength &&
        phase % 10 == 0) {
      Submit(static_cast<std::size_t>(scenario_.noisy_kind), 10, 900);
    }
  }

  void Step(Machine& machine) {
    double cpu = 0;
    for (const auto& [task, run] : machine.runs) {
      if (run.phase == Phase::kRunning) {
        cpu += static_cast<double>(run.use.cpu_millis) * Speed(machine, run);
      }
    }
    // Processors that are asked for more than they have slow every task.
    const double overload = std::max(1.0, cpu / kCapacity.cpu_millis);
    for (auto& [task, run] : machine.runs) {
      if (run.phase != Phase::kRunning) {
        continue;
      }
      const TrueKind& kind = scenario_.kinds[run.kind];
      if (kind.work_class != core::WorkClass::kBatch) {
        if (second_ >= kWarmUpSeconds) {
          latencies_.push_back(Slowdown(machine, run, overload));
        }
        continue;
      }
      const double cores = static_cast<double>(run.use.cpu_millis) / 1000;
      if (run.checkpoint_left > 0) {
        repeated_ += cores / 3600;
        if (--run.checkpoint_left == 0) {
          truths_[task].done = run.done;
          run.phase = Phase::kCheckpointed;
        }
        continue;
      }
      const double progress = Speed(machine, run) / overload;
      run.done += progress;
      useful_ += progress * cores / 3600;
      if (run.done >= run.needed) {
        run.phase = Phase::kDone;
        const int deadline = truths_[task].deadline;
        const bool counted = deadline > 0 && deadline < scenario_.seconds;
        deadlines_met_ += counted && second_ <= deadline ? 1 : 0;
      }
    }
  }

  double Speed(const Machine& machine, const bench::Run& run) const {
    const bool batch =
        scenario_.kinds[run.kind].work_class == core::WorkClass::kBatch;
    return batch ? 1 - kThrottleEffect * machine.throttle : 1;
  }

  double Slowdown(const Machine& machine,
                  const bench::Run& victim,
                  double overload) const {
    double extra = 0;
    for (const auto& [task, run] : machine.runs) {
      if (run.phase == Phase::kRunning) {
        extra +=
            scenario_.pair_extra[victim.kind][run.kind] * Speed(machine, run);
      }
    }
    // The load of the services changes over twenty minutes.
    const double load = 0.8 + 0.4 * std::sin(second_ * 2 * M_PI / 1200);
    return (1 + extra * load) * overload;
  }

  void SendReport(std::size_t index) {
    Machine& machine = machines_[index];
    WorkerReport report{.worker =
                            core::WorkerId(static_cast<std::uint32_t>(index))};
    const double overload = 1;
    for (const auto& [task, run] : machine.runs) {
      const bool service =
          scenario_.kinds[run.kind].work_class != core::WorkClass::kBatch;
      report.attempts.push_back(
          {.task = core::TaskId(task),
           .attempt = run.attempt,
           .phase = run.phase,
           .peak_use = run.use,
           .slowdown =
               service ? Slowdown(machine, run, overload) * Uniform(0.99, 1.01)
                       : 0});
    }
    machine.reports.push_back(report);
    const std::size_t lag =
        static_cast<std::size_t>(scenario_.report_lag_seconds);
    if (machine.reports.size() > lag) {
      WorkerReport delayed = std::move(machine.reports.front());
      machine.reports.pop_front();
      // Use and slowdown arrive late; which attempts exist is current.
      for (AttemptReport& current : report.attempts) {
        const auto old = std::ranges::find(delayed.attempts, current.task,
                                           &AttemptReport::task);
        const bool known =
            old != delayed.attempts.end() && old->attempt == current.attempt;
        current.peak_use = known ? old->peak_use : core::Resources{};
        current.slowdown = known ? old->slowdown : 0;
      }
      Handle(report);
    }
  }

  void Handle(const Event& event) {
    std::vector<Command> out;
    scheduler_->Handle(event, now_, out);
    for (const Command& command : out) {
      Execute(command);
    }
  }

  void Execute(const Command& command) {
    if (const auto* write = std::get_if<WriteGroup>(&command)) {
      Handle(GroupWritten{.token = write->token});
    } else if (const auto* start = std::get_if<StartTask>(&command)) {
      Start(*start);
    } else if (const auto* ack = std::get_if<AckEnded>(&command)) {
      machines_[ack->worker.value()].runs.erase(ack->task.value());
    } else if (const auto* throttle = std::get_if<ThrottleWorker>(&command)) {
      machines_[throttle->worker.value()].throttle = throttle->level;
    } else if (const auto* evict = std::get_if<CheckpointTask>(&command)) {
      auto& runs = machines_[evict->worker.value()].runs;
      const auto found = runs.find(evict->task.value());
      if (found != runs.end() && found->second.checkpoint_left < 0) {
        found->second.checkpoint_left = kCheckpointSeconds;
      }
    }
  }

  void Start(const StartTask& start) {
    const TaskTruth& truth = truths_[start.task.value()];
    auto& runs = machines_[start.worker.value()].runs;
    const auto found = runs.find(start.task.value());
    if (found != runs.end() && found->second.attempt >= start.attempt) {
      return;
    }
    waiting_[truth.kind] -= start.attempt == 1 ? 1 : 0;
    const core::Resources& use = scenario_.kinds[truth.kind].use;
    const auto sized = [&](std::int64_t value) {
      return static_cast<std::int64_t>(static_cast<double>(value) *
                                       truth.size_factor);
    };
    runs[start.task.value()] = {
        .attempt = start.attempt,
        .kind = truth.kind,
        .done = truth.done,
        .needed = truth.needed,
        .use = {.cpu_millis = sized(use.cpu_millis),
                .memory_bytes = sized(use.memory_bytes)}};
  }

  Result Summarise() {
    std::ranges::sort(latencies_);
    const auto at = [this](double part) {
      return latencies_.empty()
                 ? 0.0
                 : latencies_[static_cast<std::size_t>(
                       part * static_cast<double>(latencies_.size() - 1))];
    };
    const auto due = std::ranges::count_if(truths_, [this](const auto& truth) {
      return truth.deadline > 0 && truth.deadline < scenario_.seconds;
    });
    return {.p99 = at(0.99),
            .p50 = at(0.5),
            .batch_hours = useful_,
            .repeated_hours = repeated_,
            .evictions = static_cast<int>(scheduler_->counts().evictions),
            .deadlines_met = deadlines_met_,
            .deadlines = static_cast<int>(due)};
  }

  const Scenario& scenario_;
  core::Random random_;
  std::optional<Scheduler> scheduler_;
  std::vector<Machine> machines_;
  std::vector<TaskTruth> truths_;
  std::vector<double> latencies_;
  core::TimePoint now_{std::chrono::hours(1)};
  std::uint64_t next_job_ = 1;
  int second_ = 0;
  std::map<std::size_t, int> waiting_;  ///< Not started yet, by kind.
  int deadlines_met_ = 0;
  double useful_ = 0;
  double repeated_ = 0;
};

}  // namespace

Scenario MakeScenario(std::uint64_t seed) {
  core::Random random(seed);
  const auto uniform = [&random](double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  };
  constexpr int kBatchKinds = 5;
  Scenario scenario;
  for (int i = 0; i < scenario.service_kinds; ++i) {
    scenario.kinds.push_back(
        {.work_class = core::WorkClass::kLatencyCritical,
         .use = {.cpu_millis = static_cast<std::int64_t>(uniform(1000, 3000)),
                 .memory_bytes = 6 * kGb},
         .declared_factor = uniform(1.2, 2.0)});
  }
  for (int i = 0; i <= kBatchKinds; ++i) {
    scenario.kinds.push_back(
        {.use = {.cpu_millis = static_cast<std::int64_t>(uniform(800, 3000)),
                 .memory_bytes =
                     static_cast<std::int64_t>(uniform(1, 6) * kGb)},
         .declared_factor = uniform(1.3, 2.6),
         .seconds = uniform(60, 240)});
  }
  scenario.noisy_kind = static_cast<int>(scenario.kinds.size()) - 1;
  scenario.pair_extra.assign(scenario.kinds.size(),
                             std::vector<double>(scenario.kinds.size()));
  for (int victim = 0; victim < scenario.service_kinds; ++victim) {
    for (int kind = scenario.service_kinds; kind < scenario.noisy_kind;
         ++kind) {
      // Most pairs get along; a few do not.
      scenario.pair_extra[victim][kind] =
          uniform(0, 1) < 0.3 ? uniform(0.01, 0.03) : uniform(0, 0.003);
    }
    scenario.pair_extra[victim][scenario.noisy_kind] = uniform(0.06, 0.12);
  }
  return scenario;
}

Result RunPolicy(const chart::Chart& chart,
                 const Scenario& scenario,
                 std::uint64_t seed,
                 const SchedulerConfig& config) {
  return Fleet(chart, scenario, seed, config).Run();
}

}  // namespace hickoryusher::placement::bench
