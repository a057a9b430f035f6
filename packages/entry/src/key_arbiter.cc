#include <algorithm>
#include <iterator>
#include <utility>

#include "key_arbiter_p.h"

namespace hickoryusher::entry {

KeyArbiter::KeyArbiter(const Directory& directory,
                       core::Incarnation incarnation,
                       std::uint64_t secret)
    : directory_(directory),
      incarnation_(incarnation),
      tickets_(directory, incarnation, secret),
      store_(directory) {}

void KeyArbiter::Claim(const retry::ClaimKey& command,
                       core::TimePoint deadline,
                       core::TimePoint now) {
  if (command.key.kind == retry::KeyKind::kTicket) {
    TicketOutput output;
    tickets_.Claim(command.request, command.key.text, deadline, now, output);
    AddTickets(std::move(output));
    return;
  }
  RunClaims(retry::ClaimCallerKey{.claim = {.entry = directory_.own_entry(),
                                            .incarnation = incarnation_,
                                            .request = command.request},
                                  .key = {.team = command.team,
                                          .service = command.service,
                                          .text = command.key.text},
                                  .deadline = deadline},
            now);
}

void KeyArbiter::Void(const retry::VoidKey& command, core::TimePoint now) {
  TicketOutput output;
  tickets_.Void(command.request, command.key.text, now, output);
  AddTickets(std::move(output));
}

void KeyArbiter::Report(const retry::StoreKeyOutcome& command,
                        core::TimePoint now) {
  if (command.key.kind == retry::KeyKind::kTicket) {
    TicketOutput output;
    tickets_.Report(command.request, command.key.text, command.outcome, output);
    AddTickets(std::move(output));
    return;
  }
  RunClaims(retry::ReportKeyOutcome{.claim = {.entry = directory_.own_entry(),
                                              .incarnation = incarnation_,
                                              .request = command.request},
                                    .key = {.team = command.team,
                                            .service = command.service,
                                            .text = command.key.text},
                                    .outcome = command.outcome},
            now);
}

void KeyArbiter::Handle(const store::Event& event, core::TimePoint now) {
  if (const auto key_event = store_.Handle(event)) {
    RunClaims(*key_event, now);
  }
}

void KeyArbiter::Handle(const PeerReply& reply, core::TimePoint now) {
  TicketOutput output;
  tickets_.Handle(reply, now, output);
  AddTickets(std::move(output));
}

KeyOutputs KeyArbiter::TakeOutputs() {
  return std::exchange(outputs_, {});
}

void KeyArbiter::RunClaims(const retry::KeyEvent& event, core::TimePoint now) {
  std::vector<retry::KeyCommand> out;
  claims_.Handle(event, now, out);
  std::ranges::for_each(out, [this](const retry::KeyCommand& command) {
    std::visit([this](const auto& c) { On(c); }, command);
  });
}

void KeyArbiter::On(const retry::WriteKeys& command) {
  store_.Write(command, outputs_.commands);
}

void KeyArbiter::On(const retry::ReadKeys& command) {
  store_.Read(command, outputs_.commands);
}

void KeyArbiter::On(const retry::KeyAnswer& answer) {
  const core::RequestId request = answer.claim.request;
  switch (answer.verdict) {
    case retry::KeyVerdict::kGranted:
      outputs_.events.push_back(retry::KeyGranted{.request = request});
      break;
    case retry::KeyVerdict::kHeld:
      outputs_.events.push_back(
          retry::KeyHeld{.request = request, .stored = answer.stored});
      break;
    case retry::KeyVerdict::kUnresolved:
      outputs_.events.push_back(
          retry::KeyUnresolved{.request = request,
                               .reason = retry::Reason::kKeyUnresolved,
                               .retry_after = answer.retry_after});
      break;
  }
}

void KeyArbiter::AddTickets(TicketOutput&& output) {
  std::ranges::move(output.events, std::back_inserter(outputs_.events));
  std::ranges::move(output.calls, std::back_inserter(outputs_.calls));
}

}  // namespace hickoryusher::entry
