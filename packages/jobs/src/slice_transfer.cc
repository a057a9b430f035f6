#include <algorithm>
#include <utility>

#include "jobs/intake.h"
#include "slice_scheduler_p.h"

/// Moves tasks off workers that are leaving or that slow them down, and
/// transfers long-running jobs to other slices.
namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// Time for which a task must have been slowed before it is moved. A move costs
// a stop, a start and 100 ms of work.
constexpr core::Duration kSlowedMoveDelay = milliseconds(600);

// Time that a long-running task may stay unplaced before its job is
// transferred. It must run again within 3 s of the time at which its last run
// could have been replaced; stopping the other tasks of its job and
// transferring the job takes well under 1 s.
constexpr core::Duration kUnplacedTransferDelay = milliseconds(900);

// No transfer begins if the store has not answered for this long: a job in
// transfer runs nowhere until the store has answered.
constexpr core::Duration kMaxStoreSilence = milliseconds(2000);

// Minimum time that a job stays on a slice, so that jobs are not passed back
// and forth between slices without room.
constexpr core::Duration kMinResidence = milliseconds(4000);

// Each transfer of a part adds to its id, and a key has at most 200 bytes.
constexpr std::size_t kMaxPartIdBytes = 150;

// Minimum time between searches for another job to transfer in place of a
// waiting one; each search examines all tasks of the slice.
constexpr core::Duration kSwapSearchInterval = milliseconds(500);

/// @returns true if the tasks that are left are long-running, and no step waits
/// for one of them, which would take tasks of other slices for done.
bool IsLongRunning(const Job& job) {
  const auto& steps = job.spec.steps;
  return std::ranges::all_of(job.groups,
                             [&](const Group& group) {
                               return job.StepOf(group).long_running ||
                                      group.open == 0;
                             }) &&
         std::ranges::none_of(steps, [&](const StepSpec& step) {
           return std::ranges::any_of(step.after, [&](std::uint32_t before) {
             return steps[before].long_running;
           });
         });
}

/// @returns true if all tasks of the job may be stopped at once, that is, if no
/// step limits how many of its tasks may be unavailable.
bool MayStopAll(const Job& job) {
  return std::ranges::all_of(job.spec.steps, [](const StepSpec& step) {
    return step.max_unavailable == 0;
  });
}

/// Takes the room of those of the tasks that fit, one after the other, into
/// workers with @p free CPU millicores.
/// @returns these tasks.
std::vector<std::uint32_t> FittingTasks(const Job& job,
                                        std::span<const std::uint32_t> tasks,
                                        std::span<std::int64_t> free) {
  std::vector<std::uint32_t> fitting;
  std::map<std::uint32_t, std::vector<std::uint32_t>> placed_by_group;
  for (const std::uint32_t number : tasks) {
    const Task& task = job.tasks[number];
    const StepSpec& step = job.StepOf(task);
    const std::int64_t need = Reservation(step).cpu_millis;
    auto& placed = placed_by_group[task.group];
    placed.resize(free.size());
    std::size_t best = free.size();
    for (std::size_t i = 0; i < free.size(); ++i) {
      const bool may_take =
          step.max_per_worker == 0 || placed[i] < step.max_per_worker;
      if (free[i] >= need && may_take &&
          (best == free.size() || free[i] > free[best])) {
        best = i;
      }
    }
    if (best != free.size()) {
      free[best] -= need;
      ++placed[best];
      fitting.push_back(number);
    }
  }
  return fitting;
}

/// @returns what the tasks need; each need once.
std::vector<TaskNeeds> NeedsOf(const Job& job,
                               std::span<const std::uint32_t> tasks) {
  std::vector<TaskNeeds> needs;
  for (const std::uint32_t number : tasks) {
    AddNeeds(needs, job.StepOf(job.tasks[number]));
  }
  return needs;
}

}  // namespace

void SliceScheduler::SetLoads(std::vector<std::optional<SliceLoad>> loads) {
  loads_ = std::move(loads);
  waiting_transfer_due_ = true;
}

// A task that is slowed for long delays its job, and a task on a leaving worker
// is lost with it. Both are stopped if another worker has room for them.
void SliceScheduler::MoveTasks() {
  if (now_ < next_move_) {
    return;
  }
  next_move_ = now_ + kTick;
  for (const auto& worker : workers_.all()) {
    const std::vector<Task*> tasks = worker->tasks;
    for (Task* task : tasks) {
      const StepSpec& step = task->job->StepOf(*task);
      // The delay doubles with each move, so that no task goes back and forth.
      const bool slowed =
          task->slowed_since <=
          now_ - kSlowedMoveDelay * (1U << std::min(task->slow_moves, 8U));
      const bool leaving = worker->entry.draining;
      const bool movable =
          step.saves_progress || (leaving && step.long_running);
      // A long-running task starts only if a write succeeds.
      if (!IsState(*task, states_.running) || !movable ||
          (!slowed && !leaving) || (step.long_running && !WritesSucceed())) {
        continue;
      }
      const Worker* other =
          ChooseWorker(*task->job, task->job->groups[task->group], *task);
      if (other == nullptr || other == worker.get()) {
        if (leaving && step.long_running) {
          // Obtains room elsewhere while the worker still runs the task.
          if (!NominateWorker(*task) &&
              !(MaySearch(*task->job) && MakeRoom(*task))) {
            task->job->unplaced_since =
                task->job->unplaced_since.value_or(now_);
          }
        }
        continue;
      }
      options_.log(
          core::LogLine("task_moved")
              .Add("task", ToText(task->job->AddressOf(*task)))
              .Add("from", worker->entry.id)
              .Add("reason", leaving ? "worker_leaves" : "slowed")
              .Add("contact", charts_.worker_contact.StateName(worker->contact))
              .Add("pace", task->pace_percent));
      if (leaving && step.long_running) {
        // Keeps other tasks from being stopped for the same room.
        Nominate(*other, *task);
      }
      task->slowed_since = core::TimePoint::max();
      task->slow_moves += leaving ? 0 : 1;
      Dispatch(*task, "halt");
      // The headroom has changed; the next task must not rely on the old value.
      worker->headrooms_valid = false;
    }
  }
}

// Returns the long-running tasks that wait for a worker, and those that run on
// one that leaves while none is nominated for them, if they may be stopped.
std::vector<std::uint32_t> SliceScheduler::WaitingTasks(const Job& job) {
  const bool may_stop = MayStopAll(job);
  std::vector<std::uint32_t> waiting;
  for (const Task& task : job.tasks) {
    const bool on_leaving =
        may_stop && IsState(task, states_.running) &&
        !HasNominatedWorker(task) && workers_.Get(task.worker).entry.draining &&
        charts_.worker_contact.StateName(workers_.Get(task.worker).contact) ==
            "live";
    if ((MayStart(task) || on_leaving) && job.StepOf(task).long_running) {
      waiting.push_back(task.number);
    }
  }
  return waiting;
}

bool SliceScheduler::IsWholeJob(const Job& job,
                                std::span<const std::uint32_t> tasks) const {
  return (job.is_part || job.has_all_tasks()) &&
         std::ranges::all_of(job.tasks, [&](const Task& task) {
           return IsState(task, states_.elsewhere) ||
                  std::ranges::find(tasks, task.number) != tasks.end();
         });
}

// @returns the slice where most of the tasks fit; of several, the one with the
// most free CPU. A gang is not divided.
std::optional<SliceScheduler::TransferPlan> SliceScheduler::PlanTransfer(
    const Job& job,
    std::span<const std::uint32_t> tasks) const {
  const bool whole = std::ranges::any_of(job.spec.steps, &StepSpec::gang);
  std::optional<TransferPlan> best;
  std::int64_t most_free = 0;
  for (const std::size_t candidate :
       CandidateSlices(job.caller_id(), options_.all_slices.size())) {
    const bool own = candidate == options_.id.value();
    if (own || candidate >= loads_.size() || !loads_[candidate] ||
        !IsRecent(*loads_[candidate], unix_ms_) || IsEvacuated(candidate)) {
      continue;
    }
    const SliceLoad& load = *loads_[candidate];
    if (!CanRun(load, job.queue.service, NeedsOf(job, tasks))) {
      continue;
    }
    const std::int64_t free = load.capacity_millis - load.long_running_millis;
    TransferPlan plan{.target = candidate, .left = load};
    plan.tasks = FittingTasks(job, tasks, plan.left.long_running_room_millis);
    const std::size_t most = best ? best->tasks.size() : 0;
    if (plan.tasks.empty() || (whole && !IsWholeJob(job, plan.tasks)) ||
        std::pair(plan.tasks.size(), free) <= std::pair(most, most_free)) {
      continue;
    }
    most_free = free;
    best = std::move(plan);
  }
  return best;
}

// Transfers long-running tasks that find no worker to slices with room.
void SliceScheduler::TransferJobs() {
  std::erase_if(nominations_, [this](const auto& entry) {
    return now_ >= entry.second.until;
  });
  if (transfer_ || now_ < next_transfer_) {
    return;
  }
  next_transfer_ = now_ + kTick;
  bool searched = false;
  jobs_.ForEach([&](Job& job) {
    if (transfer_ || !job.unplaced_since) {
      return;
    }
    const std::vector<std::uint32_t> waiting = WaitingTasks(job);
    if (waiting.empty() || job.halted) {
      job.unplaced_since.reset();
      return;
    }
    if (now_ < *job.unplaced_since + kUnplacedTransferDelay ||
        now_ > job_rows_.last_answer() + kMaxStoreSilence) {
      return;
    }
    const bool may_transfer = MayTransfer(job);
    if (auto plan = may_transfer ? PlanTransfer(job, waiting) : std::nullopt) {
      BeginTransfer(job, *std::move(plan));
    } else if ((may_transfer || !MayStopAll(job) || !IsLongRunning(job)) &&
               !IsEvacuated() && !searched && now_ >= job.next_swap) {
      searched = true;
      job.next_swap = now_ + kSwapSearchInterval;
      TransferOtherFor(job);
    }
  });
}

bool SliceScheduler::HasUsableWorker() const {
  return std::ranges::any_of(
      workers_.all(), [this](const auto& worker) { return IsUsable(*worker); });
}

bool SliceScheduler::MayTransfer(const Job& job) const {
  // Of a job that may not be stopped, WaitingTasks returns no running task.
  const bool must_leave = IsEvacuated() || !HasUsableWorker();
  return IsLongRunning(job) && !job.halted && !job.transfer_unsettled &&
         job.spec.id.size() <= kMaxPartIdBytes &&
         (must_leave ||
          (MayStopAll(job) && now_ >= job.known_since + kMinResidence));
}

// Transfers tasks of another job so that a waiting task of @p job fits: the
// fewest that would free enough room on a worker. @p job itself may be
// ineligible, for example if its tasks may not all be stopped.
void SliceScheduler::TransferOtherFor(Job& job) {
  const auto waiting =
      std::ranges::find_if(job.tasks, [this](const Task& task) {
        return MayStart(task) && task.job->StepOf(task).long_running;
      });
  if (waiting == job.tasks.end()) {
    return;
  }
  const Group& group = job.groups[waiting->group];
  const core::Resources need = Reservation(job.StepOf(group));
  Job* chosen = nullptr;
  const Worker* freed = nullptr;
  std::optional<TransferPlan> best;
  for (const auto& worker : workers_.all()) {
    if (nominations_.contains(worker->id) || !IsFeasible(*worker, job, group)) {
      continue;
    }
    std::map<Job*, std::vector<std::uint32_t>> tasks_by_job;
    for (const Task* task : worker->tasks) {
      if (task->job->StepOf(*task).long_running) {
        tasks_by_job[task->job].push_back(task->number);
      }
    }
    for (auto& [other, tasks] : tasks_by_job) {
      core::Resources room = worker->long_running_room();
      for (const std::uint32_t number : tasks) {
        room += Reservation(other->StepOf(other->tasks[number]));
      }
      const bool fewer = !best || tasks.size() < best->tasks.size();
      const bool movable =
          other != &job && MayTransfer(*other) && MayStopAll(*other) &&
          std::ranges::none_of(other->tasks, [this](const Task& task) {
            return MayRunUnseen(task);
          });
      if (!fewer || !movable || !Fits(need, room)) {
        continue;
      }
      std::ranges::sort(tasks);
      auto plan = PlanTransfer(*other, tasks);
      if (plan && plan->tasks.size() == tasks.size()) {
        chosen = other;
        freed = worker.get();
        best = std::move(plan);
      }
    }
  }
  if (chosen != nullptr) {
    Nominate(*freed, *waiting);
    BeginTransfer(*chosen, *std::move(best));
  }
}

// First announces the tasks in the target's incoming row. The write fails if
// others are in transfer there or have arrived since the target published its
// load; then these continue here.
void SliceScheduler::BeginTransfer(Job& job, TransferPlan plan) {
  const RowKey key = IncomingRow(options_.all_slices[plan.target].name);
  store_commands_.push_back(CommitRows{
      .call = ids_.Next(),
      .conditions = {{.key = key, .version = loads_[plan.target]->incoming}},
      .puts = {{.key = key, .value = job.spec.id}}});
  // Unknown until the announcement is answered.
  loads_[plan.target].reset();
  for (const std::uint32_t number : plan.tasks) {
    job.tasks[number].transferring = true;
  }
  transfer_ = Transfer{.job = job.spec.id,
                       .new_id = IsWholeJob(job, plan.tasks)
                                     ? job.spec.id
                                     : PartId(job.spec.id, plan.tasks.front()),
                       .job_version = job.stored_version,
                       .call = CallOf(store_commands_.back())};
  transfer_->plan = std::move(plan);
}

void SliceScheduler::EndTransfer() {
  if (Job* job = jobs_.Find(transfer_->job)) {
    for (const std::uint32_t number : transfer_->plan.tasks) {
      job->tasks[number].transferring = false;
      // The task starts only after a write that a late transfer conflicts with.
      job->tasks[number].stored_place = core::WorkerId();
    }
  }
  transfer_.reset();
  placement_due_ = true;
}

void SliceScheduler::FinishAnnouncement(const StoreEvent& event) {
  Job* job = jobs_.Find(transfer_->job);
  const auto* done = std::get_if<RowsCommitted>(&event);
  if (done == nullptr || job == nullptr || job->halted || closing_) {
    EndTransfer();
    return;
  }
  options_.log(
      core::LogLine("job_transfer_begun")
          .Add("job", transfer_->new_id)
          .Add("tasks", transfer_->plan.tasks.size())
          .Add("from", options_.slice.name)
          .Add("to", options_.all_slices[transfer_->plan.target].name));
  transfer_->announced = true;
  transfer_->announced_at = now_;
  // Room is left for further tasks unless another slice announces some.
  SliceLoad& left = transfer_->plan.left;
  left.incoming = done->version;
  loads_[transfer_->plan.target] = std::move(left);
  transfer_->call.reset();
  for (const std::uint32_t number : transfer_->plan.tasks) {
    Task& task = job->tasks[number];
    if (task.worker.valid()) {
      Dispatch(task, "halt");
    }
  }
}

// Writes the tasks to the target slice once none of them runs any more.
void SliceScheduler::ContinueTransfer() {
  if (!transfer_ || transfer_->call || now_ < transfer_->not_before) {
    return;
  }
  Job* job = jobs_.Find(transfer_->job);
  if (job == nullptr || job->halted) {
    EndTransfer();
    return;
  }
  const bool runs = std::ranges::any_of(
      transfer_->plan.tasks,
      [&](std::uint32_t number) { return job->tasks[number].worker.valid(); });
  if (runs && now_ >= transfer_->announced_at + kIncomingTimeout) {
    // The target holds the room no longer.
    EndTransfer();
    return;
  }
  if (runs || commit_) {
    return;
  }
  job->transfer_sent = true;
  CommitRows write = WriteOfTransfer(*job);
  write.call = ids_.Next();
  transfer_->call = write.call;
  store_commands_.push_back(std::move(write));
}

}  // namespace hickoryusher::jobs
