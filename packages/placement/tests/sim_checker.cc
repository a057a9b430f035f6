#include "sim_checker.h"

#include "core/log_line.h"

namespace hickoryusher::placement::sim {

void Checker::Add(core::TimePoint at,
                  std::string_view rule,
                  TaskAttempt attempt) {
  core::LogLine line("violation");
  line.Add("rule", rule)
      .Add("at_ms", core::ToMillis(at.time_since_epoch()))
      .Add("task", attempt.task.value())
      .Add("attempt", attempt.attempt);
  violations_.push_back(std::move(line).Take());
}

void Checker::Run(core::TimePoint at,
                  core::WorkerId worker,
                  TaskAttempt attempt) {
  auto& places = running_[attempt.task];
  places.insert({worker, attempt.attempt});
  if (places.size() > 1) {
    Add(at, "two_places", attempt);
  }
}

void Checker::Started(core::TimePoint at,
                      core::WorkerId worker,
                      TaskAttempt attempt,
                      std::uint32_t checkpoint_attempt,
                      const TaskRow& row) {
  Run(at, worker, attempt);
  if (!started_.insert(attempt).second) {
    Add(at, "attempt_started_twice", attempt);
  }
  if (row.attempt != attempt.attempt || row.worker != worker ||
      row.checkpoint_attempt != checkpoint_attempt) {
    Add(at, "start_without_claim", attempt);
  }
  if (checkpoint_attempt == 0) {
    return;
  }
  const TaskAttempt source{.task = attempt.task, .attempt = checkpoint_attempt};
  if (checkpoint_attempt + 1 != attempt.attempt) {
    Add(at, "checkpoint_not_of_previous_attempt", attempt);
  }
  const auto found = checkpoints_.find(source);
  if (found == checkpoints_.end() || !found->second) {
    Add(at, "checkpoint_not_whole", attempt);
  }
  if (!resumed_.insert(source).second) {
    Add(at, "resumed_twice", attempt);
  }
}

void Checker::Ended(core::WorkerId worker, TaskAttempt attempt) {
  running_[attempt.task].erase({worker, attempt.attempt});
}

void Checker::Resumed(core::TimePoint at,
                      core::WorkerId worker,
                      TaskAttempt attempt) {
  Run(at, worker, attempt);
}

void Checker::Checkpointed(TaskAttempt attempt, bool whole) {
  checkpoints_[attempt] = whole;
}

void Checker::Used(core::TimePoint at,
                   core::WorkerId worker,
                   const core::Resources& use,
                   const core::Resources& capacity) {
  if (!core::Fits(use, capacity)) {
    Add(at, "capacity", {.task = core::TaskId(worker.value())});
  }
}

void Checker::Unfinished(core::TaskId task, std::string_view state) {
  core::LogLine line("violation");
  line.Add("rule", "unfinished").Add("task", task.value()).Add("state", state);
  violations_.push_back(std::move(line).Take());
}

}  // namespace hickoryusher::placement::sim
