#include <algorithm>
#include <utility>

#include "core/overloaded.h"
#include "slice_scheduler_p.h"

/// Handles the registry's entries and the reports of workers.
namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kSilentRetryPause = milliseconds(300);
constexpr core::Duration kLapsedRetryPause = milliseconds(2000);
// Delays the next renewal while ends are not stored yet: the worker would list
// them again immediately.
constexpr core::Duration kUnstoredEndPause = milliseconds(400);

// The store lists at most this many ended runs in one report.
constexpr std::size_t kEndsPerReport = 500;

// Returns whether the worker may have ends that the report does not list.
bool MayBePartial(const WorkerReport& report) {
  return report.ended.size() >= kEndsPerReport;
}

}  // namespace

chart::Bindings<SliceScheduler::ContactContext>
SliceScheduler::MakeContactBindings() {
  chart::Bindings<ContactContext> bindings;
  bindings
      .Action("lose_tasks",
              [](ContactContext& c) {
                const std::vector<Task*> tasks = c.worker.tasks;
                std::ranges::for_each(tasks, [&](Task* task) {
                  c.scheduler.LoseRun(c.worker, *task, c.event);
                });
              })
      .Action("reset_ends", [](ContactContext& c) {
        BeginGeneration(c.worker);
        c.worker.life = c.worker.generation;
        c.worker.life_since = c.scheduler.now_;
        c.scheduler.term_needed_since_ = c.scheduler.now_;
        c.worker.last_end = 0;
        c.worker.acknowledged = 0;
        c.worker.forgotten = 0;
        c.worker.unknown_runs.clear();
        c.scheduler.ReleaseLeftRuns(c.worker, c.worker.left_runs);
        c.worker.unknown_ends.clear();
        c.worker.unsafe_ends.clear();
      });
  return bindings;
}

void SliceScheduler::DispatchContact(Worker& worker, std::string_view event) {
  ContactContext context{*this, worker, event};
  const chart::StateId before = worker.contact;
  worker.contact =
      contact_chart_
          ->Dispatch(before, charts_.worker_contact.FindEvent(event), context)
          .state;
  if (worker.contact != before) {
    placement_due_ = true;
    if (IsRosterOutdated(worker)) {
      ScheduleRosterWrite();
    }
    const bool answers = event == "report" || event == "partial_report";
    options_.log(AddLife(
        core::LogLine("worker_contact", answers ? core::LogLevel::kInfo
                                                : core::LogLevel::kWarning)
            .Add("worker", worker.entry.id)
            .Add("cause", event)
            .Add("from", charts_.worker_contact.StateName(before))
            .Add("state", charts_.worker_contact.StateName(worker.contact))
            .Add("draining", worker.entry.draining)
            .Add("lease_left_ms", core::ToMillis(LeaseEnd(worker) - now_))
            .Add("term_left_ms", core::ToMillis(term_end_ - now_))
            .Add("tasks", worker.tasks.size()),
        worker));
  }
}

Worker& SliceScheduler::AddWorker(const WorkerEntry& entry) {
  Worker& worker = workers_.Add(entry, charts_.worker_contact.initial());
  worker.born_unix_ms = entry.born_unix_ms;
  worker.lease_end = PredecessorLeaseEnd(options_.limits.longest_lease);
  return worker;
}

void SliceScheduler::UpdateWorker(const WorkerEntry& entry,
                                  core::TimePoint now) {
  now_ = now;
  if (closing_ || entry.failure_domain != options_.slice.failure_domain) {
    return;
  }
  Worker* worker = workers_.Find(entry.id);
  if (worker == nullptr) {
    worker = &AddWorker(entry);
  } else {
    worker->entry = entry;
    worker->listed = true;
    if (!worker->in_roster) {
      ScheduleRosterWrite();
    }
    if (entry.born_unix_ms != 0 && worker->born_unix_ms != 0 &&
        entry.born_unix_ms > worker->born_unix_ms) {
      worker->born_unix_ms = entry.born_unix_ms;
      DispatchContact(*worker, "other_life");
    }
  }
  worker->next_renewal = std::min(worker->next_renewal, now);
  placement_due_ = true;
}

void SliceScheduler::RemoveWorker(std::string_view id, core::TimePoint now) {
  now_ = now;
  if (Worker* worker = workers_.Find(id)) {
    worker->listed = false;
    options_.log(AddLife(core::LogLine("worker_unlisted")
                             .Add("worker", id)
                             .Add("tasks", worker->tasks.size()),
                         *worker));
  }
}

void SliceScheduler::Handle(const WorkerEvent& event, core::TimePoint now) {
  now_ = now;
  if (closing_) {
    return;
  }
  const CallId call = std::visit([](const auto& e) { return e.call; }, event);
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return;
  }
  const PendingCall pending = std::move(found->second);
  calls_.erase(found);
  std::visit(
      core::Overloaded{[&](const TaskCall& c, const OrderAnswered& answer) {
                         HandleOrderAnswer(c, answer);
                       },
                       [&](const PaceCall& c, const OrderAnswered& answer) {
                         HandlePaceAnswer(c.run, answer);
                       },
                       [&](const RenewalCall& c, const LeaseAnswered& answer) {
                         HandleRenewal(c, answer);
                       },
                       [](const auto&, const auto&) {}},
      pending, event);
}

void SliceScheduler::HandleRenewal(const RenewalCall& call,
                                   const LeaseAnswered& answer) {
  Worker& worker = workers_.Get(call.worker);
  if (worker.renewal == answer.call) {
    worker.renewal.reset();
  }
  if (answer.report) {
    worker.answered = std::max(worker.answered, call.sent);
  } else if (call.sent < worker.answered) {
    return;  // A later one has been answered.
  }
  const bool fenced = answer.outcome == OrderOutcome::kFenced;
  if (fenced && call.generation == worker.generation) {
    fenced_ = true;
  } else if (fenced || call.generation < worker.life) {
    // A later order was first, or the answer may be that of an earlier life.
    worker.next_renewal = now_;
  } else if (answer.outcome == OrderOutcome::kOtherIncarnation) {
    EndLife(worker);
    worker.next_renewal = now_ + kLapsedRetryPause;
  } else if (answer.report) {
    HandleReport(call, *answer.report);
  } else {
    worker.next_renewal = now_ + kSilentRetryPause;
    if (answer.outcome == OrderOutcome::kUnanswered) {
      BeginGeneration(worker);
    }
    DispatchContact(worker, "no_answer");
  }
}

FencingToken SliceScheduler::NextToken(const Worker& worker) const {
  return TokenOf(options_.epoch, worker.generation);
}

// Lets the orders that have been sent to the worker count only until it gets
// one that is sent from now on. The next report is requested with that one, so
// that it shows all that the earlier orders have done, or will ever do in the
// worker's present life.
void SliceScheduler::BeginGeneration(Worker& worker) {
  ++worker.generation;
}

// Handles that the worker's address belongs to another one, which refuses the
// orders that may still come late.
void SliceScheduler::EndLife(Worker& worker) {
  DispatchContact(worker, "life_over");
  worker.late_starts.clear();
}

void SliceScheduler::HandleReport(const RenewalCall& call,
                                  const WorkerReport& report) {
  Worker& worker = workers_.Get(call.worker);
  if (report.born_unix_ms != 0 && worker.born_unix_ms != 0 &&
      report.born_unix_ms != worker.born_unix_ms) {
    worker.born_unix_ms = report.born_unix_ms;
    HandleClock(worker, report.clock_ms);
    // The life still accepts the orders that an earlier one has been sent. It
    // is asked again, with a token that turns them away.
    DispatchContact(worker, "other_life");
    worker.next_renewal = now_;
    return;
  }
  if (report.born_unix_ms != 0) {
    worker.born_unix_ms = report.born_unix_ms;
  }
  worker.forgotten = std::max(worker.forgotten, call.acknowledged);
  HandleClock(worker, report.clock_ms);
  // Orders on the clock of an earlier life count no more.
  worker.granted_until_ms =
      std::min(worker.granted_until_ms,
               report.clock_ms + core::ToMillis(options_.limits.longest_lease));
  if (!restored_ || config_ == nullptr) {
    // Without the restored jobs or the configuration, neither the tasks nor
    // their permitted failures are known. The report is requested again.
    worker.next_renewal = now_ + kTick;
    return;
  }
  std::ranges::for_each(report.ended,
                        [&](const EndedRun& end) { HandleEnd(worker, end); });
  ForgetUnlistedRuns(worker, report);
  std::ranges::for_each(report.running, [&](const ActiveRun& run) {
    HandleActive(worker, run, call, report);
  });
  DropMissing(worker, call, report);
  DropLeftRuns(worker, call, report);
  worker.runs_nothing = report.running.empty() && worker.tasks.empty();
  DispatchContact(worker, MayBePartial(report) ? "partial_report" : "report");
  AdjustPace(worker);
  const core::TimePoint requested = worker.next_renewal;
  worker.next_renewal = now_;
  if (worker.last_end > worker.acknowledged) {
    worker.next_renewal += kUnstoredEndPause;
  } else if (worker.tasks.empty() || !MayGrantLease(worker) ||
             (worker.last_end > worker.forgotten && !worker.AllRunsSeen())) {
    worker.next_renewal += kTick;
  }
  if (!worker.late_starts.empty()) {
    worker.next_renewal = std::max(worker.next_renewal, requested);
  }
}

void SliceScheduler::HandleActive(Worker& worker,
                                  const ActiveRun& run,
                                  const RenewalCall& call,
                                  const WorkerReport& report) {
  Task* task = FindReportedTask(run.task);
  if (task == nullptr) {
    HandleUnknownRun(worker, run);
    return;
  }
  AdoptRunOfOtherLife(worker, *task, run, call, report);
  HandleActive(worker, *task, run);
}

void SliceScheduler::HandleActive(Worker& worker,
                                  Task& task,
                                  const ActiveRun& run) {
  LogLateStartSeen(worker, task, run.run);
  ForgetLateStart(worker, task, run.run);
  const bool idle =
      IsState(task, states_.blocked) || IsState(task, states_.ready);
  if (idle) {
    // The run was started by an earlier owner, or late by another life of the
    // worker. The other members of a gang have a later run.
    const bool alone = task.job->StepOf(task).gang && run.run <= task.run;
    task.run = run.run;
    task.worker = worker.id;
    Dispatch(task, "adopt");
    if (task.job->halted || alone) {
      Dispatch(task, "halt");
    }
  }
  if (task.worker != worker.id || task.run != run.run) {
    KeepLeftRun(worker, {.task = run.task,
                         .run = run.run,
                         .step = task.job->StepOf(task),
                         .settled = now_});
    return;
  }
  if (IsState(task, states_.starting)) {
    Dispatch(task, "adopt");
  }
  NoteUsualLease(task);
  if (!run.checkpoint.empty()) {
    task.checkpoint = run.checkpoint;
  }
  if (run.percent > task.percent || run.percent == 100) {
    task.advanced = now_;
  }
  task.percent = run.percent;
  task.usage = run.usage;
}

// Handles a start that was meant for an earlier life of the worker, which
// another one has carried out, after the task was started again in the earlier
// one. The later run ended with that life, so that the earlier one goes on.
void SliceScheduler::AdoptRunOfOtherLife(const Worker& worker,
                                         Task& task,
                                         const ActiveRun& run,
                                         const RenewalCall& call,
                                         const WorkerReport& report) {
  if (task.worker != worker.id || !IsMissing(task, call, report)) {
    return;
  }
  task.run = run.run;
  if (std::exchange(task.usual_lease, false)) {
    MarkDirty(*task.job, /*urgent=*/false);
  }
  if (IsState(task, states_.stopping)) {
    SendStop(task);
  } else if (task.job->StepOf(task).gang) {
    // The other members have a later run.
    Dispatch(task, "halt");
  }
}

void SliceScheduler::StopUnknown(Worker& worker, const ActiveRun& run) {
  core::LogLine line("unknown_run_stopped", core::LogLevel::kWarning);
  line.Add("task", ToText(run.task))
      .Add("run", run.run)
      .Add("worker", worker.entry.id);
  AddLife(line, worker);
  if (const Task* task = jobs_.FindTask(run.task)) {
    line.Add("other_run", task->run)
        .Add("other_worker", task->worker.valid()
                                 ? workers_.Get(task->worker).entry.id
                                 : std::string());
  }
  options_.log(line);
  worker_commands_.push_back(StopRun{.call = ids_.Next(),
                                     .to = DestinationOf(worker),
                                     .token = NextToken(worker),
                                     .task = run.task,
                                     .run = run.run});
}

// Returns whether the report lists the run of a task on the worker neither as
// running nor as ended, although the last order for it was answered before the
// report was requested, or is turned away since.
bool SliceScheduler::IsMissing(const Task& task,
                               const RenewalCall& call,
                               const WorkerReport& report) const {
  // A task in `placing` has not been started yet.
  if (MayBePartial(report) || IsState(task, states_.placing)) {
    return false;
  }
  const TaskAddress address = task.job->AddressOf(task);
  const bool runs =
      std::ranges::any_of(report.running, [&](const ActiveRun& run) {
        return run.run == task.run && run.task == address;
      });
  return !runs && (task.settled < call.sent || task.ordered < call.generation);
}

// Returns whether other members of the gang wait for the task, whose start was
// lost. They would wait until they give up.
bool SliceScheduler::CompletesGang(const Task& task) const {
  Job& job = *task.job;
  const Group& group = job.groups[task.group];
  return job.StepOf(group).gang && IsState(task, states_.starting) &&
         std::ranges::any_of(job.TasksOf(group), [&](const Task& member) {
           return member.run == task.run && IsState(member, states_.running);
         });
}

// Treats the runs that are missing in a report as lost.
void SliceScheduler::DropMissing(Worker& worker,
                                 const RenewalCall& call,
                                 const WorkerReport& report) {
  const std::vector<Task*> tasks = worker.tasks;
  for (Task* task : tasks) {
    if (task->worker != worker.id || !IsMissing(*task, call, report)) {
      continue;
    }
    if (CompletesGang(*task) && IsUsable(worker) && !MayRunPastTerm(worker) &&
        !IsEvacuated()) {
      SendStart(*task);
    } else {
      LoseRun(worker, *task, "not_reported");
    }
  }
}

void SliceScheduler::LoseRun(Worker& worker,
                             Task& task,
                             std::string_view cause) {
  options_.log(AddLife(core::LogLine("run_lost", core::LogLevel::kWarning)
                           .Add("task", ToText(task.job->AddressOf(task)))
                           .Add("run", task.run)
                           .Add("worker", worker.entry.id)
                           .Add("seen", task.run_seen)
                           .Add("cause", cause)
                           .Add("ordered", task.ordered)
                           .Add("ends", worker.last_end)
                           .Add("acknowledged", worker.acknowledged),
                       worker));
  if (!task.run_seen) {
    task.lost_start_on = worker.id;
    if (!worker.LateStartOf(task)) {
      // The call has not been given up yet.
      ExpectLateStart(worker, task.job->spec.id, task.number, task.run);
    }
  }
  task.free_since = now_;
  term_needed_since_ = now_;
  Dispatch(task, "lost");
}

}  // namespace hickoryusher::jobs
