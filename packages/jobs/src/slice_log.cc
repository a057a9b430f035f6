#include <algorithm>
#include <string>
#include <utility>

#include "slice_scheduler_p.h"

/// Log lines about the lives of workers, late starts, and changes of the owner.
namespace hickoryusher::jobs {
namespace {

// Workers or late starts that are listed one by one at a change of the owner.
constexpr std::size_t kMaxListed = 20;

// Time in which workers that can be reached report to a new owner.
constexpr core::Duration kReportTime = std::chrono::milliseconds(1000);

}  // namespace

// Adds what tells two lives of a worker apart, and two owners of the slice.
core::LogLine& SliceScheduler::AddLife(core::LogLine& line,
                                       const Worker& worker) const {
  return line.Add("born", worker.born_unix_ms)
      .Add("generation", worker.generation)
      .Add("slice", options_.slice.name)
      .Add("epoch", options_.epoch);
}

// Begins a line about a late start.
core::LogLine SliceScheduler::LineOf(std::string_view event,
                                     core::LogLevel level,
                                     const Worker& worker,
                                     const Worker::LateStart& start) {
  const Task* task = FindTask(start.job, start.task);
  core::LogLine line(event, level);
  if (task != nullptr) {
    line.Add("task", ToText(task->job->AddressOf(*task)));
  } else {
    line.Add("job", start.job).Add("task", start.task);
  }
  line.Add("run", start.run).Add("worker", worker.entry.id);
  AddLife(line, worker);
  return line;
}

// Logs what this owner knows of its predecessor.
void SliceScheduler::LogRestored() {
  const auto roster = std::ranges::count_if(
      workers_.all(), [](const auto& worker) { return worker->in_roster; });
  options_.log(
      core::LogLine("slice_restored")
          .Add("slice", options_.slice.name)
          .Add("epoch", options_.epoch)
          .Add("incarnation", options_.incarnation)
          .Add("predecessor", options_.predecessor)
          .Add("predecessor_incarnation", options_.predecessor_incarnation)
          .Add("predecessor_ended", options_.predecessor_ended)
          .Add("handed_over", handed_over_workers_.has_value())
          .Add("jobs", jobs_.size())
          .Add("workers", workers_.all().size())
          .Add("roster", roster)
          .Add("predecessor_lease_left_ms",
               core::ToMillis(
                   PredecessorLeaseEnd(options_.limits.longest_lease) - now_))
          .Add("usual_lease_left_ms",
               core::ToMillis(PredecessorUsualLeaseEnd() - now_)));
  unheard_log_due_ = now_ + kReportTime;
}

// Returns why this owner has not heard of the worker; empty if it has.
std::string_view SliceScheduler::ReasonUnheard(const Worker& worker) const {
  const std::string_view contact =
      charts_.worker_contact.StateName(worker.contact);
  if (contact == "live" || contact == "silent") {
    return {};
  }
  if (!worker.in_roster) {
    return "not_in_roster";
  }
  if (contact == "lapsed") {
    return "lapsed";
  }
  return contact == "unreached" ? "unanswered" : "not_reported";
}

// Logs once after a takeover the workers that this owner has not heard of:
// those that tasks wait for, and those that it takes for idle.
void SliceScheduler::LogUnheard() {
  if (now_ < unheard_log_due_) {
    return;
  }
  unheard_log_due_ = core::TimePoint::max();
  const auto total = std::ranges::count_if(
      workers_.all(),
      [this](const auto& worker) { return !ReasonUnheard(*worker).empty(); });
  std::size_t listed = 0;
  for (const auto& worker : workers_.all()) {
    const std::string_view reason = ReasonUnheard(*worker);
    if (reason.empty() || listed++ >= kMaxListed) {
      continue;
    }
    options_.log(AddLife(
        core::LogLine("worker_unheard", core::LogLevel::kWarning)
            .Add("worker", worker->entry.id)
            .Add("reason", reason)
            .Add("listed", worker->listed)
            .Add("leases_closed", worker->leases_closed)
            .Add("lease_left_ms", core::ToMillis(LeaseEnd(*worker) - now_))
            .Add("total", total),
        *worker));
  }
}

void SliceScheduler::LogLoss(std::string_view cause, core::TimePoint now) {
  std::size_t late_starts = 0;
  std::size_t tasks = 0;
  for (const auto& worker : workers_.all()) {
    late_starts += worker->late_starts.size();
    tasks += worker->tasks.size();
  }
  const auto starts = std::ranges::count_if(calls_, [](const auto& call) {
    const auto* order = std::get_if<TaskCall>(&call.second);
    return order != nullptr && order->starts;
  });
  options_.log(core::LogLine("slice_lost", cause == "release"
                                               ? core::LogLevel::kInfo
                                               : core::LogLevel::kWarning)
                   .Add("slice", options_.slice.name)
                   .Add("epoch", options_.epoch)
                   .Add("incarnation", options_.incarnation)
                   .Add("cause", cause)
                   .Add("fenced", fenced_)
                   .Add("handed_over", hand_over_stored_)
                   .Add("term_left_ms", core::ToMillis(term_end_ - now))
                   .Add("tasks", tasks)
                   .Add("calls", calls_.size())
                   .Add("starts", starts)
                   .Add("late_starts", late_starts));
  std::size_t listed = 0;
  for (const auto& worker : workers_.all()) {
    for (const Worker::LateStart& start : worker->late_starts) {
      if (listed++ < kMaxListed) {
        options_.log(
            LineOf("late_start_left", core::LogLevel::kWarning, *worker, start)
                .Add("left_ms", core::ToMillis(start.until - now)));
      }
    }
  }
}

// Logs once that a start that was expected to come late was carried out.
void SliceScheduler::LogLateStartSeen(Worker& worker,
                                      const Task& task,
                                      RunNumber run) {
  const auto found = std::ranges::find_if(
      worker.late_starts, [&](const Worker::LateStart& start) {
        return start.run == run && start.task == task.number &&
               start.job == task.job->spec.id;
      });
  if (found == worker.late_starts.end() || std::exchange(found->seen, true)) {
    return;
  }
  if (const auto suppressed = late_start_lines_.Admit(now_)) {
    core::LogLine line =
        LineOf("late_start_seen", core::LogLevel::kWarning, worker, *found);
    if (task.run == run) {
      line.Add("sent_ms_ago", core::ToMillis(now_ - task.start_sent))
          .Add("copies", task.start_copies);
    }
    options_.log(line.Add("left_ms", core::ToMillis(found->until - now_))
                     .Add("suppressed", *suppressed));
  }
}

// Logs the late starts that can come no more.
void SliceScheduler::LogExpiredLateStarts(const Worker& worker,
                                          core::TimePoint now) {
  for (const Worker::LateStart& start : worker.late_starts) {
    if (start.until > now) {
      continue;
    }
    if (const auto suppressed = late_start_lines_.Admit(now_)) {
      options_.log(
          LineOf("late_start_expired", core::LogLevel::kInfo, worker, start)
              .Add("seen", start.seen)
              .Add("suppressed", *suppressed));
    }
  }
}

}  // namespace hickoryusher::jobs
