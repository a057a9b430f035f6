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

std::uint64_t Worker::last_known_end() const {
  return unknown_ends.empty() ? last_end : unknown_ends.front().end.number - 1;
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
