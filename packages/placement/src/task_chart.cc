#include "scheduler_p.h"

namespace hickoryusher::placement {

Scheduler::Impl::Names::Names(const chart::Chart& chart)
    : place(chart.FindEvent("place")),
      claim_written(chart.FindEvent("claim_written")),
      claim_refused(chart.FindEvent("claim_refused")),
      started(chart.FindEvent("started")),
      checkpoint(chart.FindEvent("checkpoint")),
      ended_done(chart.FindEvent("ended_done")),
      ended_failed(chart.FindEvent("ended_failed")),
      ended_stopped(chart.FindEvent("ended_stopped")),
      ended_checkpointed(chart.FindEvent("ended_checkpointed")),
      worker_lost(chart.FindEvent("worker_lost")),
      cancel(chart.FindEvent("cancel")),
      result_written(chart.FindEvent("result_written")),
      restore(chart.FindEvent("restore")),
      claimed(chart.FindState("claimed")),
      starting(chart.FindState("starting")),
      running(chart.FindState("running")),
      checkpointing(chart.FindState("checkpointing")) {}

void Scheduler::Impl::QueueClaim(Context& context) {
  Task& task = context.task();
  if (task.claim_written) {
    ++task.attempt;
    task.claim_written = false;
  }
  task.worker_lost = false;
  task.restored = false;
  const bool resumes = task.checkpoint_attempt != 0 &&
                       task.checkpoint_attempt + 1 == task.attempt;
  groups.Add({.task = task.id,
              .attempt = task.attempt,
              .worker = task.worker,
              .checkpoint_attempt = resumes ? task.checkpoint_attempt : 0,
              .epoch = config.epoch,
              .claim = next_claim++,
              .version = task.version},
             unit);
}

void Scheduler::Impl::QueueResult(Context& context, Outcome outcome) {
  Task& task = context.task();
  task.outcome = outcome;
  const TaskRow::State state = outcome == Outcome::kDone ? TaskRow::State::kDone
                               : outcome == Outcome::kFailed
                                   ? TaskRow::State::kFailed
                                   : TaskRow::State::kCancelled;
  groups.Add({.task = task.id,
              .attempt = task.attempt,
              .state = state,
              .worker = task.worker,
              .epoch = config.epoch,
              .claim = next_claim++,
              .version = task.version},
             0);
}

void Scheduler::Impl::Release(TaskSlot slot) {
  Task& task = tasks[slot];
  const Job& job = jobs[task.job];
  if (Worker* worker = workers.Find(task.worker)) {
    workers.Release(*worker, slot, job.spec, task.charge);
  }
  ChargeUsage(job, task.charge, -1);
  task.charge = {};
}

void Scheduler::Impl::SendStart(const Task& task,
                                std::vector<Command>& out) const {
  const bool resumes = task.checkpoint_attempt != 0 &&
                       task.checkpoint_attempt + 1 == task.attempt;
  out.emplace_back(
      StartTask{.worker = task.worker,
                .task = task.id,
                .attempt = task.attempt,
                .checkpoint_attempt = resumes ? task.checkpoint_attempt : 0,
                .size = task.charge});
}

void Scheduler::Impl::SendAck(Task& task, std::vector<Command>& out) const {
  if (task.ended_worker.valid()) {
    out.emplace_back(
        AckEnded{{task.ended_worker, task.id, task.ended_attempt}});
    task.ended_worker = core::WorkerId();
  }
}

chart::Bindings<Scheduler::Impl::Context> Scheduler::Impl::Bindings() {
  chart::Bindings<Context> bindings;
  bindings
      .Guard("cancel_wanted",
             [](const Context& c) { return c.task().cancel_wanted; })
      .Guard("worker_was_lost",
             [](const Context& c) { return c.task().worker_lost; })
      .Guard("may_retry",
             [](const Context& c) {
               return !c.job().stopped && !c.task().cancel_wanted;
             })
      .Guard(
          "outcome_done",
          [](const Context& c) { return c.task().outcome == Outcome::kDone; })
      .Guard("outcome_cancelled",
             [](const Context& c) {
               return c.task().outcome == Outcome::kCancelled;
             })
      .Action("queue_claim", [](Context& c) { c.scheduler.QueueClaim(c); })
      .Action("queue_done",
              [](Context& c) { c.scheduler.QueueResult(c, Outcome::kDone); })
      .Action("queue_failed",
              [](Context& c) { c.scheduler.QueueResult(c, Outcome::kFailed); })
      // A job that is stopped because of its failures has failed.
      .Action("queue_cancelled",
              [](Context& c) {
                c.scheduler.QueueResult(c, c.job().stopped
                                               ? Outcome::kFailed
                                               : Outcome::kCancelled);
              })
      .Action("release", [](Context& c) { c.scheduler.Release(c.slot); })
      .Action("requeue", [](Context& c) { c.scheduler.Requeue(c.slot, c.now); })
      .Action("send_start",
              [](Context& c) {
                ++c.scheduler.totals.starts;
                c.scheduler.SendStart(c.task(), c.out);
              })
      .Action("send_stop",
              [](Context& c) {
                c.out.emplace_back(
                    StopTask{{c.task().worker, c.task().id, c.task().attempt}});
              })
      .Action("send_checkpoint",
              [](Context& c) {
                c.out.emplace_back(CheckpointTask{
                    {c.task().worker, c.task().id, c.task().attempt}});
              })
      .Action("mark_cancel", [](Context& c) { c.task().cancel_wanted = true; })
      .Action("mark_lost", [](Context& c) { c.task().worker_lost = true; })
      .Action("note_start", [](Context& c) { c.task().started = c.now; })
      .Action(
          "keep_checkpoint",
          [](Context& c) { c.task().checkpoint_attempt = c.task().attempt; })
      .Action("announce", [](Context& c) {
        c.out.emplace_back(TaskFinished{.task = c.task().id,
                                        .job = c.job().spec.job,
                                        .outcome = c.task().outcome});
      });
  return bindings;
}

}  // namespace hickoryusher::placement
