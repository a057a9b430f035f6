#include <algorithm>
#include <array>
#include <utility>

#include "core/overloaded.h"
#include "jobs/slice_board.h"
#include "slice_scheduler_p.h"

/// Writes of the owner of a slice: job progress, final states, the roster, and
/// the published load.
namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// Delays the write of task ends so that one commit holds several. The end of a
// job is written without this delay.
constexpr core::Duration kCommitDelay = milliseconds(40);
constexpr core::Duration kCommitRetryDelay = milliseconds(150);

// Without a renewal of the term for this long, writes are taken to fail.
constexpr core::Duration kMaxRenewalAge = milliseconds(2000);

// Each job takes up to five entries of a transaction, and the store accepts at
// most 100 entries. As many rows of jobs that have ended are removed as jobs
// may be closed, so that the rows do not grow in number.
constexpr std::size_t kJobsPerCommit = 14;
constexpr std::size_t kFinalRowsPerCommit = kJobsPerCommit;
constexpr std::size_t kCancellationsPerCommit = 5;

// Late starts in the roster, of about 45 bytes each. The store's limit for the
// value of a row is 64 KiB, and several hundred workers take half of that.
constexpr std::size_t kLateStartsInRoster = 500;

// Minimum time between two log lines about failed commits.
constexpr core::Duration kCommitLogInterval = milliseconds(500);

constexpr core::Duration kLoadLogInterval = milliseconds(2000);

}  // namespace

void SliceScheduler::MarkDirty(Job& job, bool urgent) {
  dirty_.insert(job.spec.id);
  commit_due_ = std::min(commit_due_, urgent ? now_ : now_ + kCommitDelay);
}

// Returns whether no write is in flight that a commit could conflict with.
bool SliceScheduler::MayCommit() const {
  const bool in_transfer = (transfer_ && transfer_->call) ||
                           (waiting_transfer_ && waiting_transfer_->call);
  return restored_ && !commit_ && !in_transfer;
}

// Returns when a commit may start; max() if an answer has to come first.
core::TimePoint SliceScheduler::NextCommit() const {
  return MayCommit() ? std::max(commit_due_, commit_retry_)
                     : core::TimePoint::max();
}

void SliceScheduler::StartCommit() {
  if (now_ < NextCommit()) {
    return;
  }
  Commit commit;
  commit.rows.call = ids_.Next();
  commit.rows.conditions.push_back({.key = FenceRow(options_.slice.name),
                                    .version = options_.fence_version});
  CollectJobs(commit);
  if (dirty_.empty()) {
    for (const auto& worker : workers_.all()) {
      if (worker->last_settled_end() > worker->acknowledged) {
        commit.ends.push_back({.worker = worker->id,
                               .life = worker->life,
                               .last = worker->last_settled_end()});
      }
    }
  }
  if (roster_due_) {
    CollectRoster(commit);
  }
  if (closing_ && dirty_.empty() && KnowsAllRuns()) {
    CollectHandOver(commit);
  }
  CollectStrayCancellations(commit);
  commit_due_ = dirty_.empty() ? core::TimePoint::max() : now_;
  if (commit.rows.puts.empty() && commit.rows.removals.empty()) {
    // The ended runs changed no stored state.
    MarkStored(commit, 0);
    return;
  }
  CollectRemovals(commit);
  store_commands_.push_back(commit.rows);
  commit_ = std::move(commit);
}

Progress SliceScheduler::ProgressOf(const Job& job) const {
  return job.ToProgress(std::array{states_.done, states_.elsewhere});
}

void SliceScheduler::CollectJobs(Commit& commit) {
  while (!dirty_.empty() && commit.jobs.size() < kJobsPerCommit) {
    const std::string id = *dirty_.begin();
    dirty_.erase(dirty_.begin());
    Job* job = jobs_.Find(id);
    if (job == nullptr) {
      continue;
    }
    const RowKey key = ProgressRow(options_.slice.name, id);
    commit.jobs.push_back(id);
    commit.rows.conditions.push_back(
        {.key = key, .version = job->progress_version});
    commit.rows.puts.push_back(
        {.key = key, .value = EncodeProgress(ProgressOf(*job))});
    CollectPlaces(*job, commit);
    if (IsFinal(job->phase) && !HasRuns(*job)) {
      commit.rows.removals.push_back(JobRow(options_.slice.name, id));
    }
  }
}

// Returns whether the roster shall say when the last lease of the worker is
// over, which spares a successor the wait for the term. The worker then gets no
// lease until the roster is written again, which needs a store that answers.
bool SliceScheduler::MayCloseLeases(const Worker& worker) const {
  const std::string_view contact =
      charts_.worker_contact.StateName(worker.contact);
  if (contact == "live" || !store_clock_.known()) {
    return false;
  }
  return worker.leases_closed || (contact != "unconfirmed" && WritesSucceed() &&
                                  !MayGetLateLease(worker));
}

// Returns whether the store has stored the last renewals of the slice.
bool SliceScheduler::WritesSucceed() const {
  return term_end_ > now_ + SliceBoard::kOwnerGrace - kMaxRenewalAge;
}

// Collects the workers on which tasks of this slice may run. A worker that has
// never answered runs none, and would delay the next owner.
void SliceScheduler::CollectRoster(Commit& commit) {
  roster_due_ = false;
  commit.roster.emplace();
  std::vector<RosterEntry> entries;
  std::size_t late_starts_left = kLateStartsInRoster;
  for (const auto& worker : workers_.all()) {
    const bool answers =
        charts_.worker_contact.StateName(worker->contact) == "live";
    if (HasLeft(*worker)) {
      if (!worker->late_starts.empty() && store_clock_.known()) {
        entries.push_back(
            {.id = worker->entry.id,
             .address = worker->entry.address,
             .over_ms = store_clock_.LatestAt(now_),
             .late_starts = LateStartsOf(*worker, late_starts_left)});
        late_starts_left -= entries.back().late_starts.size();
      }
    } else if (worker->in_roster || answers) {
      RosterEntry& entry =
          entries.emplace_back(worker->entry.id, worker->entry.address);
      entry.late_starts = LateStartsOf(*worker, late_starts_left);
      late_starts_left -= entry.late_starts.size();
      commit.roster->push_back(worker->id);
      if (MayCloseLeases(*worker)) {
        worker->leases_closed = true;
        entry.over_ms = store_clock_.LatestAt(LeaseEnd(*worker));
      } else {
        commit.opened.push_back(worker->id);
      }
    }
  }
  const RowKey key = RosterRow(options_.slice.name);
  commit.rows.conditions.push_back({.key = key, .version = roster_version_});
  commit.rows.puts.push_back({.key = key, .value = EncodeRoster(entries)});
}

/// @param clock_ms the store's clock when the row was read; 0 if unknown.
void SliceScheduler::HandleRoster(const Row& row, std::int64_t clock_ms) {
  roster_version_ = row.version;
  for (const RosterEntry& entry : DecodeRoster(row.value)) {
    Worker* worker = workers_.Find(entry.id);
    if (worker == nullptr) {
      // Its tasks may still run although it is not in the registry.
      worker = &AddWorker({.id = entry.id,
                           .address = entry.address,
                           .failure_domain = options_.slice.failure_domain});
      worker->listed = false;
    }
    worker->in_roster = true;
    RestoreLateStarts(*worker, entry, clock_ms);
    if (const auto handed_over = handed_over_leases_.find(entry.id);
        handed_over != handed_over_leases_.end()) {
      worker->lease_end = std::min(worker->lease_end, handed_over->second);
    }
    worker->leases_closed = entry.over_ms != 0;
    if (worker->leases_closed && clock_ms != 0) {
      worker->lease_end = std::min(
          worker->lease_end, now_ + milliseconds(entry.over_ms - clock_ms));
    }
  }
}

// Removes the rows of cancellations that concern nothing in this slice. No part
// of such a job arrives later: its transfer conflicts with the cancellation in
// the slice that it comes from.
void SliceScheduler::CollectStrayCancellations(Commit& commit) {
  while (!stray_cancellations_.empty() &&
         commit.stray_cancellations.size() < kCancellationsPerCommit) {
    std::string id = std::move(
        stray_cancellations_.extract(stray_cancellations_.begin()).value());
    if (jobs_.FindWithParts(id).empty() && !IsParked(id)) {
      commit.rows.removals.push_back(CancelRow(options_.slice.name, id));
      commit.stray_cancellations.push_back(std::move(id));
    }
  }
}

void SliceScheduler::CollectRemovals(Commit& commit) {
  for (std::size_t i = 0; i < kFinalRowsPerCommit && !final_jobs_.empty();
       ++i) {
    const auto& [since, id] = final_jobs_.front();
    if (now_ < since + options_.limits.keep_final_jobs) {
      return;
    }
    commit.rows.removals.push_back(ProgressRow(options_.slice.name, id));
    removed_jobs_.erase(id);
    final_jobs_.pop_front();
  }
}

void SliceScheduler::FinishCommit(const StoreEvent& event) {
  const Commit commit = std::move(*commit_);
  commit_.reset();
  if (const auto* done = std::get_if<RowsCommitted>(&event)) {
    MarkStored(commit, done->version);
    return;
  }
  const auto* conflict = std::get_if<RowsConflicted>(&event);
  if (conflict != nullptr) {
    HandleConflict(commit, *conflict);
  }
  if (now_ >= next_commit_log_) {
    next_commit_log_ = now_ + kCommitLogInterval;
    options_.log(
        core::LogLine("commit_not_stored", core::LogLevel::kWarning)
            .Add("slice", options_.slice.name)
            .Add("reason", conflict != nullptr ? "conflict"
                           : std::holds_alternative<StoreRefused>(event)
                               ? "refused"
                               : "unanswered")
            .Add("jobs", commit.jobs.size())
            .Add("entries", commit.rows.conditions.size() +
                                commit.rows.puts.size() +
                                commit.rows.removals.size())
            .Add("roster", commit.roster.has_value())
            .Add("present",
                 conflict == nullptr ? 0 : conflict->present.size()));
  }
  dirty_.insert(commit.jobs.begin(), commit.jobs.end());
  stray_cancellations_.insert(commit.stray_cancellations.begin(),
                              commit.stray_cancellations.end());
  roster_due_ |= commit.roster.has_value();
  commit_due_ = now_;
  commit_retry_ = now_ + kCommitRetryDelay;
}

// Handles a version conflict: either a successor has claimed the slice, or an
// earlier attempt without an answer has taken effect.
void SliceScheduler::HandleConflict(const Commit& commit,
                                    const RowsConflicted& conflict) {
  const auto version_of = [&](const RowKey& key) {
    return VersionIn(conflict.present, key);
  };
  if (version_of(FenceRow(options_.slice.name)) != options_.fence_version) {
    fenced_ = true;
    return;
  }
  for (const std::string& id : commit.jobs) {
    AdoptRow(id, conflict.present);
  }
  if (commit.roster) {
    roster_version_ = version_of(RosterRow(options_.slice.name));
  }
}

void SliceScheduler::MarkStored(const Commit& commit, RowVersion version) {
  for (const EndsOfWorker& ends : commit.ends) {
    Worker& worker = workers_.Get(ends.worker);
    if (worker.life == ends.life) {
      worker.acknowledged = ends.last;
      worker.next_renewal = now_;
    }
  }
  hand_over_stored_ |= commit.hand_over;
  if (commit.roster) {
    roster_version_ = version;
    placement_due_ = true;
    for (const core::WorkerId id : *commit.roster) {
      workers_.Get(id).in_roster = true;
    }
  }
  for (const core::WorkerId id : commit.opened) {
    workers_.Get(id).leases_closed = false;
  }
  for (const std::string& id : commit.stray_cancellations) {
    cancelled_jobs_.erase(id);
  }
  for (const std::string& id : commit.jobs) {
    if (Job* job = jobs_.Find(id)) {
      job->progress_version = version;
      job->transfer_sent = false;
      FinishPlaces(*job);
      SettleTransfer(*job);
    }
  }
  for (const RowKey& removed : commit.rows.removals) {
    const Job* job = jobs_.Find(removed.key);
    // A worker may have reported a run since the write was sent. The job is
    // closed once that run has stopped.
    if (job == nullptr || removed.table != JobTableName(options_.slice.name) ||
        HasRuns(*job)) {
      continue;
    }
    options_.log(core::LogLine("job_closed")
                     .Add("job", removed.key)
                     .Add("phase", ToString(job->phase))
                     .Add("late_ms", core::ToMillis(now_ - job->objective)));
    final_jobs_.emplace_back(now_, removed.key);
    dirty_.erase(removed.key);
    baseline_utilisations_.erase(removed.key);
    removed_jobs_[removed.key] = version;
    const std::string caller_id(job->caller_id());
    jobs_.Remove(removed.key);
    // Of several parts that close together, each leaves the row to the others.
    if (cancelled_jobs_.contains(caller_id) &&
        jobs_.FindWithParts(caller_id).empty()) {
      stray_cancellations_.insert(caller_id);
      commit_due_ = std::min(commit_due_, now_ + kTick);
    }
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
      if (IsState(task, states_.ready)) {
        ++ready;
        waiting_services += job.StepOf(task).long_running ? 1 : 0;
      }
    }
  });
  core::Resources capacity;
  core::Resources used;
  std::int64_t best_effort_total = 0;
  std::int64_t long_running = 0;
  std::size_t usable = 0;
  std::size_t serving = 0;
  for (const auto& worker : workers_.all()) {
    if (!IsUsable(*worker)) {
      continue;
    }
    ++usable;
    serving += Serves(*worker) ? 1 : 0;
    capacity += worker->entry.capacity;
    used += worker->used;
    best_effort_total += worker->best_effort_demand;
    long_running += worker->used_by_long_running.cpu_millis;
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
                   .Add("lasting_millis", long_running)
                   .Add("spare_demand_millis", best_effort_total)
                   .Add("kept_free", nominations_.size())
                   .Add("job_bytes", job_bytes())
                   .Add("job_bytes_limit", options_.job_bytes)
                   .Add("parked", parked_jobs_.size())
                   .Add("considerations", candidates_evaluated_));
}

void SliceScheduler::AddWorkerTo(SliceLoad& load, const WorkerEntry& entry) {
  ServiceRoom& room = load.services[entry.service];
  core::Resources& largest = room.largest;
  largest.cpu_millis = std::max(largest.cpu_millis, entry.capacity.cpu_millis);
  largest.memory_bytes =
      std::max(largest.memory_bytes, entry.capacity.memory_bytes);
  largest.accelerators =
      std::max(largest.accelerators, entry.capacity.accelerators);
  room.labels.insert(entry.labels.begin(), entry.labels.end());
}

std::optional<SliceLoad> SliceScheduler::load() {
  if (!restored_) {
    return std::nullopt;
  }
  // After an outage of the store, an owner renews its slice before it has read
  // the jobs submitted in the meantime. The load is therefore dated to the last
  // answer about job rows.
  const core::Duration age = now_ - job_rows_.last_answer();
  SliceLoad load{.unix_ms = unix_ms_ - core::ToMillis(age)};
  load.incoming = incoming_version_;
  std::size_t bytes = job_bytes();
  for (const auto& [id, parked] : parked_jobs_) {
    bytes += parked.bytes;
    const auto stored = stored_progress_.find(id);
    const bool begun = stored != stored_progress_.end() &&
                       stored->second.progress.phase != JobPhase::kQueued;
    if (!begun) {
      ++load.pending[parked.queue];
    }
  }
  load.job_room_bytes = static_cast<std::int64_t>(
      options_.job_bytes - std::min(options_.job_bytes, bytes));
  // Long-running tasks on a worker that may have failed, or that is draining,
  // will soon need room on other workers.
  const bool needs_room =
      std::ranges::any_of(workers_.all(), [this](const auto& worker) {
        const bool stays =
            worker->listed && !worker->entry.draining &&
            charts_.worker_contact.StateName(worker->contact) == "live";
        return !stays && worker->used_by_long_running.cpu_millis > 0;
      });
  // A task that arrives might wait for workers that have not reported.
  const bool settled = handed_over_workers_ || AllConfirmed() ||
                       !MayBeStarted(job_rows_.complete_until());
  const bool offers_room =
      settled && !needs_room && !IsEvacuated() && now_ >= incoming_until_;
  for (const auto& worker : workers_.all()) {
    if (IsUsable(*worker)) {
      load.capacity_millis += worker->entry.capacity.cpu_millis;
      AddWorkerTo(load, worker->entry);
      if (offers_room && !nominations_.contains(worker->id)) {
        load.long_running_room_millis.push_back(
            worker->long_running_room().cpu_millis);
      }
    }
  }
  std::ranges::sort(load.long_running_room_millis, std::ranges::greater());
  load.long_running_room_millis.resize(
      std::min(load.long_running_room_millis.size(), kPublishedWorkers));
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
        load.long_running_millis +=
            step.long_running
                ? std::int64_t{group.open} * Reservation(step).cpu_millis
                : 0;
      }
    }
    const bool begun = job.phase != JobPhase::kQueued ||
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
