// The parts of the request rig that stand in for everything around the table:
// admission, the store, the ticket issuer, the endpoints and the adapters.
#include <algorithm>
#include <chrono>

#include "core/overloaded.h"
#include "request_rig.h"

namespace hickoryusher::matrix {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kHop = milliseconds(1);
constexpr core::Duration kAnswerLimit = milliseconds(200);

}  // namespace

void RequestRig::Command(const retry::AskAdmission& command) {
  if (admission_refuses_) {
    Post(ToTable{retry::AdmissionRefused{.request = command.request}});
  } else {
    Post(ToTable{retry::AdmissionGranted{command.request}});
  }
}

void RequestRig::Command(const retry::ClaimKey& command) {
  if (command.key.kind == retry::KeyKind::kTicket) {
    Post(ToIssuer{command.request,
                  retry::ClaimTicket{.call = retry::TicketCallId(1),
                                     .claim = ClaimOf(command.request),
                                     .ticket = ticket_}},
         kHop);
    return;
  }
  GiveKeys(retry::ClaimCallerKey{
      .claim = ClaimOf(command.request),
      .key = {command.team, command.service, command.key.text},
      .deadline = ProcessNow() + milliseconds(3000)});
}

void RequestRig::Command(const retry::VoidKey& command) {
  Post(ToIssuer{command.request,
                retry::VoidTicket{.call = retry::TicketCallId(1),
                                  .ticket = ticket_}},
       kHop);
}

void RequestRig::Command(const retry::StoreKeyOutcome& command) {
  retry::StoredOutcome outcome = command.outcome;
  outcome.response = "response";
  if (command.key.kind == retry::KeyKind::kTicket) {
    Post(ToIssuer{core::RequestId(),
                  retry::ReportTicketOutcome{.claim = ClaimOf(command.request),
                                             .ticket = ticket_,
                                             .outcome = outcome}},
         kHop);
    return;
  }
  GiveKeys(retry::ReportKeyOutcome{
      .claim = ClaimOf(command.request),
      .key = {command.team, command.service, command.key.text},
      .outcome = outcome});
}

void RequestRig::Command(const retry::ChooseEndpoint& command) {
  if (!endpoints_free_) {
    Post(ToTable{retry::NoEndpoint{.request = command.request}});
    return;
  }
  core::EndpointId endpoint(0);
  while (command.avoid.Contains(endpoint)) {
    endpoint = core::EndpointId(endpoint.value() + 1);
  }
  Post(
      ToTable{retry::EndpointChosen{.request = command.request,
                                    .attempt = core::AttemptId(next_attempt_++),
                                    .endpoint = endpoint,
                                    .rack = core::RackId(endpoint.value() % 2),
                                    .vm = core::VmId(endpoint.value())}});
}

void RequestRig::Command(const retry::StartExchange& command) {
  attempts_[command.attempt] = {.request = command.request};
  Note(ExchangeStarted{command.request});
  if (injector_.Active<FillRings>(now_) != nullptr) {
    attempts_[command.attempt].ended = true;
    Post(ToTable{retry::ExchangeFailed{command.request, command.attempt,
                                       retry::ExchangeStage::kConnecting,
                                       retry::Reason::kRingFull}});
    return;
  }
  Post(AtEndpoint{command.attempt, Stage::kConnect}, kHop);
  Post(ConnectLimit{command.attempt}, command.limits.connect);
}

void RequestRig::Command(const retry::CancelExchange& command) {
  Attempt& attempt = attempts_.at(command.attempt);
  if (attempt.ended) {
    return;
  }
  attempt.ended = true;
  const bool by_shutdown =
      !given_.empty() &&
      std::holds_alternative<retry::ShutdownStarted>(given_.back());
  Note(ExchangeCancelled{command.request, by_shutdown});
  Post(ToTable{retry::ExchangeFailed{command.request, command.attempt,
                                     attempt.connected
                                         ? retry::ExchangeStage::kSending
                                         : retry::ExchangeStage::kConnecting,
                                     retry::Reason::kCancelled}});
}

void RequestRig::Command(const retry::DeliverOutcome& command) {
  waiting_.erase(command.request);
  Note(Delivered{.request = command.request,
                 .outcome = command.outcome,
                 .reason = command.reason,
                 .attempt = command.attempt,
                 .stored = !command.attempt.valid()});
  constexpr std::size_t kMaxCallerRetries = 3;
  if (command.outcome == retry::Outcome::kUnknown &&
      caller_retries_ < kMaxCallerRetries) {
    ++caller_retries_;
    Post(CallerRetry{}, milliseconds(1000));
  }
}

void RequestRig::On(const CallerRetry& /*message*/) {
  Resubmit();
}

void RequestRig::Command(const retry::ReleaseEndpoint& /*command*/) {}

void RequestRig::Command(const retry::StartTimer& command) {
  timers_[command.timer] = command;
}

void RequestRig::Command(const retry::CancelTimer& command) {
  timers_.erase(command.timer);
}

void RequestRig::Command(const retry::WriteKeys& command) {
  if (injector_.Active<FillRings>(now_) != nullptr) {
    Post(ToKeys{retry::KeyStoreDown{command.transaction}});
    return;
  }
  Post(ToStore{command}, kHop);
}

void RequestRig::Command(const retry::ReadKeys& command) {
  if (injector_.Active<FillRings>(now_) != nullptr) {
    Post(ToKeys{retry::KeysReadFailed{command.transaction}});
    return;
  }
  Post(ToStore{command}, kHop);
}

void RequestRig::Command(const retry::KeyAnswer& command) {
  const core::RequestId request = command.claim.request;
  switch (command.verdict) {
    case retry::KeyVerdict::kGranted:
      Post(ToTable{retry::KeyGranted{request}});
      return;
    case retry::KeyVerdict::kHeld:
      Post(ToTable{retry::KeyHeld{request, command.stored}});
      return;
    case retry::KeyVerdict::kUnresolved:
      Post(ToTable{retry::KeyUnresolved{.request = request,
                                        .reason = command.reason,
                                        .retry_after = command.retry_after}});
  }
}

retry::KeyEvent RequestRig::Apply(const retry::WriteKeys& command) {
  std::vector<std::size_t> conflicts;
  for (std::size_t i = 0; i < command.writes.size(); ++i) {
    const bool holds = std::visit(
        core::Overloaded{
            [&](const retry::InsertKey& w) { return !rows_.contains(w.key); },
            [&](const retry::UpdateKey& w) {
              const auto found = rows_.find(w.key);
              return found != rows_.end() && found->second.version == w.version;
            }},
        command.writes[i]);
    if (!holds) {
      conflicts.push_back(i);
    }
  }
  if (!conflicts.empty()) {
    return retry::KeysConflicted{command.transaction, conflicts};
  }
  ++row_version_;
  for (const retry::KeyWrite& write : command.writes) {
    std::visit(core::Overloaded{[&](const retry::InsertKey& w) {
                                  rows_[w.key] = {.claim = w.claim,
                                                  .version = row_version_};
                                },
                                [&](const retry::UpdateKey& w) {
                                  rows_[w.key] = {.claim = w.claim,
                                                  .outcome = w.outcome,
                                                  .version = row_version_};
                                }},
               write);
  }
  return retry::KeysWritten{command.transaction, row_version_};
}

retry::KeyEvent RequestRig::Apply(const retry::ReadKeys& command) const {
  retry::KeysRead read{.transaction = command.transaction};
  for (const retry::KeyName& key : command.keys) {
    const auto found = rows_.find(key);
    read.rows.push_back(found == rows_.end() ? std::nullopt
                                             : std::optional(found->second));
  }
  return read;
}

void RequestRig::On(const ToStore& message) {
  std::visit(
      core::Overloaded{
          [&](const auto& command) {
            const auto id = command.transaction;
            const bool writes = std::is_same_v<std::decay_t<decltype(command)>,
                                               retry::WriteKeys>;
            const retry::KeyEvent lost =
                writes ? retry::KeyEvent(retry::KeysWriteLost{id})
                       : retry::KeyEvent(retry::KeysReadFailed{id});
            if (injector_.IsCut(false, now_)) {
              Post(ToKeys{lost}, kAnswerLimit);
              return;
            }
            if (arbiter_unreachable_ ||
                injector_.Active<RefuseStore>(now_) != nullptr) {
              Post(ToKeys{writes ? retry::KeyEvent(retry::KeyStoreDown{id})
                                 : lost},
                   kHop);
              return;
            }
            const retry::KeyEvent answer = Apply(command);
            if (const SlowStore* slow = injector_.Active<SlowStore>(now_)) {
              // Past its time limit the adapter gives the answer up.
              Post(ToKeys{slow->by < kAnswerLimit ? answer : lost},
                   std::min(slow->by, kAnswerLimit));
              return;
            }
            PostAnswer(ToKeys{answer}, ToKeys{lost});
          },
          [](const retry::KeyAnswer&) {}},
      message.command);
}

void RequestRig::On(const ToIssuer& message) {
  const core::RequestId request = message.request;
  const ToTable lost{retry::KeyUnresolved{.request = request}};
  if (injector_.IsCut(false, now_) || arbiter_unreachable_ ||
      injector_.Active<FillRings>(now_) != nullptr) {
    Post(lost, kAnswerLimit);
    return;
  }
  std::vector<retry::TicketCommand> out;
  issuer_.Handle(message.event, out);
  for (const retry::TicketCommand& command : out) {
    const auto* answer = std::get_if<retry::TicketAnswer>(&command);
    if (answer == nullptr) {
      continue;
    }
    retry::RequestEvent event = lost.event;
    if (answer->verdict == retry::TicketVerdict::kGranted) {
      event = retry::KeyGranted{request};
    } else if (answer->verdict == retry::TicketVerdict::kHeld) {
      event = retry::KeyHeld{request, answer->stored};
    } else if (answer->verdict == retry::TicketVerdict::kVoid) {
      event =
          std::holds_alternative<retry::VoidTicket>(message.event)
              ? retry::RequestEvent(retry::KeyVoided{request})
              : retry::RequestEvent(retry::KeyUnresolved{
                    .request = request, .reason = retry::Reason::kTicketVoid});
    }
    PostAnswer(ToTable{event}, lost);
  }
}

void RequestRig::On(const AtEndpoint& message) {
  Attempt& attempt = attempts_.at(message.attempt);
  const core::RequestId request = attempt.request;
  const auto report = [&](retry::RequestEvent event) {
    const ToTable broken{retry::ExchangeFailed{
        request, message.attempt, retry::ExchangeStage::kReceiving,
        retry::Reason::kConnectionBroken}};
    if (!attempt.ended && !PostAnswer(ToTable{std::move(event)}, broken)) {
      attempt.ended = true;
    }
  };
  switch (message.stage) {
    case Stage::kConnect:
      if (attempt.ended || injector_.IsCut(false, now_) ||
          injector_.IsCut(true, now_)) {
        return;
      }
      attempt.connected = true;
      if (!attempt.omit_connected) {
        Post(ToTable{retry::ExchangeConnected{request, message.attempt}});
      }
      Post(AtEndpoint{message.attempt, Stage::kRun}, kHop);
      return;
    case Stage::kRun:
      if (!attempt.omit_sent && !attempt.ended) {
        Post(ToTable{retry::ExchangeSent{request, message.attempt}});
      }
      if (injector_.IsCut(false, now_)) {
        return;
      }
      Note(Executed{request, message.attempt});
      Post(AtEndpoint{message.attempt, Stage::kFirstByte}, kHop);
      return;
    case Stage::kFirstByte:
      if (!attempt.omit_first_byte) {
        report(retry::ExchangeFirstByte{request, message.attempt});
      }
      Post(AtEndpoint{message.attempt, Stage::kComplete}, kHop);
      return;
    case Stage::kComplete:
      Note(ResponseComplete{request, message.attempt});
      report(retry::ExchangeCompleted{request, message.attempt, 200});
      attempt.ended = true;
      return;
  }
}

void RequestRig::BreakExchange() {
  for (auto& [id, attempt] : attempts_) {
    if (attempt.request != primary_ || attempt.ended) {
      continue;
    }
    const core::AttemptId broken = id;
    std::erase_if(queue_, [&](const Message& message) {
      const auto* at = std::get_if<AtEndpoint>(&message.payload);
      return at != nullptr && at->attempt == broken;
    });
    attempt.ended = true;
    Post(ToTable{retry::ExchangeFailed{primary_, id,
                                       attempt.connected
                                           ? retry::ExchangeStage::kSending
                                           : retry::ExchangeStage::kConnecting,
                                       retry::Reason::kConnectionBroken}});
  }
}

void RequestRig::HoldKeyElsewhere() {
  const retry::ClaimId other{.entry = core::EntryId(2),
                             .incarnation = core::Incarnation(1),
                             .request = core::RequestId(9)};
  rows_[{core::TeamId(0), core::ServiceId(0), "k1"}] = {
      .claim = other, .version = ++row_version_};
  std::vector<retry::TicketCommand> out;
  issuer_.Handle(
      retry::ClaimTicket{
          .call = retry::TicketCallId(2), .claim = other, .ticket = ticket_},
      out);
}

bool RequestRig::Perform(std::string_view event) {
  if (event == "shutdown_started") {
    Note(ShutdownBegan{});
    shutting_down_ = true;
    Give(retry::ShutdownStarted{});
    return true;
  }
  if (event.ends_with("_expired")) {
    const auto timer = std::ranges::find_if(timers_, [&](const auto& item) {
      const bool is_deadline = item.second.at == primary_deadline_;
      return item.second.request == primary_ &&
             is_deadline == (event == "deadline_expired");
    });
    return timer != timers_.end() && ExpireTimer(timer->first);
  }
  admission_refuses_ = event == "admission_refused";
  if (event == "admission_refused") {
    std::erase_if(queue_, [](const Message& m) {
      const auto* to_table = std::get_if<ToTable>(&m.payload);
      return to_table != nullptr &&
             std::holds_alternative<retry::AdmissionGranted>(to_table->event);
    });
    Post(ToTable{retry::AdmissionRefused{.request = primary_}});
  } else if (event == "key_held") {
    HoldKeyElsewhere();
  } else if (event == "key_unresolved") {
    arbiter_unreachable_ = true;
  } else if (event == "no_endpoint") {
    std::erase_if(queue_, [](const Message& m) {
      const auto* to_table = std::get_if<ToTable>(&m.payload);
      return to_table != nullptr &&
             std::holds_alternative<retry::EndpointChosen>(to_table->event);
    });
    Post(ToTable{retry::NoEndpoint{.request = primary_}});
  } else if (event == "exchange_failed") {
    BreakExchange();
  }
  for (auto& [id, attempt] : attempts_) {
    attempt.omit_connected = event != "exchange_connected";
    attempt.omit_sent = event != "exchange_sent";
    attempt.omit_first_byte = event != "exchange_first_byte";
  }
  const std::size_t before = given_.size();
  for (int i = 0; i < 20 && !queue_.empty(); ++i) {
    Process(TakeNext());
    if (given_.size() > before) {
      break;
    }
  }
  for (auto& [id, attempt] : attempts_) {
    attempt.omit_connected = attempt.omit_sent = attempt.omit_first_byte =
        false;
  }
  return given_.size() > before;
}

}  // namespace hickoryusher::matrix
