#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "slice_scheduler_p.h"

/// Which task starts next, and where.
namespace hickoryusher::jobs {
namespace {

// Ready groups that one pass looks at. Groups behind them wait for capacity
// anyway, and a pass stays under a millisecond.
constexpr std::size_t kGroupsPerPass = 100;

// Thousandths of a core that a worker has to have unused more than another
// one to be preferred although its serving tasks have no room.
constexpr double kRoomMillis = 20000;
// The same for each other image that serves on the worker: spare work finds a
// place more easily where it has to get on with one image only.
constexpr double kOtherImagePenaltyMillis = 30000;

constexpr double kFarDataPenaltyMillis = 16000;

struct Candidate {
  Job* job = nullptr;
  Group* group = nullptr;
  bool long_running = false;
  bool worthless = false;

  // Tasks that must stay up first, then jobs that can still be of use, by
  // priority and objective.
  auto Key() const {
    return std::tuple(!long_running, worthless, job->queue.priority,
                      job->objective, std::string_view(job->spec.id),
                      group->first);
  }
};

}  // namespace

bool SliceScheduler::IsReady(const Task& task) const {
  return IsState(task, "ready") && now_ >= task.not_before;
}

void SliceScheduler::Place() {
  if (config_ == nullptr || !restored_) {
    return;
  }
  const bool confirmed = AllConfirmed();
  kept_free_.clear();
  std::vector<Candidate> candidates;
  jobs_.ForEach([&](Job& job) {
    if (job.halted || (job.restored && !confirmed)) {
      return;
    }
    for (Group& group : job.groups) {
      const bool ready =
          group.unblocked &&
          std::ranges::any_of(job.TasksOf(group), [this](const Task& task) {
            return IsState(task, "ready");
          });
      if (ready) {
        candidates.push_back(
            {.job = &job,
             .group = &group,
             .long_running = job.StepOf(group).long_running,
             .worthless = now_ > job.worthless});
      }
    }
  });
  std::ranges::sort(candidates, {}, &Candidate::Key);
  if (candidates.size() > kGroupsPerPass) {
    candidates.resize(kGroupsPerPass);
  }
  for (const Candidate& candidate : candidates) {
    if (candidate.job->StepOf(*candidate.group).gang) {
      PlaceGang(*candidate.job, *candidate.group);
    } else {
      PlaceGroup(*candidate.job, *candidate.group);
    }
  }
}

void SliceScheduler::PlaceGroup(Job& job, Group& group) {
  for (Task& task : job.TasksOf(group)) {
    if (!IsState(task, "ready")) {
      continue;
    }
    if (now_ < task.not_before) {
      placement_due_ = true;
      continue;
    }
    Worker* worker = ChooseWorker(job, group, task);
    if (worker == nullptr) {
      if (job.StepOf(group).long_running) {
        KeepFree(job, group);
        continue;
      }
      return;
    }
    task.worker = worker->id;
    Dispatch(task, "place");
  }
}

// A gang waits, and holds capacity, until all of its members are present.
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
    starts = std::max(starts, members[i].starts);
    if (!complete) {
      members[i].worker = core::WorkerId();
    }
  }
  if (!complete) {
    return;
  }
  for (Task& task : members) {
    task.starts = starts;  // All members of one run have the same number.
    Dispatch(task, "place");
  }
}

// Nothing else that reserves processors goes to the worker with the most of
// them until a task that must stay up has found its place.
void SliceScheduler::KeepFree(const Job& job, const Group& group) {
  const StepSpec& step = job.StepOf(group);
  const Worker* best = nullptr;
  for (const auto& worker : workers_.all()) {
    const bool suits =
        MayUse(*worker) && worker->entry.service == job.queue.service &&
        !kept_free_.contains(worker->id) &&
        Fits(Reservation(step), worker->entry.capacity) &&
        (step.required_label.empty() || worker->HasLabel(step.required_label));
    if (suits && (best == nullptr ||
                  worker->free().cpu_millis > best->free().cpu_millis)) {
      best = worker.get();
    }
  }
  if (best != nullptr) {
    kept_free_.insert(best->id);
  }
}

Worker* SliceScheduler::ChooseWorker(const Job& job,
                                     const Group& group,
                                     const Task& task) {
  const StepSpec& step = job.StepOf(group);
  const core::Resources need = Reservation(step);
  const auto same_step = [&](const Worker& worker) {
    return std::ranges::count_if(worker.tasks, [&](const Task* other) {
      return other->job == &job && other->group == task.group;
    });
  };
  Worker* best = nullptr;
  double best_score = 0;
  for (const auto& worker : workers_.all()) {
    const bool fits =
        MayUse(*worker) && worker->entry.service == job.queue.service &&
        Fits(need, worker->free()) &&
        (step.required_label.empty() ||
         worker->HasLabel(step.required_label)) &&
        (step.max_per_worker == 0 ||
         same_step(*worker) < std::int64_t{step.max_per_worker});
    if (!fits || (step.uses_spare_cpu ? !TakesSpareWork(*worker, step)
                                      : !step.long_running &&
                                            kept_free_.contains(worker->id))) {
      continue;
    }
    double score = Score(*worker, step);
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

double SliceScheduler::Score(const Worker& worker,
                             const StepSpec& step) const {
  const double far = !step.data_rack.empty() && !worker.HasLabel(step.data_rack)
                         ? kFarDataPenaltyMillis
                         : 0;
  if (step.uses_spare_cpu) {
    return SpareMillis(worker) - far +
           kRoomMillis * std::min(RoomOn(worker, step), 1.0);
  }
  const double apart =
      step.latency_target > core::Duration()
          ? kOtherImagePenaltyMillis * OtherServingImages(worker, step)
          : 0;
  return static_cast<double>(worker.free().cpu_millis -
                             worker.spare_cpu_demand) -
         far - apart;
}

}  // namespace hickoryusher::jobs
