#include "jobs/worker_pool.h"

#include <algorithm>
#include <utility>

namespace hickoryusher::jobs {

Destination DestinationOf(const Worker& worker) {
  return {.address = worker.entry.address, .worker = worker.entry.id};
}

core::Resources Reservation(const StepSpec& step) {
  core::Resources need = step.need;
  if (step.best_effort) {
    need.cpu_millis = 0;
  }
  return need;
}

bool Worker::HasLabel(std::string_view label) const {
  return std::ranges::find(entry.labels, label) != entry.labels.end();
}

bool Worker::AllRunsSeen() const {
  return std::ranges::all_of(tasks, &Task::run_seen);
}

void Worker::SetClock(std::int64_t millis, core::TimePoint now) {
  clock_ms = millis;
  clock_at = now;
}

std::int64_t Worker::ClockAt(core::TimePoint now) const {
  return clock_ms + core::ToMillis(now - clock_at);
}

std::uint64_t Worker::last_settled_end() const {
  std::uint64_t last = last_end;
  if (!unknown_ends.empty()) {
    last = unknown_ends.front().end.number - 1;
  }
  for (const UnsafeEnd& end : unsafe_ends) {
    last = std::min(last, end.number - 1);
  }
  return last;
}

void Worker::ExpectLateStart(std::string_view job,
                             std::uint32_t task,
                             RunNumber run,
                             core::TimePoint until) {
  const auto known =
      std::ranges::find_if(late_starts, [&](const LateStart& start) {
        return start.run == run && start.task == task && start.job == job;
      });
  if (known != late_starts.end()) {
    known->until = std::max(known->until, until);
  } else {
    late_starts.push_back(
        {.job = std::string(job), .task = task, .run = run, .until = until});
  }
}

bool Worker::ForgetLateStart(std::string_view job,
                             std::uint32_t task,
                             RunNumber run) {
  return std::erase_if(late_starts, [&](const LateStart& start) {
           return start.run == run && start.task == task && start.job == job;
         }) > 0;
}

std::optional<core::TimePoint> Worker::LateStartOf(const Task& task) const {
  std::optional<core::TimePoint> until;
  for (const LateStart& start : late_starts) {
    if (start.task == task.number && start.job == task.job->spec.id) {
      until = std::max(until.value_or(start.until), start.until);
    }
  }
  return until;
}

std::optional<core::TimePoint> Worker::LateStartOf(std::string_view job) const {
  std::optional<core::TimePoint> until;
  for (const LateStart& start : late_starts) {
    if (start.job == job) {
      until = std::max(until.value_or(start.until), start.until);
    }
  }
  return until;
}

bool Worker::ExpireLateStarts(core::TimePoint now) {
  const auto over = [now](const auto& entry) { return entry.until <= now; };
  const std::size_t starts = std::erase_if(late_starts, over);
  return std::erase_if(unsafe_ends, over) + starts > 0;
}

void Worker::Reserve(const StepSpec& step) {
  headrooms_valid = false;
  used += Reservation(step);
  if (step.long_running) {
    used_by_long_running += Reservation(step);
  }
  best_effort_demand += step.best_effort ? step.need.cpu_millis : 0;
}

void Worker::Release(const StepSpec& step) {
  headrooms_valid = false;
  used -= Reservation(step);
  if (step.long_running) {
    used_by_long_running -= Reservation(step);
  }
  best_effort_demand -= step.best_effort ? step.need.cpu_millis : 0;
}

Worker& WorkerPool::Add(WorkerEntry entry, chart::StateId contact) {
  auto worker = std::make_unique<Worker>();
  worker->id = core::WorkerId(static_cast<std::uint32_t>(workers_.size()));
  worker->entry = std::move(entry);
  worker->contact = contact;
  workers_.push_back(std::move(worker));
  return *workers_.back();
}

Worker* WorkerPool::Find(std::string_view id) {
  const auto found = std::ranges::find_if(
      workers_, [id](const auto& worker) { return worker->entry.id == id; });
  return found == workers_.end() ? nullptr : found->get();
}

}  // namespace hickoryusher::jobs
