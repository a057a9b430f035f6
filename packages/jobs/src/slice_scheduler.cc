#include "jobs/slice_scheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/overloaded.h"
#include "jobs/slice_board.h"
#include "slice_scheduler_p.h"

namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// Wait of a read that follows the job table. A change is answered at once; the
// wait only limits how long a dead connection goes undetected.
constexpr core::Duration kJobFollowWait = milliseconds(1500);
constexpr core::Duration kPlacementInterval = milliseconds(500);

}  // namespace

SliceScheduler::SliceScheduler(Options options,
                               SliceCharts charts,
                               CallIds& ids)
    : options_(std::move(options)),
      charts_(charts),
      ids_(ids),
      states_{.blocked = charts.task_run.FindState("blocked"),
              .ready = charts.task_run.FindState("ready"),
              .placing = charts.task_run.FindState("placing"),
              .starting = charts.task_run.FindState("starting"),
              .running = charts.task_run.FindState("running"),
              .stopping = charts.task_run.FindState("stopping"),
              .done = charts.task_run.FindState("done"),
              .elsewhere = charts.task_run.FindState("elsewhere")},
      jobs_(charts.task_run.initial(), states_.elsewhere),
      job_rows_({.table = JobTableName(options_.slice.name),
                 .part = options_.slice.name,
                 .wait = kJobFollowWait,
                 .by_page = true},
                ids) {}

SliceScheduler::~SliceScheduler() = default;

std::unique_ptr<SliceScheduler> SliceScheduler::Create(
    Options options,
    SliceCharts charts,
    CallIds& ids,
    core::TimePoint now,
    std::vector<chart::Problem>& problems) {
  std::unique_ptr<SliceScheduler> scheduler(
      new SliceScheduler(std::move(options), charts, ids));
  scheduler->gained_ = now;
  scheduler->now_ = now;
  scheduler->task_chart_ = chart::Interpreter<TaskContext>::Bind(
      charts.task_run, MakeTaskBindings(), problems);
  scheduler->contact_chart_ = chart::Interpreter<ContactContext>::Bind(
      charts.worker_contact, MakeContactBindings(), problems);
  if (!scheduler->task_chart_ || !scheduler->contact_chart_) {
    return nullptr;
  }
  return scheduler;
}

void SliceScheduler::SetConfig(QueueConfigPtr config, core::TimePoint now) {
  now_ = now;
  config_ = std::move(config);
  jobs_.ForEach([this](Job& job) { RefreshQueue(job); });
  placement_due_ = true;
}

void SliceScheduler::RefreshQueue(Job& job) {
  const Queue* queue =
      config_ == nullptr ? nullptr : config_->FindQueue(job.queue.name);
  if (queue != nullptr) {
    job.queue = *queue;
  }
}

void SliceScheduler::Handle(const StoreEvent& event, core::TimePoint now) {
  now_ = now;
  const CallId call = CallOf(event);
  const bool own_write = (commit_ && commit_->rows.call == call) ||
                         (transfer_ && transfer_->call == call) ||
                         (waiting_transfer_ && waiting_transfer_->call == call);
  if (closing_ && restored_ && !own_write) {
    return;
  }
  if (progress_read_ == call) {
    progress_read_.reset();
    const auto* page = std::get_if<RowsRead>(&event);
    if (page != nullptr && IsReadable(*page)) {
      HandleProgressPage(*page);
    } else {
      progress_retry_ = now + kReadRetryDelay;
    }
    return;
  }
  if (transfer_ && transfer_->call == call) {
    FinishTransfer(event);
    return;
  }
  if (waiting_transfer_ && waiting_transfer_->call == call) {
    FinishWaitingTransfer(event);
    return;
  }
  if (commit_ && commit_->rows.call == call) {
    FinishCommit(event);
    return;
  }
  if (parked_read_ && parked_read_->call == call) {
    FinishParkedRead(event);
    return;
  }
  rows_complete_before_ = job_rows_.complete_until();
  if (const auto update = job_rows_.Handle(event, now)) {
    const auto& rows = std::visit(
        [](const auto& u) -> const auto& { return u.rows; }, *update);
    std::ranges::for_each(rows, [this](const Row& row) { HandleRow(row); });
    FinishRestore();
  }
  SettleUnknownRuns();
}

void SliceScheduler::FinishRestore() {
  if (restored_ || !job_rows_.synced()) {
    return;
  }
  restored_ = true;
  const auto is_read = [this](const auto& entry) {
    return !parked_jobs_.contains(entry.first);
  };
  std::erase_if(stored_progress_, is_read);
  std::erase_if(stored_places_, is_read);
  LogRestored();
}

// Without the roster or a job's progress, tasks would be started that may
// already be running or done.
bool SliceScheduler::IsReadable(const RowsRead& page) const {
  const auto row = std::ranges::find_if(page.rows, &Row::unreadable);
  if (row == page.rows.end()) {
    return true;
  }
  options_.log(core::LogLine("progress_row_unreadable", core::LogLevel::kError)
                   .Add("slice", options_.slice.name)
                   .Add("job", row->key.key));
  return false;
}

void SliceScheduler::HandleProgressPage(const RowsRead& page) {
  for (const Row& row : page.rows) {
    if (row.key.key == RosterRow({}).key) {
      HandleRoster(row, page.clock_ms);
      continue;
    }
    if (IsHandOverKey(row.key.key)) {
      HandleHandOver(row, page.clock_ms);
      continue;
    }
    if (IsPlacesKey(row.key.key)) {
      HandlePlaces(row);
      continue;
    }
    auto progress = DecodeProgress(row.value);
    if (!progress) {
      options_.log(
          core::LogLine("progress_row_unreadable", core::LogLevel::kError)
              .Add("slice", options_.slice.name)
              .Add("job", row.key.key));
      continue;
    }
    if (IsFinal(progress->phase)) {
      final_jobs_.emplace_back(now_, row.key.key);
    }
    stored_progress_[row.key.key] = {.progress = *std::move(progress),
                                     .version = row.version};
  }
  if (page.more && !page.rows.empty()) {
    progress_from_ = page.rows.back().key.key + '\x01';
    return;
  }
  progress_loaded_ = true;
}

void SliceScheduler::HandleRow(const Row& row) {
  if (row.removed || row.key.part != options_.slice.name) {
    return;
  }
  if (row.key == IncomingRow(options_.slice.name)) {
    incoming_version_ = std::max(incoming_version_, row.version);
    incoming_until_ = now_ + kIncomingTimeout;
    return;
  }
  const std::string_view key = row.key.key;
  const std::size_t mark = key.find('!');
  if (mark == std::string_view::npos) {
    HandleJobRow(row);
  } else {
    HandleCancellation(key.substr(0, mark));
  }
}

void SliceScheduler::HandleCancellation(std::string_view id) {
  cancelled_jobs_.emplace(id);
  const std::vector<Job*> jobs = jobs_.FindWithParts(id);
  if (jobs.empty()) {
    stray_cancellations_.emplace(id);
    commit_due_ = std::min(commit_due_, now_ + kTick);
  }
  for (Job* job : jobs) {
    if (!job->halted) {
      options_.log(core::LogLine("job_cancelled").Add("job", job->spec.id));
      Halt(*job, JobPhase::kCancelled);
    }
  }
}

void SliceScheduler::HandleJobRow(const Row& row) {
  const auto removed = removed_jobs_.find(row.key.key);
  if (jobs_.Find(row.key.key) != nullptr ||
      parked_jobs_.contains(row.key.key) ||
      (removed != removed_jobs_.end() && row.version <= removed->second)) {
    return;
  }
  const auto stored = DecodeStoredJob(row.value);
  auto spec = stored ? options_.read_document(*stored) : std::nullopt;
  if (!spec) {
    options_.log(core::LogLine("job_row_unreadable", core::LogLevel::kError)
                     .Add("slice", options_.slice.name)
                     .Add("job", row.key.key));
    return;
  }
  spec->id = row.key.key;
  const std::size_t bytes =
      FixedBytesOf(*spec, row.value.size()) + OccurrenceBytesOf(*spec);
  if (!HasMemoryFor(bytes) && !cancelled_jobs_.contains(CallerId(spec->id))) {
    ParkJob(row, *stored, bytes);
    return;
  }
  AddJob(row, *std::move(spec), *stored);
}

void SliceScheduler::AddJob(const Row& row,
                            JobSpec spec,
                            const StoredJob& stored) {
  Job& job = jobs_.Add(std::move(spec), row.value);
  // Until the queue's configuration is known, a task may fail any number of
  // times.
  job.queue = {.name = stored.queue,
               .max_attempts = std::numeric_limits<std::uint32_t>::max()};
  job.known_since = now_;
  job.is_part = !stored.tasks.empty();
  job.restored = row.version < options_.fence_version ||
                 MayBeStarted(rows_complete_before_);
  job.accepted_unix_ms = stored.accepted_unix_ms;
  if (std::ranges::all_of(job.spec.steps, &StepSpec::long_running) ||
      !stored.tasks.empty()) {
    incoming_until_ = now_;
  }
  job.stored_version = row.version;
  job.runs_above = stored.runs_above;
  // Both rows were written by one transaction.
  job.progress_version = row.version;
  RefreshQueue(job);
  const core::Duration objective =
      std::chrono::duration_cast<core::Duration>(LongestChain(job.spec) *
                                                 job.queue.stretch) +
      job.queue.objective_extra;
  const core::TimePoint accepted =
      now_ -
      std::max(milliseconds(unix_ms_ - job.accepted_unix_ms), milliseconds(0));
  job.objective = accepted + objective;
  // A job still earns value until three times its objective.
  job.useless_after = accepted + 3 * objective;
  Progress progress = stored.progress.value_or(Progress());
  if (const auto found = stored_progress_.find(job.spec.id);
      found != stored_progress_.end()) {
    progress = found->second.progress;
    job.progress_version = found->second.version;
  }
  RestoreOccurrences(job, stored, progress);
  DropTasks(job, stored);
  ApplyProgress(job, progress);
  InitLastWorkers(job);
  RestoreLateStarts(job);
  AddDueOccurrences(job);
  if (cancelled_jobs_.contains(job.caller_id()) && !job.halted) {
    Halt(job, JobPhase::kCancelled);
  }
  Unblock(job);
  HandleRunsOfNewJob();
  options_.log(core::LogLine("job_taken")
                   .Add("job", job.spec.id)
                   .Add("queue", job.queue.name)
                   .Add("slice", options_.slice.name)
                   .Add("tasks", job.task_count())
                   .Add("restored", job.restored)
                   .Add("objective_ms", core::ToMillis(objective)));
  placement_due_ = true;
}

// Leaves a part of a job only its own tasks.
void SliceScheduler::DropTasks(Job& job, const StoredJob& stored) {
  if (stored.tasks.empty()) {
    return;
  }
  if (!IsFinal(job.phase)) {
    job.phase = JobPhase::kActive;
  }
  for (Task& task : job.tasks) {
    if (std::ranges::find(stored.tasks, task.number) == stored.tasks.end()) {
      task.state = states_.elsewhere;
      --job.groups[task.group].open;
    }
  }
}

void SliceScheduler::ApplyProgress(Job& job, const Progress& progress) {
  job.phase = progress.phase;
  if (IsFinal(job.phase)) {
    // The earlier owner was still stopping tasks; the job's rows are removed
    // now.
    job.halted = true;
    MarkDirty(job, /*urgent=*/false);
  }
  for (Task& task : job.tasks) {
    if (task.number < progress.failures.size()) {
      task.failures = progress.failures[task.number];
    }
    if (task.number < progress.done.size() && progress.done[task.number] &&
        !IsState(task, states_.elsewhere)) {
      task.state =
          KeepsPlaces(job.StepOf(task)) ? states_.elsewhere : states_.done;
      --job.groups[task.group].open;
    }
  }
}

void SliceScheduler::Halt(Job& job, JobPhase phase) {
  job.halted = true;
  job.phase = phase;
  for (Task& task : job.tasks) {
    Dispatch(task, "halt");
  }
  UpdatePhase(job);
}

// A job is stored as final once none of its tasks can run any more.
void SliceScheduler::UpdatePhase(Job& job) {
  if (job.halted) {
    // The phase is published at once; the job's rows stay until its tasks have
    // stopped.
    MarkDirty(job, /*urgent=*/true);
    return;
  }
  const bool open =
      job.is_part || job.end_occurrence() < job.occurrence_count() ||
      std::ranges::any_of(job.tasks,
                          [this](const Task& task) {
                            return IsState(task, states_.elsewhere);
                          }) ||
      std::ranges::any_of(job.groups,
                          [](const Group& g) { return g.open > 0; });
  if (!open && !HasRuns(job)) {
    job.phase = JobPhase::kCompleted;
    job.halted = true;
    MarkDirty(job, /*urgent=*/true);
  }
}

void SliceScheduler::Run(core::TimePoint now, std::int64_t unix_ms) {
  now_ = now;
  unix_ms_ = unix_ms;
  if (closing_ && restored_) {
    StartCommit();
    next_timer_ = now + kTick;
    return;
  }
  if (!progress_loaded_ && !progress_read_ && now >= progress_retry_) {
    progress_read_ = ids_.Next();
    store_commands_.push_back(
        ReadRows{.call = *progress_read_,
                 .table = ProgressRow(options_.slice.name, {}).table,
                 .part = options_.slice.name,
                 .from = progress_from_});
  }
  const core::TimePoint started_until = gained_ + SliceBoard::kOwnerTimeout;
  if (now >= started_until && MayBeStarted(job_rows_.complete_until())) {
    // A call that waits for a change would leave open for longer which jobs
    // were stored since.
    job_rows_.Refresh(started_until);
  }
  // The rows of jobs are not held until their progress is known.
  if (progress_loaded_) {
    if (auto command = job_rows_.Next(now)) {
      store_commands_.push_back(*std::move(command));
    }
  }
  if (closing_) {
    next_timer_ = now + kTick;
    return;
  }
  jobs_.ForEach([this](Job& job) {
    if (job.spec.repeat_count > 0) {
      UpdateOccurrences(job);
    }
  });
  ReadParkedJob();
  RenewLeases();
  LogUnheard();
  if (now >= next_placement_) {
    // Quarantines and pauses end without an event.
    next_placement_ = now + kPlacementInterval;
    if (const core::TimePoint over = PredecessorUsualLeaseEnd(); over > now) {
      next_placement_ = std::min(next_placement_, over);
    }
    placement_due_ = true;
  }
  if (std::exchange(placement_due_, false)) {
    Place();
    MoveTasks();
    TransferJobs();
  }
  ContinueTransfer();
  TransferWaitingJobs();
  LogLoad();
  StartCommit();
  next_timer_ = std::min(
      {now + kTick, NextCommit(),
       progress_loaded_ ? job_rows_.next_timer() : core::TimePoint::max()});
}

std::vector<StoreCommand> SliceScheduler::PopStoreCommands() {
  return std::exchange(store_commands_, {});
}

std::vector<WorkerCommand> SliceScheduler::PopWorkerCommands() {
  return std::exchange(worker_commands_, {});
}

}  // namespace hickoryusher::jobs
