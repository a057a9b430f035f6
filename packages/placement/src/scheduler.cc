#include "placement/scheduler.h"

#include <algorithm>

#include "core/overloaded.h"
#include "scheduler_p.h"

namespace hickoryusher::placement {
namespace {

/// Batch work that has waited this long is as due as urgent work (ageing).
constexpr core::Duration kAgeLimit = std::chrono::hours(1);
/// Batch work overtakes urgent work only once it has waited this much longer,
/// however near its deadline is.
constexpr core::Duration kBatchMinWait = std::chrono::seconds(60);
/// Urgent work and watchers go before latency-critical work of the same age.
constexpr core::Duration kServiceMinWait = std::chrono::seconds(1);

core::TimePoint DueTime(const JobSpec& job, core::TimePoint queued) {
  if (job.urgent || job.work_class == core::WorkClass::kWatcher) {
    return queued;
  }
  if (job.work_class == core::WorkClass::kLatencyCritical) {
    return queued + kServiceMinWait;
  }
  return std::clamp(job.deadline.value_or(core::TimePoint::max()),
                    queued + kBatchMinWait, queued + kAgeLimit);
}

}  // namespace

Scheduler::Impl::Impl(Interpreter interpreter_in, SchedulerConfig config_in)
    : interpreter(std::move(interpreter_in)),
      config(config_in),
      estimator(config_in.estimator),
      groups(config_in.epoch),
      names(interpreter.chart()) {}

TaskSlot Scheduler::Impl::AddTask(core::TaskId id, std::uint32_t job) {
  TaskSlot slot = static_cast<TaskSlot>(tasks.size());
  if (free_tasks.empty()) {
    tasks.emplace_back();
  } else {
    slot = free_tasks.back();
    free_tasks.pop_back();
    tasks[slot] = Task{};
  }
  tasks[slot].id = id;
  tasks[slot].job = job;
  tasks[slot].state = interpreter.chart().initial();
  task_index[id] = slot;
  return slot;
}

Task* Scheduler::Impl::Find(core::TaskId id) {
  const auto found = task_index.find(id);
  return found == task_index.end() ? nullptr : &tasks[found->second];
}

void Scheduler::Impl::Dispatch(TaskSlot slot,
                               chart::EventId event,
                               core::TimePoint now,
                               std::vector<Command>& out) {
  Context context{*this, slot, now, out};
  const chart::Step step =
      interpreter.Dispatch(tasks[slot].state, event, context);
  tasks[slot].state = step.state;
  if (interpreter.chart().state(step.state).final) {
    FreeTask(slot);
  }
}

void Scheduler::Impl::FreeTask(TaskSlot slot) {
  const std::uint32_t index = tasks[slot].job;
  task_index.erase(tasks[slot].id);
  free_tasks.push_back(slot);
  Job& job = jobs[index];
  if (--job.open == 0) {
    failures.Forget(job.spec.job);
    job_index.erase(job.spec.job);
    free_jobs.push_back(index);
  }
}

void Scheduler::Impl::Requeue(TaskSlot slot, core::TimePoint now) {
  const std::uint32_t index = tasks[slot].job;
  Job& job = jobs[index];
  if (job.pending.empty()) {
    job.key = {DueTime(job.spec, now),
               job.spec.deadline.value_or(core::TimePoint::max()), index};
    queue.insert(job.key);
  }
  job.pending.push_back(slot);
}

void Scheduler::Impl::Submit(const JobSpec& spec, core::TimePoint now) {
  if (job_index.contains(spec.job) || spec.tasks == 0) {
    return;
  }
  std::uint32_t index = static_cast<std::uint32_t>(jobs.size());
  if (free_jobs.empty()) {
    jobs.emplace_back();
  } else {
    index = free_jobs.back();
    free_jobs.pop_back();
    jobs[index] = Job{};
  }
  jobs[index].spec = spec;
  jobs[index].open = spec.tasks;
  job_index[spec.job] = index;
  for (std::uint32_t i = 0; i < spec.tasks; ++i) {
    Requeue(AddTask(core::TaskId(spec.first_task.value() + i), index), now);
  }
}

void Scheduler::Impl::Cancel(core::JobId id,
                             core::TimePoint now,
                             std::vector<Command>& out) {
  const auto found = job_index.find(id);
  if (found == job_index.end()) {
    return;
  }
  Job& job = jobs[found->second];
  if (!job.pending.empty()) {
    queue.erase(job.key);
    job.pending.clear();
  }
  const JobSpec spec = job.spec;
  for (std::uint32_t i = 0; i < spec.tasks; ++i) {
    const auto task =
        task_index.find(core::TaskId(spec.first_task.value() + i));
    if (task != task_index.end()) {
      Dispatch(task->second, names.cancel, now, out);
    }
  }
}

void Scheduler::Impl::StopJob(std::uint32_t index,
                              std::string_view reason,
                              core::TimePoint now,
                              std::vector<Command>& out) {
  Job& job = jobs[index];
  if (job.stopped) {
    return;
  }
  job.stopped = true;
  out.emplace_back(JobRefused{.job = job.spec.job, .reason = reason});
  Cancel(job.spec.job, now, out);
}

void Scheduler::Impl::Restore(const RestoreTask& event,
                              core::TimePoint now,
                              std::vector<Command>& out) {
  const auto found = job_index.find(event.job);
  const auto index = task_index.find(event.row.task);
  if (found == job_index.end() || index == task_index.end()) {
    return;
  }
  const TaskSlot slot = index->second;
  Job& job = jobs[found->second];
  std::erase(job.pending, slot);
  if (job.pending.empty()) {
    queue.erase(job.key);
  }
  if (event.row.state != TaskRow::State::kClaimed) {
    FreeTask(slot);
    return;
  }
  Task& task = tasks[slot];
  task.restored = true;
  task.attempt = event.row.attempt;
  task.checkpoint_attempt = event.row.checkpoint_attempt;
  task.version = event.row.version;
  task.worker = event.row.worker;
  task.charge = job.spec.declared;
  job.started = true;
  workers.Charge(workers.Ensure(task.worker), slot, job.spec, task.charge);
  ChargeUsage(job, task.charge, 1);
  Dispatch(slot, names.restore, now, out);
}

void Scheduler::Impl::Apply(std::span<const WriteGroups::Resolved> resolved,
                            core::TimePoint now,
                            std::vector<Command>& out) {
  for (const auto& [row, written] : resolved) {
    const auto found = task_index.find(row.task);
    if (found == task_index.end()) {
      continue;
    }
    Task& task = tasks[found->second];
    const bool claim = row.state == TaskRow::State::kClaimed;
    if (written) {
      task.version = row.version + 1;
      task.claim_written = true;
      SendAck(task, out);
      Dispatch(found->second,
               claim ? names.claim_written : names.result_written, now, out);
    } else if (claim) {
      Dispatch(found->second, names.claim_refused, now, out);
    }
  }
}

void Scheduler::Impl::ChargeUsage(const Job& job,
                                  const core::Resources& size,
                                  int sign) {
  core::Resources& team = team_use[job.spec.team];
  core::Resources& work_class = class_use.at(core::Index(job.spec.work_class));
  if (sign > 0) {
    team += size;
    work_class += size;
  } else {
    team -= size;
    work_class -= size;
  }
}

Scheduler::Scheduler(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
Scheduler::~Scheduler() = default;

std::optional<Scheduler> Scheduler::Create(
    const chart::Chart& chart,
    SchedulerConfig config,
    std::vector<chart::Problem>& problems) {
  auto interpreter = Impl::Interpreter::Bind(chart, Impl::Bindings(), problems);
  if (!interpreter.has_value()) {
    return std::nullopt;
  }
  return Scheduler(std::make_unique<Impl>(std::move(*interpreter), config));
}

void Scheduler::Handle(const Event& event,
                       core::TimePoint now,
                       std::vector<Command>& out) {
  Impl& impl = *impl_;
  std::vector<WriteGroups::Resolved> resolved;
  std::visit(
      core::Overloaded{
          [&](const Tick&) {
            impl.PlaceRound(now, out);
            impl.groups.Tick(now, impl.hold, out);
          },
          [&](const SubmitJob& e) { impl.Submit(e.job, now); },
          [&](const CancelJob& e) { impl.Cancel(e.job, now, out); },
          [&](const RestoreTask& e) { impl.Restore(e, now, out); },
          [&](const SetFleet& e) {
            impl.workers.SetFleet(e.workers);
            impl.fleet_known = true;
          },
          [&](const WorkerUp& e) { impl.workers.Up(e.worker); },
          [&](const WorkerPaused& e) {
            if (Worker* worker = impl.workers.Find(e.worker)) {
              worker->up = false;
            }
          },
          [&](const WorkerTasksLost& e) { impl.LoseTasks(e.worker, now, out); },
          [&](const WorkerReport& e) { impl.OnReport(e, now, out); },
          [&](const GroupWritten& e) {
            impl.groups.Written(e.token, resolved);
          },
          [&](const GroupConflicted& e) {
            impl.groups.Unresolved(e.token, now);
          },
          [&](const GroupAnswerLost& e) {
            impl.groups.Unresolved(e.token, now);
          },
          [&](const GroupRead& e) {
            impl.groups.Read(e.token, e.rows, resolved);
          },
          [&](const SetHold& e) { impl.hold = e.hold; },
          [&](const SetQuota& e) { impl.quotas[e.team] = e.limit; },
      },
      event);
  impl.Apply(resolved, now, out);
}

SchedulerCounts Scheduler::counts() const {
  SchedulerCounts counts = impl_->totals;
  counts.tasks = impl_->task_index.size();
  counts.workers = impl_->workers.workers().size();
  counts.writes = impl_->groups.writes();
  return counts;
}

std::string_view Scheduler::StateName(core::TaskId task) const {
  const Task* found = impl_->Find(task);
  return found == nullptr ? std::string_view("none")
                          : impl_->interpreter.chart().StateName(found->state);
}

}  // namespace hickoryusher::placement
