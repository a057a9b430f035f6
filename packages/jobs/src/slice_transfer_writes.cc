#include <algorithm>

#include "slice_scheduler_p.h"

/// Writes that transfer tasks to another slice, and what their answers show.
namespace hickoryusher::jobs {

// Returns the row of a job, or of a part of it, with these tasks; without any,
// with those that it has.
std::string SliceScheduler::JobText(const Job& job,
                                    std::span<const std::uint32_t> tasks) {
  StoredJob stored = *DecodeStoredJob(job.stored_text);
  stored.runs_above = job.runs_above + options_.epoch * kRunsPerEpoch;
  stored.progress.reset();
  if (tasks.empty() || IsWholeJob(job, tasks)) {
    stored.progress = ProgressOf(job);
  }
  if (!tasks.empty()) {
    stored.tasks.clear();
    if (tasks.size() < job.task_count()) {
      stored.tasks.assign(tasks.begin(), tasks.end());
    }
  }
  return EncodeStoredJob(stored);
}

// Appends the transfer of a whole job. @param tasks as of JobText.
void SliceScheduler::AppendTransfer(CommitRows& write,
                                    const Job& job,
                                    std::size_t target,
                                    std::span<const std::uint32_t> tasks) {
  const std::string& from = options_.slice.name;
  const std::string& to = options_.all_slices[target].name;
  const std::string& id = job.spec.id;
  const std::initializer_list<RowCondition> conditions = {
      {.key = ProgressRow(from, id), .version = job.progress_version},
      {.key = CancelRow(from, job.caller_id()), .version = 0},
      {.key = ProgressRow(to, id), .version = 0}};
  write.conditions.insert(write.conditions.end(), conditions);
  write.puts.push_back(
      {.key = ProgressRow(to, id), .value = EncodeProgress(ProgressOf(job))});
  write.puts.push_back({.key = JobRow(to, id), .value = JobText(job, tasks)});
  write.removals.push_back(ProgressRow(from, id));
  write.removals.push_back(JobRow(from, id));
  if (std::ranges::any_of(job.spec.steps, KeepsPlaces)) {
    // Of no epoch: tells intake that tasks have places.
    write.puts.push_back({.key = PlacesRow(to, id), .value = EncodePlaces({})});
    write.removals.push_back(PlacesRow(from, id));
  }
}

CommitRows SliceScheduler::WriteOfTransfer(Job& job) {
  const std::string& from = options_.slice.name;
  const std::string& to = options_.all_slices[transfer_->plan.target].name;
  const std::string& id = job.spec.id;
  const std::string& new_id = transfer_->new_id;
  const bool whole = new_id == id;
  if (whole) {
    CommitRows write{.conditions = {{.key = FenceRow(from),
                                     .version = options_.fence_version}},
                     .several_parts = true};
    AppendTransfer(write, job, transfer_->plan.target, transfer_->plan.tasks);
    return write;
  }
  Progress rest = ProgressOf(job);
  CommitRows write{
      .conditions = {{.key = FenceRow(from), .version = options_.fence_version},
                     {.key = ProgressRow(from, id),
                      .version = job.progress_version},
                     {.key = CancelRow(from, job.caller_id()), .version = 0},
                     {.key = ProgressRow(to, new_id), .version = 0}},
      .puts = {{.key = ProgressRow(to, new_id),
                .value = EncodeProgress({.phase = job.phase})},
               {.key = JobRow(to, new_id),
                .value = JobText(job, transfer_->plan.tasks)},
               // Of no epoch: tells intake that tasks have places.
               {.key = PlacesRow(to, new_id), .value = EncodePlaces({})}},
      .several_parts = true};
  for (const std::uint32_t number : transfer_->plan.tasks) {
    rest.done.resize(std::max<std::size_t>(rest.done.size(), number + 1));
    rest.done[number] = true;
  }
  write.puts.push_back(
      {.key = ProgressRow(from, id), .value = EncodeProgress(rest)});
  return write;
}

void SliceScheduler::FinishTransfer(const StoreEvent& event) {
  Transfer& transfer = *transfer_;
  if (!transfer.announced) {
    FinishAnnouncement(event);
    return;
  }
  transfer.call.reset();
  transfer.not_before = now_ + kTick;
  if (const auto* done = std::get_if<RowsCommitted>(&event)) {
    FinishMove(transfer.job, done->version);
    return;
  }
  if (const auto* conflict = std::get_if<RowsConflicted>(&event)) {
    const std::string& from = options_.slice.name;
    if (VersionIn(conflict->present, FenceRow(from)) !=
        options_.fence_version) {
      fenced_ = true;
      return;
    }
    const std::string caller_id(CallerId(transfer.job));
    // Copied, since the transfer may end there.
    const std::string id = transfer.job;
    AdoptRow(id, conflict->present);
    if (transfer_) {
      // The job was cancelled, or the target has a row of that name.
      EndTransfer();
    }
    if (VersionIn(conflict->present, CancelRow(from, caller_id)) != 0) {
      HandleCancellation(caller_id);
    }
  } else if (now_ >= transfer.announced_at + kIncomingTimeout) {
    // If the write takes effect all the same, the next one for the job, which
    // its tasks wait for, conflicts with it.
    EndTransfer();
  }
}

// Handles the row of a job, among those of a conflict. Only this owner writes
// it, so that it shows whether a transfer without an answer took effect.
void SliceScheduler::AdoptRow(const std::string& id,
                              std::span<const Row> present) {
  Job* job = jobs_.Find(id);
  if (job == nullptr) {
    return;
  }
  const RowKey key = ProgressRow(options_.slice.name, id);
  const auto row = std::ranges::find(present, key, &Row::key);
  const bool exists = row != present.end() && row->version != 0;
  // A job that was final when it was last written has no row after a while.
  if (!exists && (!IsFinal(job->phase) || job->transfer_sent)) {
    FinishMove(id, 0);
    return;
  }
  job->progress_version = exists ? row->version : 0;
  const auto progress = exists ? DecodeProgress(row->value) : std::nullopt;
  if (!progress) {
    return;
  }
  bool moved = false;
  for (Task& task : job->tasks) {
    if (KeepsPlaces(job->StepOf(task)) && !IsState(task, states_.elsewhere) &&
        task.number < progress->done.size() && progress->done[task.number]) {
      MoveAway(task);
      moved = true;
    }
  }
  if (moved && transfer_ && transfer_->job == id) {
    EndTransfer();
  }
}

// Marks a task as one of another slice.
void SliceScheduler::MoveAway(Task& task) {
  if (IsState(task, states_.placing)) {
    Dispatch(task, "lost");
  }
  Dispatch(task, "transferred");
  if (IsState(task, states_.elsewhere)) {
    --task.job->groups[task.group].open;
  }
}

// Ends the transfer of the job, if there is one, with the version of its row
// here; 0 if the whole job has left.
void SliceScheduler::FinishMove(const std::string& moved, RowVersion version) {
  // Copied, since it may be the id in transfer_, which ends here.
  const std::string id = moved;
  const bool current = transfer_ && transfer_->job == id;
  const bool whole = version == 0 || !current || transfer_->new_id == id;
  core::LogLine line("job_transferred");
  line.Add("job", current ? transfer_->new_id : id);
  if (current) {
    line.Add("tasks", transfer_->plan.tasks.size())
        .Add("to", options_.all_slices[transfer_->plan.target].name);
  }
  options_.log(line);
  // Others may fit into the room that is left.
  placement_due_ = true;
  next_transfer_ = now_;
  Job& job = *jobs_.Find(id);
  if (whole) {
    for (Task& task : job.tasks) {
      DropNominations(task);
      MoveAway(task);
      if (task.worker.valid()) {
        // Reported since the transfer was sent: a start that was carried out
        // later than any is waited for.
        Worker& worker = workers_.Get(task.worker);
        const Worker::LeftRun left = LeftRunOf(task);
        DetachFromWorker(task);
        KeepLeftRun(worker, left);
      }
    }
    dirty_.erase(id);
    baseline_utilisations_.erase(id);
    // The job may be transferred back in a row with a later version.
    removed_jobs_[id] = job.stored_version;
    moved_jobs_.emplace_back(now_, id);
    if (current) {
      transfer_.reset();
    }
    jobs_.Remove(id);
    return;
  }
  job.progress_version = version;
  for (const std::uint32_t number : transfer_->plan.tasks) {
    MoveAway(job.tasks[number]);
  }
  EndTransfer();
}

}  // namespace hickoryusher::jobs
