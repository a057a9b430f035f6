#include <algorithm>
#include <chrono>
#include <utility>

#include "core/overloaded.h"
#include "slice_manager_p.h"

namespace hickoryusher::entry {
namespace {

constexpr core::Duration kLoadRetry = std::chrono::seconds(1);
/// A job submitted through another entry is seen within this time.
constexpr core::Duration kListInterval = std::chrono::milliseconds(500);
constexpr core::Duration kCloseRetry = std::chrono::seconds(2);

std::string_view ToString(placement::Outcome outcome) {
  switch (outcome) {
    case placement::Outcome::kDone:
      return "done";
    case placement::Outcome::kFailed:
      return "failed";
    case placement::Outcome::kCancelled:
      return "cancelled";
  }
  return "done";
}

void Count(JobRecord& job, placement::Outcome outcome) {
  switch (outcome) {
    case placement::Outcome::kDone:
      ++job.done;
      break;
    case placement::Outcome::kFailed:
      ++job.failed;
      break;
    case placement::Outcome::kCancelled:
      ++job.stopped;
      break;
  }
}

placement::Outcome OutcomeOf(placement::TaskRow::State state) {
  switch (state) {
    case placement::TaskRow::State::kFailed:
      return placement::Outcome::kFailed;
    case placement::TaskRow::State::kCancelled:
      return placement::Outcome::kCancelled;
    default:
      return placement::Outcome::kDone;
  }
}

JobState FinalState(const JobRecord& job) {
  if (!job.reason.empty()) {
    return JobState::kRefused;
  }
  if (job.failed > 0) {
    return JobState::kFailed;
  }
  return job.stopped > 0 ? JobState::kCancelled : JobState::kDone;
}

}  // namespace

SliceManager::Term* SliceManager::FindTerm(TermKey key) {
  const auto found = terms_.find(key.slice);
  return found != terms_.end() && found->second.key == key ? &found->second
                                                           : nullptr;
}

SliceManager::Term* SliceManager::TermOfWorker(core::WorkerId worker) {
  const FleetWorker* known = fleet_.Find(worker);
  const auto found =
      known == nullptr ? terms_.end() : terms_.find(known->slice);
  return found == terms_.end() ? nullptr : &found->second;
}

void SliceManager::TickTerms(core::TimePoint now) {
  for (auto& [slice, term] : terms_) {
    if (leases_.IsExclusive(slice)) {
      owner_.SetExclusive(slice);
    }
    if (!term.scheduler) {
      if (now >= term.next_load) {
        term.next_load = now + kLoadRetry;
        store_.Load(term.key);
      }
      continue;
    }
    if (now >= term.next_list) {
      term.next_list = now + kListInterval;
      store_.ListOpenJobs(term.key);
    }
    for (const FleetWorker& worker : fleet_.workers()) {
      if (worker.slice == slice && workers_[worker.spec.worker].leaving) {
        RunScheduler(term, placement::WorkerPaused{worker.spec.worker}, now);
      }
    }
    placement::SetFleet fleet{.workers = fleet_.SpecsOf(slice)};
    std::erase_if(fleet.workers, [this](const placement::WorkerSpec& spec) {
      return workers_[spec.worker].gone;
    });
    RunScheduler(term, std::move(fleet), now);
    RunScheduler(term, placement::Tick{}, now);
    CloseJobs(term, now);
  }
}

void SliceManager::RunScheduler(Term& term,
                                const placement::Event& event,
                                core::TimePoint now) {
  if (!term.scheduler) {
    return;
  }
  std::vector<placement::Command> out;
  term.scheduler->Handle(event, now, out);
  Execute(term, out, now);
}

void SliceManager::Execute(Term& term,
                           std::span<const placement::Command> commands,
                           core::TimePoint now) {
  for (const placement::Command& command : commands) {
    std::visit(
        core::Overloaded{
            [&](const placement::WriteGroup& c) {
              store_.WriteTasks(term.key, c);
            },
            [&](const placement::ReadGroup& c) {
              store_.ReadTasks(term.key, c);
            },
            [&](const placement::StartTask& c) { SendStart(term, c); },
            [&](const placement::StopTask& c) { Send(c); },
            [&](const placement::CheckpointTask& c) { Send(c); },
            [&](const placement::AckEnded& c) { Send(c); },
            [&](const placement::ThrottleWorker& c) {
              workers_[c.worker].throttle = c;
            },
            [&](const placement::TaskFinished& c) { FinishTask(term, c, now); },
            [&](const placement::JobRefused& c) {
              term.jobs[c.job.value()].record.reason = std::string(c.reason);
              parts_.log(core::LogLine("job_refused")
                             .Add("job", c.job.value())
                             .Add("reason", c.reason));
            },
            [&](const placement::WorkerQuarantined& c) {
              parts_.log(core::LogLine("worker_quarantined")
                             .Add("worker", fleet_.Name(c.worker))
                             .Add("backoff_ms", core::ToMillis(c.backoff)));
            },
            [&](const placement::Placed& c) {
              parts_.log(core::LogLine("task_placed")
                             .Add("task", c.task.value())
                             .Add("attempt", c.attempt)
                             .Add("worker", fleet_.Name(c.worker))
                             .Add("cpu_millis", c.charge.cpu_millis)
                             .Add("memory_bytes", c.charge.memory_bytes));
            }},
        command);
  }
}

template <typename Order>
void SliceManager::Send(const Order& order) {
  workers_[order.worker].orders.emplace_back(order);
}

void SliceManager::SendStart(Term& term, const placement::StartTask& start) {
  const auto job = term.jobs.find(JobNumberOf(start.task));
  if (job == term.jobs.end()) {
    return;
  }
  StartOrder order{.start = start};
  const JobRequest& request = job->second.record.request;
  if (request.work_class == core::WorkClass::kBatch) {
    order.run_ms = request.expected_run_ms;
  }
  workers_[start.worker].orders.emplace_back(order);
}

placement::JobSpec SliceManager::SpecOf(const JobRecord& job) {
  const JobRequest& request = job.request;
  placement::JobSpec spec{
      .job = core::JobId(job.number),
      .team = teams_.Intern(request.team),
      .kind = kinds_.Intern(request.team + "/" + request.program),
      .work_class = request.work_class,
      .urgent = request.urgent,
      .declared = request.size,
      .first_task = TaskOf(job.number, 0),
      .tasks = request.tasks};
  if (request.deadline_ms > 0) {
    spec.deadline = parts_.now + std::chrono::milliseconds(
                                     job.submitted_unix_ms +
                                     request.deadline_ms - parts_.unix_ms);
  }
  return spec;
}

void SliceManager::Fill(const TermLoaded& loaded, core::TimePoint now) {
  Term* term = FindTerm(loaded.term);
  if (term == nullptr || term->scheduler) {
    return;
  }
  std::vector<chart::Problem> problems;
  term->scheduler = placement::Scheduler::Create(
      parts_.charts.task, {.epoch = loaded.term.epoch}, problems);
  for (const JobRecord& job : loaded.jobs) {
    term->jobs[job.number] = {.record = job, .left = job.request.tasks};
    RunScheduler(*term, placement::SubmitJob{SpecOf(job)}, now);
  }
  for (const placement::TaskRow& row : loaded.tasks) {
    const auto job = term->jobs.find(JobNumberOf(row.task));
    if (job == term->jobs.end()) {
      continue;
    }
    if (row.state != placement::TaskRow::State::kClaimed) {
      Count(job->second.record, OutcomeOf(row.state));
      if (--job->second.left == 0) {
        job->second.close_at = now;
      }
    }
    RunScheduler(
        *term,
        placement::RestoreTask{.job = core::JobId(job->first), .row = row},
        now);
  }
  FillWorkers(*term, now);
  for (auto& [number, job] : term->jobs) {
    Cancel(*term, job, now);
  }
  parts_.log(core::LogLine("slice_loaded")
                 .Add("slice", loaded.term.slice.value())
                 .Add("epoch", loaded.term.epoch.value())
                 .Add("jobs", loaded.jobs.size())
                 .Add("tasks", loaded.tasks.size()));
}

void SliceManager::FillWorkers(Term& term, core::TimePoint now) {
  for (const FleetWorker& worker : fleet_.workers()) {
    if (worker.slice != term.key.slice) {
      continue;
    }
    const core::WorkerId id = worker.spec.worker;
    const std::string_view state = leases_.StateName(id);
    if (state == "live" && !workers_[id].leaving) {
      RunScheduler(term, placement::WorkerUp{worker.spec}, now);
    } else if (state == "lost" || state == "gone") {
      RunScheduler(term, placement::WorkerTasksLost{id}, now);
    }
  }
  if (owner_.OwnershipAt(term.key.slice, now) == lease::Ownership::kHold) {
    RunScheduler(term, placement::SetHold{.hold = true}, now);
  }
}

void SliceManager::TakeJobs(Term& term,
                            std::span<const JobRecord> jobs,
                            core::TimePoint now) {
  if (!term.scheduler) {
    return;
  }
  for (const JobRecord& record : jobs) {
    const auto [found, added] = term.jobs.try_emplace(record.number);
    OpenJob& job = found->second;
    if (added) {
      job = {.record = record, .left = record.request.tasks};
      RunScheduler(term, placement::SubmitJob{SpecOf(record)}, now);
    }
    job.record.cancelled = job.record.cancelled || record.cancelled;
    Cancel(term, job, now);
  }
}

void SliceManager::Cancel(Term& term, OpenJob& job, core::TimePoint now) {
  if (job.record.cancelled && !std::exchange(job.cancel_sent, true)) {
    RunScheduler(term, placement::CancelJob{core::JobId(job.record.number)},
                 now);
  }
}

void SliceManager::FinishTask(Term& term,
                              const placement::TaskFinished& finished,
                              core::TimePoint now) {
  parts_.log(core::LogLine("task_finished")
                 .Add("task", finished.task.value())
                 .Add("outcome", ToString(finished.outcome)));
  OpenJob& job = term.jobs[finished.job.value()];
  Count(job.record, finished.outcome);
  if (--job.left == 0) {
    job.close_at = now;
  }
}

void SliceManager::CloseJobs(Term& term, core::TimePoint now) {
  for (auto& [number, job] : term.jobs) {
    if (job.closed || !job.close_at || now < *job.close_at) {
      continue;
    }
    job.close_at = now + kCloseRetry;
    job.record.state = FinalState(job.record);
    store_.Close(term.key, job.record);
  }
}

}  // namespace hickoryusher::entry
