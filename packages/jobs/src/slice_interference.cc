#include <algorithm>
#include <cmath>
#include <iterator>
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

// How fast the utilisation that is expected without neighbours follows the
// reports: of tasks without neighbours, and of tasks with some.
constexpr double kCalmRate = 0.3;
constexpr double kDisturbedRate = 0.05;
constexpr double kTaskRate = 0.5;

// Standard deviation of a reported utilisation.
constexpr double kUtilisationNoise = 0.05;
constexpr double kLeastUtilisation = 0.05;

// Room of a worker on which nothing serves.
constexpr double kMostRoom = 10;

// Raise by a single task that is not worth slowing it for.
constexpr double kNegligibleRaise = 0.01;

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

double SliceScheduler::IdleTail(const StepSpec& step) const {
  const auto found = idle_tails_.find(step.image);
  return found == idle_tails_.end()
             ? static_cast<double>(core::ToMillis(step.latency_target))
             : found->second;
}

// The utilisation at which the tail reaches the allowed share of its target.
double SliceScheduler::AllowedUtilisation(const StepSpec& step) const {
  const double allowed =
      kAllowedTargetShare *
      static_cast<double>(core::ToMillis(step.latency_target));
  return 1 - IdleTail(step) / allowed;
}

// Learns from the tails in a report, and remembers what the utilisations would
// be without spare work next to them.
void SliceScheduler::LearnInterference(const Worker& worker) {
  const std::vector<Neighbour> neighbours = NeighboursOn(worker);
  for (Task* task : worker.tasks) {
    if (!IsServing(*task) || !IsState(*task, "running") || task->usage <= 0) {
      continue;
    }
    const StepSpec& step = task->job->StepOf(*task);
    double& idle =
        idle_tails_.try_emplace(step.image, task->usage).first->second;
    idle = std::min(idle, task->usage);
    const double observed =
        std::max(kLeastUtilisation, 1 - idle / task->usage);
    double& calm =
        calm_utilisations_.try_emplace(task->job->spec.id, observed)
            .first->second;
    if (!neighbours.empty()) {
      interference_.Learn(step.image, neighbours, observed / calm - 1,
                          kUtilisationNoise / calm);
    }
    const double cleared =
        observed / (1 + interference_.Raise(step.image, neighbours));
    calm += (neighbours.empty() ? kCalmRate : kDisturbedRate) *
            (cleared - calm);
    task->calm_utilisation +=
        (task->calm_utilisation == 0 ? 1 : kTaskRate) *
        (cleared - task->calm_utilisation);
  }
}

// How much more the neighbours may raise the utilisation of the task that has
// the least room, as a share of its own.
double SliceScheduler::RoomFor(const Task& serving,
                               std::span<const Neighbour> neighbours) const {
  const StepSpec& step = serving.job->StepOf(serving);
  const double calm = std::max(kLeastUtilisation, serving.calm_utilisation);
  return AllowedUtilisation(step) / calm - 1 -
         interference_.CautiousRaise(step.image, neighbours);
}

double SliceScheduler::RoomOn(const Worker& worker,
                              const StepSpec& added) const {
  std::vector<Neighbour> neighbours = NeighboursOn(worker);
  neighbours.push_back(
      {.image = added.image,
       .share = static_cast<double>(added.need.cpu_millis) /
                static_cast<double>(worker.entry.capacity.cpu_millis)});
  double room = kMostRoom;
  for (const Task* task : worker.tasks) {
    if (IsServing(*task)) {
      room = std::min(room, RoomFor(*task, neighbours));
    }
  }
  return room;
}

bool SliceScheduler::TakesSpareWork(const Worker& worker,
                                    const StepSpec& step) const {
  if (SpareMillis(worker) <
      kLeastSpareShare * static_cast<double>(step.need.cpu_millis)) {
    return false;
  }
  return RoomOn(worker, step) >= 0;
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
  const bool alarm =
      std::ranges::any_of(worker.tasks, [](const Task* task) {
        return IsServing(*task) &&
               task->usage >
                   kAlarmTargetShare *
                       static_cast<double>(core::ToMillis(
                           task->job->StepOf(*task).latency_target));
      });
  const auto raise_by = [&](const Task& task) {
    const StepSpec& step = task.job->StepOf(task);
    const Neighbour full = {
        .image = step.image,
        .share = static_cast<double>(step.need.cpu_millis) /
                 static_cast<double>(worker.entry.capacity.cpu_millis)};
    double worst = 0;
    for (const Task* serving : worker.tasks) {
      if (IsServing(*serving)) {
        worst = std::max(worst, interference_.Raise(
                                    serving->job->StepOf(*serving).image,
                                    std::span(&full, 1)));
      }
    }
    return worst;
  };
  double room = kMostRoom;
  for (const Task* task : worker.tasks) {
    if (IsServing(*task)) {
      room = std::min(room, RoomFor(*task, {}));
    }
  }
  std::ranges::sort(spare, {}, [&](Task* task) { return raise_by(*task); });
  for (Task* task : spare) {
    const double full = raise_by(*task);
    double fraction = 1;
    if (full > kNegligibleRaise) {
      fraction = alarm ? 0 : std::clamp(room / full, 0.0, 1.0);
    }
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
