#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "slice_scheduler_p.h"

/// Limits best-effort tasks so that serving tasks on the same worker meet their
/// latency targets.
namespace hickoryusher::jobs {
namespace {

// Share of the latency target that the tail latency may reach when best-effort
// tasks are placed or their pace is set. The remainder absorbs load changes
// between two reports.
constexpr double kAllowedTargetShare = 0.75;

// If a serving task's tail latency exceeds this share of its target,
// best-effort tasks on its worker are paused: immediately those with more than
// a negligible raise, and all others after kAlarmDelay. A target may be missed
// for harm_ms, 4 s at present.
constexpr double kAlarmTargetShare = 1.0;
constexpr core::Duration kAlarmDelay = std::chrono::milliseconds(1200);

// Paces change in steps to limit the number of calls to workers.
constexpr std::uint32_t kPaceStep = 25;
constexpr std::uint32_t kFullPace = 100;

// Share of its CPU reservation that a serving task uses itself.
constexpr double kServingUse = 0.6;

// Smoothing factor of a job's baseline utilisation, its utilisation without
// neighbours, per report. Some tasks report every second; loads fluctuate with
// periods of 10 to 20 s.
constexpr double kBaselineSmoothing = 0.2;

// Standard deviation of a reported utilisation.
constexpr double kUtilisationNoise = 0.05;
constexpr double kMinUtilisation = 0.05;
constexpr double kInitialUtilisation = 0.5;  ///< Of a job without a report.

// A best-effort group with no running task is placed on a worker without
// headroom after this time. Callers notice work that has not run for 3 s, and a
// start takes up to 0.9 s if its first answer is lost.
constexpr core::Duration kMaxIdleTime = std::chrono::milliseconds(1500);

// Share of a worker's memory that must stay free after such a placement. The
// task runs slowly, and would hold memory that tasks at full pace need.
constexpr double kFreeMemoryShare = 0.5;

// Headroom of a worker without serving tasks.
constexpr double kMaxHeadroom = 10;

// Minimum headroom of a task that is near its target through its own load. A
// raise by this much moves its tail latency from 0.67 to 0.79 of the target if
// the target is four times the idle tail. Without a minimum, best-effort tasks
// that hardly interfere would be paused for no benefit.
constexpr double kMinHeadroom = 0.06;

// A raise by a single best-effort task up to this value does not justify
// slowing it.
constexpr double kNegligibleRaise = 0.01;

bool LeavesMemory(const Worker& worker, const StepSpec& step) {
  const core::Resources left = worker.free() - Reservation(step);
  return static_cast<double>(left.memory_bytes) >=
         kFreeMemoryShare *
             static_cast<double>(worker.entry.capacity.memory_bytes);
}

bool IsServing(const Task& task) {
  return task.job->StepOf(task).latency_target > core::Duration();
}

bool IsBestEffort(const Task& task) {
  return task.job->StepOf(task).best_effort;
}

double ShareOf(double cpu_millis, const Worker& worker) {
  return cpu_millis / static_cast<double>(std::max<std::int64_t>(
                          worker.entry.capacity.cpu_millis, 1));
}

ImageId ImageOf(const Task& task) {
  return task.job->groups[task.group].image;
}

double CpuDemandMillis(const Task& task) {
  return static_cast<double>(task.job->StepOf(task).need.cpu_millis);
}

}  // namespace

bool SliceScheduler::Serves(const Worker& worker) {
  return std::ranges::any_of(worker.tasks,
                             [](const Task* task) { return IsServing(*task); });
}

// Returns the load of the other tasks on the worker. Serving tasks count too,
// since they interfere with each other.
std::vector<Neighbour> SliceScheduler::NeighboursOf(
    const Task& task,
    const Worker& worker,
    bool with_best_effort) const {
  std::vector<Neighbour> neighbours;
  for (const Task* other : worker.tasks) {
    double cores = 0;
    if (other == &task) {
      continue;
    }
    if (IsServing(*other)) {
      cores = CpuDemandMillis(*other) * BaselineUtilisation(*other->job);
    } else if (IsBestEffort(*other) && with_best_effort) {
      cores = CpuDemandMillis(*other) * other->pace_percent / kFullPace;
    }
    if (cores > 0) {
      neighbours.push_back(
          {.image = ImageOf(*other), .share = ShareOf(cores, worker)});
    }
  }
  return neighbours;
}

void SliceScheduler::RefreshHeadrooms(Worker& worker) const {
  if (worker.headrooms_valid) {
    return;
  }
  worker.headrooms_valid = true;
  worker.rooms.clear();
  worker.unused_millis = static_cast<double>(worker.free().cpu_millis);
  for (const Task* task : worker.tasks) {
    if (IsServing(*task)) {
      worker.unused_millis += (1 - kServingUse) * CpuDemandMillis(*task);
      worker.rooms.push_back(
          {.image = ImageOf(*task),
           .room =
               HeadroomFor(*task, NeighboursOf(*task, worker,
                                               /*with_best_effort=*/true))});
    } else if (IsBestEffort(*task)) {
      worker.unused_millis -=
          CpuDemandMillis(*task) * task->pace_percent / kFullPace;
    }
  }
}

double SliceScheduler::BaselineUtilisation(const Job& job) const {
  const auto found = baseline_utilisations_.find(job.spec.id);
  return found == baseline_utilisations_.end() ? kInitialUtilisation
                                               : found->second;
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

// Updates the interference model from the reported tail latencies, and the
// baseline utilisations of the jobs.
void SliceScheduler::LearnInterference(const Worker& worker) {
  for (Task* task : worker.tasks) {
    if (!IsServing(*task) || !IsState(*task, states_.running) ||
        task->usage <= 0) {
      continue;
    }
    const StepSpec& step = task->job->StepOf(*task);
    const std::vector<Neighbour> neighbours =
        NeighboursOf(*task, worker, /*with_best_effort=*/true);
    double& idle =
        idle_tails_.try_emplace(step.image, task->usage).first->second;
    idle = std::min(idle, task->usage);
    const double observed = std::max(kMinUtilisation, 1 - idle / task->usage);
    double& baseline =
        baseline_utilisations_.try_emplace(task->job->spec.id, observed)
            .first->second;
    if (!neighbours.empty()) {
      interference_.Learn(ImageOf(*task), neighbours, observed / baseline - 1,
                          kUtilisationNoise / baseline);
    }
    const double adjusted =
        observed / (1 + interference_.Raise(ImageOf(*task), neighbours));
    baseline += kBaselineSmoothing * (adjusted - baseline);
  }
}

// Returns by how much the neighbours may still raise the utilisation of a
// serving task, as a share of its baseline utilisation.
double SliceScheduler::HeadroomFor(
    const Task& serving,
    std::span<const Neighbour> neighbours) const {
  const StepSpec& step = serving.job->StepOf(serving);
  const double baseline =
      std::max(kMinUtilisation, BaselineUtilisation(*serving.job));
  return AllowedUtilisation(step) / baseline - 1 -
         interference_.Raise(ImageOf(serving), neighbours);
}

// Returns the smallest headroom of the serving tasks on the worker after one
// more best-effort task is added.
double SliceScheduler::MinHeadroomOn(Worker& worker,
                                     ImageId image,
                                     const StepSpec& added) const {
  RefreshHeadrooms(worker);
  const Neighbour more = {
      .image = image,
      .share = ShareOf(static_cast<double>(added.need.cpu_millis), worker)};
  double headroom = kMaxHeadroom;
  for (const Worker::ServingHeadroom& serving : worker.rooms) {
    headroom = std::min(headroom,
                        serving.room - interference_.CautiousRaise(
                                           serving.image, std::span(&more, 1)));
  }
  return headroom;
}

// Counts the other serving images on the worker. Interference has to be
// tolerable for each of them.
int SliceScheduler::OtherServingImages(Worker& worker, ImageId image) const {
  RefreshHeadrooms(worker);
  std::vector<ImageId> images;
  for (const Worker::ServingHeadroom& serving : worker.rooms) {
    if (serving.image != image &&
        std::ranges::find(images, serving.image) == images.end()) {
      images.push_back(serving.image);
    }
  }
  return static_cast<int>(images.size());
}

SliceScheduler::Obstacle SliceScheduler::FindBestEffortObstacle(
    Worker& worker,
    const Group& group,
    const StepSpec& step) const {
  RefreshHeadrooms(worker);
  if (worker.over_target_since != core::TimePoint::max()) {
    return Obstacle::kOverTarget;
  }
  if (worker.unused_millis <
      kMinUnusedShare * static_cast<double>(step.need.cpu_millis)) {
    return Obstacle::kNoUnusedCpu;
  }
  if (!Oversubscribes(worker, group, step)) {
    return Obstacle::kNone;
  }
  // A task that starts without headroom is slowed immediately.
  const bool starts = IsOverdue(group) && LeavesMemory(worker, step) &&
                      !step.gang;  // Its members would wait for headroom.
  return starts ? Obstacle::kNone : Obstacle::kDisturbs;
}

bool SliceScheduler::Oversubscribes(Worker& worker,
                                    const Group& group,
                                    const StepSpec& step) const {
  return step.best_effort && MinHeadroomOn(worker, group.image, step) < 0;
}

bool SliceScheduler::IsOverdue(const Group& group) const {
  return group.idle_since && now_ >= *group.idle_since + kMaxIdleTime;
}

void SliceScheduler::UpdateOverTarget(Worker& worker) const {
  const bool over = std::ranges::any_of(worker.tasks, [](const Task* task) {
    return IsServing(*task) &&
           task->usage > kAlarmTargetShare *
                             static_cast<double>(core::ToMillis(
                                 task->job->StepOf(*task).latency_target));
  });
  worker.over_target_since =
      over ? std::min(worker.over_target_since, now_) : core::TimePoint::max();
}

void SliceScheduler::AdjustPace(Worker& worker) {
  LearnInterference(worker);
  UpdateOverTarget(worker);
  PaceBestEffort(worker);
}

// Assigns paces in ascending order of interference: tasks that interfere least
// run at full pace until the headroom is used up.
void SliceScheduler::PaceBestEffort(Worker& worker) {
  worker.headrooms_valid = false;
  std::vector<Task*> best_effort_tasks;
  std::ranges::copy_if(worker.tasks, std::back_inserter(best_effort_tasks),
                       [this](const Task* task) {
                         return IsBestEffort(*task) &&
                                IsState(*task, states_.running);
                       });
  if (best_effort_tasks.empty()) {
    return;
  }
  const bool alarm = worker.over_target_since <= now_;
  // A raise taken as negligible may be underestimated, or many such raises may
  // add up.
  const bool pause_all = worker.over_target_since <= now_ - kAlarmDelay;
  const auto raise_by = [&](const Task& task) {
    const Neighbour full = {.image = ImageOf(task),
                            .share = ShareOf(CpuDemandMillis(task), worker)};
    double worst = 0;
    for (const Task* serving : worker.tasks) {
      if (IsServing(*serving)) {
        worst = std::max(
            worst, interference_.Raise(ImageOf(*serving), std::span(&full, 1)));
      }
    }
    return worst;
  };
  double headroom = kMaxHeadroom;
  for (const Task* task : worker.tasks) {
    if (IsServing(*task)) {
      headroom = std::min(
          headroom,
          HeadroomFor(*task, NeighboursOf(*task, worker,
                                          /*with_best_effort=*/false)));
    }
  }
  headroom = std::max(headroom, kMinHeadroom);
  std::ranges::sort(best_effort_tasks, {},
                    [&](Task* task) { return raise_by(*task); });
  for (Task* task : best_effort_tasks) {
    const double full = raise_by(*task);
    double fraction = pause_all ? 0 : 1;
    if (full > kNegligibleRaise) {
      fraction = alarm ? 0 : std::clamp(headroom / full, 0.0, 1.0);
    }
    const auto percent =
        static_cast<std::uint32_t>(fraction * kFullPace / kPaceStep) *
        kPaceStep;
    headroom -= full * percent / kFullPace;
    SetPaceOf(worker, *task, percent);
  }
}

void SliceScheduler::SetPaceOf(Worker& worker,
                               Task& task,
                               std::uint32_t percent) {
  if (task.pace_percent == percent && !task.pace_unconfirmed) {
    return;
  }
  options_.log(core::LogLine("pace_changed")
                   .Add("task", ToText(task.job->AddressOf(task)))
                   .Add("worker", worker.entry.id)
                   .Add("from", task.pace_percent)
                   .Add("percent", percent));
  worker.headrooms_valid = false;
  task.pace_percent = percent;
  task.slowed_since = percent > kPaceStep ? core::TimePoint::max()
                                          : std::min(task.slowed_since, now_);
  task.pace_unconfirmed = false;
  const CallId call = ids_.Next();
  calls_[call] = PaceCall{.run = {.job = task.job->spec.id,
                                  .number = task.number,
                                  .run = task.run}};
  worker_commands_.push_back(jobs::SetPace{.call = call,
                                           .to = DestinationOf(worker),
                                           .epoch = options_.epoch,
                                           .task = task.job->AddressOf(task),
                                           .run = task.run,
                                           .percent = percent});
}

}  // namespace hickoryusher::jobs
