// Tasks of the lease world: the schedulers, the task rows and the workers.
#include <algorithm>
#include <chrono>

#include "core/overloaded.h"
#include "lease_world.h"

namespace hickoryusher::matrix {
namespace {

using placement::Phase;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::SliceId kSlice(0);
constexpr core::Duration kCheckpointTime = milliseconds(700);
/// More than what a worker with one large task has left.
constexpr std::int64_t kLargeCpu = 18'000;
constexpr std::int64_t kLargeCpuUse = 17'000;

placement::WorkerSpec SpecOf(core::WorkerId worker) {
  return {.worker = worker,
          .rack = core::RackId(worker.value()),
          .capacity = LeaseWorld::kCapacity};
}

}  // namespace

core::TaskId LeaseWorld::AddJob(placement::JobSpec spec,
                                core::Resources use,
                                core::Duration runs_for) {
  const std::uint64_t number = jobs_.size() + 1;
  spec.job = core::JobId(number);
  spec.team = core::TeamId(0);
  spec.kind = placement::KindId(static_cast<std::uint32_t>(number));
  spec.first_task = core::TaskId(number);
  spec.tasks = 1;
  jobs_.push_back({.spec = spec, .use = use, .runs_for = runs_for});
  return spec.first_task;
}

void LeaseWorld::AddUrgentJob() {
  AddJob({.urgent = true, .declared = {.cpu_millis = kLargeCpu}},
         {.cpu_millis = kLargeCpuUse}, seconds(4));
}

const LeaseWorld::Job* LeaseWorld::JobOf(core::TaskId task) const {
  return &jobs_.at(task.value() - 1);
}

void LeaseWorld::CancelJobOf(core::TaskId task) {
  jobs_.at(task.value() - 1).cancelled = true;
}

void LeaseWorld::EndTask(core::TaskId task, Phase phase) {
  jobs_.at(task.value() - 1).ends_as = phase;
}

std::string_view LeaseWorld::TaskState() const {
  const auto& scheduler = processes_[0].scheduler;
  const std::string_view state =
      scheduler.has_value() ? scheduler->StateName(kTask) : "none";
  if (state != "none" || !outcome_.has_value()) {
    return state;
  }
  switch (*outcome_) {
    case placement::Outcome::kDone:
      return "done";
    case placement::Outcome::kFailed:
      return "failed";
    case placement::Outcome::kCancelled:
      return "cancelled";
  }
  return "none";
}

bool LeaseWorld::HasEnded(core::TaskId task) const {
  const auto found = tasks_.find(task);
  return found != tasks_.end() && found->second.version > 0 &&
         found->second.state != placement::TaskRow::State::kClaimed;
}

core::WorkerId LeaseWorld::PlaceOf(core::TaskId task) const {
  const auto found = tasks_.find(task);
  return found == tasks_.end() ? core::WorkerId() : found->second.worker;
}

void LeaseWorld::TestPlaceOfTask() {
  if (const core::WorkerId place = PlaceOf(kTask); place.valid()) {
    tested_ = place;
  }
}

void LeaseWorld::GiveScheduler(std::size_t index,
                               const placement::Event& event) {
  ProcessState& process = processes_.at(index);
  if (process.scheduler.has_value()) {
    std::vector<placement::Command> out;
    process.scheduler->Handle(event, Clock(index), out);
    RunCommands(index, out);
  }
}

void LeaseWorld::SetQuota(const core::Resources& limit) {
  quota_ = limit;
  for (const std::size_t index : {0U, 1U}) {
    GiveScheduler(index, placement::SetQuota{core::TeamId(0), limit});
  }
}

void LeaseWorld::SubmitJobs(std::size_t index) {
  ProcessState& process = processes_.at(index);
  for (const Job& job : jobs_) {
    if (process.submitted.insert(job.spec.job).second) {
      GiveScheduler(index, placement::SubmitJob{job.spec});
    }
  }
}

void LeaseWorld::CancelJobs(std::size_t index) {
  ProcessState& process = processes_.at(index);
  for (const Job& job : jobs_) {
    if (job.cancelled && process.cancelled.insert(job.spec.job).second) {
      GiveScheduler(index, placement::CancelJob{job.spec.job});
    }
  }
}

void LeaseWorld::TickScheduler(std::size_t index) {
  ProcessState& process = processes_.at(index);
  if (!process.scheduler.has_value()) {
    if (now_ >= process.next_load) {
      process.next_load = now_ + seconds(1);
      Send(index, LoadTasks{process.owner->epoch(kSlice)});
    }
    return;
  }
  SubmitJobs(index);
  CancelJobs(index);
  placement::SetFleet fleet;
  for (std::uint32_t w = 0; w < kWorkers; ++w) {
    if (!workers_.at(w).gone) {
      fleet.workers.push_back(SpecOf(core::WorkerId(w)));
    }
  }
  GiveScheduler(index, fleet);
  GiveScheduler(index, placement::Tick{});
}

void LeaseWorld::FillScheduler(std::size_t index, const TasksLoaded& loaded) {
  ProcessState& process = processes_.at(index);
  if (process.scheduler.has_value() ||
      loaded.epoch != process.owner->epoch(kSlice)) {
    return;
  }
  std::vector<chart::Problem> problems;
  process.submitted.clear();
  process.cancelled.clear();
  process.scheduler = placement::Scheduler::Create(
      *charts_.task, {.epoch = loaded.epoch}, problems);
  if (quota_.has_value()) {
    GiveScheduler(index, placement::SetQuota{core::TeamId(0), *quota_});
  }
  SubmitJobs(index);
  for (const auto& [task, row] : loaded.rows) {
    GiveScheduler(index, placement::RestoreTask{JobOf(task)->spec.job, row});
  }
  for (std::uint32_t w = 0; w < kWorkers; ++w) {
    const core::WorkerId worker(w);
    const std::string_view state = process.leases->StateName(worker);
    if (state == "live") {
      GiveScheduler(index, placement::WorkerUp{SpecOf(worker)});
    } else if (state == "lost" || state == "gone") {
      // Announced before there was a scheduler.
      GiveScheduler(index, placement::WorkerTasksLost{worker});
    }
  }
  if (OwnershipOf(index) == lease::Ownership::kHold) {
    GiveScheduler(index, placement::SetHold{.hold = true});
  }
}

void LeaseWorld::RunCommands(std::size_t index,
                             const std::vector<placement::Command>& commands) {
  ProcessState& process = processes_.at(index);
  const core::Epoch epoch = process.owner->epoch(kSlice);
  const auto order = [&](const auto& command) {
    if (const auto echo = process.leases->EchoForCommand(command.worker)) {
      Send(index, OrderWorker{command.worker, epoch, *echo, command});
    }
  };
  for (const placement::Command& command : commands) {
    std::visit(
        core::Overloaded{
            [&](const placement::WriteGroup& c) { Send(index, WriteTasks{c}); },
            [&](const placement::ReadGroup& c) {
              Send(index, ReadTasks{epoch, c});
            },
            [&](const placement::StartTask& c) { order(c); },
            [&](const placement::StopTask& c) { order(c); },
            [&](const placement::CheckpointTask& c) { order(c); },
            [&](const placement::AckEnded& c) { order(c); },
            [&](const placement::TaskFinished& c) {
              if (c.task == kTask) {
                outcome_ = c.outcome;
              }
            },
            [](const auto&) {}},
        command);
  }
}

// All rows or none, unless the epoch of the slice or a version has changed.
void LeaseWorld::Serve(std::size_t from, const WriteTasks& message) {
  const placement::WriteGroup& write = message.command;
  const bool holds = row_.epoch == write.epoch &&
                     std::ranges::all_of(write.rows, [this](const auto& row) {
                       return tasks_[row.task].version == row.version;
                     });
  if (!holds) {
    Reply(from,
          ToScheduler{write.epoch, placement::GroupConflicted{write.token}});
    return;
  }
  for (placement::TaskRow row : write.rows) {
    ++row.version;
    tasks_[row.task] = row;
  }
  Reply(from, ToScheduler{write.epoch, placement::GroupWritten{write.token}});
}

void LeaseWorld::Serve(std::size_t from, const ReadTasks& message) {
  placement::GroupRead read{.token = message.command.token};
  for (const core::TaskId task : message.command.tasks) {
    read.rows.push_back(tasks_[task]);
    read.rows.back().task = task;
  }
  Reply(from, ToScheduler{message.epoch, std::move(read)});
}

void LeaseWorld::Serve(std::size_t from, const LoadTasks& message) {
  TasksLoaded loaded{.epoch = message.epoch};
  for (const auto& [task, row] : tasks_) {
    if (row.version > 0) {
      loaded.rows[task] = row;
    }
  }
  Reply(from, std::move(loaded));
}

void LeaseWorld::Serve(std::size_t /*from*/, const OrderWorker& message) {
  FakeWorker& worker = workers_.at(message.worker.value());
  if (!worker.gone) {
    std::visit([&](const auto& order) { Carry(worker, message, order); },
               message.order);
  }
}

void LeaseWorld::NoteLoad(std::size_t index) {
  core::Resources use;
  for (const auto& [attempt, run] : workers_.at(index).runs) {
    if (run.phase == Phase::kRunning) {
      use += run.use;
    }
  }
  Note(WorkerLoad{core::WorkerId(static_cast<std::uint32_t>(index)), use,
                  kCapacity});
}

void LeaseWorld::Carry(FakeWorker& worker,
                       const OrderWorker& message,
                       const placement::StartTask& order) {
  const lease::TaskAttempt attempt{order.task, order.attempt};
  if (worker.guard.Start(message.epoch, message.echo, attempt, now_) !=
      lease::Admission::kAccepted) {
    return;
  }
  worker.runs[attempt] = {.use = JobOf(order.task)->use, .started = now_};
  Note(TaskStarted{order.task, order.attempt, message.worker,
                   order.checkpoint_attempt});
  NoteLoad(message.worker.value());
  if (const auto phase = JobOf(order.task)->ends_as) {
    EndRun(message.worker.value(), attempt, *phase);
  }
}

void LeaseWorld::Carry(FakeWorker& worker,
                       const OrderWorker& message,
                       const placement::StopTask& order) {
  const lease::TaskAttempt attempt{order.task, order.attempt};
  const lease::Admission admission =
      worker.guard.Stop(message.epoch, attempt, now_);
  if (admission == lease::Admission::kAccepted) {
    EndRun(message.worker.value(), attempt, Phase::kStopped);
  } else if (admission == lease::Admission::kDuplicate &&
             !worker.runs.contains(attempt)) {
    // Tells the owner that the attempt will never start.
    worker.runs[attempt] = {.phase = Phase::kStopped};
  }
}

void LeaseWorld::Carry(FakeWorker& worker,
                       const OrderWorker& message,
                       const placement::CheckpointTask& order) {
  const auto found = worker.runs.find({order.task, order.attempt});
  if (worker.guard.Accept(message.epoch) == lease::Admission::kAccepted &&
      found != worker.runs.end() && !found->second.checkpointing) {
    found->second.checkpointing = true;
    found->second.started = now_;
  }
}

void LeaseWorld::Carry(FakeWorker& worker,
                       const OrderWorker& message,
                       const placement::AckEnded& order) {
  const auto found = worker.runs.find({order.task, order.attempt});
  if (worker.guard.Accept(message.epoch) == lease::Admission::kAccepted &&
      found != worker.runs.end() && found->second.phase != Phase::kRunning) {
    worker.runs.erase(found);
  }
}

void LeaseWorld::EndRun(std::size_t index,
                        lease::TaskAttempt attempt,
                        Phase phase) {
  FakeWorker& worker = workers_.at(index);
  const auto found = worker.runs.find(attempt);
  if (found != worker.runs.end() && found->second.phase == Phase::kRunning) {
    found->second.phase = phase;
    Note(TaskStopped{attempt.task, attempt.attempt,
                     core::WorkerId(static_cast<std::uint32_t>(index))});
    if (phase == Phase::kCheckpointed) {
      Note(Checkpointed{attempt.task, attempt.attempt});
    }
  }
  worker.guard.Ended(attempt, now_);
}

void LeaseWorld::TickWorker(std::size_t index) {
  FakeWorker& worker = workers_.at(index);
  for (const lease::TaskAttempt attempt : worker.guard.TakeExpired(now_)) {
    EndRun(index, attempt, Phase::kStopped);
  }
  std::vector<std::pair<lease::TaskAttempt, Phase>> ended;
  for (const auto& [attempt, run] : worker.runs) {
    const Job& job = *JobOf(attempt.task);
    if (run.phase != Phase::kRunning) {
      continue;
    }
    if (run.checkpointing) {
      if (now_ - run.started >= kCheckpointTime) {
        ended.emplace_back(attempt, Phase::kCheckpointed);
      }
    } else if (job.ends_as.has_value()) {
      ended.emplace_back(attempt, *job.ends_as);
    } else if (now_ - run.started >= job.runs_for) {
      ended.emplace_back(attempt, Phase::kDone);
    }
  }
  for (const auto& [attempt, phase] : ended) {
    EndRun(index, attempt, phase);
  }
}

}  // namespace hickoryusher::matrix
