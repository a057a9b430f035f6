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

// Callers may count on a count that is 2 s old.
constexpr core::Duration kLoadInterval = milliseconds(1200);

}  // namespace

void SliceScheduler::MarkDirty(Job& job, bool urgent) {
  dirty_.insert(job.spec.id);
  commit_due_ =
      std::min(commit_due_, urgent ? now_ : now_ + kCommitLinger);
}

void SliceScheduler::StartCommit() {
  if (commit_ || now_ < commit_due_ || now_ < commit_retry_ ||
      !progress_loaded_) {
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
    jobs_.Remove(removed.key);
  }
}

void SliceScheduler::PublishLoad() {
  if (load_call_ || now_ < next_load_ || !progress_loaded_ ||
      !job_rows_.synced()) {
    return;
  }
  next_load_ = now_ + kLoadInterval;
  PendingCounts counts;
  jobs_.ForEach([&](const Job& job) {
    const bool begun =
        job.halted || job.phase != JobPhase::kQueued ||
        std::ranges::any_of(job.tasks, [](const Task& task) {
          return task.starts > 0 || task.worker.valid();
        });
    if (!begun) {
      ++counts[job.queue.name];
    }
  });
  if (load_published_ && counts == published_) {
    return;
  }
  load_call_ = ids_.Next();
  store_commands_.push_back(CommitRows{
      .call = *load_call_,
      .puts = {{.key = LoadRow(options_.slice.name),
                .value = EncodePending(counts)}}});
  published_ = counts;
  load_published_ = true;
}

}  // namespace hickoryusher::jobs
