#include <algorithm>
#include <utility>

#include "slice_scheduler_p.h"

/// The actions of the chart `task_run`.
namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// Delay after a refused start, in which the worker reports its free capacity.
// Also the delay before an unanswered stop is sent again.
constexpr core::Duration kOrderRetryDelay = milliseconds(150);

}  // namespace

chart::Bindings<SliceScheduler::TaskContext>
SliceScheduler::MakeTaskBindings() {
  using Context = TaskContext;
  chart::Bindings<Context> bindings;
  bindings
      .Guard(
          "restarts",
          [](const Context& c) { return c.job().StepOf(c.task).long_running; })
      .Guard("attempts_left",
             [](const Context& c) {
               return c.job().StepOf(c.task).long_running ||
                      c.task.failures.size() + 1 < c.job().queue.max_attempts;
             })
      .Guard("place_known",
             [](const Context& c) {
               return !KeepsPlaces(c.job().StepOf(c.task)) ||
                      c.task.stored_place == c.task.worker;
             })
      .Guard("may_start_there",
             [](const Context& c) { return c.scheduler.MayStartThere(c.task); })
      .Guard("job_halted", [](const Context& c) { return c.job().halted; });
  bindings
      .Action("reserve",
              [](Context& c) {
                Worker& worker = c.scheduler.workers_.Get(c.task.worker);
                worker.Reserve(c.job().StepOf(c.task));
                worker.tasks.push_back(&c.task);
              })
      .Action("release",
              [](Context& c) { c.scheduler.DetachFromWorker(c.task); })
      .Action("store_place",
              [](Context& c) {
                c.task.run_seen = true;
                c.task.usual_lease = false;
                c.scheduler.MarkDirty(c.job(), /*urgent=*/true);
              })
      .Action("send_start",
              [](Context& c) {
                if (!c.scheduler.RepeatsStart(c.task)) {
                  ++c.task.starts;
                  c.task.run =
                      c.job().runs_above +
                      (c.scheduler.options_.epoch - 1) * kRunsPerEpoch +
                      c.task.starts;
                  c.task.start_copies = 0;
                }
                c.task.percent = 0;
                c.task.run_seen = false;
                c.task.usual_lease = false;
                c.task.pace_percent = 100;
                c.task.pace_unconfirmed = false;
                c.task.slowed_since = core::TimePoint::max();
                c.task.tail.Reset();
                c.scheduler.SendStart(c.task);
              })
      .Action(
          "begin_generation",
          [](Context& c) {
            c.scheduler.TurnAwayOrders(c.scheduler.workers_.Get(c.task.worker));
          })
      .Action("send_stop", [](Context& c) { c.scheduler.SendStop(c.task); })
      .Action("note_started",
              [](Context& c) { c.scheduler.MarkRunning(c.task); })
      .Action("note_adopted",
              [](Context& c) {
                Worker& worker = c.scheduler.workers_.Get(c.task.worker);
                worker.Reserve(c.job().StepOf(c.task));
                worker.tasks.push_back(&c.task);
                // An earlier owner starts a task again only after it has
                // learned that the run before is over.
                c.scheduler.AdoptLease(c.task, worker);
                c.task.unlocated = false;
                c.task.last_workers.clear();
                c.scheduler.MarkRunning(c.task);
              })
      .Action("delay",
              [](Context& c) {
                c.task.not_before = c.scheduler.now_ + kOrderRetryDelay;
              })
      .Action("keep_checkpoint",
              [](Context& c) {
                if (c.end != nullptr && !c.end->checkpoint.empty()) {
                  c.task.checkpoint = c.end->checkpoint;
                }
              })
      .Action("count_failure",
              [](Context& c) { c.scheduler.CountFailure(c.task, c.end->run); })
      .Action("note_done",
              [](Context& c) {
                --c.job().groups[c.task.group].open;
                c.scheduler.MarkDirty(c.job(), /*urgent=*/false);
              })
      .Action("fail_job", [](Context& c) {
        c.job().phase = JobPhase::kFailed;
        c.job().halted = true;
      });
  return bindings;
}

bool SliceScheduler::IsState(const Task& task, chart::StateId state) {
  return task.state == state;
}

void SliceScheduler::Dispatch(Task& task,
                              std::string_view event,
                              const EndedRun* end) {
  Job& job = *task.job;
  const bool was_halted = job.halted;
  TaskContext context{*this, task, end};
  task.state =
      task_chart_
          ->Dispatch(task.state, charts_.task_run.FindEvent(event), context)
          .state;
  if (job.halted && !was_halted) {
    options_.log(core::LogLine("job_failed", core::LogLevel::kWarning)
                     .Add("job", job.spec.id)
                     .Add("task", ToText(job.AddressOf(task)))
                     .Add("failures", task.failures.size()));
    Halt(job, job.phase);
  }
}

void SliceScheduler::CountFailure(Task& task, RunNumber run) {
  if (!task.job->StepOf(task).long_running) {
    task.failures.push_back(run);
    MarkDirty(*task.job, /*urgent=*/false);
  }
}

void SliceScheduler::MarkRunning(Task& task) {
  AccrueLoad(workers_.Get(task.worker));
  task.run_seen = true;
  if (!WaitsForLateStart(task)) {
    task.lost_start_on = core::WorkerId();
  }
  task.started = now_;
  task.advanced = now_;
  task.settled = now_;
  Job& job = *task.job;
  if (job.phase == JobPhase::kQueued) {
    job.phase = JobPhase::kActive;
    if (job.StepOf(task).long_running) {
      // Other jobs store their phase when their first task is done.
      MarkDirty(job, /*urgent=*/false);
    }
  }
}

void SliceScheduler::DetachFromWorker(Task& task) {
  Worker& worker = workers_.Get(task.worker);
  AccrueLoad(worker);
  worker.Release(task.job->StepOf(task));
  std::erase(worker.tasks, &task);
  task.oversubscribed = false;
  if (KeepsPlaces(task.job->StepOf(task))) {
    MarkDirty(*task.job, /*urgent=*/false);
  }
  task.worker = core::WorkerId();
  task.settled = core::TimePoint::max();
  placement_due_ = true;
  if (task.job->halted) {
    MarkDirty(*task.job, /*urgent=*/false);
  }
}

void SliceScheduler::SendStart(Task& task) {
  Worker& worker = workers_.Get(task.worker);
  const Job& job = *task.job;
  if (worker.acknowledging == worker.generation) {
    // Otherwise an acknowledgement on its way could reach another life after
    // this start, and make it forget the end of the run.
    BeginGeneration(worker);
  }
  const CallId call = ids_.Next();
  calls_[call] = TaskCall{.job = job.spec.id,
                          .number = task.number,
                          .run = task.run,
                          .worker = worker.id,
                          .generation = worker.generation,
                          .clock_ms = LeastClockOf(worker),
                          .starts = true};
  ++task.start_copies;
  task.ordered = worker.generation;
  task.settled = core::TimePoint::max();
  const std::int64_t until = LeaseUntil(worker);
  RecordLease(worker, until);
  worker.runs_nothing = false;
  worker_commands_.push_back(StartRun{.call = call,
                                      .to = DestinationOf(worker),
                                      .token = NextToken(worker),
                                      .task = job.AddressOf(task),
                                      .run = task.run,
                                      .payload = job.spec.payload,
                                      .checkpoint = task.checkpoint,
                                      .lease_until_ms = until});
  task.start_sent = now_;
  core::LogLine line("task_placed");
  line.Add("task", ToText(job.AddressOf(task)))
      .Add("run", task.run)
      .Add("worker", worker.entry.id)
      .Add("call", call.value())
      .Add("copy", task.start_copies)
      .Add("free_millis", worker.free().cpu_millis)
      .Add("report_age_ms", core::ToMillis(now_ - worker.clock_at));
  if (job.StepOf(task).max_per_worker > 0) {
    line.Add("of_step", CountOfStep(worker, job, job.groups[task.group]));
  }
  options_.log(AddLife(line, worker));
}

void SliceScheduler::SendStop(Task& task) {
  const Worker& worker = workers_.Get(task.worker);
  const CallId call = ids_.Next();
  task.stop_unanswered = false;
  task.start_copies = 0;
  calls_[call] = TaskCall{.job = task.job->spec.id,
                          .number = task.number,
                          .run = task.run,
                          .worker = worker.id,
                          .generation = worker.generation,
                          .clock_ms = LeastClockOf(worker)};
  task.ordered = worker.generation;
  task.settled = core::TimePoint::max();
  worker_commands_.push_back(StopRun{.call = call,
                                     .to = DestinationOf(worker),
                                     .token = NextToken(worker),
                                     .task = task.job->AddressOf(task),
                                     .run = task.run});
}

// Lets no order that has been sent to the worker be carried out after its next
// report, which is requested at once, beside a renewal that waits for an end.
void SliceScheduler::TurnAwayOrders(Worker& worker) {
  BeginGeneration(worker);
  worker.runs_nothing = false;
  worker.renewal.reset();
  worker.next_renewal = now_;
}

// Returns whether the order was for the run that the task has now.
bool SliceScheduler::IsCurrent(const TaskCall& call, const Task& task) const {
  return task.run == call.run && task.worker == call.worker &&
         !IsState(task, states_.placing);
}

void SliceScheduler::HandleOrderAnswer(const TaskCall& call,
                                       const OrderAnswered& answer) {
  if (answer.outcome == OrderOutcome::kFenced &&
      call.generation == workers_.Get(call.worker).generation) {
    fenced_ = true;
    return;
  }
  Worker& worker = workers_.Get(call.worker);
  Task* found = FindTask(call.job, call.number);
  if (call.starts) {
    NoteStartAnswer(call, answer, found);
  }
  if (found == nullptr || !IsCurrent(call, *found)) {
    if (found != nullptr && answer.outcome != OrderOutcome::kUnanswered) {
      SettleLeftRun(worker, found->job->AddressOf(*found), call.run);
    }
    if (answer.outcome == OrderOutcome::kUnanswered &&
        call.generation == worker.generation) {
      // The end of an earlier run may have closed the task meanwhile.
      TurnAwayOrders(worker);
    }
    return;
  }
  Task& task = *found;
  const Job& job = *task.job;
  if (answer.clock_ms != 0 && call.generation >= worker.life) {
    // The clock of a worker that was idle is as old as its last report, and the
    // renewal that follows a start would grant a short lease.
    HandleClock(call, answer.clock_ms);
  }
  // Says nothing about a life that was learned of since.
  if (answer.outcome == OrderOutcome::kOtherIncarnation &&
      call.generation >= worker.life) {
    EndLife(worker);
    return;
  }
  if (IsState(task, states_.stopping)) {
    HandleStopAnswer(task, answer);
    return;
  }
  switch (answer.outcome) {
    case OrderOutcome::kCarriedOut:
      Dispatch(task, "accepted");
      if (job.StepOf(task).best_effort) {
        // The task has started at full pace.
        PaceBestEffort(worker);
      }
      break;
    case OrderOutcome::kSuperseded:
      // The next report says whether the run has ended there.
      task.start_copies = 0;
      task.settled = now_;
      worker.next_renewal = now_;
      break;
    case OrderOutcome::kUnanswered:
      Dispatch(task, "unanswered");
      break;
    case OrderOutcome::kUnreachable:
      DispatchContact(worker, "no_answer");
      [[fallthrough]];
    default:
      options_.log(AddLife(core::LogLine("start_refused")
                               .Add("task", ToText(job.AddressOf(task)))
                               .Add("run", task.run)
                               .Add("worker", worker.entry.id)
                               .Add("reason", ToString(answer.outcome))
                               .Add("ordered", call.generation),
                           worker));
      if (answer.outcome == OrderOutcome::kRefused) {
        UpdateQuarantine(worker, EndKind::kFailed, call.job);
      }
      Dispatch(task, "refused");
      worker.next_renewal = now_;
  }
}

// An order that was not carried out, or that may arrive late, is repeated after
// the worker's next report.
void SliceScheduler::HandlePaceAnswer(const TaskCall& run,
                                      const OrderAnswered& answer) {
  Task* task = FindTask(run.job, run.number);
  if (answer.outcome != OrderOutcome::kCarriedOut && task != nullptr &&
      task->run == run.run) {
    task->pace_unconfirmed = true;
  }
}

void SliceScheduler::HandleStopAnswer(Task& task, const OrderAnswered& answer) {
  Worker& worker = workers_.Get(task.worker);
  if (answer.outcome == OrderOutcome::kCarriedOut ||
      answer.outcome == OrderOutcome::kSuperseded) {
    task.settled = now_;
    worker.next_renewal = now_;
    return;
  }
  if (answer.outcome == OrderOutcome::kUnanswered) {
    BeginGeneration(worker);
  }
  // Sent again with the worker's next renewal.
  task.not_before = now_ + kOrderRetryDelay;
  task.stop_unanswered = true;
}

}  // namespace hickoryusher::jobs
