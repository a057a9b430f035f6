#include "sim_world.h"

#include <algorithm>

namespace hickoryusher::placement::sim {
namespace {

constexpr Duration kWorkerTick = std::chrono::milliseconds(200);
constexpr double kTickSeconds = 0.2;

TaskAttempt AttemptOf(const TaskAddress& address) {
  return {.task = address.task, .attempt = address.attempt};
}

}  // namespace

WorkerNode* World::FindWorker(core::WorkerId id) {
  const auto found = std::ranges::find(workers_, id, &WorkerNode::id);
  return found == workers_.end() ? nullptr : &*found;
}

const TrueJob* World::JobOf(core::TaskId task) const {
  const auto found = std::ranges::find_if(jobs_, [task](const TrueJob& job) {
    const std::uint64_t first = job.spec.first_task.value();
    return task.value() >= first && task.value() < first + job.spec.tasks;
  });
  return found == jobs_.end() ? nullptr : &*found;
}

void World::StartWorker(WorkerNode& worker) {
  net_.Every(worker.node, kWorkerTick, [this, &worker] { TickWorker(worker); });
}

core::Resources World::Use(const RunningTask& run) const {
  core::Resources use = run.job->use;
  const double growth = 1 + 0.1 * std::min(1.0, run.done_seconds / 20);
  use.cpu_millis =
      static_cast<std::int64_t>(static_cast<double>(use.cpu_millis) * growth);
  use.memory_bytes =
      static_cast<std::int64_t>(static_cast<double>(use.memory_bytes) * growth);
  return use;
}

void World::CheckUse(const WorkerNode& worker) {
  core::Resources total;
  for (const auto& [attempt, run] : worker.runs) {
    if (run.phase == Phase::kRunning) {
      total += Use(run);
    }
  }
  checker_.Used(net_.now(), worker.id, total, worker.spec.capacity);
}

void World::TickWorker(WorkerNode& worker) {
  const TimePoint now = net_.Local(worker.node);
  if (options_.defect != Defect::kNoLeaseEnd) {
    for (const TaskAttempt attempt : worker.guard.TakeExpired(now)) {
      EndRun(worker, attempt, Phase::kStopped);
    }
  }
  std::vector<std::pair<TaskAttempt, Phase>> ended;
  for (auto& [attempt, run] : worker.runs) {
    if (run.phase != Phase::kRunning) {
      continue;
    }
    run.done_seconds += kTickSeconds;
    const bool ends = run.job->spec.work_class == core::WorkClass::kBatch &&
                      run.done_seconds >= run.job->seconds;
    if ((worker.fails || run.job->fails) && run.done_seconds > 1) {
      ended.emplace_back(attempt, Phase::kFailed);
    } else if (ends) {
      ended.emplace_back(attempt, Phase::kDone);
    }
  }
  for (const auto& [attempt, phase] : ended) {
    EndRun(worker, attempt, phase);
  }
  CheckUse(worker);
}

void World::EndRun(WorkerNode& worker, TaskAttempt attempt, Phase phase) {
  const auto found = worker.runs.find(attempt);
  if (found != worker.runs.end() && found->second.phase == Phase::kRunning) {
    found->second.phase = phase;
    checker_.Ended(worker.id, attempt);
  }
  worker.guard.Ended(attempt, net_.Local(worker.node));
}

core::Epoch World::ObeyedEpoch(const WorkerNode& worker,
                               core::Epoch epoch) const {
  return options_.defect == Defect::kNoEpochCheck
             ? std::max(epoch, worker.guard.newest_epoch())
             : epoch;
}

void World::OnHeartbeat(WorkerNode& worker,
                        EntryNode& from,
                        const lease::Heartbeat& heartbeat) {
  const TimePoint now = net_.Local(worker.node);
  const core::Epoch epoch = ObeyedEpoch(worker, heartbeat.epoch);
  const lease::Admission admission = worker.guard.Renew(epoch, heartbeat.echo);
  if (admission != lease::Admission::kAccepted) {
    net_.Send(worker.node, from.node,
              [this, &from, slice = worker.slice,
               newest = worker.guard.newest_epoch()] {
                HandleSlice(from,
                            lease::Fenced{.slice = slice, .epoch = newest});
              });
    return;
  }
  WorkerReport report{.worker = worker.id};
  for (const auto& [attempt, run] : worker.runs) {
    const bool noisy = std::ranges::any_of(worker.runs, [](const auto& other) {
      return other.second.phase == Phase::kRunning &&
             other.second.job->spec.kind == KindId(3);
    });
    report.attempts.push_back({.task = attempt.task,
                               .attempt = attempt.attempt,
                               .phase = run.phase,
                               .peak_use = Use(run),
                               .slowdown = noisy ? 1.4 : 1.0});
  }
  // Under the missing check the worker answers to whoever asks.
  net_.Send(worker.node, from.node,
            [this, &from, report, slice = worker.slice, now,
             seen = options_.defect == Defect::kNoEpochCheck
                        ? heartbeat.epoch
                        : worker.guard.newest_epoch()] {
              OnReport(from, slice, report, seen, now);
            });
}

void World::OnCommand(WorkerNode& worker,
                      core::Epoch epoch,
                      std::optional<TimePoint> echo,
                      const StartTask& start) {
  const TimePoint now = net_.Local(worker.node);
  const TaskAttempt attempt{.task = start.task, .attempt = start.attempt};
  if (options_.defect == Defect::kLateStart) {
    echo = now;
  }
  if (worker.guard.Start(ObeyedEpoch(worker, epoch), *echo, attempt, now) !=
      lease::Admission::kAccepted) {
    return;
  }
  core::Resources assigned = start.size;
  for (const auto& [key, run] : worker.runs) {
    if (run.phase == Phase::kRunning) {
      assigned += Use(run);
    }
  }
  RunningTask& run = worker.runs[attempt];
  run = {.start = start, .job = JobOf(start.task)};
  const TaskAttempt source{.task = start.task,
                           .attempt = start.checkpoint_attempt};
  const bool usable = start.checkpoint_attempt == 0 ||
                      whole_checkpoints_.contains(source) ||
                      options_.defect == Defect::kCutCheckpoint;
  if (!usable || !core::Fits(assigned, worker.spec.capacity)) {
    run.phase = Phase::kStopped;
    worker.guard.Ended(attempt, now);
    return;
  }
  checker_.Started(net_.now(), worker.id, attempt, start.checkpoint_attempt,
                   table_.tasks[start.task]);
}

void World::OnCommand(WorkerNode& worker,
                      core::Epoch epoch,
                      std::optional<TimePoint> /*echo*/,
                      const StopTask& stop) {
  const TaskAttempt attempt = AttemptOf(stop);
  const lease::Admission admission = worker.guard.Stop(
      ObeyedEpoch(worker, epoch), attempt, net_.Local(worker.node));
  if (admission == lease::Admission::kAccepted) {
    EndRun(worker, attempt, Phase::kStopped);
  } else if (admission == lease::Admission::kDuplicate &&
             !worker.runs.contains(attempt)) {
    // Tells the owner that the attempt will never start.
    worker.runs[attempt] = {.job = JobOf(stop.task), .phase = Phase::kStopped};
  }
}

void World::OnCommand(WorkerNode& worker,
                      core::Epoch epoch,
                      std::optional<TimePoint> /*echo*/,
                      const CheckpointTask& checkpoint) {
  const TaskAttempt attempt = AttemptOf(checkpoint);
  const auto found = worker.runs.find(attempt);
  if (worker.guard.Accept(ObeyedEpoch(worker, epoch)) !=
          lease::Admission::kAccepted ||
      found == worker.runs.end() || found->second.phase != Phase::kRunning ||
      std::exchange(found->second.checkpointing, true)) {
    return;
  }
  ++evictions_;
  const auto finish = [this, &worker, attempt] {
    if (!worker.guard.IsRunning(attempt)) {
      return;
    }
    const bool whole = !net_.Chance(0.2);
    checker_.Checkpointed(attempt, whole);
    if (whole) {
      whole_checkpoints_.insert(attempt);
    }
    const bool reported = whole || options_.defect == Defect::kCutCheckpoint;
    EndRun(worker, attempt, reported ? Phase::kCheckpointed : Phase::kStopped);
  };
  net_.After(net_.Seconds(0.3, 2),
             [this, &worker, finish, generation = worker.node.generation] {
               net_.Run(worker.node, generation, finish);
             });
}

void World::OnCommand(WorkerNode& worker,
                      core::Epoch epoch,
                      std::optional<TimePoint> /*echo*/,
                      const AckEnded& ack) {
  const auto found = worker.runs.find(AttemptOf(ack));
  if (worker.guard.Accept(ObeyedEpoch(worker, epoch)) ==
          lease::Admission::kAccepted &&
      found != worker.runs.end() && found->second.phase != Phase::kRunning) {
    worker.runs.erase(found);
  }
}

}  // namespace hickoryusher::placement::sim
