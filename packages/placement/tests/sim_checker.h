#ifndef PLACEMENT_TESTS_SIM_CHECKER_H_
#define PLACEMENT_TESTS_SIM_CHECKER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lease/worker_guard.h"
#include "placement/types.h"

namespace hickoryusher::placement::sim {

using lease::TaskAttempt;

/// Examines the whole history of a run, on one clock that no process sees.
class Checker {
 public:
  /// @param row the task's row in the table at the time of the start.
  void Started(core::TimePoint at,
               core::WorkerId worker,
               TaskAttempt attempt,
               std::uint32_t checkpoint_attempt,
               const TaskRow& row);
  /// The attempt executes no more, for ever or while its VM is frozen.
  void Ended(core::WorkerId worker, TaskAttempt attempt);
  void Resumed(core::TimePoint at, core::WorkerId worker, TaskAttempt attempt);
  void Checkpointed(TaskAttempt attempt, bool whole);
  void Used(core::TimePoint at,
            core::WorkerId worker,
            const core::Resources& use,
            const core::Resources& capacity);
  void Unfinished(core::TaskId task, std::string_view state);

  const std::vector<std::string>& violations() const { return violations_; }
  int starts() const { return static_cast<int>(started_.size()); }
  int resumes() const { return static_cast<int>(resumed_.size()); }

 private:
  void Add(core::TimePoint at, std::string_view rule, TaskAttempt attempt);
  void Run(core::TimePoint at, core::WorkerId worker, TaskAttempt attempt);

  std::map<core::TaskId, std::set<std::pair<core::WorkerId, std::uint32_t>>>
      running_;
  std::set<TaskAttempt> started_;
  std::map<TaskAttempt, bool> checkpoints_;
  std::set<TaskAttempt> resumed_;  ///< By the attempt of the checkpoint.
  std::vector<std::string> violations_;
};

}  // namespace hickoryusher::placement::sim

#endif  // PLACEMENT_TESTS_SIM_CHECKER_H_
