#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

#include "slice_scheduler_p.h"

/// Protects tasks that serve from the spare work next to them.
namespace hickoryusher::jobs {
namespace {

// Share of its target that a tail may reach by what is placed or paced next to
// it. The rest is for changes of load between two reports.
constexpr double kAllowedTargetShare = 0.7;

// Above this share of the target, all spare work next to the task rests.
constexpr double kAlarmTargetShare = 1.0;

// Paces change in steps, since every change is a call to a worker.
constexpr std::uint32_t kPaceStep = 25;
constexpr std::uint32_t kFullPace = 100;

// Share of its reservation that a task that serves uses itself.
constexpr double kServingUse = 0.6;

// How fast the expected calm tail of a job follows the reports.
constexpr double kCalmRate = 0.2;

bool IsServing(const Task& task) {
  return task.job->StepOf(task).latency_target > core::Duration();
}

bool IsSpare(const Task& task) {
  return task.job->StepOf(task).uses_spare_cpu;
}

Neighbour MakeNeighbour(const Task& task, const Worker& worker) {
  const StepSpec& step = task.job->StepOf(task);
  const double cores =
      static_cast<double>(step.need.cpu_millis) * task.pace_percent / kFullPace;
  return {.image = step.image,
          .share = cores / static_cast<double>(std::max<std::int64_t>(
                               worker.entry.capacity.cpu_millis, 1))};
}

std::vector<Neighbour> NeighboursOn(const Worker& worker) {
  std::vector<Neighbour> neighbours;
  for (const Task* task : worker.tasks) {
    if (IsSpare(*task)) {
      neighbours.push_back(MakeNeighbour(*task, worker));
    }
  }
  return neighbours;
}

}  // namespace

bool SliceScheduler::Serves(const Worker& worker) {
  return std::ranges::any_of(
      worker.tasks, [](const Task* task) { return IsServing(*task); });
}

double SliceScheduler::SpareMillis(const Worker& worker) {
  double spare = static_cast<double>(worker.free().cpu_millis -
                                     worker.spare_cpu_demand);
  for (const Task* task : worker.tasks) {
    if (IsServing(*task)) {
      spare += (1 - kServingUse) *
               static_cast<double>(task->job->StepOf(*task).need.cpu_millis);
    }
  }
  return spare;
}

// Learns from the tails in a report, and remembers what they would be without
// spare work next to them.
void SliceScheduler::LearnInterference(const Worker& worker) {
  const std::vector<Neighbour> neighbours = NeighboursOn(worker);
  for (Task* task : worker.tasks) {
    if (!IsServing(*task) || !IsState(*task, "running") || task->usage <= 0) {
      continue;
    }
    const StepSpec& step = task->job->StepOf(*task);
    const double share = task->usage / static_cast<double>(
                                           core::ToMillis(step.latency_target));
    const double log_tail = std::log(share);
    double& calm = log_calm_.try_emplace(task->job->spec.id, log_tail)
                       .first->second;
    if (neighbours.empty()) {
      calm += kCalmRate * (log_tail - calm);
    } else {
      interference_.Learn(step.image, neighbours, calm, log_tail);
    }
    task->calm_share =
        share / std::exp(interference_.Effect(step.image, neighbours));
  }
}

// Largest share of a target that is expected with one more task of spare work.
double SliceScheduler::ExpectedShare(const Worker& worker,
                                     const StepSpec& added) const {
  std::vector<Neighbour> neighbours = NeighboursOn(worker);
  neighbours.push_back(
      {.image = added.image,
       .share = static_cast<double>(added.need.cpu_millis) /
                static_cast<double>(worker.entry.capacity.cpu_millis)});
  double worst = 0;
  for (const Task* task : worker.tasks) {
    if (IsServing(*task)) {
      const StepSpec& step = task->job->StepOf(*task);
      worst = std::max(
          worst, task->calm_share *
                     std::exp(interference_.Effect(step.image, neighbours)));
    }
  }
  return worst;
}

bool SliceScheduler::TakesSpareWork(const Worker& worker,
                                    const StepSpec& step) const {
  if (SpareMillis(worker) <
      kLeastSpareShare * static_cast<double>(step.need.cpu_millis)) {
    return false;
  }
  return ExpectedShare(worker, step) <= kAllowedTargetShare;
}

// The least disturbing spare work keeps its full speed until the tails' room
// is used up.
void SliceScheduler::AdjustPace(Worker& worker) {
  LearnInterference(worker);
  std::vector<Task*> spare;
  std::ranges::copy_if(worker.tasks, std::back_inserter(spare),
                       [this](const Task* task) {
                         return IsSpare(*task) && IsState(*task, "running");
                       });
  if (spare.empty()) {
    return;
  }
  const Task* worst = nullptr;
  double worst_share = 0;
  for (const Task* task : worker.tasks) {
    if (IsServing(*task) && task->calm_share > worst_share) {
      worst = task;
      worst_share = task->calm_share;
    }
  }
  const bool alarm =
      std::ranges::any_of(worker.tasks, [](const Task* task) {
        return IsServing(*task) &&
               task->usage >
                   kAlarmTargetShare *
                       static_cast<double>(core::ToMillis(
                           task->job->StepOf(*task).latency_target));
      });
  const std::string_view image =
      worst == nullptr ? std::string_view()
                       : worst->job->StepOf(*worst).image;
  double room = worst == nullptr
                    ? std::numeric_limits<double>::infinity()
                    : std::log(kAllowedTargetShare / worst_share);
  std::ranges::sort(spare, {}, [&](const Task* task) {
    return interference_.Weight(image, task->job->StepOf(*task).image);
  });
  for (Task* task : spare) {
    const StepSpec& step = task->job->StepOf(*task);
    const double full =
        interference_.Weight(image, step.image) *
        static_cast<double>(step.need.cpu_millis) /
        static_cast<double>(worker.entry.capacity.cpu_millis);
    const double fraction =
        alarm ? 0 : full <= room ? 1 : std::max(0.0, room) / full;
    const auto percent =
        static_cast<std::uint32_t>(fraction * kFullPace / kPaceStep) *
        kPaceStep;
    room -= full * percent / kFullPace;
    SetPaceOf(worker, *task, percent);
  }
}

void SliceScheduler::SetPaceOf(const Worker& worker,
                               Task& task,
                               std::uint32_t percent) {
  if (task.pace_percent == percent) {
    return;
  }
  options_.log(core::LogLine("pace_changed")
                   .Add("task", ToText(task.job->AddressOf(task)))
                   .Add("worker", worker.entry.id)
                   .Add("from", task.pace_percent)
                   .Add("percent", percent));
  task.pace_percent = percent;
  worker_commands_.push_back(jobs::SetPace{
      .call = ids_.Next(),
      .to = {.address = worker.entry.address, .worker = worker.entry.id},
      .epoch = options_.epoch,
      .task = task.job->AddressOf(task),
      .run = task.run,
      .percent = percent});
}

}  // namespace hickoryusher::jobs
