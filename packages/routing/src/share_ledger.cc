#include "routing/share_ledger.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "core/overloaded.h"
#include "loans_p.h"
#include "peers_p.h"
#include "routing/router.h"

namespace hickoryusher::routing {
namespace {

enum class Use {
  kNone,
  kAsking,
  kHeld,
  kYielding,  ///< No new use; requests and loans are still running out.
};

/// What this process does with the share of one seat.
struct Claim {
  Use use = Use::kNone;
  std::uint64_t round = 0;
  std::vector<bool> permitted;  ///< By seat, for the current round.
};

struct Allowance {
  int slots = 0;
  int connections = 0;
};

/// Time, on this process's clock, after which requests and loans of a dead
/// process are over on every clock.
core::Duration LongestUse(const ShareSettings& settings) {
  const auto longest = std::max(settings.longest_deadline, settings.loan);
  return core::Duration(static_cast<std::int64_t>(
      static_cast<double>(longest.count()) * (1 + settings.clock_margin) /
      (1 - settings.clock_margin)));
}

template <typename Domains>
std::uint32_t SeatsOf(const Domains& domains, core::FailureDomainId domain) {
  const auto found =
      std::ranges::find(domains, domain, &Domains::value_type::first);
  return found == domains.end() ? 0 : found->second;
}

}  // namespace

class ShareLedger::Impl {
 public:
  explicit Impl(const Builder& builder)
      : settings_(builder.settings_),
        specs_(builder.endpoints_),
        self_(builder.self_),
        seats_(SeatsOf(builder.domains_, self_.address.domain)),
        quiet_until_(builder.predecessor_
                         ? builder.started_ + LongestUse(settings_)
                         : builder.started_),
        next_ask_(builder.started_),
        next_hello_(builder.started_),
        peers_(self_, seats_),
        claims_(seats_),
        allowances_(specs_.size()),
        lent_(settings_, specs_.size()),
        asked_(settings_, self_.address, builder.domains_) {}

  void Handle(const ShareEvent& event,
              SlotTable& slots,
              core::TimePoint now,
              ShareCommands& out);
  core::TimePoint NextTimer() const { return next_ask_; }
  bool Holds(SeatId share) const {
    return claims_[share.value()].use == Use::kHeld;
  }

 private:
  /// One call of Handle.
  struct Call {
    SlotTable& slots;
    core::TimePoint now;
    ShareCommands& out;
  };

  void Receive(const Call& call, const ShareEnvelope& envelope);
  void OnAsk(const Call& call, const PeerIdentity& from, const ShareAsk& ask);
  void OnPermit(const PeerIdentity& from, const SharePermit& permit);
  void OnLoanAsk(const Call& call,
                 const PeerIdentity& from,
                 const LoanAsk& ask);
  void OnLoanGrant(const Call& call, const LoanGrant& grant);
  void Advance(const Call& call);
  void AdvanceClaim(const Call& call, SeatId share);
  void ExpireLoans(const Call& call);
  void SendPeriodic(const Call& call);
  void SendToPeers(const Call& call, const ShareMessage& message);
  void Send(const Call& call,
            SeatAddress to,
            core::Incarnation incarnation,
            const ShareMessage& message) const;
  void Abandon(Claim& claim);
  void SetUse(const Call& call, SeatId share, Use use);
  void UpdateAllowances(const Call& call);
  void UpdateLimit(const Call& call, core::EndpointId endpoint);
  bool IsReady(const Call& call, const Claim& claim) const;
  bool IsDrained(const Call& call) const;
  bool IsQuiet(const Call& call) const { return call.now < quiet_until_; }
  std::uint32_t own_seat() const { return self_.address.seat.value(); }

  ShareSettings settings_;
  std::vector<EndpointSpec> specs_;
  PeerIdentity self_;
  std::uint32_t seats_;
  core::TimePoint quiet_until_;
  core::TimePoint next_ask_;
  core::TimePoint next_hello_;
  PeerTable peers_;
  std::vector<Claim> claims_;          ///< By seat.
  std::vector<Allowance> allowances_;  ///< Of the held shares, by endpoint.
  LentLoans lent_;
  AskedLoans asked_;
  bool releasing_ = false;
};

void ShareLedger::Impl::Handle(const ShareEvent& event,
                               SlotTable& slots,
                               core::TimePoint now,
                               ShareCommands& out) {
  const Call call{.slots = slots, .now = now, .out = out};
  std::visit(
      core::Overloaded{
          [&](const MessageReceived& received) {
            Receive(call, received.envelope);
          },
          [&](const VmListRead& read) { peers_.NoteVmList(read, now); },
          [&](const LoanWanted& wanted) {
            const auto ask =
                asked_.Ask(wanted, specs_[wanted.endpoint.value()].domain, now);
            if (ask && !releasing_) {
              Send(call, ask->first, core::Incarnation(), ask->second);
            }
          },
          [](const Wake&) {}, [&](const ReleaseShares&) { releasing_ = true; }},
      event);
  Advance(call);
}

void ShareLedger::Impl::Receive(const Call& call,
                                const ShareEnvelope& envelope) {
  const PeerIdentity& from = envelope.from;
  if (envelope.to != self_.address || from.address == self_.address) {
    return;
  }
  const bool same_domain = from.address.domain == self_.address.domain;
  if (same_domain &&
      (from.address.seat.value() >= seats_ || !peers_.Note(envelope))) {
    return;
  }
  // An answer to an earlier run of this process counts from that run's ask.
  const bool is_answer = envelope.to_incarnation == self_.incarnation;
  std::visit(
      core::Overloaded{[](const Hello&) {},
                       [&](const ShareAsk& ask) {
                         if (same_domain) {
                           OnAsk(call, from, ask);
                         }
                       },
                       [&](const SharePermit& permit) {
                         if (same_domain && is_answer) {
                           OnPermit(from, permit);
                         }
                       },
                       [&](const SharesReleased&) {
                         if (same_domain) {
                           peers_.NoteReleased(envelope, call.now);
                         }
                       },
                       [&](const LoanAsk& ask) { OnLoanAsk(call, from, ask); },
                       [&](const LoanGrant& grant) {
                         if (is_answer) {
                           OnLoanGrant(call, grant);
                         }
                       }},
      envelope.message);
}

void ShareLedger::Impl::OnAsk(const Call& call,
                              const PeerIdentity& from,
                              const ShareAsk& ask) {
  if (ask.share.value() >= seats_ || IsQuiet(call)) {
    return;
  }
  Claim& claim = claims_[ask.share.value()];
  const bool precedes = peers_.Distance(ask.share, from.address.seat.value()) <
                        peers_.Distance(ask.share, own_seat());
  if (claim.use == Use::kHeld && precedes) {
    SetUse(call, ask.share, Use::kYielding);
    AdvanceClaim(call, ask.share);
  }
  if (claim.use == Use::kAsking && precedes) {
    Abandon(claim);
  }
  if (claim.use == Use::kNone) {
    Send(call, from.address, from.incarnation,
         SharePermit{.share = ask.share, .round = ask.round});
  }
}

void ShareLedger::Impl::OnPermit(const PeerIdentity& from,
                                 const SharePermit& permit) {
  if (permit.share.value() >= seats_) {
    return;
  }
  Claim& claim = claims_[permit.share.value()];
  if (claim.use == Use::kAsking && claim.round == permit.round) {
    claim.permitted[from.address.seat.value()] = true;
  }
}

void ShareLedger::Impl::OnLoanAsk(const Call& call,
                                  const PeerIdentity& from,
                                  const LoanAsk& ask) {
  if (ask.endpoint.value() >= specs_.size()) {
    return;
  }
  const auto grant =
      lent_.Lend(from, ask, allowances_[ask.endpoint.value()].slots,
                 call.slots.entry(ask.endpoint), call.now);
  if (grant) {
    UpdateLimit(call, ask.endpoint);
    Send(call, from.address, from.incarnation, *grant);
  }
}

void ShareLedger::Impl::OnLoanGrant(const Call& call, const LoanGrant& grant) {
  if (const auto loan = asked_.Accept(grant, call.now)) {
    call.slots.AddLoan(grant.endpoint, *loan);
    call.out.emplace_back(LoanReceived{.loan = loan->id,
                                       .endpoint = grant.endpoint,
                                       .slots = loan->slots,
                                       .expiry = loan->expiry});
  }
}

void ShareLedger::Impl::Advance(const Call& call) {
  ExpireLoans(call);
  for (const std::uint32_t seat : std::views::iota(0U, seats_)) {
    AdvanceClaim(call, SeatId(seat));
  }
  if (call.now >= next_ask_) {
    next_ask_ = call.now + settings_.ask_interval;
    SendPeriodic(call);
  }
}

void ShareLedger::Impl::AdvanceClaim(const Call& call, SeatId share) {
  Claim& claim = claims_[share.value()];
  const bool wanted = !releasing_ && peers_.IsSuccessor(share);
  switch (claim.use) {
    case Use::kNone:
      if (wanted) {
        Abandon(claim);
        claim.use = Use::kAsking;
      }
      break;
    case Use::kAsking:
      if (!wanted) {
        Abandon(claim);
      } else if (IsReady(call, claim)) {
        SetUse(call, share, Use::kHeld);
      }
      break;
    case Use::kHeld:
      if (releasing_) {
        SetUse(call, share, Use::kYielding);
      }
      break;
    case Use::kYielding:
      break;
  }
  if (claim.use == Use::kYielding && IsDrained(call)) {
    SetUse(call, share, Use::kNone);
  }
}

void ShareLedger::Impl::ExpireLoans(const Call& call) {
  std::ranges::for_each(lent_.Expire(call.now),
                        [&](core::EndpointId id) { UpdateLimit(call, id); });
  for (std::uint32_t i = 0; i < specs_.size(); ++i) {
    if (!call.slots.entries()[i].borrowed.empty()) {
      call.slots.DropExpiredLoans(core::EndpointId(i), call.now);
    }
  }
}

void ShareLedger::Impl::SendPeriodic(const Call& call) {
  for (const std::uint32_t share : std::views::iota(0U, seats_)) {
    const Claim& claim = claims_[share];
    for (const std::uint32_t seat : std::views::iota(0U, seats_)) {
      if (claim.use == Use::kAsking && seat != own_seat() &&
          !claim.permitted[seat] && !peers_.peer(seat).proven_dead) {
        Send(call, {self_.address.domain, SeatId(seat)},
             peers_.peer(seat).incarnation,
             ShareAsk{.share = SeatId(share), .round = claim.round});
      }
    }
  }
  if (call.now >= next_hello_) {
    next_hello_ = call.now + settings_.hello_interval;
    SendToPeers(call, Hello{});
  }
  const bool borrowed_idle =
      std::ranges::all_of(call.slots.entries(), [](const SlotEntry& entry) {
        return std::ranges::all_of(
            entry.borrowed,
            [](const BorrowedSlots& loan) { return loan.in_flight == 0; });
      });
  if (releasing_ && borrowed_idle && IsDrained(call)) {
    // During the quiet time requests of a predecessor may be in flight.
    if (!IsQuiet(call)) {
      SendToPeers(call, SharesReleased{});
    }
    call.out.emplace_back(AllReleased{});
  }
}

void ShareLedger::Impl::SendToPeers(const Call& call,
                                    const ShareMessage& message) {
  for (const std::uint32_t seat : std::views::iota(0U, seats_)) {
    const Peer& peer = peers_.peer(seat);
    if (seat != own_seat() && !peer.proven_dead) {
      Send(call, {self_.address.domain, SeatId(seat)}, peer.incarnation,
           message);
    }
  }
}

void ShareLedger::Impl::Send(const Call& call,
                             SeatAddress to,
                             core::Incarnation incarnation,
                             const ShareMessage& message) const {
  call.out.emplace_back(SendMessage{{.from = self_,
                                     .to = to,
                                     .to_incarnation = incarnation,
                                     .message = message}});
}

/// Ends the round, so that permits on their way do not count for a later one.
void ShareLedger::Impl::Abandon(Claim& claim) {
  claim.use = Use::kNone;
  ++claim.round;
  claim.permitted.assign(seats_, false);
}

void ShareLedger::Impl::SetUse(const Call& call, SeatId share, Use use) {
  Claim& claim = claims_[share.value()];
  const bool held = claim.use == Use::kHeld;
  claim.use = use;
  if (held != (use == Use::kHeld)) {
    call.out.emplace_back(ShareChanged{.share = share, .held = !held});
    UpdateAllowances(call);
  }
}

void ShareLedger::Impl::UpdateAllowances(const Call& call) {
  for (std::uint32_t i = 0; i < specs_.size(); ++i) {
    const core::EndpointId id(i);
    const EndpointSpec& spec = specs_[i];
    if (spec.domain != self_.address.domain) {
      continue;
    }
    Allowance sum;
    for (const std::uint32_t seat : std::views::iota(0U, seats_)) {
      if (Holds(SeatId(seat))) {
        sum.slots += StaticShare(spec.slots, id, SeatId(seat), seats_);
        sum.connections +=
            StaticShare(spec.connections, id, SeatId(seat), seats_);
      }
    }
    allowances_[i] = sum;
    UpdateLimit(call, id);
  }
}

void ShareLedger::Impl::UpdateLimit(const Call& call,
                                    core::EndpointId endpoint) {
  const Allowance& allowance = allowances_[endpoint.value()];
  const int lent = lent_.lent(endpoint);
  const int slots = std::max(0, allowance.slots - lent);
  const int connections = std::max(0, allowance.connections - lent);
  const SlotEntry& entry = call.slots.entry(endpoint);
  if (entry.slots != slots || entry.connections != connections) {
    call.slots.SetLimit(endpoint, slots, connections);
    call.out.emplace_back(LimitChanged{
        .endpoint = endpoint, .slots = slots, .connections = connections});
  }
}

bool ShareLedger::Impl::IsReady(const Call& call, const Claim& claim) const {
  const auto agrees = [&](std::uint32_t seat) {
    const Peer& peer = peers_.peer(seat);
    return seat == own_seat() || claim.permitted[seat] ||
           (peer.proven_dead &&
            (peer.released ||
             call.now - *peer.proven_dead >= LongestUse(settings_)));
  };
  return !IsQuiet(call) &&
         std::ranges::all_of(std::views::iota(0U, seats_), agrees);
}

bool ShareLedger::Impl::IsDrained(const Call& call) const {
  return std::ranges::all_of(
      std::views::iota(std::size_t{0}, specs_.size()), [&](std::size_t i) {
        const core::EndpointId id(static_cast<std::uint32_t>(i));
        const SlotEntry& entry = call.slots.entry(id);
        const int lent = lent_.lent(id);
        return entry.in_flight + lent <= allowances_[i].slots &&
               entry.open_connections + lent <= allowances_[i].connections;
      });
}

ShareLedger::ShareLedger(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
ShareLedger::ShareLedger(ShareLedger&&) noexcept = default;
ShareLedger& ShareLedger::operator=(ShareLedger&&) noexcept = default;
ShareLedger::~ShareLedger() = default;

void ShareLedger::Handle(const ShareEvent& event,
                         SlotTable& slots,
                         core::TimePoint now,
                         ShareCommands& out) {
  impl_->Handle(event, slots, now, out);
}

core::TimePoint ShareLedger::NextTimer() const {
  return impl_->NextTimer();
}

bool ShareLedger::Holds(SeatId share) const {
  return impl_->Holds(share);
}

std::optional<ShareLedger> ShareLedger::Builder::Build() {
  problems_.clear();
  if (self_.address.seat.value() >= SeatsOf(domains_, self_.address.domain)) {
    problems_.emplace_back("the seat is not among the seats of its domain");
  }
  if (!self_.incarnation.valid() || !self_.vm.valid()) {
    problems_.emplace_back("the process has no incarnation or no VM");
  }
  if (!std::ranges::all_of(endpoints_, [&](const EndpointSpec& endpoint) {
        return SeatsOf(domains_, endpoint.domain) > 0;
      })) {
    problems_.emplace_back("an endpoint is in a domain without seats");
  }
  if (!problems_.empty()) {
    return std::nullopt;
  }
  return ShareLedger(std::make_unique<Impl>(*this));
}

}  // namespace hickoryusher::routing
