#include <algorithm>

#include "slice_scheduler_p.h"

/// Starts that were neither answered nor seen carried out, and may still be.
namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// How long after it was sent an order without an answer may still be carried
// out. The platform says seconds.
constexpr core::Duration kLateStartTime = milliseconds(12'000);

}  // namespace

// The start may be the first order of a later life of the worker, which no
// token turns away. The roster says so to a successor.
void SliceScheduler::ExpectLateStart(Worker& worker,
                                     std::string_view job,
                                     std::uint32_t task,
                                     RunNumber run) {
  worker.ExpectLateStart(job, task, run, now_ + kLateStartTime);
  ScheduleRosterWrite();
}

// Returns whether the start of the run was sent once, and is the task's last.
bool SliceScheduler::IsOnlyCopy(const Task& task, RunNumber run) {
  return task.run == run && task.start_copies == 1;
}

// Handles that the start of the run was answered, or that the run is reported.
// Other copies of the start may still come late.
void SliceScheduler::ForgetLateStart(Worker& worker,
                                     const Task& task,
                                     RunNumber run) {
  if (IsOnlyCopy(task, run) &&
      worker.ForgetLateStart(task.job->spec.id, task.number, run)) {
    roster_due_ = true;  // With the next commit.
  }
}

// Gives up the starts whose answers this owner will not handle.
void SliceScheduler::ExpectPendingStarts() {
  for (const auto& [id, pending] : calls_) {
    const auto* call = std::get_if<TaskCall>(&pending);
    if (call != nullptr && call->starts) {
      ExpectLateStart(workers_.Get(call->worker), call->job, call->number,
                      call->run);
    }
  }
  roster_due_ |= std::ranges::any_of(workers_.all(), [](const auto& worker) {
    return !worker->late_starts.empty();
  });
}

// Returns up to @p limit starts that the worker may still carry out, for the
// roster.
std::vector<RosterLateStart> SliceScheduler::LateStartsOf(const Worker& worker,
                                                          std::size_t limit) {
  std::vector<RosterLateStart> starts;
  for (const Worker::LateStart& start : worker.late_starts) {
    if (starts.size() >= limit) {
      break;
    }
    const Task* task = FindTask(start.job, start.task);
    const bool last = task != nullptr && task->run == start.run;
    starts.push_back({.job = start.job,
                      .task = start.task,
                      .run = start.run,
                      .copies = last ? task->start_copies : 0,
                      .until_ms = store_clock_.known()
                                      ? store_clock_.LatestAt(start.until)
                                      : 0});
  }
  return starts;
}

void SliceScheduler::RestoreLateStarts(Worker& worker,
                                       const RosterEntry& entry,
                                       std::int64_t clock_ms) const {
  for (const RosterLateStart& start : entry.late_starts) {
    const bool known = start.until_ms != 0 && clock_ms != 0;
    // An owner that did not hand over may have sent it again since.
    const bool again = start.copies > 0 && !handed_over_workers_;
    worker.late_starts.push_back(
        {.job = start.job,
         .task = start.task,
         .run = start.run,
         .until = now_ + (known ? milliseconds(start.until_ms - clock_ms)
                                : kLateStartTime),
         .copies = start.copies + (again ? 1 : 0)});
  }
}

// Lets the tasks of a restored job wait for the starts that an earlier owner
// has given up.
void SliceScheduler::RestoreLateStarts(Job& job) const {
  for (const auto& worker : workers_.all()) {
    for (const Worker::LateStart& start : worker->late_starts) {
      if (start.job != job.spec.id || !job.tasks.Contains(start.task)) {
        continue;
      }
      Task& task = job.tasks[start.task];
      if (start.copies > 0 || !task.lost_start_on.valid()) {
        task.lost_start_on = worker->id;
      }
      if (start.copies > 0) {
        task.start_copies = start.copies;
        // The members of a gang get a new number together.
        task.run = job.StepOf(task).gang ? task.run : start.run;
      }
    }
  }
}

void SliceScheduler::NoteStartAnswer(const TaskCall& call,
                                     const OrderAnswered& answer,
                                     const Task* task) {
  Worker& worker = workers_.Get(call.worker);
  if (answer.outcome != OrderOutcome::kUnanswered) {
    if (task != nullptr) {
      ForgetLateStart(worker, *task, call.run);
    }
    return;
  }
  options_.log(
      AddLife(core::LogLine("start_unanswered", core::LogLevel::kWarning)
                  .Add("job", call.job)
                  .Add("task", call.number)
                  .Add("run", call.run)
                  .Add("worker", worker.entry.id)
                  .Add("call", answer.call.value())
                  .Add("ordered", call.generation),
              worker));
  if (task != nullptr && task->run_seen && IsOnlyCopy(*task, call.run)) {
    ForgetLateStart(worker, *task, call.run);
  } else {
    ExpectLateStart(worker, call.job, call.number, call.run);
  }
}

// Returns whether the task must not start on another worker: a late start there
// would run beside it. A long-running task may be down for 6 s only, and takes
// that risk once the lease is over.
bool SliceScheduler::WaitsForLateStart(const Task& task) const {
  return task.lost_start_on.valid() && !task.job->StepOf(task).long_running &&
         workers_.Get(task.lost_start_on).LateStartOf(task);
}

// Returns whether the task starts under the number of its last run, because
// copies of that start may come late on the same worker, beside the next one. A
// worker starts one run once. The members of a gang get a new number together.
bool SliceScheduler::RepeatsStart(const Task& task) const {
  return task.start_copies > 0 && task.worker == task.lost_start_on &&
         !task.job->StepOf(task).gang &&
         workers_.Get(task.worker).LateStartOf(task);
}

}  // namespace hickoryusher::jobs
