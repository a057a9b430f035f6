#include <algorithm>
#include <iterator>
#include <utility>

#include "key_codec_p.h"
#include "retry/ticket.h"
#include "ticket_manager_p.h"

namespace hickoryusher::entry {
namespace {

// A claim is idempotent, so its call is repeated when the reply is lost.
constexpr int kMaxTries = 3;
constexpr core::Duration kCallTimeout = std::chrono::milliseconds(500);
constexpr core::Duration kVoidTimeout = std::chrono::milliseconds(80);
constexpr core::Duration kRetryAfter = std::chrono::seconds(1);

constexpr retry::TicketVerdict kVerdicts[] = {
    retry::TicketVerdict::kGranted, retry::TicketVerdict::kHeld,
    retry::TicketVerdict::kVoid, retry::TicketVerdict::kUnknown,
    retry::TicketVerdict::kInvalid};

retry::TicketVerdict ParseVerdict(const Json::Value& value) {
  const std::string name = value.asString();
  const auto* found = std::ranges::find_if(
      kVerdicts,
      [&name](retry::TicketVerdict v) { return retry::ToString(v) == name; });
  return found == std::end(kVerdicts) ? retry::TicketVerdict::kUnknown : *found;
}

std::optional<retry::TicketAnswer> DecodeAnswer(const std::string& text) {
  Json::Value result;
  std::string error;
  if (!rpc::DecodeResponse(text, result, error) || !result.isObject() ||
      !result["verdict"].isString()) {
    return std::nullopt;
  }
  return retry::TicketAnswer{.verdict = ParseVerdict(result["verdict"]),
                             .stored = DecodeOutcome(result["outcome"])};
}

std::optional<retry::Ticket> TicketParam(const Json::Value& params,
                                         std::string& error) {
  auto ticket = params["ticket"].isString()
                    ? retry::ParseTicket(params["ticket"].asString())
                    : std::nullopt;
  if (!ticket) {
    error = "ticket: expected a ticket";
  }
  return ticket;
}

void EncodeAnswer(const retry::TicketAnswer& answer, Json::Value& result) {
  result["verdict"] = std::string(retry::ToString(answer.verdict));
  if (answer.stored) {
    result["outcome"] = EncodeOutcome(*answer.stored);
  }
}

}  // namespace

TicketManager::TicketManager(const Directory& directory,
                             core::Incarnation incarnation,
                             std::uint64_t secret)
    : directory_(directory),
      incarnation_(incarnation),
      issuer_({.entry = directory.own_entry(),
               .incarnation = incarnation,
               .secret = secret}) {}

std::optional<std::vector<std::string>> TicketManager::Issue(
    std::uint32_t count) {
  std::vector<retry::TicketCommand> commands;
  issuer_.Handle(retry::IssueTickets{.count = count}, commands);
  const auto* issued = std::get_if<retry::TicketsIssued>(&commands.front());
  if (issued == nullptr) {
    return std::nullopt;
  }
  std::vector<std::string> texts;
  std::ranges::transform(issued->tickets, std::back_inserter(texts),
                         retry::FormatTicket);
  return texts;
}

void TicketManager::Claim(core::RequestId request,
                          std::string_view key,
                          core::TimePoint deadline,
                          core::TimePoint now,
                          TicketOutput& out) {
  const auto ticket = retry::ParseTicket(key);
  if (!ticket) {
    out.events.push_back(
        ClaimEvent(request, {.verdict = retry::TicketVerdict::kInvalid}));
    return;
  }
  if (ticket->issuer == directory_.own_entry()) {
    out.events.push_back(ClaimEvent(
        request,
        Ask(retry::ClaimTicket{.claim = ClaimOf(request), .ticket = *ticket})));
    return;
  }
  Json::Value params(Json::objectValue);
  params["ticket"] = std::string(key);
  params["claim"] = EncodeClaim(ClaimOf(request), directory_);
  Send({.request = request,
        .issuer = ticket->issuer,
        .text = rpc::EncodeCall("ticket.claim", params),
        .deadline = deadline},
       now, out);
}

void TicketManager::Void(core::RequestId request,
                         std::string_view key,
                         core::TimePoint now,
                         TicketOutput& out) {
  const auto ticket = retry::ParseTicket(key);
  if (!ticket) {
    out.events.push_back(
        VoidEvent(request, {.verdict = retry::TicketVerdict::kInvalid}));
    return;
  }
  if (ticket->issuer == directory_.own_entry()) {
    out.events.push_back(
        VoidEvent(request, Ask(retry::VoidTicket{.ticket = *ticket})));
    return;
  }
  Json::Value params(Json::objectValue);
  params["ticket"] = std::string(key);
  Send({.request = request,
        .issuer = ticket->issuer,
        .text = rpc::EncodeCall("ticket.void", params),
        .deadline = now + kVoidTimeout,
        .voiding = true},
       now, out);
}

void TicketManager::Report(core::RequestId request,
                           std::string_view key,
                           const retry::StoredOutcome& outcome,
                           TicketOutput& out) {
  const auto ticket = retry::ParseTicket(key);
  if (!ticket) {
    return;
  }
  if (ticket->issuer == directory_.own_entry()) {
    std::vector<retry::TicketCommand> ignored;
    issuer_.Handle(
        retry::ReportTicketOutcome{
            .claim = ClaimOf(request), .ticket = *ticket, .outcome = outcome},
        ignored);
    return;
  }
  if (ticket->issuer.value() >= directory_.entry_count()) {
    return;
  }
  Json::Value params(Json::objectValue);
  params["ticket"] = std::string(key);
  params["claim"] = EncodeClaim(ClaimOf(request), directory_);
  params["outcome"] = EncodeOutcome(outcome);
  out.calls.push_back({.id = PeerCallId(next_call_++),
                       .to = ticket->issuer,
                       .text = rpc::EncodeCall("ticket.report", params),
                       .timeout = kCallTimeout});
}

void TicketManager::Handle(const PeerReply& reply,
                           core::TimePoint now,
                           TicketOutput& out) {
  auto found = pending_.extract(reply.id);
  if (found.empty()) {
    return;
  }
  Pending pending = std::move(found.mapped());
  const auto answer = reply.text ? DecodeAnswer(*reply.text) : std::nullopt;
  if (answer) {
    out.events.push_back(ToEvent(pending, *answer));
    return;
  }
  if (pending.tries < kMaxTries && now < pending.deadline) {
    ++pending.tries;
    Send(std::move(pending), now, out);
    return;
  }
  out.events.push_back(
      ToEvent(pending, {.verdict = retry::TicketVerdict::kUnknown}));
}

void TicketManager::AddMethods(rpc::Dispatcher& dispatcher) {
  dispatcher.Add(
      "ticket.claim", [this](const Json::Value& params, Json::Value& result,
                             std::string& error) {
        const auto ticket = TicketParam(params, error);
        const retry::ClaimId claim = DecodeClaim(params["claim"], directory_);
        if (!ticket || !claim.entry.valid()) {
          error = error.empty() ? "claim: expected a claim of a known entry"
                                : error;
          return false;
        }
        EncodeAnswer(Ask(retry::ClaimTicket{.claim = claim, .ticket = *ticket}),
                     result);
        return true;
      });
  dispatcher.Add(
      "ticket.void", [this](const Json::Value& params, Json::Value& result,
                            std::string& error) {
        const auto ticket = TicketParam(params, error);
        if (!ticket) {
          return false;
        }
        EncodeAnswer(Ask(retry::VoidTicket{.ticket = *ticket}), result);
        return true;
      });
  dispatcher.Add("ticket.report", [this](const Json::Value& params,
                                         Json::Value& result,
                                         std::string& error) {
    const auto ticket = TicketParam(params, error);
    const auto outcome = DecodeOutcome(params["outcome"]);
    if (!ticket || !outcome) {
      error = error.empty() ? "outcome: expected an outcome" : error;
      return false;
    }
    std::vector<retry::TicketCommand> ignored;
    issuer_.Handle(retry::ReportTicketOutcome{.claim = DecodeClaim(
                                                  params["claim"], directory_),
                                              .ticket = *ticket,
                                              .outcome = *outcome},
                   ignored);
    result = Json::Value(Json::objectValue);
    return true;
  });
}

retry::ClaimId TicketManager::ClaimOf(core::RequestId request) const {
  return {.entry = directory_.own_entry(),
          .incarnation = incarnation_,
          .request = request};
}

retry::TicketAnswer TicketManager::Ask(const retry::TicketEvent& event) {
  std::vector<retry::TicketCommand> commands;
  issuer_.Handle(event, commands);
  return std::get<retry::TicketAnswer>(commands.front());
}

void TicketManager::Send(Pending pending,
                         core::TimePoint now,
                         TicketOutput& out) {
  if (pending.issuer.value() >= directory_.entry_count()) {
    out.events.push_back(
        ToEvent(pending, {.verdict = retry::TicketVerdict::kInvalid}));
    return;
  }
  const PeerCallId id(next_call_++);
  out.calls.push_back(
      {.id = id,
       .to = pending.issuer,
       .text = pending.text,
       .timeout = std::min(kCallTimeout, pending.deadline - now)});
  pending_.emplace(id, std::move(pending));
}

retry::RequestEvent TicketManager::ClaimEvent(
    core::RequestId request,
    const retry::TicketAnswer& answer) {
  switch (answer.verdict) {
    case retry::TicketVerdict::kGranted:
      return retry::KeyGranted{.request = request};
    case retry::TicketVerdict::kHeld:
    case retry::TicketVerdict::kVoid:
      return retry::KeyHeld{.request = request, .stored = answer.stored};
    case retry::TicketVerdict::kUnknown:
    case retry::TicketVerdict::kInvalid:
      break;
  }
  return retry::KeyUnresolved{.request = request,
                              .reason = retry::Reason::kTicketVoid,
                              .retry_after = kRetryAfter};
}

retry::RequestEvent TicketManager::VoidEvent(
    core::RequestId request,
    const retry::TicketAnswer& answer) {
  if (answer.verdict == retry::TicketVerdict::kVoid) {
    return retry::KeyVoided{.request = request};
  }
  return ClaimEvent(request, answer);
}

retry::RequestEvent TicketManager::ToEvent(const Pending& pending,
                                           const retry::TicketAnswer& answer) {
  return pending.voiding ? VoidEvent(pending.request, answer)
                         : ClaimEvent(pending.request, answer);
}

}  // namespace hickoryusher::entry
