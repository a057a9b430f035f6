#include <algorithm>
#include <iterator>
#include <utility>

#include "jobs/intake.h"
#include "slice_scheduler_p.h"

/// Transfers whole jobs, of which nothing runs, to slices that can start them:
/// off a slice that is evacuated, that has no worker for them, or that is
/// overloaded beside one with room.
namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// Each job takes up to nine entries of a transaction, and the store accepts at
// most 100 entries and 1 MB.
constexpr std::size_t kJobsPerTransfer = 8;
constexpr std::size_t kBytesPerTransfer = 256UL * 1024;

// A transfer needs one answer of the store, and the jobs start nowhere before.
constexpr core::Duration kMaxStoreSilence = milliseconds(2000);

// A job whose transfer has failed is not tried again for this long.
constexpr core::Duration kTransferRetryDelay = milliseconds(4000);

// Reads of the job table that began before a transfer are over by then.
constexpr core::Duration kMovedJobMemory = std::chrono::seconds(60);

constexpr core::Duration kEvacuationLogInterval = milliseconds(2000);

}  // namespace

bool SliceScheduler::IsEvacuated(std::size_t slice) const {
  return evacuated_.contains(options_.all_slices[slice].failure_domain);
}

void SliceScheduler::SetEvacuated(const FailureDomains& domains,
                                  core::TimePoint now) {
  now_ = now;
  const bool before = IsEvacuated();
  evacuated_ = domains;
  if (before != IsEvacuated()) {
    options_.log(core::LogLine("slice_evacuation")
                     .Add("slice", options_.slice.name)
                     .Add("evacuated", IsEvacuated())
                     .Add("epoch", options_.epoch));
    transferred_jobs_ = 0;
  }
  placement_due_ = true;
}

// Returns whether no run of the job can be on a worker, or begin there by a
// late order.
bool SliceScheduler::RunsNowhere(const Job& job) const {
  const bool may_run =
      job.is_part || std::ranges::any_of(job.tasks, [this](const Task& task) {
        return task.worker.valid() || MayRunUnseen(task) || task.transferring ||
               IsState(task, states_.elsewhere);
      });
  return !may_run &&
         std::ranges::none_of(workers_.all(), [&job](const auto& worker) {
           return std::ranges::any_of(
               worker->late_starts,
               [&job](const auto& start) { return start.job == job.spec.id; });
         });
}

// @returns nullopt if the job has no short-lived task that could start, or may
// not leave. Long-running tasks that wait are transferred by themselves.
std::optional<WaitingJob> SliceScheduler::DescribeWaiting(Job& job) {
  const auto unfit_since = std::exchange(job.unfit_since, std::nullopt);
  if (job.halted || job.transfer_unsettled || now_ < job.next_transfer ||
      job.spec.id != job.caller_id()) {
    return std::nullopt;
  }
  bool can_start = false;
  WaitingJob waiting{.id = job.spec.id, .service = job.queue.service};
  core::TimePoint idle_since = now_;
  for (const Group& group : job.groups) {
    const StepSpec& step = job.StepOf(group);
    if (group.open > 0) {
      AddNeeds(waiting.needs, step);
    }
    const auto ready = group.unblocked && !step.long_running
                           ? std::ranges::count_if(job.TasksOf(group),
                                                   [this](const Task& task) {
                                                     return MayStart(task);
                                                   })
                           : 0;
    if (ready > 0) {
      can_start = true;
      waiting.demand_millis += ready * step.need.cpu_millis;
      idle_since = std::min(idle_since, group.idle_since.value_or(now_));
    }
  }
  if (!can_start || !RunsNowhere(job)) {
    return std::nullopt;
  }
  const auto can_run = [&](const Worker& worker, const TaskNeeds& needs) {
    return IsUsable(worker) && worker.entry.service == job.queue.service &&
           Fits(needs.need, worker.entry.capacity) &&
           (needs.label.empty() || worker.HasLabel(needs.label));
  };
  const bool fits =
      std::ranges::all_of(waiting.needs, [&](const TaskNeeds& needs) {
        return std::ranges::any_of(workers_.all(), [&](const auto& worker) {
          return can_run(*worker, needs);
        });
      });
  job.unfit_since =
      fits ? std::nullopt : std::optional(unfit_since.value_or(now_));
  waiting.candidates =
      CandidateSlices(job.caller_id(), options_.all_slices.size());
  waiting.waited = now_ - idle_since;
  waiting.resident = now_ - job.known_since;
  waiting.unfit = now_ - job.unfit_since.value_or(now_);
  return waiting;
}

// Returns whether the owner knows where all runs are, and the store answers.
bool SliceScheduler::MayTransferWaiting() const {
  return restored_ && !closing_ && config_ != nullptr && !transfer_ &&
         KnowsAllRuns() && AllConfirmed() && WritesSucceed() &&
         now_ <= job_rows_.last_answer() + kMaxStoreSilence;
}

void SliceScheduler::TransferWaitingJobs() {
  LogEvacuation();
  if (waiting_transfer_) {
    if (!waiting_transfer_->call && now_ >= waiting_transfer_->not_before) {
      SendWaitingTransfer();
    }
    return;
  }
  const bool due = std::exchange(waiting_transfer_due_, false) ||
                   (IsEvacuated() && now_ >= next_waiting_transfer_);
  if (!due || !MayTransferWaiting()) {
    return;
  }
  next_waiting_transfer_ = now_ + kTick;
  ForgetMovedJobs();
  BeginWaitingTransfer();
}

void SliceScheduler::BeginWaitingTransfer() {
  std::vector<WaitingJob> waiting;
  jobs_.ForEach([&](Job& job) {
    if (auto described = DescribeWaiting(job)) {
      waiting.push_back(*std::move(described));
    }
  });
  if (waiting.empty()) {
    return;
  }
  std::ranges::sort(waiting, std::ranges::greater(), &WaitingJob::waited);
  TransferSource source{.slice = options_.id.value(),
                        .evacuated = IsEvacuated()};
  if (const auto own = source.evacuated ? std::nullopt : load()) {
    source.demand_millis = own->demand_millis;
    source.capacity_millis = own->capacity_millis;
  }
  for (std::size_t i = 0; i < loads_.size(); ++i) {
    if (loads_[i] && (IsEvacuated(i) || !IsRecent(*loads_[i], unix_ms_))) {
      loads_[i].reset();
    }
  }
  const std::vector<TransferChoice> choices =
      ChooseTransfers(source, waiting, loads_, kJobsPerTransfer);
  if (choices.empty()) {
    return;
  }
  WaitingTransfer& transfer = waiting_transfer_.emplace();
  transfer.target = choices.front().target;
  transfer.reason = choices.front().reason;
  std::size_t bytes = 0;
  for (const TransferChoice& choice : choices) {
    Job& job = *jobs_.Find(waiting[choice.job].id);
    bytes += job.stored_text.size();
    if (!transfer.jobs.empty() && bytes > kBytesPerTransfer) {
      break;
    }
    for (Task& task : job.tasks) {
      task.transferring = true;
    }
    transfer.jobs.push_back(job.spec.id);
  }
  SendWaitingTransfer();
}

// Sends the write, again if earlier copies were not answered. Jobs that were
// halted since, or have left with an earlier copy, are left out: the write that
// closes them conflicts with such a copy.
void SliceScheduler::SendWaitingTransfer() {
  if (commit_) {
    return;
  }
  WaitingTransfer& transfer = *waiting_transfer_;
  std::erase_if(transfer.jobs, [this](const std::string& id) {
    Job* job = jobs_.Find(id);
    if (job != nullptr && !job->halted && HasRuns(*job)) {
      // A start was carried out later than any is waited for.
      job->transfer_unsettled = true;
      MarkDirty(*job, /*urgent=*/true);
      return true;
    }
    return job == nullptr || job->halted;
  });
  if (transfer.jobs.empty()) {
    waiting_transfer_.reset();
    return;
  }
  CommitRows write{.call = ids_.Next(),
                   .conditions = {{.key = FenceRow(options_.slice.name),
                                   .version = options_.fence_version}},
                   .several_parts = true};
  for (const std::string& id : transfer.jobs) {
    Job& job = *jobs_.Find(id);
    job.transfer_sent = true;
    AppendTransfer(write, job, transfer.target);
  }
  transfer.call = write.call;
  store_commands_.push_back(std::move(write));
}

void SliceScheduler::FinishWaitingTransfer(const StoreEvent& event) {
  WaitingTransfer& transfer = *waiting_transfer_;
  transfer.call.reset();
  if (std::holds_alternative<RowsCommitted>(event)) {
    options_.log(core::LogLine("jobs_transferred")
                     .Add("reason", ToString(transfer.reason))
                     .Add("from", options_.slice.name)
                     .Add("to", options_.all_slices[transfer.target].name)
                     .Add("jobs", transfer.jobs.size()));
    transferred_jobs_ += transfer.jobs.size();
    waiting_transfer_due_ = true;
    const std::vector<std::string> jobs = std::move(transfer.jobs);
    waiting_transfer_.reset();
    for (const std::string& id : jobs) {
      if (jobs_.Find(id) != nullptr) {
        FinishMove(id, 0);
      }
    }
    return;
  }
  if (const auto* conflict = std::get_if<RowsConflicted>(&event)) {
    const std::string& from = options_.slice.name;
    if (VersionIn(conflict->present, FenceRow(from)) !=
        options_.fence_version) {
      fenced_ = true;
      return;
    }
    const std::vector<std::string> jobs = transfer.jobs;
    for (const std::string& id : jobs) {
      AdoptRow(id, conflict->present);
      if (VersionIn(conflict->present, CancelRow(from, id)) != 0) {
        HandleCancellation(id);
      }
    }
    ReleaseWaitingJobs();
    return;
  }
  transfer.unanswered |= std::holds_alternative<StoreUnanswered>(event);
  if (!transfer.unanswered) {
    ReleaseWaitingJobs();
  }
  if (waiting_transfer_) {
    transfer.not_before = now_ + kTick;
  }
}

// Ends a transfer that was not carried out.
void SliceScheduler::ReleaseWaitingJobs() {
  const WaitingTransfer transfer = *std::exchange(waiting_transfer_, {});
  for (const std::string& id : transfer.jobs) {
    Job* job = jobs_.Find(id);
    if (job == nullptr) {
      continue;
    }
    job->next_transfer = now_ + kTransferRetryDelay;
    job->transfer_unsettled = true;
    if (transfer.unanswered) {
      // The next write changes the version of the job's row, so that late
      // copies conflict.
      MarkDirty(*job, /*urgent=*/true);
    } else {
      SettleTransfer(*job);
    }
  }
}

// Lets the tasks of a job start again after a transfer that was not carried
// out.
void SliceScheduler::SettleTransfer(Job& job) {
  if (!std::exchange(job.transfer_unsettled, false)) {
    return;
  }
  for (Task& task : job.tasks) {
    task.transferring = false;
  }
  placement_due_ = true;
}

void SliceScheduler::ForgetMovedJobs() {
  while (!moved_jobs_.empty() &&
         now_ >= moved_jobs_.front().first + kMovedJobMemory) {
    const std::string& id = moved_jobs_.front().second;
    const bool again =
        std::ranges::count(moved_jobs_, id,
                           &decltype(moved_jobs_)::value_type::second) > 1;
    const bool closed_here = IsClosed(id);
    if (!again && !closed_here) {
      removed_jobs_.erase(id);
    }
    moved_jobs_.pop_front();
  }
}

// Logs what an evacuated slice still runs and what waits to leave it.
void SliceScheduler::LogEvacuation() {
  if (!IsEvacuated() || !restored_ || now_ < next_evacuation_log_) {
    return;
  }
  next_evacuation_log_ = now_ + kEvacuationLogInterval;
  std::size_t waiting = 0;
  std::size_t running = 0;
  std::size_t long_running = 0;
  jobs_.ForEach([&](const Job& job) {
    bool waits = false;
    for (const Task& task : job.tasks) {
      waits |= IsState(task, states_.ready);
      running += task.worker.valid() ? 1 : 0;
      long_running +=
          task.worker.valid() && job.StepOf(task).long_running ? 1 : 0;
    }
    waiting += waits ? 1 : 0;
  });
  options_.log(core::LogLine("evacuation_state")
                   .Add("failure_domain", options_.slice.failure_domain)
                   .Add("slice", options_.slice.name)
                   .Add("waiting_jobs", waiting)
                   .Add("running_tasks", running)
                   .Add("running_long_running", long_running)
                   .Add("transferred_jobs", transferred_jobs_));
}

}  // namespace hickoryusher::jobs
