#include "sim_world.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "chart_yaml/load.h"

namespace hickoryusher::placement::sim {
namespace {

constexpr std::int64_t kGb = 1'000'000'000;
constexpr int kSlices = 2;
constexpr int kEntries = 3;
constexpr int kWorkersPerSlice = 6;
constexpr int kWorkerAddress = 100;
constexpr Duration kFaultTime = std::chrono::seconds(240);
constexpr Duration kCalmTime = std::chrono::seconds(160);
constexpr Duration kVmListLag = std::chrono::seconds(20);

chart::Chart LoadChart(const std::string& name) {
  chart_yaml::Loader loader;
  auto chart = loader.LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/" + name);
  REQUIRE(chart.has_value());
  return *chart;
}

WorkerNode MakeWorker(int index, core::SliceId slice, double rate) {
  const core::WorkerId id(static_cast<std::uint32_t>(index));
  return {.node = {.address = kWorkerAddress + index, .rate = rate},
          .id = id,
          .slice = slice,
          .spec = {.worker = id,
                   .rack = core::RackId(static_cast<std::uint32_t>(index % 3)),
                   .capacity = {.cpu_millis = 32'000,
                                .memory_bytes = 125 * kGb,
                                .accelerators = (index / kSlices) % 2}}};
}

}  // namespace

World::World(WorldOptions options)
    : options_(options),
      net_(options.seed),
      slice_chart_(LoadChart("slice_lease.yaml")),
      worker_chart_(LoadChart("worker_lease.yaml")),
      task_chart_(LoadChart("task.yaml")) {
  if (!options.faults) {
    net_.faults = {.lose = 0, .twice = 0, .late = 0, .answer_lost = 0};
  }
  for (int i = 0; i < kEntries; ++i) {
    EntryNode& entry = entries_.emplace_back();
    entry.node = {.address = i + 1, .rate = net_.Uniform(0.99, 1.01)};
    entry.id = core::EntryId(static_cast<std::uint32_t>(i));
  }
  for (int i = 0; i < kSlices * kWorkersPerSlice; ++i) {
    workers_.push_back(
        MakeWorker(i, core::SliceId(static_cast<std::uint32_t>(i % kSlices)),
                   net_.Uniform(0.99, 1.01)));
  }
  workers_.back().fails = true;
  MakeJobs();
}

core::JobId World::AddJob(TrueJob job) {
  job.spec.job = core::JobId(jobs_.size() + 1);
  job.spec.team = core::TeamId(0);
  job.spec.first_task = core::TaskId(next_task_);
  next_task_ += job.spec.tasks;
  // Declared sizes are twice the true ones, as operators are careful.
  job.spec.declared = {.cpu_millis = job.use.cpu_millis * 2,
                       .memory_bytes = job.use.memory_bytes * 2,
                       .accelerators = job.use.accelerators};
  jobs_.push_back(job);
  return job.spec.job;
}

void World::MakeJobs() {
  for (std::uint32_t s = 0; s < kSlices; ++s) {
    const core::SliceId slice(s);
    AddJob({.spec = {.kind = KindId(1),
                     .work_class = core::WorkClass::kLatencyCritical,
                     .tasks = 4},
            .slice = slice,
            .use = {.cpu_millis = 3000, .memory_bytes = 8 * kGb}});
    AddJob({.spec = {.kind = KindId(4),
                     .work_class = core::WorkClass::kWatcher,
                     .tasks = 2},
            .slice = slice,
            .use = {.cpu_millis = 500, .memory_bytes = kGb}});
    for (int i = 0; i < 40; ++i) {
      TrueJob job{
          .spec = {.kind = KindId(i % 4 == 3 ? 3 : 2),
                   .urgent = i % 13 == 5,
                   .gang = i % 9 == 4,
                   .tasks = static_cast<std::uint32_t>(2 + net_.Pick(10))},
          .slice = slice,
          .submit = TimePoint(net_.Seconds(0, 200)),
          .use = {.cpu_millis = 1500, .memory_bytes = 6 * kGb},
          .seconds = net_.Uniform(3, 40),
          .fails = i % 20 == 7};
      if (i % 10 == 6) {
        job.cancel = job.submit + net_.Seconds(0, 20);
      }
      if (i % 11 == 3) {
        job.use.accelerators = 1;
        job.spec.kind = KindId(5);
        job.seconds = 4;
      }
      AddJob(job);
    }
    // Can never run: no worker has 16 accelerators.
    AddJob({.spec = {.kind = KindId(6)},
            .slice = slice,
            .use = {.cpu_millis = 1000, .accelerators = 16}});
  }
}

void World::FreezeWorker(WorkerNode& worker, Duration length) {
  if (worker.node.frozen || !worker.node.alive) {
    return;
  }
  worker.node.frozen = true;
  for (const auto& [attempt, run] : worker.runs) {
    checker_.Ended(worker.id, attempt);
  }
  net_.After(length, [this, &worker] {
    if (!worker.node.alive) {
      return;
    }
    // Expiry runs before the tasks of the VM get the processor back.
    if (options_.defect != Defect::kNoLeaseEnd) {
      for (const TaskAttempt attempt :
           worker.guard.TakeExpired(net_.Local(worker.node))) {
        EndRun(worker, attempt, Phase::kStopped);
      }
    }
    for (const auto& [attempt, run] : worker.runs) {
      if (run.phase == Phase::kRunning) {
        checker_.Resumed(net_.now(), worker.id, attempt);
      }
    }
    net_.Resume(worker.node);
  });
}

void World::KillWorker(WorkerNode& worker) {
  if (!worker.node.alive) {
    return;
  }
  worker.node.alive = false;
  for (const auto& [attempt, run] : worker.runs) {
    checker_.Ended(worker.id, attempt);
  }
  net_.After(kVmListLag, [this, &worker] {
    worker.listed = false;
    WorkerNode& fresh = workers_.emplace_back(
        MakeWorker(static_cast<int>(workers_.size()), worker.slice,
                   net_.Uniform(0.99, 1.01)));
    // The accelerators come back with the replacement.
    fresh.spec.capacity = worker.spec.capacity;
    StartWorker(fresh);
  });
}

void World::CutLink(Duration length) {
  const int entry = 1 + net_.Pick(kEntries);
  const int other =
      net_.Chance(0.6)
          ? 0
          : kWorkerAddress + net_.Pick(static_cast<int>(workers_.size()));
  const std::pair<int, int> there{entry, other};
  const std::pair<int, int> back{other, entry};
  const int direction = net_.Pick(3);
  if (direction != 1) {
    net_.cuts.insert(there);
  }
  if (direction != 0) {
    net_.cuts.insert(back);
  }
  net_.After(length, [this, there, back] {
    net_.cuts.erase(there);
    net_.cuts.erase(back);
  });
}

void World::Disturb() {
  EntryNode& entry = entries_[static_cast<std::size_t>(net_.Pick(kEntries))];
  WorkerNode& worker = workers_[static_cast<std::size_t>(
      net_.Pick(static_cast<int>(workers_.size())))];
  switch (net_.Pick(6)) {
    case 0:
      if (entry.node.alive) {
        entry.node.alive = false;
        entry.node.inbox.clear();
        net_.After(net_.Seconds(1, 15), [this, &entry] {
          entry.node.alive = true;
          entry.node.frozen = false;
          ++entry.node.generation;
          StartEntry(entry);
        });
      }
      break;
    case 1:
      if (entry.node.alive && !entry.node.frozen) {
        entry.node.frozen = true;
        net_.After(net_.Seconds(1, 30),
                   [this, &entry, generation = entry.node.generation] {
                     if (entry.node.generation == generation) {
                       net_.Resume(entry.node);
                     }
                   });
      }
      break;
    case 2:
      if (net_.Chance(0.3)) {
        KillWorker(worker);
      }
      break;
    case 3:
      FreezeWorker(worker, net_.Seconds(1, 30));
      break;
    case 4:
      table_.down = true;
      net_.After(net_.Seconds(1, 20), [this] { table_.down = false; });
      break;
    default:
      CutLink(net_.Seconds(2, 40));
      break;
  }
}

void World::Run() {
  for (EntryNode& entry : entries_) {
    StartEntry(entry);
  }
  for (WorkerNode& worker : workers_) {
    StartWorker(worker);
  }
  if (options_.faults) {
    for (Duration at = std::chrono::seconds(5); at < kFaultTime;
         at += net_.Seconds(1, 6)) {
      net_.After(at, [this] { Disturb(); });
    }
  }
  net_.RunUntil(TimePoint(kFaultTime));
  calm_ = true;
  net_.faults = {.lose = 0, .twice = 0, .late = 0, .answer_lost = 0};
  net_.RunUntil(TimePoint(kFaultTime + kCalmTime));
  CheckEnd();
}

void World::CheckEnd() {
  for (const TrueJob& job : jobs_) {
    const bool endless = job.spec.work_class != core::WorkClass::kBatch;
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
      const core::TaskId task(job.spec.first_task.value() + i);
      const TaskRow& row = table_.tasks[task];
      const bool running =
          std::ranges::any_of(workers_, [task](const WorkerNode& worker) {
            return worker.node.alive &&
                   std::ranges::any_of(worker.runs, [task](const auto& entry) {
                     return entry.first.task == task &&
                            entry.second.phase == Phase::kRunning;
                   });
          });
      const bool right =
          endless ? running
                  : !running && row.state != TaskRow::State::kClaimed &&
                        (row.state == TaskRow::State::kDone || job.fails ||
                         job.cancel.has_value() || job.use.accelerators > 1);
      if (!right) {
        std::string_view state = "none";
        for (const EntryNode& entry : entries_) {
          const auto term = entry.terms.find(job.slice);
          if (term != entry.terms.end() && term->second.scheduler.has_value()) {
            state = term->second.scheduler->StateName(task);
          }
        }
        checker_.Unfinished(task, state);
      }
    }
  }
}

}  // namespace hickoryusher::placement::sim
