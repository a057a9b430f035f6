#include "jobs/job_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace hickoryusher::jobs {

namespace {

// Not part of a job id; sorts after the marks of rows that belong to a job.
constexpr char kPartMark = '.';

// The stored text, and the payload within it.
constexpr std::size_t kRowCopies = 2;

// Beside the objects themselves: heads of the allocator, and blocks of
// containers that are not full.
constexpr std::size_t kJobOverheadBytes = 1280;
constexpr std::size_t kStepOverheadBytes = 48;
constexpr std::size_t kTaskOverheadBytes = 40;

}  // namespace

std::string FirstPartId(std::string_view id) {
  return std::string(id) + kPartMark;
}

std::string PartId(std::string_view id, std::uint32_t task) {
  return FirstPartId(id) + std::to_string(task);
}

std::string_view CallerId(std::string_view id) {
  return id.substr(0, id.find(kPartMark));
}

TaskAddress Job::AddressOf(const Task& task) const {
  const Group& group = groups[task.group];
  return {.job = std::string(caller_id()),
          .occurrence = group.occurrence,
          .step = group.step,
          .index = task.number - group.first};
}

std::uint32_t Job::tasks_per_occurrence() const {
  return std::accumulate(
      spec.steps.begin(), spec.steps.end(), 0U,
      [](std::uint32_t sum, const StepSpec& step) { return sum + step.count; });
}

std::uint32_t Job::OccurrenceOf(std::uint32_t task) const {
  return task / tasks_per_occurrence();
}

std::uint32_t Job::first_occurrence() const {
  return static_cast<std::uint32_t>(groups.first_number() / spec.steps.size());
}

std::uint32_t Job::end_occurrence() const {
  return static_cast<std::uint32_t>(groups.end_number() / spec.steps.size());
}

Task* Job::Find(const TaskAddress& address) {
  const std::size_t number =
      std::size_t{address.occurrence} * spec.steps.size() + address.step;
  if (address.step >= spec.steps.size() || !groups.Contains(number) ||
      address.index >= groups[number].count) {
    return nullptr;
  }
  return &tasks[groups[number].first + address.index];
}

std::int64_t Job::DueUnixMs(std::uint32_t occurrence) const {
  return spec.repeat_count == 0
             ? 0
             : spec.first_run_unix_ms +
                   std::int64_t{occurrence} * spec.interval_ms;
}

Progress Job::ToProgress(std::span<const chart::StateId> closed) const {
  Progress progress{.phase = phase};
  if (IsFinal(phase)) {
    return progress;
  }
  progress.done.resize(tasks.first_number(), true);
  for (const Task& task : tasks) {
    if (std::ranges::find(closed, task.state) != closed.end()) {
      progress.done.resize(task.number + 1);
      progress.done[task.number] = true;
    }
    if (!task.failures.empty()) {
      progress.failures.resize(task.number + 1);
      progress.failures[task.number] = task.failures;
    }
  }
  if (is_part && tasks.end_number() < task_count()) {
    progress.done.resize(tasks.end_number());
    progress.done.resize(task_count(), true);
  }
  return progress;
}

bool KeepsPlaces(const StepSpec& step) {
  return step.long_running && !step.gang;
}

bool HasRuns(const Job& job) {
  return std::ranges::any_of(
      job.tasks, [](const Task& task) { return task.worker.valid(); });
}

core::Duration LongestChain(const JobSpec& spec) {
  std::vector<core::Duration> ends(spec.steps.size());
  core::Duration longest{};
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    core::Duration start{};
    for (const std::uint32_t before : spec.steps[i].after) {
      start = std::max(start, ends[before]);
    }
    ends[i] = start + spec.steps[i].estimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

core::Duration RemainingChain(const Job& job) {
  std::vector<core::Duration> ends(job.spec.steps.size());
  core::Duration longest{};
  for (const Group& group : job.groups) {
    const StepSpec& step = job.StepOf(group);
    core::Duration start{};
    for (const std::uint32_t before : step.after) {
      start = std::max(start, ends[before]);
    }
    ends[group.step] = group.open == 0 ? start : start + step.estimate;
    longest = std::max(longest, ends[group.step]);
  }
  return longest;
}

double RemainingWork(const Job& job) {
  using Seconds = std::chrono::duration<double>;
  return std::accumulate(
      job.groups.begin(), job.groups.end(), 0.0,
      [&job](double sum, const Group& group) {
        const StepSpec& step = job.StepOf(group);
        return sum + group.open * Seconds(step.estimate).count() *
                         static_cast<double>(step.need.cpu_millis) / 1000;
      });
}

std::size_t FixedBytesOf(const JobSpec& spec, std::size_t row_bytes) {
  return std::accumulate(
      spec.steps.begin(), spec.steps.end(),
      sizeof(Job) + kJobOverheadBytes + kRowCopies * row_bytes,
      [](std::size_t sum, const StepSpec& step) {
        return sum + sizeof(StepSpec) + kStepOverheadBytes +
               step.after.size() * sizeof(step.after[0]);
      });
}

std::size_t OccurrenceBytesOf(const JobSpec& spec) {
  return std::accumulate(spec.steps.begin(), spec.steps.end(), std::size_t{0},
                         [](std::size_t sum, const StepSpec& step) {
                           return sum + sizeof(Group) +
                                  step.count *
                                      (sizeof(Task) + kTaskOverheadBytes);
                         });
}

Job& JobTable::Add(JobSpec spec, std::string stored_text) {
  auto job = std::make_unique<Job>();
  job->fixed_bytes = FixedBytesOf(spec, stored_text.size());
  bytes_ += job->fixed_bytes;
  job->spec = std::move(spec);
  job->stored_text = std::move(stored_text);
  Job& added = *job;
  jobs_[added.spec.id] = std::move(job);
  return added;
}

void JobTable::AddOccurrence(Job& job) {
  const std::uint32_t occurrence = job.end_occurrence();
  for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
    Group group{.occurrence = occurrence,
                .step = step,
                .first = static_cast<std::uint32_t>(job.tasks.end_number()),
                .count = job.spec.steps[step].count};
    group.open = group.count;
    for (std::uint32_t i = 0; i < group.count; ++i) {
      Task task;
      task.job = &job;
      task.number = group.first + i;
      task.group = static_cast<std::uint32_t>(job.groups.end_number());
      task.state = initial_;
      job.tasks.Append(std::move(task));
    }
    job.groups.Append(group);
  }
  bytes_ += OccurrenceBytesOf(job.spec);
}

void JobTable::RemoveClosed(Job& job, chart::StateId closed) {
  const std::size_t count = job.tasks_per_occurrence();
  while (job.tasks.size() > 0 &&
         std::ranges::all_of(job.tasks.View(job.tasks.first_number(), count),
                             [&](const Task& task) {
                               return task.state == closed &&
                                      !task.worker.valid();
                             })) {
    job.tasks.RemoveFirst(count);
    job.groups.RemoveFirst(job.spec.steps.size());
    bytes_ -= OccurrenceBytesOf(job.spec);
  }
}

Job* JobTable::Find(std::string_view id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

Task* JobTable::FindTask(const TaskAddress& address) {
  for (Job* job : FindWithParts(address.job)) {
    Task* task = job->Find(address);
    if (task != nullptr && task->state != elsewhere_) {
      return task;
    }
  }
  return nullptr;
}

std::vector<Job*> JobTable::FindWithParts(std::string_view id) {
  std::vector<Job*> found;
  if (Job* job = Find(id)) {
    found.push_back(job);
  }
  const std::string prefix = FirstPartId(id);
  for (auto next = jobs_.lower_bound(prefix);
       next != jobs_.end() && next->first.starts_with(prefix); ++next) {
    found.push_back(next->second.get());
  }
  return found;
}

void JobTable::Remove(std::string_view id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  const Job& job = *found->second;
  bytes_ -= job.fixed_bytes + (job.end_occurrence() - job.first_occurrence()) *
                                  OccurrenceBytesOf(job.spec);
  jobs_.erase(found);
}

}  // namespace hickoryusher::jobs
