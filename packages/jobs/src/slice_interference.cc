#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "slice_scheduler_p.h"

/// Limits best-effort tasks so that serving tasks on the same worker meet their
/// latency targets.
namespace hickoryusher::jobs {
namespace {

// A serving task whose tail exceeds this share of its target is over it. While
// one is, best-effort tasks on its worker are paused: after kAlarmDelay those
// with more than a negligible raise, and after kFullAlarmDelay all. A target
// may be missed for harm_ms, 4 s at present.
constexpr double kAlarmTargetShare = 1.0;
constexpr core::Duration kAlarmDelay = std::chrono::milliseconds(1200);
constexpr core::Duration kFullAlarmDelay = std::chrono::milliseconds(2000);

// A task at most at this pace counts as slowed.
constexpr std::uint32_t kSlowedPace = 30;

// A best-effort group with no running task is placed on a worker without
// headroom after this time. Callers notice work that has not run for 3 s, and a
// start takes up to 0.9 s if its first answer is lost.
constexpr core::Duration kMaxIdleTime = std::chrono::milliseconds(1500);

// Headroom of a worker without serving tasks.
constexpr double kMaxHeadroom = 10;

// Minimum headroom of a task that is near its target through its own load. A
// raise by this much moves its tail latency from 0.67 to 0.79 of the target if
// the target is four times the idle tail. Without a minimum, best-effort tasks
// that hardly interfere would be paused for no benefit.
constexpr double kMinHeadroom = 0.06;

// A task that takes at most this share of a headroom may start beside a serving
// task that is over its target: others cause that.
constexpr double kNegligibleShare = 0.2;

// A task that starts without headroom runs slowly and holds its memory for
// long. Room for another one stays for tasks at full pace.
bool HasRoomForTwo(const Worker& worker, const StepSpec& step) {
  return Fits(Reservation(step), worker.free() - Reservation(step));
}

}  // namespace

bool SliceScheduler::Serves(const Worker& worker) {
  return std::ranges::any_of(worker.tasks,
                             [](const Task* task) { return IsServing(*task); });
}

// Returns the load of the best-effort tasks on the worker.
std::vector<Neighbour> SliceScheduler::BestEffortLoad(const Worker& worker) {
  std::vector<Neighbour> load;
  for (const Task* task : worker.tasks) {
    if (IsBestEffort(*task) && task->pace_percent > 0) {
      load.push_back(
          {.image = ImageOf(*task), .share = PacedShare(*task, worker)});
    }
  }
  return load;
}

void SliceScheduler::RefreshHeadrooms(Worker& worker) const {
  if (worker.headrooms_valid) {
    return;
  }
  worker.headrooms_valid = true;
  worker.rooms.clear();
  worker.unused_millis = static_cast<double>(worker.free().cpu_millis);
  const std::vector<Neighbour> load = BestEffortLoad(worker);
  for (const Task* task : worker.tasks) {
    if (IsServing(*task)) {
      worker.unused_millis +=
          std::max(0.0, 1 - BaselineUtilisation(*task->job)) *
          CpuDemandMillis(*task);
      worker.rooms.push_back(
          {.image = ImageOf(*task),
           .room = HeadroomFor(*task, PlannedUtilisation(*task->job), load)});
    } else if (IsBestEffort(*task)) {
      worker.unused_millis -=
          CpuDemandMillis(*task) * task->pace_percent / kFullPacePercent;
    }
  }
}

// Returns by how much the neighbours may still raise the utilisation of a
// serving task, as a share of its baseline utilisation.
double SliceScheduler::HeadroomFor(
    const Task& serving,
    double utilisation,
    std::span<const Neighbour> neighbours) const {
  const StepSpec& step = serving.job->StepOf(serving);
  return AllowedUtilisation(step) / utilisation - 1 -
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

// Returns the largest share of a serving task's headroom that one more
// best-effort task would take.
double SliceScheduler::HeadroomShareOn(Worker& worker,
                                       ImageId image,
                                       const StepSpec& added) const {
  RefreshHeadrooms(worker);
  const Neighbour more = {
      .image = image,
      .share = ShareOf(static_cast<double>(added.need.cpu_millis), worker)};
  double largest = 0;
  for (const Worker::ServingHeadroom& serving : worker.rooms) {
    largest = std::max(largest, interference_.CautiousRaise(
                                    serving.image, std::span(&more, 1)) /
                                    std::max(serving.room, kMinHeadroom));
  }
  return std::min(largest, 10.0);
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

bool SliceScheduler::ServesImage(const Worker& worker, ImageId image) {
  return std::ranges::any_of(worker.tasks, [image](const Task* task) {
    return IsServing(*task) && ImageOf(*task) == image;
  });
}

SliceScheduler::Obstacle SliceScheduler::FindBestEffortObstacle(
    Worker& worker,
    const Group& group,
    const StepSpec& step) const {
  RefreshHeadrooms(worker);
  if (worker.over_target_since != core::TimePoint::max() &&
      HeadroomShareOn(worker, group.image, step) > kNegligibleShare) {
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
  const bool starts = IsOverdue(group) && HasRoomForTwo(worker, step) &&
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

bool SliceScheduler::IsOverTarget(const Task& serving) const {
  const double target = static_cast<double>(
      core::ToMillis(serving.job->StepOf(serving).latency_target));
  return serving.tail.recent_ms().value_or(serving.usage) >
         kAlarmTargetShare * target;
}

void SliceScheduler::UpdateOverTarget(Worker& worker) const {
  const bool over = std::ranges::any_of(worker.tasks, [this](const Task* task) {
    return IsServing(*task) && IsOverTarget(*task);
  });
  worker.over_target_since =
      over ? std::min(worker.over_target_since, now_) : core::TimePoint::max();
}

void SliceScheduler::AdjustPace(Worker& worker) {
  LearnInterference(worker);
  UpdateOverTarget(worker);
  PaceBestEffort(worker);
}

// Returns the raise that best-effort tasks beside a serving task may cause. A
// task that is over its target has more load, or heavier neighbours, than its
// job's baseline and the model tell.
double SliceScheduler::HeadroomBeside(const Task& serving,
                                      const Worker& worker) const {
  double headroom = HeadroomFor(serving, BaselineUtilisation(*serving.job), {});
  if (IsOverTarget(serving) && serving.tail.recent_ms()) {
    const StepSpec& step = serving.job->StepOf(serving);
    const double observed = 1 - IdleTail(step) / *serving.tail.recent_ms();
    const double raised =
        1 + interference_.Raise(ImageOf(serving), BestEffortLoad(worker));
    headroom =
        std::min(headroom, AllowedUtilisation(step) / observed * raised - 1);
  }
  return std::max(headroom, kMinHeadroom);
}

void SliceScheduler::PaceBestEffort(Worker& worker) {
  worker.headrooms_valid = false;
  std::vector<ImageId> images;
  std::vector<double> headrooms;
  for (const Task* task : worker.tasks) {
    if (IsServing(*task)) {
      images.push_back(ImageOf(*task));
      headrooms.push_back(HeadroomBeside(*task, worker));
    }
  }
  std::vector<Task*> paced;
  std::ranges::copy_if(
      worker.tasks, std::back_inserter(paced), [this](const Task* task) {
        return IsBestEffort(*task) && IsState(*task, states_.running);
      });
  std::vector<std::vector<double>> raises;
  std::ranges::transform(
      paced, std::back_inserter(raises), [&](const Task* task) {
        const Neighbour full = {
            .image = ImageOf(*task),
            .share = ShareOf(CpuDemandMillis(*task), worker)};
        std::vector<double> row;
        std::ranges::transform(
            images, std::back_inserter(row), [&](ImageId image) {
              return interference_.Raise(image, std::span(&full, 1));
            });
        return row;
      });
  const std::vector<std::uint32_t> paces =
      PlanPaces(headrooms, raises, AlarmOn(worker));
  const double headroom =
      headrooms.empty() ? kMaxHeadroom : std::ranges::min(headrooms);
  for (std::size_t i = 0; i < paced.size(); ++i) {
    const double raise = raises[i].empty() ? 0 : std::ranges::max(raises[i]);
    SetPaceOf(worker, *paced[i], paces[i],
              {.headroom = headroom, .raise = raise});
  }
}

PaceAlarm SliceScheduler::AlarmOn(const Worker& worker) const {
  if (worker.over_target_since <= now_ - kFullAlarmDelay) {
    return PaceAlarm::kPauseAll;
  }
  return worker.over_target_since <= now_ - kAlarmDelay
             ? PaceAlarm::kPauseDisturbing
             : PaceAlarm::kNone;
}

void SliceScheduler::SetPaceOf(Worker& worker,
                               Task& task,
                               std::uint32_t percent,
                               const PaceInputs& inputs) {
  if (task.pace_percent == percent && !task.pace_unconfirmed) {
    return;
  }
  options_.log(core::LogLine("pace_changed")
                   .Add("task", ToText(task.job->AddressOf(task)))
                   .Add("worker", worker.entry.id)
                   .Add("from", task.pace_percent)
                   .Add("percent", percent)
                   .Add("headroom", inputs.headroom)
                   .Add("raise", inputs.raise)
                   .Add("over_target_ms",
                        worker.over_target_since <= now_
                            ? core::ToMillis(now_ - worker.over_target_since)
                            : 0));
  worker.headrooms_valid = false;
  AccrueLoad(worker);
  task.pace_percent = percent;
  task.slowed_since = percent > kSlowedPace ? core::TimePoint::max()
                                            : std::min(task.slowed_since, now_);
  task.pace_unconfirmed = false;
  const CallId call = ids_.Next();
  calls_[call] = PaceCall{.run = {.job = task.job->spec.id,
                                  .number = task.number,
                                  .run = task.run}};
  worker_commands_.push_back(jobs::SetPace{.call = call,
                                           .to = DestinationOf(worker),
                                           .token = NextToken(worker),
                                           .task = task.job->AddressOf(task),
                                           .run = task.run,
                                           .percent = percent});
}

}  // namespace hickoryusher::jobs
