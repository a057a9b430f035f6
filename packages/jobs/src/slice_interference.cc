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
constexpr double kAllowedTargetShare = 0.75;

// Above this share of the target, spare work next to the task rests: at once
// what disturbs it by a raise that counts, and after a while all of it. A
// target may be missed for harm_ms, 4 s at present.
constexpr double kAlarmTargetShare = 1.0;
constexpr core::Duration kAlarmDelay = std::chrono::milliseconds(1200);

// Paces change in steps, since every change is a call to a worker.
constexpr std::uint32_t kPaceStep = 25;
constexpr std::uint32_t kFullPace = 100;

// Share of its reservation that a task that serves uses itself.
constexpr double kServingUse = 0.6;

// How fast a job's utilisation without neighbours follows the reports on its
// tasks, some of which come each second. Loads swing within 10 to 20 s.
constexpr double kBaselineSmoothing = 0.2;

// Standard deviation of a reported utilisation.
constexpr double kUtilisationNoise = 0.05;
constexpr double kMinUtilisation = 0.05;
constexpr double kInitialUtilisation = 0.5;  ///< Of a job without a report.

// A group of spare tasks of which none is at work takes a worker without room
// for it after this long. Callers miss work that is not at work for 3 s, and a
// start takes up to 0.9 s if its first answer is lost.
constexpr core::Duration kMaxIdleTime = std::chrono::milliseconds(1500);

// Share of a worker's memory that such a task leaves free. It works slowly, and
// would keep memory from tasks that can work at full pace.
constexpr double kFreeMemoryShare = 0.5;

// Room of a worker on which nothing serves.
constexpr double kMaxHeadroom = 10;

// Room of a task that is near its target by its own load: a raise by this much
// moves its tail from 0.67 to 0.79 of the target, if that is four times the
// idle tail. Without it, spare work that hardly disturbs waits for nothing.
constexpr double kMinHeadroom = 0.06;

// Raise by a single task that is not worth slowing it for.
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

// What works next to a task on its worker, except for the task itself. The load
// of tasks that serve disturbs others, too.
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

// Learns from the tails in a report, and remembers what the utilisations would
// be without spare work next to them.
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

// How much more the neighbours may raise the utilisation of the task that has
// the least room, as a share of its own.
double SliceScheduler::HeadroomFor(
    const Task& serving,
    std::span<const Neighbour> neighbours) const {
  const StepSpec& step = serving.job->StepOf(serving);
  const double baseline =
      std::max(kMinUtilisation, BaselineUtilisation(*serving.job));
  return AllowedUtilisation(step) / baseline - 1 -
         interference_.Raise(ImageOf(serving), neighbours);
}

// What is left of it with one more task of spare work.
double SliceScheduler::MinHeadroomOn(Worker& worker,
                                     ImageId image,
                                     const StepSpec& added) const {
  RefreshHeadrooms(worker);
  const Neighbour more = {
      .image = image,
      .share = ShareOf(static_cast<double>(added.need.cpu_millis), worker)};
  double room = kMaxHeadroom;
  for (const Worker::ServingHeadroom& serving : worker.rooms) {
    room =
        std::min(room, serving.room - interference_.CautiousRaise(
                                          serving.image, std::span(&more, 1)));
  }
  return room;
}

// Images that serve and are not on the worker yet would each have to get on
// with the spare work there.
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
  // What starts without room is slowed at once.
  const bool starts = IsOverdue(group) && LeavesMemory(worker, step) &&
                      !step.gang;  // Its members would have to wait for room.
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

// The least disturbing spare work keeps its full speed until the tails' room
// is used up.
void SliceScheduler::PaceBestEffort(Worker& worker) {
  worker.headrooms_valid = false;
  std::vector<Task*> spare;
  std::ranges::copy_if(
      worker.tasks, std::back_inserter(spare), [this](const Task* task) {
        return IsBestEffort(*task) && IsState(*task, states_.running);
      });
  if (spare.empty()) {
    return;
  }
  const bool alarm = worker.over_target_since <= now_;
  // What counts as negligible may be wrong, or too much of it may be there.
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
  double room = kMaxHeadroom;
  for (const Task* task : worker.tasks) {
    if (IsServing(*task)) {
      room = std::min(
          room, HeadroomFor(*task, NeighboursOf(*task, worker,
                                                /*with_best_effort=*/false)));
    }
  }
  room = std::max(room, kMinHeadroom);
  std::ranges::sort(spare, {}, [&](Task* task) { return raise_by(*task); });
  for (Task* task : spare) {
    const double full = raise_by(*task);
    double fraction = pause_all ? 0 : 1;
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
