#include <algorithm>
#include <iterator>
#include <utility>

#include "core/overloaded.h"
#include "key_codec_p.h"
#include "request_mapping_p.h"
#include "request_path_p.h"

namespace hickoryusher::entry {
namespace {

constexpr int kNotFound = 404;

bool IsServerError(int status) {
  return status >= 500;
}

}  // namespace

RequestPath::RequestPath(Parts parts)
    : parts_(std::move(parts)), reader_(parts_.longest_deadline) {}

void RequestPath::Arrive(http::IncomingRequest&& request, core::TimePoint now) {
  const auto read = reader_.Read(request);
  if (!read) {
    Reject(request, reader_.last_error());
    return;
  }
  const core::ServiceId service = parts_.directory.FindService(read->service);
  if (!service.valid()) {
    Reject(request, {.status = kNotFound, .reason = "unknown_service"});
    return;
  }
  const core::RequestId id = request.id;
  const retry::RequestArrived arrived{
      .request = id,
      .service = service,
      .work_class = read->work_class,
      .deadline = request.arrived + read->time_left,
      .idempotent = read->idempotent,
      .key = read->key,
      .first_byte_timeout =
          parts_.policies[service.value()].first_byte_timeout};
  callers_.emplace(id, Caller{.request = std::move(request),
                              .service = service,
                              .work_class = arrived.work_class,
                              .deadline = arrived.deadline,
                              .idempotent = arrived.idempotent});
  Dispatch(arrived, now);
}

void RequestPath::Handle(http::UpstreamEvent&& event, core::TimePoint now) {
  std::visit([this]<typename E>(E&& e) { On(std::forward<E>(e)); },
             std::move(event));
  DispatchQueued(now);
}

void RequestPath::Handle(const store::Event& event, core::TimePoint now) {
  parts_.keys.Handle(event, now);
  TakeKeyOutputs();
  DispatchQueued(now);
}

void RequestPath::Handle(const PeerReply& reply, core::TimePoint now) {
  parts_.keys.Handle(reply, now);
  TakeKeyOutputs();
  DispatchQueued(now);
}

void RequestPath::Handle(const routing::MembershipEvent& event,
                         core::TimePoint now) {
  parts_.router.Handle(event, now);
}

void RequestPath::RunTimers(core::TimePoint now) {
  std::vector<retry::TimerExpired> due;
  timers_.TakeDue(now, due);
  std::ranges::copy(due, std::back_inserter(events_));
  DispatchQueued(now);
  if (parts_.shares.next_timer() <= now) {
    ShareOutput output;
    parts_.shares.Wake(parts_.router.slots(), now, output);
    TakeShareOutput(std::move(output), now);
  }
}

core::TimePoint RequestPath::next_timer() const {
  return std::min(parts_.shares.next_timer(),
                  timers_.next().value_or(core::TimePoint::max()));
}

void RequestPath::StartShutdown(core::TimePoint now) {
  for (std::uint32_t i = 0; i < parts_.admission.size(); ++i) {
    RunAdmission(core::ServiceId(i), admission::ShutdownStarted{}, now);
  }
  Dispatch(retry::ShutdownStarted{}, now);
}

void RequestPath::TakeCommands(std::vector<PathCommand>& out) {
  std::ranges::move(commands_, std::back_inserter(out));
  commands_.clear();
}

void RequestPath::Dispatch(const retry::RequestEvent& event,
                           core::TimePoint now) {
  events_.push_back(event);
  DispatchQueued(now);
}

void RequestPath::DispatchQueued(core::TimePoint now) {
  std::vector<retry::RequestCommand> out;
  while (!events_.empty()) {
    const retry::RequestEvent event = std::move(events_.front());
    events_.pop_front();
    out.clear();
    parts_.requests.Handle(event, now, out);
    for (const retry::RequestCommand& command : out) {
      std::visit([&](const auto& c) { On(c, now); }, command);
    }
  }
}

void RequestPath::TakeKeyOutputs() {
  KeyOutputs outputs = parts_.keys.TakeOutputs();
  std::ranges::move(outputs.events, std::back_inserter(events_));
  std::ranges::move(outputs.commands, std::back_inserter(commands_));
  std::ranges::move(outputs.calls, std::back_inserter(commands_));
}

void RequestPath::RunAdmission(core::ServiceId service,
                               const admission::Event& event,
                               core::TimePoint now) {
  std::vector<admission::Command> out;
  parts_.admission[service.value()].Handle(event, now, out);
  for (const admission::Command& command : out) {
    std::visit(
        core::Overloaded{
            [this](const admission::Admit& c) {
              events_.push_back(retry::AdmissionGranted{.request = c.request});
            },
            [this](const admission::Refuse& c) {
              parts_.log(core::LogLine("admission_refused")
                             .Add("request", c.request.value())
                             .Add("reason", admission::ToString(c.refusal)));
              events_.push_back(
                  retry::AdmissionRefused{.request = c.request,
                                          .reason = ToReason(c.refusal),
                                          .retry_after = c.retry_after});
            }},
        command);
  }
}

void RequestPath::On(const retry::AskAdmission& command, core::TimePoint now) {
  RunAdmission(callers_.at(command.request).service,
               admission::RequestQueued{.request = command.request,
                                        .work_class = command.work_class,
                                        .deadline = command.deadline},
               now);
}

void RequestPath::On(const retry::ClaimKey& command, core::TimePoint now) {
  parts_.keys.Claim(command, callers_.at(command.request).deadline, now);
  TakeKeyOutputs();
}

void RequestPath::On(const retry::VoidKey& command, core::TimePoint now) {
  parts_.keys.Void(command, now);
  TakeKeyOutputs();
}

void RequestPath::On(const retry::StoreKeyOutcome& command,
                     core::TimePoint now) {
  retry::StoreKeyOutcome report = command;
  const auto caller = callers_.find(command.request);
  if (command.outcome.outcome == retry::Outcome::kAnswered &&
      caller != callers_.end() && caller->second.answer) {
    const auto text = EncodeStoredResponse(caller->second.answer->headers,
                                           caller->second.answer->body);
    if (text) {
      report.outcome.response = *text;
    } else {
      // The response is too large to be kept, so a repeated request can only be
      // told that the first one ran.
      report.outcome.outcome = retry::Outcome::kUnknown;
    }
  }
  parts_.keys.Report(report, now);
  TakeKeyOutputs();
}

void RequestPath::On(const retry::ChooseEndpoint& command,
                     core::TimePoint now) {
  const Caller& caller = callers_.at(command.request);
  const auto decision =
      parts_.router.Choose({.service = command.service,
                            .idempotent = caller.idempotent,
                            .avoid = command.avoid.view(),
                            .racks_last = command.racks_tried_last.view(),
                            .deadline = command.deadline},
                           now);
  const core::AttemptId attempt =
      decision ? core::AttemptId(next_attempt_++) : core::AttemptId();
  LogChoice(command, decision, attempt);
  if (!decision) {
    const routing::ChooseError error = parts_.router.last_error();
    if (error.loan_at.valid()) {
      ShareOutput output;
      parts_.shares.WantLoan(error.loan_at, parts_.router.slots(), now, output);
      TakeShareOutput(std::move(output), now);
    }
    events_.push_back(retry::NoEndpoint{.request = command.request,
                                        .reason = ToReason(error.reason),
                                        .retry_after = error.retry_after});
    return;
  }
  const routing::EndpointSpec& endpoint =
      parts_.directory.endpoints()[decision->slot.endpoint.value()];
  attempts_.emplace(
      attempt, Attempt{.request = command.request, .slot = decision->slot});
  events_.push_back(retry::EndpointChosen{.request = command.request,
                                          .attempt = attempt,
                                          .endpoint = decision->slot.endpoint,
                                          .rack = endpoint.rack,
                                          .vm = endpoint.vm});
}

void RequestPath::On(const retry::StartExchange& command, core::TimePoint now) {
  const Caller& caller = callers_.at(command.request);
  const config::ServiceSettings& service =
      parts_.directory.service(caller.service);
  // A connection on a borrowed slot must end with the loan, so it is not kept.
  const routing::Slot& slot = attempts_.at(command.attempt).slot;
  // libcurl takes a limit of 0 for no limit.
  const core::Duration time_left = std::max<core::Duration>(
      command.limits.deadline - now, std::chrono::milliseconds(1));
  const auto millis = [](core::Duration duration) {
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
  };
  http::StartExchange exchange{
      .id = command.attempt,
      .url = parts_.directory.endpoint(command.endpoint).url + "/v1/run/" +
             service.name,
      .method = "POST",
      .headers = caller.request.headers,
      .body = caller.request.body,
      .idempotent = command.idempotent && !slot.loan.valid(),
      .connect_timeout = millis(std::min(service.connect_timeout, time_left)),
      .total_timeout = millis(time_left),
      .write_before = command.limits.deadline,
      .max_connections_per_host = ConnectionLimit(
          slot, parts_.router.slots().entry(command.endpoint),
          parts_.directory.endpoint(command.endpoint).connections),
      .max_response_bytes = parts_.max_response_bytes};
  parts_.metrics.CountAttempt(service.name);
  commands_.emplace_back(std::in_place_type<http::UpstreamCommand>,
                         std::move(exchange));
}

void RequestPath::On(const retry::CancelExchange& command, core::TimePoint) {
  commands_.emplace_back(std::in_place_type<http::UpstreamCommand>,
                         http::CancelExchange{.id = command.attempt});
}

void RequestPath::On(const retry::DeliverOutcome& command,
                     core::TimePoint now) {
  const auto found = callers_.find(command.request);
  if (found == callers_.end()) {
    return;
  }
  Caller caller = std::move(found->second);
  callers_.erase(found);
  RunAdmission(caller.service,
               admission::RequestFinished{.request = command.request}, now);
  const std::string_view outcome = retry::ToString(command.outcome);
  const std::string_view service = parts_.directory.ServiceName(caller.service);
  const core::Duration latency = now - caller.request.arrived;
  parts_.metrics.CountOutcome(service, caller.work_class, outcome, latency);
  if (command.outcome == retry::Outcome::kNotRun) {
    parts_.metrics.CountRefusal(retry::ToString(command.reason));
  }
  parts_.log(core::LogLine("request_done")
                 .Add("request", command.request.value())
                 .Add("service", service)
                 .Add("class", core::ToString(caller.work_class))
                 .Add("outcome", outcome)
                 .Add("reason", retry::ToString(command.reason))
                 .Add("status", command.status)
                 .Add("sends", command.sends)
                 .Add("ms", core::ToMillis(latency)));
  commands_.emplace_back(MakeResponse(command, caller));
}

void RequestPath::On(const retry::ReleaseEndpoint& command,
                     core::TimePoint now) {
  const auto found = attempts_.find(command.attempt);
  if (found == attempts_.end()) {
    return;
  }
  routing::AttemptResult result = ToResult(command);
  const auto caller = callers_.find(found->second.request);
  if (caller != callers_.end() && caller->second.answer &&
      IsServerError(caller->second.answer->status) &&
      std::holds_alternative<routing::Succeeded>(result)) {
    // An endpoint that answers every request with an error must not look fast.
    result = routing::Failed{};
  }
  parts_.router.Release(found->second.slot, result, now);
  attempts_.erase(found);
}

void RequestPath::On(const retry::StartTimer& command, core::TimePoint) {
  timers_.Start(command.timer, command.at,
                {.request = command.request, .timer = command.timer});
}

void RequestPath::On(const retry::CancelTimer& command, core::TimePoint) {
  timers_.Cancel(command.timer);
}

void RequestPath::On(http::FirstByte&& event) {
  const auto found = attempts_.find(event.id);
  if (found != attempts_.end()) {
    events_.push_back(retry::ExchangeFirstByte{.request = found->second.request,
                                               .attempt = event.id});
  }
}

void RequestPath::On(http::Completed&& event) {
  const auto found = attempts_.find(event.id);
  if (found == attempts_.end()) {
    return;
  }
  events_.push_back(retry::ExchangeCompleted{
      .request = found->second.request,
      .attempt = event.id,
      .status = event.status,
      .not_run_marker = HasNotRunMarker(event.status, event.headers)});
  if (const auto caller = callers_.find(found->second.request);
      caller != callers_.end()) {
    caller->second.answer = std::move(event);
  }
}

void RequestPath::On(http::Failed&& event) {
  const auto found = attempts_.find(event.id);
  if (found == attempts_.end()) {
    return;
  }
  parts_.log(core::LogLine("exchange_failed")
                 .Add("request", found->second.request.value())
                 .Add("attempt", event.id.value())
                 .Add("stage", http::ToString(event.stage))
                 .Add("reason", event.reason)
                 .Add("detail", event.detail));
  events_.push_back(retry::ExchangeFailed{.request = found->second.request,
                                          .attempt = event.id,
                                          .stage = ToExchangeStage(event.stage),
                                          .reason = ToReason(event.reason)});
}

http::Response RequestPath::MakeResponse(const retry::DeliverOutcome& command,
                                         Caller& caller) const {
  switch (command.outcome) {
    case retry::Outcome::kAnswered:
      if (caller.answer && caller.answer->id == command.attempt) {
        return AnsweredResponse(command.request, command.status,
                                caller.answer->headers,
                                std::move(caller.answer->body));
      }
      return AnsweredResponse(command.request, command.status, {},
                              command.stored_response);
    case retry::Outcome::kNotRun:
      return NotRunResponse(command.request, NotRunStatus(command.reason),
                            retry::ToString(command.reason),
                            command.retry_after);
    case retry::Outcome::kUnknown:
      break;
  }
  return UnknownResponse(command.request, retry::ToString(command.reason));
}

void RequestPath::Reject(const http::IncomingRequest& request,
                         const BadRequest& error) {
  parts_.log(core::LogLine("request_rejected")
                 .Add("request", request.id.value())
                 .Add("method", request.method)
                 .Add("path", request.path)
                 .Add("reason", error.reason));
  parts_.metrics.CountRefusal(error.reason);
  commands_.emplace_back(
      NotRunResponse(request.id, error.status, error.reason, {}));
}

void RequestPath::LogChoice(const retry::ChooseEndpoint& command,
                            const std::optional<routing::Decision>& decision,
                            core::AttemptId attempt) const {
  core::LogLine line("endpoint_choice");
  line.Add("request", command.request.value())
      .Add("service", parts_.directory.ServiceName(command.service));
  if (!decision) {
    parts_.log(line.Add("endpoint", "none")
                   .Add("reason",
                        routing::ToString(parts_.router.last_error().reason)));
    return;
  }
  const config::EndpointSettings& endpoint =
      parts_.directory.endpoint(decision->slot.endpoint);
  parts_.log(line.Add("attempt", attempt.value())
                 .Add("endpoint", endpoint.name)
                 .Add("failure_domain", endpoint.failure_domain)
                 .Add("health", routing::ToString(decision->health))
                 .Add("score", decision->candidates[0].score)
                 .Add("reason", routing::ToString(decision->reason)));
}

}  // namespace hickoryusher::entry
