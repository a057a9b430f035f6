#ifndef JOBS_JOB_TABLE_H_
#define JOBS_JOB_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "chart/chart.h"
#include "core/ids.h"
#include "core/time.h"
#include "jobs/interference_model.h"
#include "jobs/numbered_window.h"
#include "jobs/progress.h"
#include "jobs/queues.h"
#include "jobs/tail_estimate.h"
#include "jobs/types.h"

namespace hickoryusher::jobs {

struct Job;

/// A worker on which an earlier owner may have started a task.
struct LastWorker {
  core::WorkerId worker;
  bool usual_lease = false;  ///< As in TaskPlace.
};

/// One task of a job. Its state is a state of the chart `task_run`.
struct Task {
  Job* job = nullptr;
  std::uint32_t number = 0;  ///< Within the job.
  std::uint32_t group = 0;   ///< Index into Job::groups.
  chart::StateId state;
  core::WorkerId worker;  ///< Valid while a run may be on it.
  RunNumber run = 0;
  std::uint32_t starts = 0;  ///< By this owner.
  /// How often the start of `run` was sent; 0 once a worker may refuse it
  /// because the run was stopped there or has ended.
  std::uint32_t start_copies = 0;
  FailedRuns failures;
  std::string checkpoint;
  std::uint32_t percent = 0;
  double usage = 0;                  ///< As in ActiveRun.
  TailEstimate tail;                 ///< Of a serving task's current run.
  std::uint32_t pace_percent = 100;  ///< As last ordered.
  bool pace_unconfirmed = false;  ///< The order may not have been carried out.
  core::TimePoint slowed_since = core::TimePoint::max();
  std::uint32_t slow_moves = 0;  ///< Moves because it was slowed.
  bool oversubscribed = false;   ///< Started where serving tasks leave no room.
  core::WorkerId last_failed_on;
  /// Of a long-running task that is to start: where it may run by the stored
  /// row, if that is one worker, and by the row in the write in flight.
  core::WorkerId stored_place;
  core::WorkerId written_place;
  core::TimePoint not_before;  ///< No order is sent before this.
  bool stop_unanswered = false;
  bool transferring = false;  ///< To another slice.
  bool run_seen = false;      ///< No start is on its way that nobody has seen.
  /// An earlier owner may have started it on any worker that has not reported.
  bool unlocated = false;
  /// The same for these workers alone.
  std::vector<LastWorker> last_workers;
  bool usual_lease = false;  ///< Of the current run; as in TaskPlace.
  /// Where a start was neither answered nor, by the next report, carried out.
  /// The task starts there again if it may; see WaitsForLateStart.
  core::WorkerId lost_start_on;
  /// Generation of the worker's last order for the run.
  Generation ordered = 0;
  /// When its last run was taken for over. It starts again once the term has
  /// been renewed since.
  core::TimePoint free_since;
  core::TimePoint start_sent;  ///< Of the last start by this owner.
  core::TimePoint started;     ///< When the current run became known.
  core::TimePoint advanced;    ///< When `percent` last grew.
  /// If a report was requested later than this and does not list the run, the
  /// run is not on the worker. max() while an order is unanswered.
  core::TimePoint settled = core::TimePoint::max();
};

/// The tasks of one step in one occurrence.
struct Group {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t first = 0;  ///< Number of its first task.
  std::uint32_t count = 0;
  std::uint32_t open = 0;  ///< Tasks that are not done.
  bool unblocked = false;
  /// Since when a task has been ready and none has been on a worker.
  std::optional<core::TimePoint> idle_since;
  ImageId image;
};

/// @returns the id of a part of the job, or part, @p id with the first task
/// @p task. It is unique, since a task that has left @p id does not return.
std::string PartId(std::string_view id, std::uint32_t task);

/// @returns a text that sorts before the ids of all parts of the job @p id, and
/// after all ids that sort before these.
std::string FirstPartId(std::string_view id);

/// @returns the id of the job of which @p id is the id, or that of a part.
std::string_view CallerId(std::string_view id);

/// A job, or the part of one that was transferred to this slice from the slice
/// that has the job itself.
struct Job {
  JobSpec spec;  ///< Its id is the key of the job's rows; see PartId.
  Queue queue;   ///< As last configured.
  JobPhase phase = JobPhase::kQueued;
  bool halted = false;    ///< No task may start any more.
  bool restored = false;  ///< An earlier owner may have started tasks.
  /// Version of the row that holds the job's progress. Each write is
  /// conditional on it, since an unanswered write may take effect seconds
  /// later.
  std::uint64_t progress_version = 0;
  std::int64_t accepted_unix_ms = 0;
  std::string stored_text;  ///< The row as intake or another slice wrote it.
  std::uint64_t stored_version = 0;
  /// The job's runs in slices that it has left have no higher numbers.
  RunNumber runs_above = 0;
  /// A transfer without an answer may still take effect, until the job's next
  /// write here succeeds.
  bool transfer_unsettled = false;
  /// A transfer was sent since the job's last write here succeeded.
  bool transfer_sent = false;
  core::TimePoint next_transfer;  ///< No transfer of the waiting job before.
  /// Since when no usable worker can run the waiting tasks.
  std::optional<core::TimePoint> unfit_since;
  /// Since when a long-running task has not been placed.
  std::optional<core::TimePoint> unplaced_since;
  /// When to search again for tasks that could be moved or stopped to make room
  /// for one of this job.
  core::TimePoint next_search;
  /// When to search again for another job that could be transferred to another
  /// slice instead.
  core::TimePoint next_swap;
  core::TimePoint known_since;    ///< When this owner learned of it.
  core::TimePoint objective;      ///< When the job should be completed.
  core::TimePoint useless_after;  ///< A later result is of no use.
  /// Some tasks belong to other slices, and `tasks` has all that are left here.
  bool is_part = false;
  /// An earlier owner has stored where the long-running tasks may run.
  bool has_places = false;
  /// Of the occurrences that are due and not done, in the order of their
  /// numbers: a job may have thousands that are due in weeks.
  NumberedWindow<Group> groups;
  NumberedWindow<Task> tasks;   ///< Of these groups.
  std::size_t fixed_bytes = 0;  ///< As of FixedBytesOf.

  const StepSpec& StepOf(const Group& group) const {
    return spec.steps[group.step];
  }
  const StepSpec& StepOf(const Task& task) const {
    return StepOf(groups[task.group]);
  }
  auto TasksOf(const Group& group) {
    return tasks.View(group.first, group.count);
  }
  auto TasksOf(const Group& group) const {
    return tasks.View(group.first, group.count);
  }
  TaskAddress AddressOf(const Task& task) const;

  std::uint32_t occurrence_count() const {
    return std::max(spec.repeat_count, 1U);
  }

  std::uint32_t tasks_per_occurrence() const;

  /// Number of tasks of all occurrences.
  std::uint32_t task_count() const {
    return tasks_per_occurrence() * occurrence_count();
  }
  std::uint32_t OccurrenceOf(std::uint32_t task) const;

  /// The occurrences of which `tasks` has the tasks begin and end here.
  std::uint32_t first_occurrence() const;
  std::uint32_t end_occurrence() const;

  /// @returns true if the job has no task, here or in another slice, that is
  /// not in `tasks`.
  bool has_all_tasks() const {
    return tasks.first_number() == 0 && tasks.end_number() == task_count();
  }

  /// @returns the id under which the caller submitted the job.
  std::string_view caller_id() const { return CallerId(spec.id); }

  /// @returns the task, or nullptr if it is not in `tasks`.
  Task* Find(const TaskAddress& address);

  /// @returns when occurrence @p occurrence is due, in Unix time.
  std::int64_t DueUnixMs(std::uint32_t occurrence) const;

  /// @param closed the states of tasks that need not be run here any more.
  Progress ToProgress(std::span<const chart::StateId> closed) const;
};

/// @returns true if the store says where the tasks of the step may run.
bool KeepsPlaces(const StepSpec& step);

/// @returns true if a run of one of the job's tasks may be on a worker.
bool HasRuns(const Job& job);

/// @returns the declared run time of the job's longest chain of steps.
core::Duration LongestChain(const JobSpec& spec);

/// @returns the declared run time of the longest chain of steps of @p job that
/// are not done, over all its occurrences.
core::Duration RemainingChain(const Job& job);

/// @returns the declared work of the tasks of @p job that are not done, in core
/// seconds.
double RemainingWork(const Job& job);

/// @returns about how much memory a job takes beside its tasks.
/// @param row_bytes size of the row that holds it.
std::size_t FixedBytesOf(const JobSpec& spec, std::size_t row_bytes);

/// @returns about how much memory the tasks of one occurrence take.
std::size_t OccurrenceBytesOf(const JobSpec& spec);

/// The open jobs of one slice.
class JobTable {
 public:
  /// @param initial state of the tasks of a new job.
  /// @param elsewhere state of tasks that belong to another slice.
  JobTable(chart::StateId initial, chart::StateId elsewhere)
      : initial_(initial), elsewhere_(elsewhere) {}

  /// Adds a job whose id is not in the table, without an occurrence.
  /// @param stored_text as in Job.
  Job& Add(JobSpec spec, std::string stored_text);

  /// Adds the tasks of the occurrence Job::end_occurrence.
  void AddOccurrence(Job& job);

  /// Removes the first occurrences of a job of which all tasks are in the state
  /// @p closed, and on no worker.
  void RemoveClosed(Job& job, chart::StateId closed);

  /// @returns the job, or nullptr.
  Job* Find(std::string_view id);

  /// @returns the task in the job or the part of it that it belongs to here, or
  /// nullptr.
  Task* FindTask(const TaskAddress& address);

  /// @returns the job with this id and its parts.
  std::vector<Job*> FindWithParts(std::string_view id);
  void Remove(std::string_view id);

  std::size_t size() const { return jobs_.size(); }

  /// About how much memory the jobs take.
  std::size_t bytes() const { return bytes_; }

  template <typename Function>
  void ForEach(Function function) {
    for (auto& [id, job] : jobs_) {
      function(*job);
    }
  }

 private:
  chart::StateId initial_;
  chart::StateId elsewhere_;
  std::size_t bytes_ = 0;
  std::map<std::string, std::unique_ptr<Job>, std::less<>> jobs_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_JOB_TABLE_H_
