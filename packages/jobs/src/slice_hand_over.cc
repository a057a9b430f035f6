#include <algorithm>
#include <iterator>
#include <utility>

#include "jobs/slice_board.h"
#include "slice_scheduler_p.h"

/// Runs of earlier owners: what an owner leaves behind for its successor, and
/// which tasks wait for which workers after a takeover.
namespace hickoryusher::jobs {
namespace {

// Usually two writes, of 4 ms each. A slice that is released later is without
// starts and renewals for longer.
constexpr core::Duration kHandOverTimeout = std::chrono::milliseconds(1000);

}  // namespace

// Returns whether an earlier owner may have started the task on a worker that
// has neither reported nor lost its lease.
bool SliceScheduler::MayRunUnseen(const Task& task) const {
  return task.unlocated || !task.last_workers.empty();
}

// Returns whether the run of the task on that worker may not be over.
bool SliceScheduler::MayRunUnseenOn(const LastWorker& last) {
  const Worker& worker = workers_.Get(last.worker);
  // A worker that has not been asked yet may have ends to report.
  const bool asked =
      charts_.worker_contact.StateName(worker.contact) == "unreached";
  return IsUnconfirmed(worker) &&
         !(last.usual_lease && asked && now_ >= PredecessorUsualLeaseEnd());
}

// Ends the waits for workers that have been heard of, or whose lease is over.
void SliceScheduler::SettleTasks() {
  const bool all_confirmed = AllConfirmed();
  bool waiting = false;
  jobs_.ForEach([&](Job& job) {
    for (Task& task : job.tasks) {
      if (!MayRunUnseen(task)) {
        continue;
      }
      task.unlocated = task.unlocated && !all_confirmed;
      std::erase_if(task.last_workers, [this](const LastWorker& last) {
        if (MayRunUnseenOn(last)) {
          return false;
        }
        if (IsUnconfirmed(workers_.Get(last.worker))) {
          term_needed_since_ = now_;
        }
        return true;
      });
      if (!MayRunUnseen(task)) {
        task.free_since = term_needed_since_;
      }
      waiting |= IsState(task, states_.ready) && MayRunUnseen(task);
    }
  });
  if (waiting) {
    LogUnconfirmed();
  }
}

void SliceScheduler::InitLastWorkers(Job& job) {
  const auto places = stored_places_.find(job.spec.id);
  job.has_places = !handed_over_workers_ && places != stored_places_.end();
  for (Task& task : job.tasks) {
    InitLastWorkers(task);
  }
  if (job.has_places) {
    InitFromPlaces(job, places->second);
  } else if (!handed_over_workers_ && !job.restored &&
             std::ranges::any_of(job.spec.steps, KeepsPlaces)) {
    // Tells a successor that no task has been started.
    MarkDirty(job, /*urgent=*/false);
  }
}

// Notes where an earlier owner may have started the task. Without places, that
// may be any worker of the roster.
void SliceScheduler::InitLastWorkers(Task& task) {
  const Job& job = *task.job;
  if (handed_over_workers_) {
    InitFromHandOver(task);
    return;
  }
  task.unlocated = job.restored && !IsState(task, states_.elsewhere) &&
                   !(job.has_places && KeepsPlaces(job.StepOf(task)));
}

void SliceScheduler::InitFromHandOver(Task& task) {
  const auto found =
      handed_over_workers_->find(ToText(task.job->AddressOf(task)));
  if (found != handed_over_workers_->end() &&
      !IsState(task, states_.elsewhere)) {
    for (const std::string& id : found->second) {
      AddLastWorker(task, id, /*usual_lease=*/false);
    }
  }
}

void SliceScheduler::InitFromPlaces(Job& job, const Places& places) {
  for (const TaskPlace& place : places.tasks) {
    if (!job.tasks.Contains(place.task)) {
      continue;
    }
    Task& task = job.tasks[place.task];
    if (place.worker == kAnyWorker) {
      task.unlocated = true;
      continue;
    }
    AddLastWorker(task, place.worker, place.usual_lease);
  }
}

// Adds a worker unless it is not in the roster: then it runs nothing.
void SliceScheduler::AddLastWorker(Task& task,
                                   std::string_view id,
                                   bool usual_lease) {
  if (const Worker* worker = workers_.Find(id)) {
    task.last_workers.push_back(
        {.worker = worker->id, .usual_lease = usual_lease});
  }
}

// Returns whether a task whose place has been stored may start there now.
bool SliceScheduler::MayStartThere(const Task& task) {
  const Worker& worker = workers_.Get(task.worker);
  return IsUsable(worker) && !MayRunPastTerm(worker) && !IsEvacuated();
}

// Stores that a run whose lease is a usual one has been reported. Its start may
// have reached a life of the worker in which the lease is longer.
void SliceScheduler::NoteUsualLease(Task& task) {
  if (KeepsPlaces(task.job->StepOf(task)) && !task.usual_lease &&
      MayNoteUsualLease(workers_.Get(task.worker))) {
    task.usual_lease = true;
    MarkDirty(*task.job, /*urgent=*/false);
  }
}

// Takes over what an earlier owner has stored about the lease of a run. All
// runs in a worker's life share one lease.
void SliceScheduler::AdoptLease(Task& task, Worker& worker) {
  const auto last =
      std::ranges::find(task.last_workers, worker.id, &LastWorker::worker);
  task.usual_lease = last != task.last_workers.end() && last->usual_lease;
  // Before its first report has been handled, this owner has granted none.
  if (task.usual_lease && IsUnconfirmed(worker)) {
    worker.lease_end = std::min(worker.lease_end, PredecessorUsualLeaseEnd());
  }
}

void SliceScheduler::CollectPlaces(Job& job, Commit& commit) {
  if (std::ranges::none_of(job.spec.steps, KeepsPlaces)) {
    return;
  }
  const RowKey key = PlacesRow(options_.slice.name, job.spec.id);
  if (IsFinal(job.phase) && !HasRuns(job)) {
    commit.rows.removals.push_back(key);
    return;
  }
  Places places{.epoch = options_.epoch};
  for (Task& task : job.tasks) {
    if (!KeepsPlaces(job.StepOf(task))) {
      continue;
    }
    // Unknown while the write is in flight.
    task.stored_place = core::WorkerId();
    // The next run may hold a longer lease than the row says of this one.
    task.written_place = task.usual_lease ? core::WorkerId() : task.worker;
    const auto add = [&](std::string worker, bool usual_lease) {
      places.tasks.push_back({.task = task.number,
                              .worker = std::move(worker),
                              .usual_lease = usual_lease});
    };
    if (task.worker.valid()) {
      add(workers_.Get(task.worker).entry.id, task.usual_lease);
      continue;
    }
    if (task.unlocated) {
      add(std::string(kAnyWorker), /*usual_lease=*/false);
    }
    for (const LastWorker& last : task.last_workers) {
      add(workers_.Get(last.worker).entry.id, last.usual_lease);
    }
  }
  commit.rows.puts.push_back({.key = key, .value = EncodePlaces(places)});
}

// Starts the tasks that wait for the write of their places.
void SliceScheduler::FinishPlaces(Job& job) {
  for (Task& task : job.tasks) {
    task.stored_place = task.written_place;
    if (IsState(task, states_.placing) && task.stored_place == task.worker) {
      Dispatch(task, "place_stored");
    }
  }
}

// Ignores rows of owners before one that stored no places.
void SliceScheduler::HandlePlaces(const Row& row) {
  auto places = DecodePlaces(row.value);
  if (!places) {
    options_.log(core::LogLine("places_row_unreadable", core::LogLevel::kError)
                     .Add("slice", options_.slice.name)
                     .Add("row", row.key.key));
    return;
  }
  if (options_.places_since != 0 && places->epoch >= options_.places_since) {
    std::string_view job = row.key.key;
    job.remove_suffix(kPlacesSuffix.size());
    stored_places_.insert_or_assign(std::string(job), *std::move(places));
  }
}

void SliceScheduler::HandOver(core::TimePoint now) {
  now_ = now;
  closing_ = true;
  closing_until_ = now + kHandOverTimeout;
  ExpectPendingStarts();
  commit_due_ = now;
}

bool SliceScheduler::handed_over() const {
  return closing_ && (hand_over_stored_ || fenced_ || !KnowsAllRuns() ||
                      now_ >= closing_until_);
}

// Returns whether an earlier owner may have started a job that was stored after
// @p stored. It starts none that it reads later than this after its last
// renewal, which was before this owner's claim.
bool SliceScheduler::MayBeStarted(core::TimePoint stored) const {
  return stored < gained_ + SliceBoard::kOwnerTimeout;
}

// Returns whether a successor may have claimed the slice before the job was
// stored: this owner has not renewed its term for as long when it read the job.
bool SliceScheduler::IsReadTooLate(const Job& job) const {
  return job.known_since >
         term_end_ - SliceBoard::kOwnerGrace + SliceBoard::kOwnerTimeout;
}

// Returns whether no owner before may have started a job that this one has not
// read.
bool SliceScheduler::KnowsAllRuns() const {
  return !HasUnreadRuns() && parked_jobs_.empty() &&
         (handed_over_workers_ || options_.predecessor_ended ||
          !MayBeStarted(job_rows_.complete_until()));
}

// Returns the tasks that may run on the worker as far as this owner knows.
std::vector<std::string> SliceScheduler::TasksThatMayRunOn(
    const Worker& worker) {
  std::vector<std::string> tasks;
  std::ranges::transform(
      worker.tasks, std::back_inserter(tasks),
      [](const Task* task) { return ToText(task->job->AddressOf(*task)); });
  if (!IsUnconfirmed(worker)) {
    return tasks;
  }
  jobs_.ForEach([&](const Job& job) {
    for (const Task& task : job.tasks) {
      if (task.unlocated ||
          std::ranges::find(task.last_workers, worker.id,
                            &LastWorker::worker) != task.last_workers.end()) {
        tasks.push_back(ToText(job.AddressOf(task)));
      }
    }
  });
  return tasks;
}

void SliceScheduler::CollectHandOver(Commit& commit) {
  std::vector<HandedOverWorker> workers;
  for (const auto& worker : workers_.all()) {
    HandedOverWorker entry = {.id = worker->entry.id,
                              .tasks = TasksThatMayRunOn(*worker)};
    if (entry.tasks.empty()) {
      continue;
    }
    if (store_clock_.known() && !MayGetLateLease(*worker)) {
      entry.over_ms = store_clock_.LatestAt(LeaseEnd(*worker));
    }
    workers.push_back(std::move(entry));
  }
  commit.hand_over = true;
  const std::vector<std::string> rows = EncodeHandOver(options_.epoch, workers);
  for (std::size_t i = 0; i < rows.size(); ++i) {
    commit.rows.puts.push_back(
        {.key = HandOverRow(options_.slice.name, i), .value = rows[i]});
  }
  options_.log(core::LogLine("slice_handed_over")
                   .Add("slice", options_.slice.name)
                   .Add("epoch", options_.epoch)
                   .Add("workers", workers.size())
                   .Add("rows", rows.size()));
}

// Ignores rows of owners before the last one, which may have started tasks
// since.
void SliceScheduler::HandleHandOver(const Row& row, std::int64_t clock_ms) {
  const auto hand_over = DecodeHandOver(row.value);
  if (!hand_over) {
    options_.log(
        core::LogLine("hand_over_row_unreadable", core::LogLevel::kError)
            .Add("slice", options_.slice.name)
            .Add("row", row.key.key));
    hand_over_rejected_ = true;
    handed_over_workers_.reset();
    return;
  }
  if (hand_over->epoch + 1 != options_.epoch || hand_over_rejected_) {
    return;
  }
  if (!handed_over_workers_) {
    handed_over_workers_.emplace();
  }
  for (const HandedOverWorker& entry : hand_over->workers) {
    for (const std::string& task : entry.tasks) {
      (*handed_over_workers_)[task].push_back(entry.id);
    }
    if (entry.over_ms != 0 && clock_ms != 0) {
      handed_over_leases_[entry.id] =
          now_ + std::chrono::milliseconds(entry.over_ms - clock_ms);
    }
  }
}

}  // namespace hickoryusher::jobs
