// Measures how many placements per second one core makes and how much memory
// the scheduler's state takes, at 48, 250 and 1,000 workers.
#include <malloc.h>

#include <chrono>
#include <iostream>
#include <map>

#include "chart_yaml/load.h"
#include "core/log_line.h"
#include "core/random.h"
#include "placement/scheduler.h"

namespace hickoryusher::placement {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::int64_t kGb = 1'000'000'000;
constexpr int kKinds = 24;
constexpr int kTeams = 23;
/// Of the design size: 30,800 tasks and 1,300 accelerators on 1,000 workers.
constexpr double kTasksPerWorker = 30.8;
constexpr double kAcceleratorsPerWorker = 1.3;
/// One in this many tasks is latency-critical: 6,800 of 30,800.
constexpr int kServiceEvery = 5;
constexpr int kRounds = 40;
constexpr int kStartsPerRound = 1000;

/// The store and the workers, both without faults or delay.
class Bench {
 public:
  Bench(const chart::Chart& chart, int workers) : workers_(workers) {
    std::vector<chart::Problem> problems;
    auto scheduler = Scheduler::Create(
        chart, {.epoch = core::Epoch(1), .placements_per_tick = 4000},
        problems);
    if (!scheduler.has_value()) {
      std::cerr << "event=chart_not_bound\n";
      std::exit(1);
    }
    scheduler_.emplace(std::move(*scheduler));
    for (int i = 0; i < workers; ++i) {
      const auto id = static_cast<std::uint32_t>(i);
      const int accelerators =
          static_cast<int>(kAcceleratorsPerWorker * (i + 1)) -
          static_cast<int>(kAcceleratorsPerWorker * i);
      Handle(WorkerUp{{.worker = core::WorkerId(id),
                       .rack = core::RackId(id / 8),
                       .capacity = {.cpu_millis = 32'000,
                                    .memory_bytes = 125 * kGb,
                                    .accelerators = accelerators}}});
    }
  }

  void Submit(int tasks) {
    const int kind = static_cast<int>(random_() % kKinds);
    const bool service = random_() % kServiceEvery == 0;
    const JobSpec job{
        .job = core::JobId(next_job_++),
        .team = core::TeamId(static_cast<std::uint32_t>(random_() % kTeams)),
        .kind = KindId(static_cast<std::uint32_t>(kind + (service ? 0 : 32))),
        .work_class = service ? core::WorkClass::kLatencyCritical
                              : core::WorkClass::kBatch,
        .declared = {.cpu_millis = 500 + 20 * kind,
                     .memory_bytes = 2 * kGb,
                     .accelerators = kind == 0 ? 1 : 0},
        .first_task = core::TaskId(next_task_),
        .tasks = static_cast<std::uint32_t>(tasks)};
    next_task_ += static_cast<std::uint64_t>(tasks);
    Handle(SubmitJob{job});
  }

  /// Ticks and answers writes until nothing is left to do.
  void Settle() {
    for (int i = 0; i < 200; ++i) {
      now_ += std::chrono::milliseconds(100);
      const std::uint64_t before = scheduler_->counts().writes;
      Handle(Tick{});
      if (scheduler_->counts().writes == before) {
        break;
      }
    }
  }

  void ReportAll() {
    for (auto& [worker, attempts] : running_) {
      WorkerReport report{.worker = worker};
      for (const auto& [task, attempt] : attempts) {
        report.attempts.push_back(
            {.task = core::TaskId(task),
             .attempt = attempt,
             .peak_use = {.cpu_millis = 500, .memory_bytes = kGb},
             .slowdown = 1.02});
      }
      Handle(report);
    }
  }

  /// Ends @p count running tasks.
  void Finish(int count) {
    while (count > 0) {
      const auto worker = running_.find(
          core::WorkerId(static_cast<std::uint32_t>(random_() % workers_)));
      if (worker == running_.end() || worker->second.empty()) {
        continue;
      }
      WorkerReport report{.worker = worker->first};
      const auto ended = worker->second.begin()->first;
      for (const auto& [task, attempt] : worker->second) {
        report.attempts.push_back(
            {.task = core::TaskId(task),
             .attempt = attempt,
             .phase = task == ended ? Phase::kDone : Phase::kRunning,
             .peak_use = {.cpu_millis = 500, .memory_bytes = kGb}});
      }
      worker->second.erase(ended);
      Handle(report);
      --count;
    }
  }

  SchedulerCounts counts() const { return scheduler_->counts(); }

  std::chrono::nanoseconds spent{};

 private:
  void Handle(const Event& event) {
    std::vector<Command> out;
    const auto start = Clock::now();
    scheduler_->Handle(event, now_, out);
    spent += Clock::now() - start;
    for (const Command& command : out) {
      if (const auto* write = std::get_if<WriteGroup>(&command)) {
        Handle(GroupWritten{.token = write->token});
      } else if (const auto* start_task = std::get_if<StartTask>(&command)) {
        running_[start_task->worker][start_task->task.value()] =
            start_task->attempt;
      }
    }
  }

  int workers_;
  core::Random random_{1};
  core::TimePoint now_{std::chrono::hours(1)};
  std::optional<Scheduler> scheduler_;
  std::map<core::WorkerId, std::map<std::uint64_t, std::uint32_t>> running_;
  std::uint64_t next_job_ = 1;
  std::uint64_t next_task_ = 1;
};

void Measure(const chart::Chart& chart, int workers) {
  const std::size_t before = mallinfo2().uordblks;
  Bench bench(chart, workers);
  const int tasks = static_cast<int>(kTasksPerWorker * workers);
  for (int i = 0; i < tasks; i += 10) {
    bench.Submit(10);
  }
  bench.Settle();
  bench.ReportAll();
  // Includes the bench's own record of running tasks, so it is an upper bound.
  const std::size_t bytes = mallinfo2().uordblks - before;
  const std::size_t running = bench.counts().tasks;

  const std::uint64_t starts_before = bench.counts().starts;
  const std::uint64_t writes_before = bench.counts().writes;
  const int per_round = std::min(kStartsPerRound, tasks / 4);
  std::chrono::nanoseconds placing{};
  std::chrono::nanoseconds all{};
  for (int round = 0; round < kRounds; ++round) {
    bench.spent = {};
    bench.Finish(per_round);
    all += bench.spent;
    bench.spent = {};
    for (int i = 0; i < per_round; i += 10) {
      bench.Submit(10);
    }
    bench.Settle();
    placing += bench.spent;
    all += bench.spent;
  }
  const auto starts =
      static_cast<double>(bench.counts().starts - starts_before);
  const auto writes =
      static_cast<double>(bench.counts().writes - writes_before);
  core::LogLine line("placement_bench");
  line.Add("workers", workers)
      .Add("running", running)
      .Add("state_mb", static_cast<double>(bytes) / 1e6)
      .Add("placements", starts)
      .Add("placements_per_s",
           starts / std::chrono::duration<double>(placing).count())
      .Add("placements_per_s_with_reports",
           starts / std::chrono::duration<double>(all).count())
      .Add("writes_per_start", writes / starts);
  std::cout << line.text() << '\n';
}

}  // namespace
}  // namespace hickoryusher::placement

int main() {
  hickoryusher::chart_yaml::Loader loader;
  const auto chart =
      loader.LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/task.yaml");
  if (!chart.has_value()) {
    std::cerr << "event=chart_not_loaded\n";
    return 1;
  }
  for (const int workers : {48, 250, 1000}) {
    hickoryusher::placement::Measure(*chart, workers);
  }
  return 0;
}
