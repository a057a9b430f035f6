#include <algorithm>
#include <utility>

#include "core/overloaded.h"
#include "slice_scheduler_p.h"

/// What the owner of a slice writes: progress, final states, counts.
namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// Ends of tasks wait this long for others, so that a write holds several. A
// job that is completed does not wait.
constexpr core::Duration kCommitLinger = milliseconds(40);
constexpr core::Duration kCommitRetryPause = milliseconds(150);

// Each job takes up to three rows of a transaction, and the store takes 100.
constexpr std::size_t kJobsPerCommit = 30;
constexpr std::size_t kRemovalsPerCommit = 5;

constexpr core::Duration kLoadLogInterval = milliseconds(2000);

}  // namespace

void SliceScheduler::MarkDirty(Job& job, bool urgent) {
  dirty_.insert(job.spec.id);
  commit_due_ =
      std::min(commit_due_, urgent ? now_ : now_ + kCommitLinger);
}

void SliceScheduler::StartCommit() {
  if (commit_ || now_ < commit_due_ || now_ < commit_retry_ || !restored_) {
    return;
  }
  Commit commit;
  commit.rows.call = ids_.Next();
  commit.rows.conditions.push_back(
      {.key = FenceRow(options_.slice.name),
       .version = options_.fence_version});
  const chart::StateId done = charts_.task_run.FindState("done");
  while (!dirty_.empty() && commit.jobs.size() < kJobsPerCommit) {
    const std::string id = *dirty_.begin();
    dirty_.erase(dirty_.begin());
    Job* job = jobs_.Find(id);
    if (job == nullptr) {
      continue;
    }
    commit.jobs.push_back(id);
    commit.rows.puts.push_back(
        {.key = ProgressRow(options_.slice.name, id),
         .value = EncodeProgress(job->ToProgress(done))});
    const bool over =
        IsFinal(job->phase) &&
        std::ranges::none_of(job->tasks, [](const Task& task) {
          return task.worker.valid();
        });
    if (over) {
      commit.rows.removals.push_back(JobRow(options_.slice.name, id));
      commit.rows.removals.push_back(CancelRow(options_.slice.name, id));
    }
  }
  if (dirty_.empty()) {
    for (const auto& worker : workers_.all()) {
      if (worker->last_end > worker->acknowledged) {
        commit.ends.emplace_back(worker->id, worker->last_end);
      }
    }
  }
  commit_due_ = dirty_.empty() ? core::TimePoint::max() : now_;
  if (commit.jobs.empty()) {
    // The ends changed nothing that is stored.
    for (const auto& [id, number] : commit.ends) {
      Worker& worker = workers_.Get(id);
      worker.acknowledged = number;
      worker.next_renewal = now_;
    }
    return;
  }
  CollectRemovals(commit);
  store_commands_.push_back(commit.rows);
  commit_ = std::move(commit);
}

void SliceScheduler::CollectRemovals(Commit& commit) {
  for (std::size_t i = 0; i < kRemovalsPerCommit && !final_jobs_.empty();
       ++i) {
    const auto& [since, id] = final_jobs_.front();
    if (now_ < since + options_.limits.keep_final_jobs) {
      return;
    }
    commit.rows.removals.push_back(ProgressRow(options_.slice.name, id));
    final_jobs_.pop_front();
  }
}

void SliceScheduler::FinishCommit(const StoreEvent& event) {
  Commit commit = std::move(*commit_);
  commit_.reset();
  const bool stored = std::holds_alternative<RowsCommitted>(event);
  if (std::holds_alternative<RowsConflicted>(event)) {
    deposed_ = true;
    return;
  }
  if (!stored) {
    dirty_.insert(commit.jobs.begin(), commit.jobs.end());
    commit_due_ = now_;
    commit_retry_ = now_ + kCommitRetryPause;
    return;
  }
  for (const auto& [id, number] : commit.ends) {
    Worker& worker = workers_.Get(id);
    // The worker may have begun another lifetime meanwhile.
    worker.acknowledged = std::min(number, worker.last_end);
    worker.next_renewal = now_;
  }
  for (const RowKey& removed : commit.rows.removals) {
    if (jobs_.Find(removed.key) == nullptr ||
        removed.table != JobTableName(options_.slice.name)) {
      continue;
    }
    const Job& job = *jobs_.Find(removed.key);
    options_.log(core::LogLine("job_closed")
                     .Add("job", removed.key)
                     .Add("phase", ToString(job.phase))
                     .Add("late_ms", core::ToMillis(now_ - job.objective)));
    final_jobs_.emplace_back(now_, removed.key);
    dirty_.erase(removed.key);
    calm_utilisations_.erase(removed.key);
    jobs_.Remove(removed.key);
  }
}

void SliceScheduler::LogLoad() {
  if (now_ < next_load_log_) {
    return;
  }
  next_load_log_ = now_ + kLoadLogInterval;
  std::size_t ready = 0;
  std::size_t waiting_services = 0;
  jobs_.ForEach([&](const Job& job) {
    for (const Task& task : job.tasks) {
      if (IsState(task, "ready")) {
        ++ready;
        waiting_services += job.StepOf(task).long_running ? 1 : 0;
      }
    }
  });
  core::Resources capacity;
  core::Resources used;
  std::int64_t spare_demand = 0;
  std::size_t usable = 0;
  std::size_t serving = 0;
  for (const auto& worker : workers_.all()) {
    if (!MayUse(*worker)) {
      continue;
    }
    ++usable;
    serving += Serves(*worker) ? 1 : 0;
    capacity += worker->entry.capacity;
    used += worker->used;
    spare_demand += worker->spare_cpu_demand;
  }
  options_.log(core::LogLine("slice_load")
                   .Add("slice", options_.slice.name)
                   .Add("jobs", jobs_.size())
                   .Add("ready_tasks", ready)
                   .Add("ready_long_running", waiting_services)
                   .Add("workers", usable)
                   .Add("serving", serving)
                   .Add("cpu_millis", capacity.cpu_millis)
                   .Add("used_millis", used.cpu_millis)
                   .Add("spare_demand_millis", spare_demand)
                   .Add("kept_free", kept_free_.size()));
}

std::optional<SliceLoad> SliceScheduler::load() {
  if (!restored_) {
    return std::nullopt;
  }
  SliceLoad load;
  for (const auto& worker : workers_.all()) {
    load.capacity_millis +=
        MayUse(*worker) ? worker->entry.capacity.cpu_millis : 0;
  }
  jobs_.ForEach([&](const Job& job) {
    if (job.halted) {
      return;
    }
    for (const Group& group : job.groups) {
      if (group.unblocked) {
        const StepSpec& step = job.StepOf(group);
        load.demand_millis += std::int64_t{group.open} * step.need.cpu_millis;
        load.reserved_millis +=
            std::int64_t{group.open} * Reservation(step).cpu_millis;
      }
    }
    const bool begun =
        job.phase != JobPhase::kQueued ||
        std::ranges::any_of(job.tasks, [](const Task& task) {
          return task.starts > 0 || task.worker.valid();
        });
    if (!begun) {
      ++load.pending[job.queue.name];
    }
  });
  return load;
}

}  // namespace hickoryusher::jobs
