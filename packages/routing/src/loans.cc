#include "loans_p.h"

#include <algorithm>

namespace hickoryusher::routing {
namespace {

core::Duration Scale(core::Duration duration, double factor) {
  return core::Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::optional<LoanGrant> LentLoans::Lend(const PeerIdentity& to,
                                         const LoanAsk& ask,
                                         int allowance,
                                         const SlotEntry& entry,
                                         core::TimePoint now) {
  const auto repeated = std::ranges::find_if(loans_, [&](const Loan& loan) {
    return loan.to == to && loan.grant.loan == ask.loan;
  });
  if (repeated != loans_.end()) {
    return repeated->grant;
  }
  int& lent = lent_[ask.endpoint.value()];
  // Connections follow the slots: a request of the own share needs at most one
  // connection, so idle ones are the part that has to be closed first.
  const int slots =
      std::min({ask.slots,
                allowance - lent - entry.in_flight - settings_.lending_reserve,
                entry.connections - entry.open_connections});
  if (slots <= 0) {
    return std::nullopt;
  }
  lent += slots;
  const LoanGrant grant{.loan = ask.loan,
                        .endpoint = ask.endpoint,
                        .slots = slots,
                        .duration = settings_.loan};
  // The borrower stops after loan x (1 - margin) on its clock. Together with
  // this, the loan is over on both clocks if each is off by up to the margin.
  loans_.push_back(
      {.to = to,
       .grant = grant,
       .until = now + Scale(settings_.loan, 1 + settings_.clock_margin)});
  return grant;
}

std::vector<core::EndpointId> LentLoans::Expire(core::TimePoint now) {
  std::vector<core::EndpointId> changed;
  std::erase_if(loans_, [&](const Loan& loan) {
    if (loan.until > now) {
      return false;
    }
    lent_[loan.grant.endpoint.value()] -= loan.grant.slots;
    changed.push_back(loan.grant.endpoint);
    return true;
  });
  return changed;
}

std::optional<std::pair<SeatAddress, LoanAsk>> AskedLoans::Ask(
    const LoanWanted& wanted,
    core::FailureDomainId domain,
    core::TimePoint now) {
  std::erase_if(open_, [&](const Open& open) {
    return now - open.asked >= settings_.ask_interval;
  });
  const bool already = std::ranges::any_of(open_, [&](const Open& open) {
    return open.ask.endpoint == wanted.endpoint;
  });
  const auto found = std::ranges::find(
      domains_, domain,
      &std::pair<core::FailureDomainId, std::uint32_t>::first);
  if (already || found == domains_.end()) {
    return std::nullopt;
  }
  SeatAddress to{.domain = domain, .seat = SeatId(next_seat_ % found->second)};
  ++next_seat_;
  if (to == self_) {
    to.seat = SeatId(next_seat_ % found->second);
    ++next_seat_;
  }
  if (to == self_) {
    return std::nullopt;
  }
  const LoanAsk ask{.loan = LoanId(next_id_++),
                    .endpoint = wanted.endpoint,
                    .slots = wanted.slots};
  open_.push_back({.ask = ask, .asked = now});
  return std::pair(to, ask);
}

std::optional<BorrowedSlots> AskedLoans::Accept(const LoanGrant& grant,
                                                core::TimePoint now) {
  const auto open = std::ranges::find_if(open_, [&](const Open& candidate) {
    return candidate.ask.loan == grant.loan &&
           candidate.ask.endpoint == grant.endpoint;
  });
  if (open == open_.end()) {
    return std::nullopt;
  }
  const core::TimePoint expiry =
      open->asked + Scale(grant.duration, 1 - settings_.clock_margin);
  open_.erase(open);
  if (expiry <= now) {
    return std::nullopt;
  }
  return BorrowedSlots{
      .id = grant.loan, .slots = grant.slots, .expiry = expiry};
}

}  // namespace hickoryusher::routing
