#include <algorithm>
#include <tuple>
#include <utility>

#include "slice_scheduler_p.h"

/// Task placement: selects the next tasks to start and their workers.
namespace hickoryusher::jobs {
namespace {

// Maximum number of ready groups, of each kind (long-running and short-lived),
// that one placement pass tries to place. Groups behind them wait for capacity
// anyway, and the limit keeps a pass under 1 ms.
constexpr std::size_t kGroupsPerPass = 100;

// Subtracted from the score of a worker where a best-effort task would take the
// whole headroom of a serving task. Another worker is preferred unless it has
// this many unused CPU millicores less.
constexpr double kHeadroomScoreMillis = 40000;

// Scores of workers for a serving task. Serving tasks share few workers, so
// that best-effort tasks run without limit on the others, and first with tasks
// of their own image, so that few images have to be borne at once.
constexpr double kIdleWorkerPenaltyMillis = 400000;
constexpr double kOtherImagePenaltyMillis = 60000;
constexpr double kSameImageScoreMillis = 60000;

constexpr double kFarDataPenaltyMillis = 16000;

struct Candidate {
  Job* job = nullptr;
  Group* group = nullptr;
  bool long_running = false;
  bool past_use = false;
  bool overdue = false;
  double remaining_work = 0;

  // Sort order: long-running tasks first, then jobs whose result is still of
  // use, then by priority, then the jobs with the least work left. Ordered by
  // objective, every job is late in an overload.
  auto Key() const {
    return std::tuple(!long_running, past_use, job->queue.priority,
                      remaining_work, job->objective,
                      std::string_view(job->spec.id), group->first);
  }

  // @returns true if this group cannot be placed either when @p other could not
  // be.
  bool NeedsNoLessThan(const Candidate& other) const {
    const StepSpec& step = job->StepOf(*group);
    const StepSpec& smaller = other.job->StepOf(*other.group);
    return step.long_running == smaller.long_running &&
           (other.overdue || !overdue) && smaller.max_per_worker == 0 &&
           smaller.required_label.empty() &&
           step.best_effort == smaller.best_effort &&
           (group->image == other.group->image || !step.best_effort) &&
           job->queue.service == other.job->queue.service &&
           Fits(smaller.need, step.need);
  }
};

}  // namespace

bool SliceScheduler::MayStart(const Task& task) const {
  return IsState(task, states_.ready) && !MayRunUnseen(task) &&
         !task.transferring && IsOwnerSince(task.free_since) &&
         !IsReadTooLate(*task.job);
}

bool SliceScheduler::IsReady(const Task& task) const {
  return MayStart(task) && now_ >= task.not_before;
}

// A group is idle if it has ready tasks and none of its tasks is on a worker.
void SliceScheduler::UpdateIdleSince(Job& job, Group& group) const {
  const auto tasks = job.TasksOf(group);
  const bool idle =
      std::ranges::any_of(
          tasks, [this](const Task& task) { return MayStart(task); }) &&
      std::ranges::none_of(
          tasks, [](const Task& task) { return task.worker.valid(); });
  group.idle_since =
      idle ? std::optional(group.idle_since.value_or(now_)) : std::nullopt;
}

void SliceScheduler::Place() {
  if (config_ == nullptr || !restored_) {
    return;
  }
  SettleTasks();
  std::vector<Candidate> candidates;
  jobs_.ForEach([&](Job& job) {
    if (job.halted) {
      return;
    }
    for (Group& group : job.groups) {
      const bool ready =
          group.unblocked &&
          std::ranges::any_of(job.TasksOf(group), [this](const Task& task) {
            return MayStart(task);
          });
      UpdateIdleSince(job, group);
      if (ready) {
        candidates.push_back({.job = &job,
                              .group = &group,
                              .long_running = job.StepOf(group).long_running,
                              .past_use = now_ > job.useless_after,
                              .overdue = IsOverdue(group),
                              .remaining_work = RemainingWork(job)});
      }
    }
  });
  std::ranges::sort(candidates, {}, &Candidate::Key);
  nominated_tasks_.clear();
  for (const auto& [id, nomination] : nominations_) {
    nominated_tasks_.insert(nomination.task);
  }
  // Long-running groups have a limit of their own: they sort first and may lack
  // room for a long time, which would use up the limit of all other groups.
  std::size_t tries = 0;
  std::size_t long_running_tries = 0;
  std::vector<const Candidate*> unplaced;
  for (const Candidate& candidate : candidates) {
    Job& job = *candidate.job;
    Group& group = *candidate.group;
    const bool nominated = std::ranges::any_of(
        job.TasksOf(group),
        [this](const Task& task) { return HasNominatedWorker(task); });
    const auto needs_no_less = [&](const Candidate* other) {
      return candidate.NeedsNoLessThan(*other);
    };
    if (!nominated && std::ranges::any_of(unplaced, needs_no_less)) {
      if (candidate.long_running) {
        job.unplaced_since = job.unplaced_since.value_or(now_);
      }
      continue;
    }
    if (++(candidate.long_running ? long_running_tries : tries) >
        kGroupsPerPass) {
      continue;
    }
    if (job.StepOf(group).gang) {
      PlaceGang(job, group);
    } else if (!PlaceGroup(job, group)) {
      unplaced.push_back(&candidate);
    }
  }
  const auto longest = std::ranges::min_element(
      candidates, {}, [this](const Candidate& candidate) {
        return candidate.group->idle_since.value_or(now_);
      });
  if (longest != candidates.end()) {
    LogWait(*longest->job, *longest->group);
  }
}

bool SliceScheduler::HasNominatedWorker(const Task& task) const {
  return nominated_tasks_.contains(&task);
}

// @returns false if there is no room for one of the tasks.
bool SliceScheduler::PlaceGroup(Job& job, Group& group) {
  const StepSpec& step = job.StepOf(group);
  bool room = true;
  for (Task& task : job.TasksOf(group)) {
    if (!MayStart(task)) {
      continue;
    }
    if (now_ < task.not_before) {
      placement_due_ = true;
      continue;
    }
    if (!room && !HasNominatedWorker(task)) {
      continue;
    }
    Worker* worker = ChooseWorker(job, group, task);
    if (worker == nullptr) {
      if (WaitsForLateStart(task)) {
        continue;  // There may be room for the others.
      }
      if (!step.long_running) {
        return false;
      }
      if (!NominateWorker(task) && !(MaySearch(job) && MakeRoom(task))) {
        job.unplaced_since = job.unplaced_since.value_or(now_);
        room = false;
      }
      continue;
    }
    task.worker = worker->id;
    task.oversubscribed = Oversubscribes(*worker, group, step);
    group.idle_since.reset();
    Dispatch(task, "place");
    DropNominations(task);
  }
  return room;
}

// Starts all members of a gang together, or none of them. To check that all of
// them fit, capacity is reserved for each in turn and released again. Started
// members hold their capacity while they wait for the others.
void SliceScheduler::PlaceGang(Job& job, Group& group) {
  const auto members = job.TasksOf(group);
  if (!std::ranges::all_of(members,
                           [this](const Task& t) { return IsReady(t); })) {
    return;
  }
  std::vector<Worker*> chosen;
  for (Task& task : members) {
    Worker* worker = ChooseWorker(job, group, task);
    if (worker == nullptr) {
      break;
    }
    worker->Reserve(job.StepOf(group));
    task.worker = worker->id;
    chosen.push_back(worker);
  }
  const bool complete = chosen.size() == members.size();
  std::uint32_t starts = 0;
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    chosen[i]->Release(job.StepOf(group));
    Task& member = members[static_cast<std::ptrdiff_t>(i)];
    starts = std::max(starts, member.starts);
    if (!complete) {
      member.worker = core::WorkerId();
    }
  }
  if (!complete) {
    return;
  }
  for (Task& task : members) {
    task.starts = starts;  // All members of a run share one start number.
    Dispatch(task, "place");
  }
}

// @returns the first placement constraint, other than free capacity, that is
// not met.
SliceScheduler::Obstacle SliceScheduler::FindMismatch(
    const Worker& worker,
    const Job& job,
    const Group& group) const {
  const StepSpec& step = job.StepOf(group);
  if (IsEvacuated()) {
    return Obstacle::kEvacuated;
  }
  if (!IsUsable(worker)) {
    return Obstacle::kNotUsable;
  }
  if (MayRunPastTerm(worker)) {
    return Obstacle::kOutlivesTerm;
  }
  if (worker.entry.service != job.queue.service) {
    return Obstacle::kOtherService;
  }
  if (!step.required_label.empty() && !worker.HasLabel(step.required_label)) {
    return Obstacle::kNoLabel;
  }
  if (step.max_per_worker == 0) {
    return Obstacle::kNone;
  }
  return CountOfStep(worker, job, group) < step.max_per_worker
             ? Obstacle::kNone
             : Obstacle::kSpread;
}

bool SliceScheduler::IsFeasible(const Worker& worker,
                                const Job& job,
                                const Group& group) const {
  return FindMismatch(worker, job, group) == Obstacle::kNone;
}

SliceScheduler::Obstacle SliceScheduler::FindObstacle(Worker& worker,
                                                      const Job& job,
                                                      const Group& group,
                                                      const Task& task) const {
  const StepSpec& step = job.StepOf(group);
  const core::Resources need = Reservation(step);
  if (IsEvacuated()) {
    return Obstacle::kEvacuated;
  }
  if (!Fits(need, worker.free())) {
    return Obstacle::kNoRoom;
  }
  const Obstacle mismatch = FindMismatch(worker, job, group);
  if (mismatch != Obstacle::kNone) {
    return mismatch;
  }
  if (worker.id != task.lost_start_on && WaitsForLateStart(task)) {
    return Obstacle::kLateStartElsewhere;
  }
  if (IsNominated(worker, task, need)) {
    return Obstacle::kNominatedForOther;
  }
  return step.best_effort ? FindBestEffortObstacle(worker, group, step)
                          : Obstacle::kNone;
}

Worker* SliceScheduler::ChooseWorker(const Job& job,
                                     const Group& group,
                                     const Task& task) {
  const StepSpec& step = job.StepOf(group);
  if (task.lost_start_on.valid()) {
    Worker& worker = workers_.Get(task.lost_start_on);
    if (FindObstacle(worker, job, group, task) == Obstacle::kNone) {
      return &worker;
    }
  }
  Worker* best = nullptr;
  double best_score = 0;
  candidates_evaluated_ += workers_.all().size();
  for (const auto& worker : workers_.all()) {
    if (FindObstacle(*worker, job, group, task) != Obstacle::kNone) {
      continue;
    }
    double score = Score(*worker, group, step);
    if (worker->id == task.last_failed_on) {
      score -= kFarDataPenaltyMillis;
    }
    if (best == nullptr || score > best_score) {
      best = worker.get();
      best_score = score;
    }
  }
  return best;
}

double SliceScheduler::Score(Worker& worker,
                             const Group& group,
                             const StepSpec& step) const {
  const double far = !step.data_rack.empty() && !worker.HasLabel(step.data_rack)
                         ? kFarDataPenaltyMillis
                         : 0;
  if (step.best_effort) {
    return worker.unused_millis - far -
           kHeadroomScoreMillis * HeadroomShareOn(worker, group.image, step);
  }
  if (step.latency_target > core::Duration()) {
    return ServingScore(worker, group.image) - far;
  }
  return static_cast<double>(worker.free().cpu_millis -
                             worker.best_effort_demand) -
         far;
}

// Prefers the worker with the least free CPU.
double SliceScheduler::ServingScore(Worker& worker, ImageId image) const {
  return (ServesImage(worker, image) ? kSameImageScoreMillis : 0) -
         (Serves(worker) ? 0 : kIdleWorkerPenaltyMillis) -
         kOtherImagePenaltyMillis * OtherServingImages(worker, image) -
         static_cast<double>(worker.free().cpu_millis);
}

}  // namespace hickoryusher::jobs
