#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "slice_scheduler_p.h"

/// Holds or frees room for long-running tasks that cannot be placed: stops
/// short-lived tasks and moves smaller long-running tasks.
namespace hickoryusher::jobs {
namespace {

// Time that a long-running task waits for short-lived tasks on its nominated
// worker before they are stopped. Most end within 1 to 3 s; the long-running
// task must run again within 6 s of its last run, and a stop takes 200 ms.
constexpr core::Duration kPreemptionDelay = std::chrono::milliseconds(1000);

// Limits on searches for tasks to move; each search examines all long-running
// tasks of the slice. Repeating a search finds no more room until other tasks
// have ended or moved.
constexpr std::size_t kSearchesPerTick = 3;
constexpr core::Duration kSearchInterval = std::chrono::milliseconds(500);

std::int64_t CpuRoomOf(const Worker* worker) {
  return worker->long_running_room().cpu_millis;
}

}  // namespace

// @returns false if the last search for the job is less than kSearchInterval
// ago, or if the limit of searches in this tick is reached.
bool SliceScheduler::MaySearch(Job& job) {
  if (now_ >= search_tick_ + kTick) {
    search_tick_ = now_;
    searches_ = 0;
  }
  if (searches_ >= kSearchesPerTick || now_ < job.next_search) {
    return false;
  }
  ++searches_;
  job.next_search = now_ + kSearchInterval;
  return true;
}

// Nominates the feasible worker with the most free CPU among those that will
// have room for @p task once their short-lived tasks have ended. No other task
// that reserves CPU starts there, so that the room is not taken again.
// @returns false if there is no such worker.
bool SliceScheduler::NominateWorker(const Task& task) {
  const Job& job = *task.job;
  const Group& group = job.groups[task.group];
  const core::Resources need = Reservation(job.StepOf(group));
  const auto nomination =
      std::ranges::find_if(nominations_, [&](const auto& entry) {
        return entry.second.task == &task && now_ < entry.second.until;
      });
  if (nomination != nominations_.end() &&
      IsFeasible(workers_.Get(nomination->first), job, group)) {
    const Worker& worker = workers_.Get(nomination->first);
    // If the room beside the long-running tasks is too small, the nomination
    // depends on one of them leaving, which may not happen: let it expire.
    if (Fits(need, worker.long_running_room())) {
      nomination->second.until = now_ + kNominationTime;
      if (now_ >= nomination->second.since + kPreemptionDelay) {
        PreemptShortTasks(need, worker);
      }
    }
    return true;
  }
  Worker* best = nullptr;
  candidates_evaluated_ += workers_.all().size();
  for (const auto& worker : workers_.all()) {
    const bool feasible = IsFeasible(*worker, job, group) &&
                          !IsNominated(*worker, task, need) &&
                          Fits(need, worker->long_running_room());
    if (feasible && (best == nullptr ||
                     worker->free().cpu_millis > best->free().cpu_millis)) {
      best = worker.get();
    }
  }
  if (best != nullptr) {
    Nominate(*best, task);
  }
  return best != nullptr;
}

// Stops short-lived tasks until @p need will fit: first those that save their
// progress, then the most recently started, to lose the least work.
void SliceScheduler::PreemptShortTasks(const core::Resources& need,
                                       const Worker& worker) {
  core::Resources free = worker.free();
  std::vector<Task*> others;
  for (Task* other : worker.tasks) {
    const StepSpec& step = other->job->StepOf(*other);
    if (IsState(*other, states_.stopping)) {
      free += Reservation(step);
    } else if (IsState(*other, states_.running) && !step.long_running &&
               !step.gang) {
      others.push_back(other);
    }
  }
  std::ranges::sort(others, {}, [](const Task* other) {
    return std::tuple(!other->job->StepOf(*other).saves_progress,
                      -other->started.time_since_epoch());
  });
  for (Task* other : others) {
    if (Fits(need, free)) {
      return;
    }
    const core::Resources gained = Reservation(other->job->StepOf(*other));
    const bool helps =
        (free.cpu_millis < need.cpu_millis && gained.cpu_millis > 0) ||
        (free.memory_bytes < need.memory_bytes && gained.memory_bytes > 0) ||
        (free.accelerators < need.accelerators && gained.accelerators > 0);
    if (!helps) {
      continue;
    }
    free += gained;
    options_.log(core::LogLine("short_task_stopped")
                     .Add("task", ToText(other->job->AddressOf(*other)))
                     .Add("worker", worker.entry.id)
                     .Add("reason", "lasting_task_waits"));
    Dispatch(*other, "halt");
  }
}

void SliceScheduler::DropNominations(const Task& task) {
  std::erase_if(nominations_, [&task](const auto& entry) {
    return entry.second.task == &task;
  });
}

bool SliceScheduler::MayStop(const Task& task) const {
  const Job& job = *task.job;
  const StepSpec& step = job.StepOf(task);
  if (step.max_unavailable == 0) {
    return true;
  }
  const Group& group = job.groups[task.group];
  const auto away =
      std::ranges::count_if(job.TasksOf(group), [this](const Task& other) {
        return !IsState(other, states_.running) || other.percent < 100;
      });
  return away < std::int64_t{step.max_unavailable};
}

SliceScheduler::RoomIndex SliceScheduler::IndexRooms() {
  candidates_evaluated_ += workers_.all().size();
  RoomIndex rooms;
  for (const auto& worker : workers_.all()) {
    if (!nominations_.contains(worker->id) && IsUsable(*worker)) {
      rooms.push_back(worker.get());
    }
  }
  std::ranges::sort(rooms, {}, &CpuRoomOf);
  return rooms;
}

// @returns the feasible worker with the least CPU room beside its long-running
// tasks that still fits @p task, not counting short-lived tasks, which can be
// stopped; never @p from or a destination in @p taken.
Worker* SliceScheduler::FindRoomElsewhere(const Task& task,
                                          const Worker& from,
                                          const RoomIndex& rooms,
                                          std::span<const Move> taken) {
  const Job& job = *task.job;
  const Group& group = job.groups[task.group];
  const core::Resources need = Reservation(job.StepOf(group));
  const auto first =
      std::ranges::lower_bound(rooms, need.cpu_millis, {}, &CpuRoomOf);
  const auto found = std::find_if(first, rooms.end(), [&](Worker* worker) {
    ++candidates_evaluated_;
    return worker != &from && Fits(need, worker->long_running_room()) &&
           std::ranges::find(taken, worker, &Move::to) == taken.end() &&
           IsFeasible(*worker, job, group);
  });
  return found == rooms.end() ? nullptr : *found;
}

// @returns moves of one or two smaller long-running tasks off @p worker, after
// which @p task fits there; empty if there are no such moves.
std::vector<SliceScheduler::Move> SliceScheduler::FindMoves(
    const Task& task,
    const Worker& worker,
    const RoomIndex& rooms) {
  const core::Resources need = Reservation(task.job->StepOf(task));
  const core::Resources room = worker.long_running_room();
  const auto gained = [](const Task& other) {
    return Reservation(other.job->StepOf(other));
  };
  std::vector<Move> moves;
  for (Task* other : worker.tasks) {
    if (other->job == task.job || !other->job->StepOf(*other).long_running ||
        !IsState(*other, states_.running) ||
        gained(*other).cpu_millis >= need.cpu_millis) {
      continue;
    }
    Worker* to = FindRoomElsewhere(*other, worker, rooms, {});
    if (to != nullptr && MayStop(*other)) {
      moves.push_back({.task = other, .to = to});
    }
  }
  const auto one = std::ranges::find_if(moves, [&](const Move& move) {
    return Fits(need, room + gained(*move.task));
  });
  if (one != moves.end()) {
    return {*one};
  }
  for (auto first = moves.begin(); first != moves.end(); ++first) {
    for (auto second = std::next(first); second != moves.end(); ++second) {
      // Moving two tasks of one job could exceed its max_unavailable.
      if (first->task->job == second->task->job ||
          !Fits(need, room + gained(*first->task) + gained(*second->task))) {
        continue;
      }
      if (Worker* to = FindRoomElsewhere(*second->task, worker, rooms,
                                         std::span(&*first, 1))) {
        return {*first, {.task = second->task, .to = to}};
      }
    }
  }
  return {};
}

// Moves smaller long-running tasks off one worker, so that room scattered over
// several workers becomes available on that one for @p task.
// @returns false if no such moves exist.
bool SliceScheduler::MakeRoom(const Task& task) {
  if (!WritesSucceed()) {
    // The moved tasks could not start.
    return false;
  }
  const Job& job = *task.job;
  const RoomIndex rooms = IndexRooms();
  std::vector<Move> moves;
  Worker* chosen = nullptr;
  for (Worker* worker : rooms) {
    if (!IsFeasible(*worker, job, job.groups[task.group])) {
      continue;
    }
    std::vector<Move> found = FindMoves(task, *worker, rooms);
    if (!found.empty() && (moves.empty() || found.size() < moves.size())) {
      moves = std::move(found);
      chosen = worker;
    }
    if (moves.size() == 1) {
      break;
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  Nominate(*chosen, task);
  for (const Move& move : moves) {
    options_.log(
        core::LogLine("room_made")
            .Add("for", ToText(job.AddressOf(task)))
            .Add("moved", ToText(move.task->job->AddressOf(*move.task)))
            .Add("worker", chosen->entry.id)
            .Add("to", move.to->entry.id));
    // Prevents several tasks from being moved into the same room.
    Nominate(*move.to, *move.task);
    PreemptShortTasks(Reservation(move.task->job->StepOf(*move.task)),
                      *move.to);
    Dispatch(*move.task, "halt");
  }
  return true;
}

void SliceScheduler::Nominate(const Worker& worker, const Task& task) {
  nominations_[worker.id] = {.task = &task,
                             .need = Reservation(task.job->StepOf(task)),
                             .since = now_,
                             .until = now_ + kNominationTime};
}

// @returns true if the worker is nominated for another task and @p need would
// take capacity held for it. Best-effort tasks reserve no CPU, so they are
// checked against the held memory only.
bool SliceScheduler::IsNominated(const Worker& worker,
                                 const Task& task,
                                 const core::Resources& need) const {
  const auto nomination = nominations_.find(worker.id);
  if (nomination == nominations_.end() || nomination->second.task == &task ||
      now_ >= nomination->second.until) {
    return false;
  }
  const core::Resources left = worker.free() - need;
  return need.cpu_millis > 0 || need.accelerators > 0 ||
         left.memory_bytes < nomination->second.need.memory_bytes;
}

}  // namespace hickoryusher::jobs
