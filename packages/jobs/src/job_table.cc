#include "jobs/job_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace hickoryusher::jobs {

namespace {

// Not part of a job id; sorts after the marks of rows that belong to a job.
constexpr char kPartMark = '.';

}  // namespace

std::string PartId(std::string_view id, std::uint32_t task) {
  return std::string(id) + kPartMark + std::to_string(task);
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

Task* Job::Find(const TaskAddress& address) {
  const auto group = std::ranges::find_if(groups, [&](const Group& g) {
    return g.occurrence == address.occurrence && g.step == address.step;
  });
  if (group == groups.end() || address.index >= group->count) {
    return nullptr;
  }
  return &tasks[group->first + address.index];
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

Job& JobTable::Add(JobSpec spec) {
  auto job = std::make_unique<Job>();
  job->spec = std::move(spec);
  const std::uint32_t occurrences = std::max(job->spec.repeat_count, 1U);
  for (std::uint32_t occurrence = 0; occurrence < occurrences; ++occurrence) {
    for (std::uint32_t step = 0; step < job->spec.steps.size(); ++step) {
      Group group{.occurrence = occurrence,
                  .step = step,
                  .first = static_cast<std::uint32_t>(job->tasks.size()),
                  .count = job->spec.steps[step].count};
      group.open = group.count;
      for (std::uint32_t i = 0; i < group.count; ++i) {
        Task task;
        task.job = job.get();
        task.number = group.first + i;
        task.group = static_cast<std::uint32_t>(job->groups.size());
        task.state = initial_;
        job->tasks.push_back(std::move(task));
      }
      job->groups.push_back(group);
    }
  }
  Job& added = *job;
  jobs_[added.spec.id] = std::move(job);
  return added;
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
  const std::string prefix = std::string(id) + kPartMark;
  for (auto next = jobs_.lower_bound(prefix);
       next != jobs_.end() && next->first.starts_with(prefix); ++next) {
    found.push_back(next->second.get());
  }
  return found;
}

void JobTable::Remove(std::string_view id) {
  if (const auto found = jobs_.find(id); found != jobs_.end()) {
    jobs_.erase(found);
  }
}

}  // namespace hickoryusher::jobs
