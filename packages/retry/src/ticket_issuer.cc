#include "retry/ticket_issuer.h"

#include <utility>

namespace hickoryusher::retry {

TicketIssuer::TicketIssuer(const TicketIssuerSettings& settings)
    : settings_(settings), used_(settings.window, false) {}

void TicketIssuer::Handle(const TicketEvent& event,
                          std::vector<TicketCommand>& out) {
  out_ = &out;
  std::visit([this](const auto& typed) { On(typed); }, event);
  out_ = nullptr;
}

void TicketIssuer::On(const IssueTickets& event) {
  if (event.count == 0 || event.count > settings_.max_per_call) {
    out_->emplace_back(TicketsRefused{.call = event.call,
                                      .max_count = settings_.max_per_call});
    return;
  }
  TicketsIssued issued{.call = event.call};
  issued.tickets.reserve(event.count);
  for (std::uint32_t i = 0; i < event.count; ++i) {
    Ticket ticket{.issuer = settings_.entry,
                  .incarnation = settings_.incarnation,
                  .sequence = next_sequence_++};
    ticket.check = TicketCheck(ticket, settings_.secret);
    Used(ticket.sequence) = false;
    issued.tickets.push_back(ticket);
  }
  out_->emplace_back(std::move(issued));
}

void TicketIssuer::On(const ClaimTicket& event) {
  if (const auto verdict = Reject(event.ticket)) {
    out_->emplace_back(TicketAnswer{.call = event.call, .verdict = *verdict});
    return;
  }
  const std::uint64_t sequence = event.ticket.sequence;
  if (!Used(sequence)) {
    Used(sequence) = true;
    Remember(sequence, {.holder = event.claim});
    out_->emplace_back(
        TicketAnswer{.call = event.call, .verdict = TicketVerdict::kGranted});
    return;
  }
  const auto found = recent_.find(sequence);
  if (found != recent_.end() && found->second.holder == event.claim &&
      !found->second.outcome.has_value()) {
    // The first answer was lost; the same request asks again.
    out_->emplace_back(
        TicketAnswer{.call = event.call, .verdict = TicketVerdict::kGranted});
    return;
  }
  out_->emplace_back(AnswerUsed(event.call, sequence));
}

void TicketIssuer::On(const VoidTicket& event) {
  if (const auto verdict = Reject(event.ticket)) {
    out_->emplace_back(TicketAnswer{.call = event.call, .verdict = *verdict});
    return;
  }
  const std::uint64_t sequence = event.ticket.sequence;
  if (!Used(sequence)) {
    Used(sequence) = true;
    Remember(sequence,
             {.outcome = StoredOutcome{.outcome = Outcome::kNotRun,
                                       .reason = Reason::kTicketVoid}});
  }
  out_->emplace_back(AnswerUsed(event.call, sequence));
}

void TicketIssuer::On(const ReportTicketOutcome& event) {
  if (Reject(event.ticket).has_value()) {
    return;
  }
  const auto found = recent_.find(event.ticket.sequence);
  if (found == recent_.end() || found->second.holder != event.claim ||
      found->second.outcome.has_value() ||
      event.outcome.response.size() > settings_.max_recent_bytes) {
    return;
  }
  found->second.outcome = event.outcome;
  recent_bytes_ += event.outcome.response.size();
  while (recent_bytes_ > settings_.max_recent_bytes) {
    ForgetOldest();
  }
}

std::optional<TicketVerdict> TicketIssuer::Reject(const Ticket& ticket) const {
  if (ticket.issuer != settings_.entry ||
      ticket.incarnation != settings_.incarnation) {
    return TicketVerdict::kUnknown;
  }
  if (ticket.check != TicketCheck(ticket, settings_.secret) ||
      ticket.sequence >= next_sequence_) {
    return TicketVerdict::kInvalid;
  }
  if (next_sequence_ - ticket.sequence > settings_.window) {
    return TicketVerdict::kUnknown;
  }
  return std::nullopt;
}

std::vector<bool>::reference TicketIssuer::Used(std::uint64_t sequence) {
  return used_[sequence % settings_.window];
}

void TicketIssuer::Remember(std::uint64_t sequence, Recent recent) {
  while (recent_.size() >= settings_.max_recent) {
    ForgetOldest();
  }
  recent_.emplace(sequence, std::move(recent));
  recent_order_.push_back(sequence);
}

void TicketIssuer::ForgetOldest() {
  const auto found = recent_.find(recent_order_.front());
  recent_order_.pop_front();
  if (found->second.outcome.has_value()) {
    recent_bytes_ -= found->second.outcome->response.size();
  }
  recent_.erase(found);
}

TicketAnswer TicketIssuer::AnswerUsed(TicketCallId call,
                                      std::uint64_t sequence) const {
  const auto found = recent_.find(sequence);
  if (found == recent_.end()) {
    return {.call = call, .verdict = TicketVerdict::kHeld};
  }
  return {.call = call,
          .verdict = found->second.holder.has_value() ? TicketVerdict::kHeld
                                                      : TicketVerdict::kVoid,
          .stored = found->second.outcome};
}

}  // namespace hickoryusher::retry
