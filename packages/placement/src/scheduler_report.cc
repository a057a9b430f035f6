#include <algorithm>

#include "scheduler_p.h"

namespace hickoryusher::placement {
namespace {

/// A task that has run for less does not show its size yet.
constexpr core::Duration kWarmUp = std::chrono::seconds(5);
/// A failed job is kept off the worker this long, so that it is tried on
/// others and a failing worker is told from a failing job.
constexpr core::Duration kFailureBan = std::chrono::seconds(60);

/// A task that has run this long on a quarantined worker counts as a success:
/// services and watchers never end.
constexpr core::Duration kProvenRun = std::chrono::seconds(60);

}  // namespace

void Scheduler::Impl::OnReport(const WorkerReport& report,
                               core::TimePoint now,
                               std::vector<Command>& out) {
  Worker* worker = workers.Find(report.worker);
  if (worker == nullptr) {
    return;
  }
  for (const AttemptReport& attempt : report.attempts) {
    OnAttempt(*worker, attempt, now, out);
  }
  OnAbsent(*worker, report, now, out);
  Measure(*worker, report, now, out);
}

void Scheduler::Impl::OnAttempt(Worker& worker,
                                const AttemptReport& attempt,
                                core::TimePoint now,
                                std::vector<Command>& out) {
  const auto found = task_index.find(attempt.task);
  const bool running = attempt.phase == Phase::kRunning;
  const core::WorkerId id = worker.spec.worker;
  const auto held = std::ranges::find_if(worker.tasks, [&](TaskSlot slot) {
    return tasks[slot].id == attempt.task &&
           tasks[slot].attempt == attempt.attempt;
  });
  if (held == worker.tasks.end()) {
    if (running) {
      out.emplace_back(StopTask{{id, attempt.task, attempt.attempt}});
      return;
    }
    // Keep the report of an end that is not on record yet.
    const bool open = found != task_index.end() &&
                      tasks[found->second].ended_worker == id &&
                      tasks[found->second].ended_attempt == attempt.attempt;
    if (!open) {
      out.emplace_back(AckEnded{{id, attempt.task, attempt.attempt}});
    }
    return;
  }
  const TaskSlot slot = *held;
  Task& task = tasks[slot];
  if (running) {
    OnRunning(worker, slot, now, out);
    return;
  }
  // The claim is not known to be written, so nothing can have been started.
  if (task.state == names.claimed) {
    return;
  }
  task.ended_worker = id;
  task.ended_attempt = attempt.attempt;
  const std::uint32_t job = task.job;
  switch (attempt.phase) {
    case Phase::kDone:
      failures.Succeeded(id);
      worker.quarantined = false;
      Dispatch(slot, names.ended_done, now, out);
      break;
    case Phase::kFailed:
      OnFailure(worker, job, now, out);
      Dispatch(slot, names.ended_failed, now, out);
      break;
    case Phase::kCheckpointed:
      Dispatch(slot, names.ended_checkpointed, now, out);
      break;
    case Phase::kStopped:
    case Phase::kRunning:
      Dispatch(slot, names.ended_stopped, now, out);
      break;
  }
}

void Scheduler::Impl::OnRunning(Worker& worker,
                                TaskSlot slot,
                                core::TimePoint now,
                                std::vector<Command>& out) {
  Dispatch(slot, names.started, now, out);
  const Task& task = tasks[slot];
  const TaskAddress address{worker.spec.worker, task.id, task.attempt};
  // The command may have been lost; the worker acts on it once.
  if (task.cancel_wanted) {
    out.emplace_back(StopTask{address});
  } else if (task.state == names.checkpointing) {
    out.emplace_back(CheckpointTask{address});
  } else if (worker.quarantined && task.state == names.running &&
             now - task.started >= kProvenRun) {
    worker.quarantined = false;
    failures.Succeeded(worker.spec.worker);
  }
}

void Scheduler::Impl::OnFailure(Worker& worker,
                                std::uint32_t index,
                                core::TimePoint now,
                                std::vector<Command>& out) {
  const JobSpec& spec = jobs[index].spec;
  const FailureLedger::Verdict verdict =
      failures.Failed(worker.spec.worker, spec.job);
  worker.bans.push_back({.job = spec.job, .until = now + kFailureBan});
  if (verdict.quarantine) {
    worker.quarantined = true;
    worker.retry_at = now + verdict.backoff;
    out.emplace_back(WorkerQuarantined{.worker = worker.spec.worker,
                                       .backoff = verdict.backoff});
  }
  for (const core::WorkerId id : verdict.cleared) {
    if (Worker* cleared = workers.Find(id)) {
      cleared->quarantined = false;
    }
  }
  // A watcher must stay up: it is tried again for ever.
  if (verdict.stop_job && spec.work_class != core::WorkClass::kWatcher) {
    StopJob(index, "failed on three different workers", now, out);
  }
}

void Scheduler::Impl::OnAbsent(Worker& worker,
                               const WorkerReport& report,
                               core::TimePoint now,
                               std::vector<Command>& out) {
  std::vector<std::uint64_t> present;
  present.reserve(report.attempts.size());
  std::ranges::transform(
      report.attempts, std::back_inserter(present),
      [](const AttemptReport& attempt) { return attempt.task.value(); });
  std::ranges::sort(present);
  std::vector<TaskSlot> absent;
  std::ranges::copy_if(
      worker.tasks, std::back_inserter(absent), [&](TaskSlot slot) {
        return !std::ranges::binary_search(present, tasks[slot].id.value());
      });
  for (const TaskSlot slot : absent) {
    const Task& task = tasks[slot];
    if (task.state == names.starting && !task.restored) {
      // The start was lost or is on its way; the worker takes it once.
      SendStart(task, out);
      if (task.cancel_wanted) {
        out.emplace_back(StopTask{{task.worker, task.id, task.attempt}});
      }
    } else if (task.state != names.claimed) {
      // The worker answers to this epoch and does not run the attempt. A start
      // from an earlier owner would be refused now.
      Dispatch(slot, names.worker_lost, now, out);
    }
  }
}

void Scheduler::Impl::LoseTasks(core::WorkerId id,
                                core::TimePoint now,
                                std::vector<Command>& out) {
  Worker* worker = workers.Find(id);
  if (worker == nullptr) {
    return;
  }
  worker->up = false;
  const std::vector<TaskSlot> slots = worker->tasks;
  for (const TaskSlot slot : slots) {
    Dispatch(slot, names.worker_lost, now, out);
  }
}

void Scheduler::Impl::Measure(Worker& worker,
                              const WorkerReport& report,
                              core::TimePoint now,
                              std::vector<Command>& out) {
  std::erase_if(worker.bans,
                [now](const Ban& ban) { return now >= ban.until; });
  const bool learned = IsLearned(config.policy);
  core::Resources used;
  double worst = 0;
  KindId worst_kind;
  for (const AttemptReport& attempt : report.attempts) {
    const auto found = task_index.find(attempt.task);
    if (attempt.phase != Phase::kRunning || found == task_index.end()) {
      continue;
    }
    Task& task = tasks[found->second];
    if (task.worker != worker.spec.worker || task.attempt != attempt.attempt ||
        task.state != names.running) {
      continue;
    }
    const Job& job = jobs[task.job];
    used += attempt.peak_use;
    if (learned && now - task.started >= kWarmUp) {
      estimator.Record(job.spec.kind, attempt.peak_use, now);
      core::Resources charge =
          estimator.Estimate(job.spec.kind, job.spec.declared, now);
      charge.cpu_millis =
          std::max(charge.cpu_millis, attempt.peak_use.cpu_millis);
      charge.memory_bytes =
          std::max(charge.memory_bytes, attempt.peak_use.memory_bytes);
      ChargeUsage(job, task.charge, -1);
      ChargeUsage(job, charge, 1);
      worker.charged += charge - task.charge;
      task.charge = charge;
    }
    if (job.spec.work_class == core::WorkClass::kLatencyCritical &&
        attempt.slowdown > 0) {
      if (attempt.slowdown > worst) {
        worst = attempt.slowdown;
        worst_kind = job.spec.kind;
      }
      // A throttled neighbour shows less than its full effect.
      if (learned && worker.guard.throttle() == 0) {
        std::vector<KindCount> neighbours = worker.kinds;
        const auto own =
            std::ranges::find(neighbours, job.spec.kind, &KindCount::kind);
        if (own != neighbours.end() && --own->count == 0) {
          neighbours.erase(own);
        }
        slowdowns.Learn(job.spec.kind, neighbours, attempt.slowdown);
      }
    }
  }
  const bool evicting =
      std::ranges::any_of(worker.tasks, [this](TaskSlot slot) {
        return tasks[slot].state == names.checkpointing;
      });
  if (learned && !evicting && !core::Fits(used, worker.spec.capacity)) {
    EvictCheapest(worker, KindId(), now, out);
    return;
  }
  const GuardAction action = worker.guard.OnReport(config.guard, worst, now);
  if (const auto* throttle = std::get_if<SetThrottle>(&action)) {
    out.emplace_back(
        ThrottleWorker{.worker = worker.spec.worker, .level = throttle->level});
  } else if (std::holds_alternative<EvictOne>(action) && !evicting) {
    EvictCheapest(worker, worst_kind, now, out);
  }
}

bool Scheduler::Impl::IsEvictable(const Task& task, core::TimePoint now) const {
  return task.state == names.running && !task.cancel_wanted &&
         jobs[task.job].spec.work_class == core::WorkClass::kBatch &&
         !jobs[task.job].spec.urgent &&
         (task.checkpoint_attempt == 0 ||
          now - task.started >= config.guard.min_run);
}

bool Scheduler::Impl::EvictCheapest(Worker& worker,
                                    KindId victim,
                                    core::TimePoint now,
                                    std::vector<Command>& out) {
  TaskSlot best = 0;
  double best_cost = -1;
  for (const TaskSlot slot : worker.tasks) {
    const Task& task = tasks[slot];
    if (!IsEvictable(task, now)) {
      continue;
    }
    // Writing and reading a checkpoint costs in proportion to the memory; the
    // relief is what the task's kind adds to the victim.
    const double memory_gb =
        static_cast<double>(task.charge.memory_bytes) / 1e9;
    const double relief =
        victim.valid() ? 0.01 + slowdowns.Pair(victim, jobs[task.job].spec.kind)
                       : 1.0;
    const double cost = (1.0 + memory_gb) / relief;
    if (best_cost < 0 || cost < best_cost) {
      best = slot;
      best_cost = cost;
    }
  }
  if (best_cost < 0) {
    return false;
  }
  // Evicted for a victim: kept apart from it. Evicted for room: may return.
  if (victim.valid()) {
    worker.bans.push_back({.kind = jobs[tasks[best].job].spec.kind,
                           .until = now + config.guard.ban});
  }
  ++totals.evictions;
  Dispatch(best, names.checkpoint, now, out);
  return true;
}

}  // namespace hickoryusher::placement
