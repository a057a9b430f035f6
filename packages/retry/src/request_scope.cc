#include <algorithm>
#include <utility>

#include "request_scope_p.h"

namespace hickoryusher::retry {

void Scope::StartTimer(chart::EventId event, core::Duration duration) {
  // A duration of zero or less means that the state has no limit of its own.
  if (duration <= core::Duration::zero()) {
    return;
  }
  instance_->state_timer = NextTimer();
  instance_->state_timer_event = event;
  out_->push_back(retry::StartTimer{.request = request(),
                                    .timer = instance_->state_timer,
                                    .at = now_ + duration});
}

void Scope::CancelTimer(chart::EventId /*event*/) {
  if (instance_->state_timer.valid()) {
    out_->push_back(retry::CancelTimer{.request = request(),
                                       .timer = instance_->state_timer});
    instance_->state_timer = TimerId();
  }
}

bool Scope::HasKey() const {
  return instance_->arrival.key.kind != KeyKind::kNone;
}

bool Scope::HasTicket() const {
  return instance_->arrival.key.kind == KeyKind::kTicket;
}

bool Scope::MayRetry() const {
  const std::size_t limit =
      std::min(shared_->policy.max_attempts, kMaxAttempts);
  return details_->reason != Reason::kRingFull && instance_->attempts < limit &&
         Remaining() > core::Duration::zero() && shared_->budget.Allows(now_);
}

bool Scope::MayResend() const {
  return instance_->arrival.idempotent && MayRetry();
}

void Scope::AskForAdmission() {
  out_->push_back(AskAdmission{.request = request(),
                               .work_class = instance_->arrival.work_class,
                               .deadline = instance_->arrival.deadline});
}

void Scope::ClaimOwnKey() {
  out_->push_back(ClaimKey{.request = request(),
                           .team = instance_->arrival.team,
                           .service = instance_->arrival.service,
                           .key = instance_->arrival.key});
}

void Scope::VoidTicket() {
  out_->push_back(VoidKey{.request = request(), .key = instance_->arrival.key});
}

void Scope::AskForEndpoint() {
  out_->push_back(
      ChooseEndpoint{.request = request(),
                     .service = instance_->arrival.service,
                     .work_class = instance_->arrival.work_class,
                     .deadline = instance_->arrival.deadline,
                     .avoid = instance_->tried,
                     .racks_tried_last = instance_->racks_tried_last});
}

void Scope::BeginAttempt() {
  const EndpointChosen& chosen = *details_->chosen;
  instance_->attempt = chosen.attempt;
  instance_->endpoint = chosen.endpoint;
  instance_->rack = chosen.rack;
  instance_->vm = chosen.vm;
  instance_->attempt_began = now_;
  instance_->attempts_seen.Add(chosen.attempt);
  instance_->tried.Add(chosen.endpoint);
  if (instance_->attempts++ == 0) {
    shared_->budget.CountFirstAttempt(now_);
  }
}

void Scope::BeginExchange() {
  ++shared_->counters.sends;
  out_->push_back(StartExchange{
      .request = request(),
      .attempt = instance_->attempt,
      .endpoint = instance_->endpoint,
      .vm = instance_->vm,
      .idempotent = instance_->arrival.idempotent,
      .limits = {
          .connect = std::min(shared_->policy.connect_timeout, Remaining()),
          .deadline = instance_->arrival.deadline}});
}

void Scope::EndExchange() {
  out_->push_back(
      CancelExchange{.request = request(), .attempt = instance_->attempt});
}

void Scope::Release() {
  const AttemptResult result = ResultOfAttempt();
  if (result != AttemptResult::kAnswered &&
      (result != AttemptResult::kNoFirstByte ||
       shared_->policy.avoid_slow_racks)) {
    instance_->racks_tried_last.Add(instance_->rack);
  }
  out_->push_back(ReleaseEndpoint{.request = request(),
                                  .attempt = instance_->attempt,
                                  .endpoint = instance_->endpoint,
                                  .result = result,
                                  .elapsed = now_ - instance_->attempt_began});
  if (result != AttemptResult::kAnswered) {
    instance_->attempt = core::AttemptId();
  }
}

void Scope::KeepReason() {
  instance_->reason = details_->reason;
  instance_->retry_after = details_->retry_after;
}

void Scope::SpendRetry() {
  ++shared_->counters.retries;
  shared_->budget.CountRetry(now_);
}

void Scope::DeliverAnswered() {
  Deliver({.outcome = Outcome::kAnswered,
           .attempt = instance_->attempt,
           .status = details_->status});
}

void Scope::DeliverFailed() {
  Deliver({.outcome =
               instance_->may_have_run ? Outcome::kUnknown : Outcome::kNotRun,
           .reason = FailureReason()});
}

void Scope::DeliverUnknown() {
  Deliver({.outcome = Outcome::kUnknown, .reason = FailureReason()});
}

void Scope::DeliverStored() {
  if (details_->stored == nullptr || !details_->stored->has_value()) {
    Deliver({.outcome = Outcome::kUnknown, .reason = Reason::kKeyHeld});
    return;
  }
  const StoredOutcome& stored = **details_->stored;
  Deliver({.outcome = stored.outcome,
           .reason = stored.reason,
           .status = stored.status,
           .stored_response = stored.response});
}

core::Duration Scope::FirstByteTimeout() const {
  return instance_->arrival.idempotent
             ? instance_->arrival.first_byte_timeout.value_or(
                   shared_->policy.first_byte_timeout)
             : core::Duration::zero();
}

core::Duration Scope::Backoff() const {
  // At least 1 ns, because zero means no timer.
  return std::max(core::Duration(1),
                  DrawBackoff(shared_->policy, instance_->attempts, Remaining(),
                              shared_->random));
}

void Scope::StartDeadlineTimer() {
  instance_->deadline_timer = NextTimer();
  out_->push_back(retry::StartTimer{.request = request(),
                                    .timer = instance_->deadline_timer,
                                    .at = instance_->arrival.deadline});
}

core::Duration Scope::Remaining() const {
  return instance_->arrival.deadline - now_;
}

Reason Scope::FailureReason() const {
  return details_->reason == Reason::kNone ||
                 details_->reason == Reason::kCancelled
             ? instance_->reason
             : details_->reason;
}

AttemptResult Scope::ResultOfAttempt() const {
  if (details_->marked_not_run) {
    return AttemptResult::kNotRun;
  }
  if (details_->unconnected) {
    return AttemptResult::kUnconnected;
  }
  switch (details_->reason) {
    case Reason::kNone:
      return details_->status == 0 ? AttemptResult::kAbandoned
                                   : AttemptResult::kAnswered;
    case Reason::kFirstByteTimeout:
      return AttemptResult::kNoFirstByte;
    case Reason::kDeadline:
    case Reason::kCancelled:
      return AttemptResult::kAbandoned;
    default:
      return AttemptResult::kFailed;
  }
}

void Scope::Deliver(DeliverOutcome delivery) {
  delivery.request = request();
  delivery.retry_after =
      std::max(details_->retry_after, instance_->retry_after);
  delivery.sends = instance_->attempts;
  if (instance_->owns_key) {
    out_->push_back(StoreKeyOutcome{.request = request(),
                                    .team = instance_->arrival.team,
                                    .service = instance_->arrival.service,
                                    .key = instance_->arrival.key,
                                    .attempt = delivery.attempt,
                                    .outcome = {.outcome = delivery.outcome,
                                                .reason = delivery.reason,
                                                .status = delivery.status}});
  }
  if (instance_->deadline_timer.valid()) {
    out_->push_back(retry::CancelTimer{.request = request(),
                                       .timer = instance_->deadline_timer});
    instance_->deadline_timer = TimerId();
  }
  ++shared_->counters.delivered;
  out_->push_back(std::move(delivery));
}

}  // namespace hickoryusher::retry
