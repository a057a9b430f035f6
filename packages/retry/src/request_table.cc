#include "retry/request_table.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "core/overloaded.h"
#include "request_scope_p.h"

namespace hickoryusher::retry {

class RequestTable::Impl {
 public:
  Impl(chart::Interpreter<Scope> interpreter,
       const RetryPolicy& policy,
       std::uint64_t seed)
      : interpreter_(std::move(interpreter)),
        shared_{.policy = policy,
                .budget = RetryBudget(policy.budget_ratio,
                                      policy.budget_min_per_second),
                .random = core::Random(seed)} {
    const chart::Chart& chart = interpreter_.chart();
    events_ = {.admission_granted = chart.FindEvent("admission_granted"),
               .admission_refused = chart.FindEvent("admission_refused"),
               .key_granted = chart.FindEvent("key_granted"),
               .key_held = chart.FindEvent("key_held"),
               .key_unresolved = chart.FindEvent("key_unresolved"),
               .key_voided = chart.FindEvent("key_voided"),
               .endpoint_chosen = chart.FindEvent("endpoint_chosen"),
               .no_endpoint = chart.FindEvent("no_endpoint"),
               .connected = chart.FindEvent("exchange_connected"),
               .sent = chart.FindEvent("exchange_sent"),
               .first_byte = chart.FindEvent("exchange_first_byte"),
               .completed = chart.FindEvent("exchange_completed"),
               .failed = chart.FindEvent("exchange_failed"),
               .deadline_expired = chart.FindEvent("deadline_expired"),
               .first_byte_expired = chart.FindEvent("first_byte_expired"),
               .shutdown_started = chart.FindEvent("shutdown_started")};
  }

  void Handle(const RequestEvent& event,
              core::TimePoint now,
              std::vector<RequestCommand>& out) {
    now_ = now;
    out_ = &out;
    std::visit([this](const auto& typed) { On(typed); }, event);
    out_ = nullptr;
  }

  const RequestCounters& counters() const { return shared_.counters; }
  std::size_t size() const { return requests_.size(); }

  std::optional<std::string_view> StateOf(core::RequestId request) const {
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
      return std::nullopt;
    }
    return interpreter_.chart().StateName(found->second.state);
  }

 private:
  using Requests = std::unordered_map<core::RequestId, Instance>;

  struct EventIds {
    chart::EventId admission_granted;
    chart::EventId admission_refused;
    chart::EventId key_granted;
    chart::EventId key_held;
    chart::EventId key_unresolved;
    chart::EventId key_voided;
    chart::EventId endpoint_chosen;
    chart::EventId no_endpoint;
    chart::EventId connected;
    chart::EventId sent;
    chart::EventId first_byte;
    chart::EventId completed;
    chart::EventId failed;
    chart::EventId deadline_expired;
    chart::EventId first_byte_expired;
    chart::EventId shutdown_started;
  };

  void On(const RequestArrived& event) {
    const auto [found, is_new] =
        requests_.try_emplace(event.request, Instance{.arrival = event});
    if (!is_new) {
      ++shared_.counters.duplicate_arrivals;
      return;
    }
    ++shared_.counters.arrived;
    const EventDetails details;
    Scope scope(shared_, found->second, details, now_, *out_);
    found->second.state = interpreter_.Start(scope);
    if (shutting_down_) {
      Dispatch(found, events_.shutdown_started, {.reason = Reason::kShutdown});
    } else if (event.deadline <= now_) {
      Dispatch(found, events_.deadline_expired, {.reason = Reason::kDeadline});
    } else {
      scope.StartDeadlineTimer();
    }
  }

  void On(const AdmissionGranted& event) {
    DispatchTo(event.request, events_.admission_granted, {});
  }

  void On(const AdmissionRefused& event) {
    DispatchTo(event.request, events_.admission_refused,
               {.reason = event.reason, .retry_after = event.retry_after});
  }

  void On(const KeyGranted& event) {
    DispatchTo(event.request, events_.key_granted, {});
  }

  void On(const KeyHeld& event) {
    DispatchTo(event.request, events_.key_held, {.stored = &event.stored});
  }

  void On(const KeyUnresolved& event) {
    DispatchTo(event.request, events_.key_unresolved,
               {.reason = event.reason, .retry_after = event.retry_after});
  }

  void On(const KeyVoided& event) {
    DispatchTo(event.request, events_.key_voided, {});
  }

  void On(const EndpointChosen& event) {
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) {
      ++shared_.counters.late_dropped;
      ReleaseUnused(event);
    } else if (found->second.attempts_seen.Contains(event.attempt)) {
      // A repeated event; the slot belongs to the attempt that began.
      ++shared_.counters.stale_dropped;
    } else if (found->second.tried.Contains(event.endpoint)) {
      ReleaseUnused(event);
      Dispatch(found, events_.no_endpoint, {.reason = Reason::kNoEndpoint});
    } else if (!Dispatch(found, events_.endpoint_chosen, {.chosen = &event})) {
      ++shared_.counters.stale_dropped;
      ReleaseUnused(event);
    }
  }

  /// The slot of a choice that nobody waits for must not stay taken.
  void ReleaseUnused(const EndpointChosen& event) {
    out_->push_back(ReleaseEndpoint{.request = event.request,
                                    .attempt = event.attempt,
                                    .endpoint = event.endpoint});
  }

  void On(const NoEndpoint& event) {
    DispatchTo(event.request, events_.no_endpoint,
               {.reason = event.reason, .retry_after = event.retry_after});
  }

  void On(const ExchangeConnected& event) {
    DispatchExchange(event, events_.connected, {});
  }

  void On(const ExchangeSent& event) {
    DispatchExchange(event, events_.sent, {});
  }

  void On(const ExchangeFirstByte& event) {
    DispatchExchange(event, events_.first_byte, {});
  }

  void On(const ExchangeCompleted& event) {
    const bool marked = event.not_run_marker && event.status == 503;
    DispatchExchange(
        event, events_.completed,
        {.reason = marked ? Reason::kEndpointRefused : Reason::kNone,
         .status = event.status,
         .marked_not_run = marked});
  }

  void On(const ExchangeFailed& event) {
    DispatchExchange(
        event, events_.failed,
        {.reason = event.reason,
         .unconnected = event.stage == ExchangeStage::kConnecting});
  }

  void On(const TimerExpired& event) {
    const auto found = FindOrCountLate(event.request);
    if (found == requests_.end()) {
      return;
    }
    Instance& instance = found->second;
    if (event.timer.valid() && event.timer == instance.deadline_timer) {
      instance.deadline_timer = TimerId();
      Dispatch(found, events_.deadline_expired, {.reason = Reason::kDeadline});
    } else if (event.timer.valid() && event.timer == instance.state_timer) {
      instance.state_timer = TimerId();
      const chart::EventId expired = instance.state_timer_event;
      Dispatch(found, expired,
               {.reason = expired == events_.first_byte_expired
                              ? Reason::kFirstByteTimeout
                              : Reason::kNone});
    } else {
      ++shared_.counters.stale_dropped;
    }
  }

  void On(const ShutdownStarted& /*event*/) {
    shutting_down_ = true;
    std::vector<core::RequestId> all;
    all.reserve(requests_.size());
    std::ranges::transform(requests_, std::back_inserter(all),
                           &Requests::value_type::first);
    // The order of the hash table differs between libraries.
    std::ranges::sort(all);
    std::ranges::for_each(all, [this](core::RequestId request) {
      DispatchTo(request, events_.shutdown_started,
                 {.reason = Reason::kShutdown});
    });
  }

  Requests::iterator FindOrCountLate(core::RequestId request) {
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
      ++shared_.counters.late_dropped;
    }
    return found;
  }

  void DispatchTo(core::RequestId request,
                  chart::EventId event,
                  const EventDetails& details) {
    const auto found = FindOrCountLate(request);
    if (found != requests_.end()) {
      Dispatch(found, event, details);
    }
  }

  template <typename ExchangeEvent>
  void DispatchExchange(const ExchangeEvent& event,
                        chart::EventId id,
                        const EventDetails& details) {
    const auto found = FindOrCountLate(event.request);
    if (found == requests_.end()) {
      return;
    }
    if (!event.attempt.valid() || found->second.attempt != event.attempt) {
      ++shared_.counters.stale_dropped;
      return;
    }
    Dispatch(found, id, details);
  }

  /// @returns true if the chart took a transition.
  bool Dispatch(Requests::iterator found,
                chart::EventId event,
                const EventDetails& details) {
    Instance& instance = found->second;
    Scope scope(shared_, instance, details, now_, *out_);
    const chart::Step step =
        interpreter_.Dispatch(instance.state, event, scope);
    instance.state = step.state;
    if (interpreter_.chart().state(step.state).final) {
      requests_.erase(found);
    }
    return step.disposition == chart::Disposition::kTransition;
  }

  chart::Interpreter<Scope> interpreter_;
  Shared shared_;
  EventIds events_;
  Requests requests_;
  bool shutting_down_ = false;
  core::TimePoint now_;
  std::vector<RequestCommand>* out_ = nullptr;
};

RequestTable::RequestTable(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
RequestTable::RequestTable(RequestTable&&) noexcept = default;
RequestTable& RequestTable::operator=(RequestTable&&) noexcept = default;
RequestTable::~RequestTable() = default;

void RequestTable::Handle(const RequestEvent& event,
                          core::TimePoint now,
                          std::vector<RequestCommand>& out) {
  impl_->Handle(event, now, out);
}

const RequestCounters& RequestTable::counters() const {
  return impl_->counters();
}

std::size_t RequestTable::size() const {
  return impl_->size();
}

std::optional<std::string_view> RequestTable::StateOf(
    core::RequestId request) const {
  return impl_->StateOf(request);
}

std::optional<RequestTable> RequestTableBuilder::Build() {
  problems_.clear();
  std::optional<chart::Interpreter<Scope>> interpreter =
      chart::Interpreter<Scope>::Bind(*chart_, RequestBindings(), problems_);
  if (!interpreter.has_value()) {
    return std::nullopt;
  }
  return RequestTable(std::make_unique<RequestTable::Impl>(
      *std::move(interpreter), policy_, seed_));
}

}  // namespace hickoryusher::retry
