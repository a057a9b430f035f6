#include "routing/router.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"
#include "pick_p.h"

namespace hickoryusher::routing {
namespace {

// A non-idempotent request is not used as a trial, because its caller might get
// `unknown`. After this time one is, so that a service without idempotent
// requests gets its endpoints back.
constexpr core::Duration kTrialWithAnyRequestAfter = std::chrono::seconds(5);
constexpr core::Duration kShortestRetryTime = std::chrono::milliseconds(1);
constexpr core::Duration kLongestRetryTime = std::chrono::seconds(1);

struct Service {
  std::vector<std::uint32_t> members;
  std::vector<std::uint32_t> usable;
  std::vector<std::uint32_t> on_trial;  ///< Suspect or probing.
  LatencyReference reference;
  std::vector<std::pair<core::FailureDomainId, HealthGroup>> groups;
  std::uint64_t slots_revision = 0;  ///< 0 when `usable` has to be rebuilt.
};

}  // namespace

class Router::Impl {
 public:
  Impl(HealthTable table,
       std::vector<EndpointSpec> specs,
       const RouterSettings& settings)
      : table_(std::move(table)),
        specs_(std::move(specs)),
        settings_(settings),
        slots_(specs_.size()),
        health_(specs_.size()),
        random_(settings.seed) {
    AddServices();
  }

  std::optional<Decision> Choose(const RequestFacts& request,
                                 core::TimePoint now);
  void Release(const Slot& slot,
               const AttemptResult& result,
               core::TimePoint now);
  void Handle(const MembershipEvent& event, core::TimePoint now);

  const ChooseError& last_error() const { return error_; }
  const EndpointHealth& health(core::EndpointId id) const {
    return health_[id.value()];
  }
  SlotTable& slots() { return slots_; }
  std::span<const EndpointSpec> specs() const { return specs_; }

 private:
  void AddServices();
  void Rebuild(Service& service);
  void FireTimers(core::TimePoint now);
  void NoteChange(std::uint32_t index, bool state_changed);
  std::optional<Decision> Trial(const Service& service,
                                const RequestFacts& request,
                                core::TimePoint now);
  std::optional<Decision> ChooseUsable(const Service& service,
                                       const RequestFacts& request,
                                       core::TimePoint now);
  std::optional<Decision> Refuse(Reason reason, core::Duration retry_after);
  core::Duration RetryTime(const Service& service) const;

  HealthTable table_;
  std::vector<EndpointSpec> specs_;
  RouterSettings settings_;
  SlotTable slots_;
  std::vector<EndpointHealth> health_;
  std::vector<Service> services_;  ///< By ServiceId.
  std::optional<core::TimePoint> next_timer_;
  core::Random random_;
  ChooseError error_;
};

void Router::Impl::AddServices() {
  for (std::uint32_t i = 0; i < specs_.size(); ++i) {
    const std::size_t service = specs_[i].service.value();
    services_.resize(std::max(services_.size(), service + 1));
    services_[service].members.push_back(i);
  }
  for (Service& service : services_) {
    const auto group = [&](std::uint32_t index) -> HealthGroup& {
      const core::FailureDomainId domain = specs_[index].domain;
      const auto found = std::ranges::find(
          service.groups, domain,
          &std::pair<core::FailureDomainId, HealthGroup>::first);
      return found != service.groups.end()
                 ? found->second
                 : service.groups.emplace_back(domain, HealthGroup()).second;
    };
    std::ranges::for_each(service.members,
                          [&](std::uint32_t i) { ++group(i).size; });
    // Addresses are taken only now that neither vector grows any more.
    for (const std::uint32_t i : service.members) {
      health_[i].settings = &settings_;
      health_[i].reference = &service.reference;
      health_[i].group = &group(i);
      table_.Start(health_[i]);
    }
  }
}

void Router::Impl::Rebuild(Service& service) {
  service.usable.clear();
  service.on_trial.clear();
  for (const std::uint32_t i : service.members) {
    const SlotEntry& entry = slots_.entry(core::EndpointId(i));
    const Health health = health_[i].health;
    if (entry.slots == 0 && entry.borrowed.empty()) {
      continue;
    }
    if (health == Health::kHealthy || health == Health::kSuspect) {
      service.usable.push_back(i);
    }
    if (health == Health::kSuspect || health == Health::kProbing) {
      service.on_trial.push_back(i);
    }
  }
  service.slots_revision = slots_.revision();
}

void Router::Impl::NoteChange(std::uint32_t index, bool state_changed) {
  if (state_changed) {
    services_[specs_[index].service.value()].slots_revision = 0;
  }
  const std::optional<core::TimePoint>& timer = health_[index].timer;
  if (timer && (!next_timer_ || *timer < *next_timer_)) {
    next_timer_ = timer;
  }
}

void Router::Impl::FireTimers(core::TimePoint now) {
  if (!next_timer_ || now < *next_timer_) {
    return;
  }
  next_timer_.reset();
  for (std::uint32_t i = 0; i < health_.size(); ++i) {
    const bool due = health_[i].timer && *health_[i].timer <= now;
    NoteChange(i, due && table_.FireTimer(health_[i], now));
  }
}

std::optional<Decision> Router::Impl::Choose(const RequestFacts& request,
                                             core::TimePoint now) {
  if (!request.service.valid() || request.service.value() >= services_.size() ||
      services_[request.service.value()].members.empty()) {
    return Refuse(Reason::kUnknownService, kLongestRetryTime);
  }
  if (request.deadline <= now) {
    return Refuse(Reason::kDeadlinePassed, kShortestRetryTime);
  }
  FireTimers(now);
  Service& service = services_[request.service.value()];
  if (service.slots_revision != slots_.revision()) {
    Rebuild(service);
  }
  if (auto trial = Trial(service, request, now)) {
    return trial;
  }
  if (auto decision = ChooseUsable(service, request, now)) {
    return decision;
  }
  const bool any_allowed =
      std::ranges::any_of(service.usable, [&](std::uint32_t i) {
        return std::ranges::find(request.avoid, core::EndpointId(i)) ==
               request.avoid.end();
      });
  return Refuse(any_allowed ? Reason::kNoFreeSlot : Reason::kNoHealthyEndpoint,
                RetryTime(service));
}

std::optional<Decision> Router::Impl::Trial(const Service& service,
                                            const RequestFacts& request,
                                            core::TimePoint now) {
  // A retry is no trial: its caller has waited long enough.
  if (!request.avoid.empty()) {
    return std::nullopt;
  }
  for (const std::uint32_t i : service.on_trial) {
    EndpointHealth& health = health_[i];
    const core::EndpointId id(i);
    const bool suitable = health.trial_due &&
                          (request.idempotent || now - health.trial_since >=
                                                     kTrialWithAnyRequestAfter);
    if (!suitable) {
      continue;
    }
    if (const auto slot = slots_.Reserve(id, request.deadline)) {
      health.trial_due = false;
      return Decision{.slot = *slot,
                      .reason = Reason::kTrial,
                      .health = health.health,
                      .candidates = {Candidate{.endpoint = id}}};
    }
  }
  return std::nullopt;
}

std::optional<Decision> Router::Impl::ChooseUsable(const Service& service,
                                                   const RequestFacts& request,
                                                   core::TimePoint now) {
  PickInput input{.usable = service.usable,
                  .specs = specs_,
                  .health = health_,
                  .slots = &slots_,
                  .request = &request,
                  .skip_racks = !request.racks_last.empty(),
                  .now = now};
  std::array<Candidate, 2> found = Pick(settings_.policy, input, random_);
  Reason reason =
      found[1].endpoint.valid() ? Reason::kBestScore : Reason::kOnlyCandidate;
  if (!found[0].endpoint.valid() && input.skip_racks) {
    input.skip_racks = false;
    found = Pick(settings_.policy, input, random_);
    reason = Reason::kRackTriedLast;
  }
  if (!found[0].endpoint.valid()) {
    return std::nullopt;
  }
  const core::EndpointId id = found[0].endpoint;
  return Decision{.slot = *slots_.Reserve(id, request.deadline),
                  .reason = reason,
                  .health = health_[id.value()].health,
                  .candidates = found};
}

std::optional<Decision> Router::Impl::Refuse(Reason reason,
                                             core::Duration retry_after) {
  error_ = {.reason = reason, .retry_after = retry_after};
  return std::nullopt;
}

core::Duration Router::Impl::RetryTime(const Service& service) const {
  // A slot becomes free after about one latency.
  const core::Duration latency(
      static_cast<std::int64_t>(service.reference.nanos));
  return service.usable.empty()
             ? kLongestRetryTime
             : std::clamp(latency, kShortestRetryTime, kLongestRetryTime);
}

void Router::Impl::Release(const Slot& slot,
                           const AttemptResult& result,
                           core::TimePoint now) {
  slots_.Release(slot);
  const std::uint32_t index = slot.endpoint.value();
  NoteChange(index, table_.Record(health_[index], result, now));
}

void Router::Impl::Handle(const MembershipEvent& event, core::TimePoint now) {
  const auto on_vm = [&](core::VmId vm, auto change) {
    for (std::uint32_t i = 0; i < specs_.size(); ++i) {
      if (specs_[i].vm == vm) {
        NoteChange(i, change(health_[i]));
      }
    }
  };
  std::visit(core::Overloaded{[&](const VmLeaving& leaving) {
                                on_vm(leaving.vm, [&](EndpointHealth& e) {
                                  return table_.Leave(e, now);
                                });
                              },
                              [&](const VmReturned& returned) {
                                on_vm(returned.vm, [&](EndpointHealth& e) {
                                  return table_.Return(e, now);
                                });
                              },
                              [&](const EndpointLeaving& leaving) {
                                const std::uint32_t i =
                                    leaving.endpoint.value();
                                NoteChange(i, table_.Leave(health_[i], now));
                              }},
             event);
}

Router::Router(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
Router::~Router() = default;

std::optional<Decision> Router::Choose(const RequestFacts& request,
                                       core::TimePoint now) {
  return impl_->Choose(request, now);
}

void Router::Release(const Slot& slot,
                     const AttemptResult& result,
                     core::TimePoint now) {
  impl_->Release(slot, result, now);
}

void Router::Handle(const MembershipEvent& event, core::TimePoint now) {
  impl_->Handle(event, now);
}

const ChooseError& Router::last_error() const {
  return impl_->last_error();
}

Health Router::health(core::EndpointId endpoint) const {
  return impl_->health(endpoint).health;
}

SlotTable& Router::slots() {
  return impl_->slots();
}

const SlotTable& Router::slots() const {
  return impl_->slots();
}

std::span<const EndpointSpec> Router::endpoints() const {
  return impl_->specs();
}

Router::Builder& Router::Builder::HealthChart(const chart::Chart& health) {
  health_ = &health;
  return *this;
}

Router::Builder& Router::Builder::AddEndpoint(const EndpointSpec& endpoint) {
  endpoints_.push_back(endpoint);
  return *this;
}

Router::Builder& Router::Builder::Settings(const RouterSettings& settings) {
  settings_ = settings;
  return *this;
}

Router::Builder& Router::Builder::Seat(core::FailureDomainId domain,
                                       SeatId seat,
                                       std::uint32_t seats) {
  domain_ = domain;
  seat_ = seat;
  seats_ = seats;
  return *this;
}

Router::Builder& Router::Builder::StartWithOwnShare() {
  own_share_ = true;
  return *this;
}

std::optional<Router> Router::Builder::Build() {
  problems_.clear();
  if (health_ == nullptr) {
    problems_.emplace_back("no chart of endpoint health");
  }
  if (!domain_.valid() || seat_.value() >= seats_) {
    problems_.emplace_back("the seat is not among the seats of a domain");
  }
  const bool complete =
      std::ranges::all_of(endpoints_, [](const EndpointSpec& e) {
        return e.service.valid() && e.vm.valid() && e.rack.valid() &&
               e.domain.valid() && e.slots > 0 && e.connections >= e.slots;
      });
  if (!complete) {
    problems_.emplace_back(
        "an endpoint lacks its service, VM, rack or domain, or has no slot or "
        "fewer connections than slots");
  }
  auto table = health_ == nullptr ? std::nullopt
                                  : HealthTable::Create(*health_, problems_);
  if (!problems_.empty()) {
    return std::nullopt;
  }
  auto impl = std::make_unique<Impl>(std::move(*table), endpoints_, settings_);
  for (std::uint32_t i = 0; own_share_ && i < endpoints_.size(); ++i) {
    const core::EndpointId id(i);
    if (endpoints_[i].domain == domain_) {
      impl->slots().SetLimit(
          id, StaticShare(endpoints_[i].slots, id, seat_, seats_),
          StaticShare(endpoints_[i].connections, id, seat_, seats_));
    }
  }
  return Router(std::move(impl));
}

}  // namespace hickoryusher::routing
