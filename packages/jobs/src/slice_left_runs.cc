#include <algorithm>
#include <optional>

#include "slice_scheduler_p.h"

/// Runs that go on although their task needs them no more: another run of it
/// has ended as done, or is the current one. Such a run is stopped. Until a
/// report shows that it is over, it keeps its room on the worker, and counts
/// for the limit on tasks of its step there.
namespace hickoryusher::jobs {

// Ends the task because one of its runs, or of its gang's, has ended as done.
void SliceScheduler::EndAsDone(Worker& worker,
                               Task& task,
                               const EndedRun& end) {
  const bool ended = task.worker == worker.id && task.run == end.run &&
                     task.job->AddressOf(task) == end.task;
  const core::WorkerId on = task.worker;
  std::optional<Worker::LeftRun> left;
  // A long-running task takes its other run back.
  if (on.valid() && !ended && !IsState(task, states_.placing) &&
      !task.job->StepOf(task).long_running) {
    left = LeftRunOf(task);
  }
  Dispatch(task, "ended_done", &end);
  if (left && !task.worker.valid()) {
    KeepLeftRun(workers_.Get(on), *left);
  }
}

// Returns the present run of a task that is about to need it no more.
Worker::LeftRun SliceScheduler::LeftRunOf(const Task& task) {
  return {.task = task.job->AddressOf(task),
          .run = task.run,
          .step = task.job->StepOf(task),
          .settled = task.settled,
          .ordered = task.ordered};
}

// Stops a run that its task needs no more. @param left is added once.
void SliceScheduler::KeepLeftRun(Worker& worker, const Worker::LeftRun& left) {
  const auto known =
      std::ranges::find_if(worker.left_runs, [&](const auto& other) {
        return other.run == left.run && other.task == left.task;
      });
  if (known == worker.left_runs.end()) {
    worker.left_runs.push_back(left);
    worker.Reserve(left.step);
  }
  StopUnknown(worker, {.task = left.task, .run = left.run});
}

// Handles the answer to the start of a run.
void SliceScheduler::SettleLeftRun(Worker& worker,
                                   const TaskAddress& task,
                                   RunNumber run) const {
  for (Worker::LeftRun& left : worker.left_runs) {
    if (left.run == run && left.task == task) {
      left.settled = now_;
    }
  }
}

// Frees the room of the runs that a report shows to be over; as IsMissing.
void SliceScheduler::DropLeftRuns(Worker& worker,
                                  const RenewalCall& call,
                                  const WorkerReport& report) {
  const auto over = std::ranges::stable_partition(
      worker.left_runs, [&](const Worker::LeftRun& left) {
        const bool runs =
            std::ranges::any_of(report.running, [&](const ActiveRun& run) {
              return run.run == left.run && run.task == left.task;
            });
        return runs ||
               (left.settled >= call.sent && left.ordered >= call.generation);
      });
  ReleaseLeftRuns(worker, over);
}

void SliceScheduler::ReleaseLeftRuns(Worker& worker,
                                     std::span<const Worker::LeftRun> over) {
  if (over.empty()) {
    return;
  }
  for (const Worker::LeftRun& left : over) {
    worker.Release(left.step);
  }
  worker.left_runs.resize(worker.left_runs.size() - over.size());
  placement_due_ = true;
}

// Returns how many tasks of the step and occurrence the worker has, with runs
// that are left or of a job that has not been read.
std::uint32_t SliceScheduler::CountOfStep(const Worker& worker,
                                          const Job& job,
                                          const Group& group) {
  const auto is_of_step = [&](const TaskAddress& task) {
    return task.occurrence == group.occurrence && task.step == group.step &&
           task.job == job.caller_id();
  };
  const auto tasks =
      std::ranges::count_if(worker.tasks, [&](const Task* other) {
        return is_of_step(other->job->AddressOf(*other));
      });
  // Members of a gang that is being placed are on no worker yet.
  const auto members =
      job.StepOf(group).gang
          ? std::ranges::count_if(job.TasksOf(group),
                                  [&](const Task& member) {
                                    return member.worker == worker.id &&
                                           std::ranges::find(worker.tasks,
                                                             &member) ==
                                               worker.tasks.end();
                                  })
          : 0;
  const auto left = std::ranges::count_if(worker.left_runs, is_of_step,
                                          &Worker::LeftRun::task);
  const auto unknown = std::ranges::count_if(
      worker.unknown_runs,
      [&](const auto& other) { return is_of_step(other.run.task); });
  return static_cast<std::uint32_t>(tasks + members + left + unknown);
}

}  // namespace hickoryusher::jobs
