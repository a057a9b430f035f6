#include <algorithm>

#include "slice_scheduler_p.h"

/// Which occurrences of a job have tasks here, and which of these may start.
namespace hickoryusher::jobs {
namespace {

// Returns whether each task of the job ends.
bool IsShortLived(const Job& job) {
  return std::ranges::none_of(job.spec.steps, &StepSpec::long_running);
}

}  // namespace

// Drops the occurrences that are done, adds those that are due, and lets their
// tasks start.
void SliceScheduler::UpdateOccurrences(Job& job) {
  if (IsShortLived(job)) {
    jobs_.RemoveClosed(job, states_.done);
  }
  AddDueOccurrences(job);
  Unblock(job);
}

// Adds the next occurrence of a job that is being read.
void SliceScheduler::AddOccurrence(Job& job) {
  const std::size_t first = job.groups.end_number();
  jobs_.AddOccurrence(job);
  for (std::size_t i = first; i < job.groups.end_number(); ++i) {
    job.groups[i].image = images_.Intern(job.StepOf(job.groups[i]).image);
  }
}

// Adds the next occurrence of a job that has been read.
void SliceScheduler::AddLaterOccurrence(Job& job) {
  const std::size_t first = job.tasks.end_number();
  AddOccurrence(job);
  for (std::size_t i = first; i < job.tasks.end_number(); ++i) {
    InitLastWorkers(job.tasks[i]);
  }
}

// While the memory for jobs is used up, or other jobs wait for some, an
// occurrence waits for those of its job that are open.
void SliceScheduler::AddDueOccurrences(Job& job) {
  const std::size_t bytes = OccurrenceBytesOf(job.spec);
  while (
      !job.halted && !job.is_part &&
      job.end_occurrence() < job.occurrence_count() &&
      job.DueUnixMs(job.end_occurrence()) <= unix_ms_ &&
      (job.tasks.size() == 0 ||
       (parked_jobs_.empty() && job_bytes() + bytes <= options_.job_bytes))) {
    AddLaterOccurrence(job);
  }
}

// Adds the occurrences of which the job has tasks here that an earlier owner
// may have begun, without the first ones that are done.
void SliceScheduler::RestoreOccurrences(Job& job,
                                        const StoredJob& stored,
                                        const Progress& progress) {
  std::uint32_t first = 0;
  std::uint32_t end = 0;
  const auto include_tasks_before = [&](std::size_t task) {
    const auto count = std::min<std::size_t>(task, job.task_count());
    if (count > 0) {
      end = std::max(
          end, job.OccurrenceOf(static_cast<std::uint32_t>(count - 1)) + 1);
    }
  };
  if (job.is_part) {
    first = job.OccurrenceOf(std::ranges::min(stored.tasks));
    include_tasks_before(std::size_t{std::ranges::max(stored.tasks)} + 1);
  } else {
    if (IsShortLived(job)) {
      const auto open = std::ranges::find(progress.done, false);
      first = job.OccurrenceOf(
          static_cast<std::uint32_t>(open - progress.done.begin()));
    }
    include_tasks_before(progress.done.size());
    include_tasks_before(progress.failures.size());
    if (const auto places = stored_places_.find(job.spec.id);
        places != stored_places_.end()) {
      for (const TaskPlace& place : places->second.tasks) {
        include_tasks_before(std::size_t{place.task} + 1);
      }
    }
    for (const auto& worker : workers_.all()) {
      for (const Worker::LateStart& start : worker->late_starts) {
        if (start.job == job.spec.id) {
          include_tasks_before(std::size_t{start.task} + 1);
        }
      }
    }
  }
  job.groups.StartAt(std::size_t{first} * job.spec.steps.size());
  job.tasks.StartAt(std::size_t{first} * job.tasks_per_occurrence());
  while (job.end_occurrence() < end) {
    AddOccurrence(job);
  }
}

bool SliceScheduler::IsUnblocked(const Job& job, const Group& group) const {
  if (job.DueUnixMs(group.occurrence) > unix_ms_) {
    return false;
  }
  const std::size_t first =
      std::size_t{group.occurrence} * job.spec.steps.size();
  return std::ranges::all_of(job.StepOf(group).after, [&](std::uint32_t step) {
    return job.groups[first + step].open == 0;
  });
}

void SliceScheduler::Unblock(Job& job) {
  if (job.halted) {
    return;
  }
  for (Group& group : job.groups) {
    if (group.unblocked || group.open == 0 || !IsUnblocked(job, group)) {
      continue;
    }
    group.unblocked = true;
    placement_due_ = true;
    for (Task& task : job.TasksOf(group)) {
      Dispatch(task, "unblock");
    }
  }
}

}  // namespace hickoryusher::jobs
