#ifndef RETRY_REQUEST_SCOPE_P_H_
#define RETRY_REQUEST_SCOPE_P_H_

#include <optional>
#include <vector>

#include "chart/interpreter.h"
#include "core/random.h"
#include "retry/request_events.h"
#include "retry/request_table.h"
#include "retry/retry_policy.h"

namespace hickoryusher::retry {

/// State of one request besides its chart state.
struct Instance {
  RequestArrived arrival;
  chart::StateId state;
  TimerId deadline_timer;
  TimerId state_timer;
  chart::EventId state_timer_event;
  core::AttemptId attempt;  ///< Invalid while no endpoint is held.
  core::EndpointId endpoint;
  core::RackId rack;
  core::VmId vm;
  core::TimePoint attempt_began;
  core::Duration retry_after{};
  AttemptList<core::AttemptId> attempts_seen;
  AttemptList<core::EndpointId> tried;
  AttemptList<core::RackId> racks_tried_last;
  std::uint8_t attempts = 0;
  Reason reason = Reason::kNone;  ///< Of the last failure.
  bool may_have_run = false;      ///< An earlier attempt may have run.
  bool owns_key = false;
};

/// What all requests of a table share.
struct Shared {
  RetryPolicy policy;
  RetryBudget budget;
  core::Random random;
  RequestCounters counters;
  std::uint64_t next_timer = 0;
};

/// What the event being handled says, apart from its name.
struct EventDetails {
  Reason reason = Reason::kNone;
  core::Duration retry_after{};
  int status = 0;
  bool marked_not_run = false;
  bool unconnected = false;
  const EndpointChosen* chosen = nullptr;
  const std::optional<StoredOutcome>* stored = nullptr;
};

/// Context of the chart: one request while one event is handled.
class Scope {
 public:
  Scope(Shared& shared,
        Instance& instance,
        const EventDetails& details,
        core::TimePoint now,
        std::vector<RequestCommand>& out)
      : shared_(&shared),
        instance_(&instance),
        details_(&details),
        now_(now),
        out_(&out) {}

  // Timers of the chart.
  void StartTimer(chart::EventId event, core::Duration duration);
  void CancelTimer(chart::EventId event);

  // Guards.
  bool HasKey() const;
  bool HasTicket() const;
  bool MayRetry() const;
  bool MayResend() const;
  bool IsUnconnected() const { return details_->unconnected; }
  bool IsMarkedNotRun() const { return details_->marked_not_run; }

  // Actions.
  void AskForAdmission();
  void ClaimOwnKey();
  void VoidTicket();
  void OwnKey() { instance_->owns_key = true; }
  void AskForEndpoint();
  void BeginAttempt();
  void BeginExchange();
  void EndExchange();
  void Release();
  void KeepReason();
  void NoteMayHaveRun() { instance_->may_have_run = true; }
  void SpendRetry();
  void DeliverAnswered();
  void DeliverFailed();
  void DeliverUnknown();
  void DeliverStored();

  // Durations.
  core::Duration FirstByteTimeout() const;
  core::Duration Backoff() const;
  core::Duration Grace() const { return shared_->policy.grace; }

  /// Starts the timer that runs until the request is delivered.
  void StartDeadlineTimer();

 private:
  core::RequestId request() const { return instance_->arrival.request; }
  core::Duration Remaining() const;
  Reason FailureReason() const;
  AttemptResult ResultOfAttempt() const;
  TimerId NextTimer() { return TimerId(shared_->next_timer++); }
  void Deliver(DeliverOutcome delivery);

  Shared* shared_;
  Instance* instance_;
  const EventDetails* details_;
  core::TimePoint now_;
  std::vector<RequestCommand>* out_;
};

/// @returns the functions behind the names in `charts/request_attempt.yaml`.
chart::Bindings<Scope> RequestBindings();

}  // namespace hickoryusher::retry

#endif  // RETRY_REQUEST_SCOPE_P_H_
