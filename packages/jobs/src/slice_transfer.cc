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

// Minimum time between searches for another job to transfer in place of a
// waiting one; each search examines all tasks of the slice.
constexpr core::Duration kSwapSearchInterval = milliseconds(500);

bool IsLongRunning(const Job& job) {
  return std::ranges::all_of(job.spec.steps, &StepSpec::long_running);
}

/// @returns true if all tasks of the job may be stopped at once, that is, if no
/// step limits how many of its tasks may be unavailable.
bool MayStopAll(const Job& job) {
  return std::ranges::all_of(job.spec.steps, [](const StepSpec& step) {
    return step.max_unavailable == 0;
  });
}

/// @returns true if all tasks of the job fit into workers with @p free CPU
/// millicores.
bool FitsInto(const Job& job, std::vector<std::int64_t> free) {
  for (const Group& group : job.groups) {
    const StepSpec& step = job.StepOf(group);
    const std::int64_t need = Reservation(step).cpu_millis;
    std::vector<std::uint32_t> placed(free.size());
    for (std::uint32_t task = 0; task < group.count; ++task) {
      const std::uint32_t max_on_worker =
          step.max_per_worker == 0 ? group.count : step.max_per_worker;
      std::size_t best = free.size();
      for (std::size_t i = 0; i < free.size(); ++i) {
        if (free[i] >= need && placed[i] < max_on_worker &&
            (best == free.size() || free[i] > free[best])) {
          best = i;
        }
      }
      if (best == free.size()) {
        return false;
      }
      free[best] -= need;
      ++placed[best];
    }
  }
  return true;
}

}  // namespace

void SliceScheduler::SetLoads(std::vector<std::optional<SliceLoad>> loads) {
  loads_ = std::move(loads);
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
          static_cast<void>(NominateWorker(*task) ||
                            (MaySearch(*task->job) && MakeRoom(*task)));
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
      task->slowed_since = core::TimePoint::max();
      task->slow_moves += leaving ? 0 : 1;
      Dispatch(*task, "halt");
      // The headroom has changed; the next task must not rely on the old value.
      worker->headrooms_valid = false;
    }
  }
}

// @returns the slice with the most free CPU among those where the job fits.
std::optional<std::size_t> SliceScheduler::ChooseSliceFor(
    const Job& job) const {
  std::optional<std::size_t> best;
  std::int64_t most_free = 0;
  for (const std::size_t candidate :
       CandidateSlices(job.spec.id, options_.all_slices.size())) {
    const bool own = candidate == options_.id.value();
    if (own || candidate >= loads_.size() || !loads_[candidate] ||
        !IsRecent(*loads_[candidate], unix_ms_)) {
      continue;
    }
    const SliceLoad& load = *loads_[candidate];
    const std::int64_t free = load.capacity_millis - load.long_running_millis;
    if (free > most_free && FitsInto(job, load.long_running_room_millis)) {
      best = candidate;
      most_free = free;
    }
  }
  return best;
}

// Transfers long-running jobs that have an unplaced task to slices with room.
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
    const bool all_placed = std::ranges::none_of(
        job.tasks, [this](const Task& task) { return MayStart(task); });
    if (all_placed || job.halted) {
      job.unplaced_since.reset();
      return;
    }
    if (now_ < *job.unplaced_since + kUnplacedTransferDelay ||
        now_ > job_rows_.last_answer() + kMaxStoreSilence) {
      return;
    }
    const bool may_transfer = MayTransfer(job);
    const auto target = may_transfer ? ChooseSliceFor(job) : std::nullopt;
    if (target) {
      BeginTransfer(job, *target);
    } else if ((may_transfer || !MayStopAll(job)) && !searched &&
               now_ >= job.next_swap) {
      searched = true;
      job.next_swap = now_ + kSwapSearchInterval;
      TransferOtherFor(job);
    }
  });
}

bool SliceScheduler::MayTransfer(const Job& job) const {
  return IsLongRunning(job) && MayStopAll(job) && !job.halted &&
         now_ >= job.known_since + kMinResidence &&
         std::ranges::none_of(job.tasks, [this](const Task& task) {
           return MayRunUnseen(task);
         });
}

// Transfers another job so that a waiting task of @p job fits: the one with the
// fewest tasks among those that would free enough room on a worker. @p job
// itself may be ineligible, for example if not all its tasks may be stopped.
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
  Job* smallest = nullptr;
  const Worker* freed = nullptr;
  std::size_t target = 0;
  for (const auto& worker : workers_.all()) {
    if (nominations_.contains(worker->id) || !IsFeasible(*worker, job, group)) {
      continue;
    }
    std::map<Job*, core::Resources> room_without;
    for (const Task* task : worker->tasks) {
      room_without.try_emplace(task->job, worker->long_running_room())
          .first->second += Reservation(task->job->StepOf(*task));
    }
    for (const auto& [other, room] : room_without) {
      const bool smaller =
          smallest == nullptr || other->tasks.size() < smallest->tasks.size();
      if (other == &job || !smaller || !Fits(need, room) ||
          !MayTransfer(*other)) {
        continue;
      }
      if (const auto slice = ChooseSliceFor(*other)) {
        smallest = other;
        freed = worker.get();
        target = *slice;
      }
    }
  }
  if (smallest != nullptr) {
    Nominate(*freed, *waiting);
    BeginTransfer(*smallest, target);
  }
}

// First announces the job in the target's incoming row. The write fails if
// another job is in transfer there or has arrived since the target published
// its load; then this job continues here.
void SliceScheduler::BeginTransfer(Job& job, std::size_t target) {
  const RowKey key = IncomingRow(options_.all_slices[target].name);
  transfer_ = Transfer{.job = job.spec.id,
                       .target = target,
                       .job_version = job.stored_version,
                       .call = ids_.Next()};
  store_commands_.push_back(CommitRows{
      .call = *transfer_->call,
      .conditions = {{.key = key, .version = loads_[target]->incoming}},
      .puts = {{.key = key, .value = job.spec.id}}});
  // The load that the target published does not include this job.
  loads_[target].reset();
}

void SliceScheduler::FinishAnnouncement(const StoreEvent& event) {
  Job* job = jobs_.Find(transfer_->job);
  if (!std::holds_alternative<RowsCommitted>(event) || job == nullptr ||
      job->halted) {
    transfer_.reset();
    return;
  }
  options_.log(core::LogLine("job_transfer_begun")
                   .Add("job", job->spec.id)
                   .Add("from", options_.slice.name)
                   .Add("to", options_.all_slices[transfer_->target].name));
  transfer_->announced = true;
  transfer_->call.reset();
  job->transferring = true;
  job->halted = true;
  for (Task& task : job->tasks) {
    Dispatch(task, "halt");
  }
}

// Writes the job to the target slice once none of its tasks runs any more.
void SliceScheduler::ContinueTransfer() {
  if (!transfer_ || transfer_->call || now_ < transfer_->not_before) {
    return;
  }
  Job* job = jobs_.Find(transfer_->job);
  if (job == nullptr || !job->transferring) {
    transfer_.reset();
    return;
  }
  if (HasRuns(*job) || commit_) {
    return;
  }
  const std::string& from = options_.slice.name;
  const std::string& to = options_.all_slices[transfer_->target].name;
  const std::string& id = job->spec.id;
  transfer_->call = ids_.Next();
  store_commands_.push_back(CommitRows{
      .call = *transfer_->call,
      .conditions = {{.key = FenceRow(from), .version = options_.fence_version},
                     {.key = ProgressRow(from, id),
                      .version = job->progress_version},
                     {.key = CancelRow(from, id), .version = 0},
                     {.key = ProgressRow(to, id), .version = 0}},
      .puts = {{.key = ProgressRow(to, id),
                .value = EncodeProgress({.phase = job->phase})},
               {.key = JobRow(to, id), .value = job->stored_text}},
      .removals = {ProgressRow(from, id), PlacesRow(from, id),
                   JobRow(from, id)},
      .several_parts = true});
}

void SliceScheduler::FinishTransfer(const StoreEvent& event) {
  Transfer& transfer = *transfer_;
  if (!transfer.announced) {
    FinishAnnouncement(event);
    return;
  }
  transfer.call.reset();
  transfer.not_before = now_ + kTick;
  const auto* conflict = std::get_if<RowsConflicted>(&event);
  bool moved = std::holds_alternative<RowsCommitted>(event);
  if (conflict != nullptr) {
    const auto version_of = [&](const RowKey& key) {
      return VersionIn(conflict->present, key);
    };
    const std::string& from = options_.slice.name;
    if (version_of(FenceRow(from)) != options_.fence_version) {
      fenced_ = true;
      return;
    }
    Job& job = *jobs_.Find(transfer.job);
    job.progress_version = version_of(ProgressRow(from, transfer.job));
    // Only this owner removes the row, so its absence shows that an earlier,
    // unanswered attempt took effect.
    moved = job.progress_version == 0;
    if (!moved && version_of(CancelRow(from, transfer.job)) != 0) {
      job.transferring = false;
      Halt(job, JobPhase::kCancelled);
      transfer_.reset();
      return;
    }
  }
  if (moved) {
    options_.log(core::LogLine("job_transferred")
                     .Add("job", transfer.job)
                     .Add("to", options_.all_slices[transfer.target].name));
    dirty_.erase(transfer.job);
    baseline_utilisations_.erase(transfer.job);
    // The job may be transferred back in a row with a later version.
    removed_jobs_[transfer.job] = transfer.job_version;
    jobs_.Remove(transfer.job);
    transfer_.reset();
  }
}

}  // namespace hickoryusher::jobs
