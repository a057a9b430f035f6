#include "share_simulation.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"
#include "routing/router.h"

namespace hickoryusher::routing {
namespace {

using namespace std::chrono_literals;

constexpr core::Duration kTick = 2ms;
constexpr core::Duration kLongestDeadline = 2s;
constexpr std::uint32_t kDomains = 2;
constexpr std::uint32_t kSeats = 3;
constexpr std::uint32_t kEndpoints = 4;
/// Connections that a process keeps closed, so that some can be lent.
constexpr int kSpareConnections = 4;

std::size_t Index(SeatAddress address) {
  return std::size_t{address.domain.value()} * kSeats + address.seat.value();
}

}  // namespace

ShareSimulation::ShareSimulation(std::uint64_t seed, Defect defect)
    : random_(seed), defect_(defect) {
  settings_ = {.longest_deadline = kLongestDeadline,
               .loan = 1s,
               .hello_interval = 200ms};
  if (defect == Defect::kNoInFlightWait) {
    settings_.longest_deadline = 1ms;
    settings_.loan = 100ms;
  }
  if (defect == Defect::kLoanWithoutMargin) {
    settings_.clock_margin = 0;
  }
  for (std::uint32_t i = 0; i < kEndpoints; ++i) {
    specs_.push_back({.service = core::ServiceId(0),
                      .vm = core::VmId(1000 + i),
                      .rack = core::RackId(i),
                      .domain = core::FailureDomainId(i % kDomains)});
  }
  endpoints_.resize(kEndpoints);
  seats_.resize(std::size_t{kDomains} * kSeats);
  replace_at_.resize(seats_.size());
  for (std::uint32_t i = 0; i < seats_.size(); ++i) {
    Start({core::FailureDomainId(i / kSeats), SeatId(i % kSeats)}, 1,
          core::VmId(next_vm_++), true);
  }
  PublishVmList();
}

core::TimePoint ShareSimulation::Local(const Process& process) const {
  return core::TimePoint(
      process.offset + core::Duration(static_cast<std::int64_t>(
                           static_cast<double>(now_.count()) * process.rate)));
}

core::Duration ShareSimulation::True(const Process& process,
                                     core::TimePoint local) const {
  const core::Duration run = local.time_since_epoch() - process.offset;
  return core::Duration(static_cast<std::int64_t>(
      static_cast<double>(run.count()) / process.rate));
}

ShareSimulation::Process& ShareSimulation::Start(SeatAddress address,
                                                 std::uint64_t incarnation,
                                                 core::VmId vm,
                                                 bool first) {
  Process& process = processes_.emplace_back();
  process.identity = {address, core::Incarnation(incarnation), vm};
  process.rate = 0.99 + 0.01 * static_cast<double>(random_() % 3);
  process.offset = Between(1h, 100h);
  process.slots = std::make_unique<SlotTable>(kEndpoints);
  process.last_heard.assign(kSeats, now_);
  ShareLedger::Builder builder;
  builder.Endpoints(specs_)
      .Self(process.identity)
      .Settings(settings_)
      .StartedAt(Local(process));
  for (std::uint32_t i = 0; i < kDomains; ++i) {
    builder.AddDomain(core::FailureDomainId(i), kSeats);
  }
  if (first || defect_ == Defect::kReplacementAtOnce) {
    builder.NoPredecessor();
  }
  process.ledger.emplace(*builder.Build());
  seats_[Index(address)] = &process;
  return process;
}

void ShareSimulation::Run(core::Duration duration) {
  const core::Duration end = now_ + duration;
  while (now_ < end && !violation_) {
    Tick();
  }
}

void ShareSimulation::Settle(core::Duration duration) {
  faults_ = false;
  cut_until_ = now_;
  Run(duration);
}

int ShareSimulation::GrantedSlots(std::uint32_t endpoint) const {
  int sum = 0;
  for (const Process* process : seats_) {
    for (std::uint32_t share = 0; share < kSeats; ++share) {
      if (process->ledger->Holds(SeatId(share)) &&
          process->identity.address.domain == specs_[endpoint].domain) {
        sum += StaticShare(specs_[endpoint].slots, core::EndpointId(endpoint),
                           SeatId(share), kSeats);
      }
    }
  }
  return sum;
}

void ShareSimulation::Tick() {
  now_ += kTick;
  if (faults_) {
    InjectFaults();
  }
  for (std::size_t i = 0; i < seats_.size(); ++i) {
    if (seats_[i]->life == Life::kDead && replace_at_[i] <= now_) {
      Replace(*seats_[i]);
    }
  }
  Deliver();
  for (Process* process : seats_) {
    if (process->life == Life::kFrozen && process->resume_at <= now_) {
      process->life = Life::kRunning;
    }
    if (process->life == Life::kRunning) {
      RunProcess(*process);
    }
  }
  CountConnections();
}

void ShareSimulation::Deliver() {
  std::vector<InTransit> due;
  std::erase_if(network_, [&](const InTransit& message) {
    if (message.arrival > now_) {
      return false;
    }
    due.push_back(message);
    return true;
  });
  std::ranges::shuffle(due, random_);
  for (const InTransit& message : due) {
    Process& to = *seats_[Index(message.envelope.to)];
    if (to.life != Life::kDead) {
      to.inbox.push_back(message.envelope);
    }
  }
}

void ShareSimulation::RunProcess(Process& process) {
  Finish(process, false);
  for (const ShareEnvelope& envelope : std::exchange(process.inbox, {})) {
    const SeatAddress from = envelope.from.address;
    if (from.domain == process.identity.address.domain) {
      process.last_heard[from.seat.value()] = now_;
    }
    Handle(process, MessageReceived{envelope});
  }
  if (Chance(0.02)) {
    ReadVmList(process);
  }
  Handle(process, Wake{});
  if (Chance(0.002)) {
    process.busy = !process.busy;
  }
  if (process.life == Life::kRunning && process.busy && !process.releasing) {
    Load(process);
  }
}

void ShareSimulation::Handle(Process& process, const ShareEvent& event) {
  if (process.life == Life::kDead) {
    return;
  }
  ShareCommands commands;
  process.ledger->Handle(event, *process.slots, Local(process), commands);
  for (const ShareCommand& command : commands) {
    std::visit(core::Overloaded{
                   [&](const SendMessage& send) { Transmit(send.envelope); },
                   [&](const ShareChanged& change) {
                     counts_.shares_taken += change.held ? 1 : 0;
                   },
                   [&](const AllReleased&) {
                     ++counts_.releases;
                     Kill(process);
                   },
                   [](const LimitChanged&) {}, [](const LoanReceived&) {}},
               command);
  }
}

void ShareSimulation::Transmit(const ShareEnvelope& envelope) {
  const SeatAddress from = envelope.from.address;
  const bool cut = now_ < cut_until_ &&
                   ((cut_domains_ && from.domain != envelope.to.domain) ||
                    Index(from) == cut_seat_ ||
                    (Index(envelope.to) == cut_seat_ && !cut_one_way_));
  if (cut || Chance(0.05)) {
    return;
  }
  const int copies = Chance(0.05) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const core::Duration delay =
        Chance(0.02) ? Between(50ms, 3s) : Between(100us, 8ms);
    network_.push_back({.arrival = now_ + delay, .envelope = envelope});
  }
}

void ShareSimulation::ReadVmList(Process& process) {
  const core::Duration as_of = now_ - Between(0ms, 1s);
  std::size_t version = vm_list_.size() - 1;
  while (version > 0 && vm_list_[version].since > as_of) {
    --version;
  }
  std::vector<core::VmId> vms = vm_list_[version].vms;
  std::uint64_t revision = version + 1;
  if (defect_ == Defect::kStaleVmList) {
    revision = ++process.list_reads;
  }
  if (defect_ == Defect::kSuccessionOnTimeout) {
    revision = ++process.list_reads;
    for (std::uint32_t seat = 0; seat < kSeats; ++seat) {
      if (now_ - process.last_heard[seat] > 1s) {
        const SeatAddress silent{process.identity.address.domain, SeatId(seat)};
        std::erase(vms, seats_[Index(silent)]->identity.vm);
      }
    }
  }
  Handle(process, VmListRead{.revision = revision, .vms = vms});
}

void ShareSimulation::Load(Process& process) {
  for (std::uint32_t i = 0; i < kEndpoints; ++i) {
    const core::EndpointId id(i);
    SendRequest(process, id);
    if (!process.slots->HasFree(id, Local(process) + 1ms)) {
      Handle(process, LoanWanted{.endpoint = id, .slots = 2});
    }
  }
}

void ShareSimulation::SendRequest(Process& process, core::EndpointId id) {
  const SlotEntry& entry = process.slots->entry(id);
  const core::TimePoint local = Local(process);
  // On a loan, the longest request that it allows.
  core::TimePoint deadline = local + Between(5ms, kLongestDeadline);
  if (entry.in_flight >= entry.slots && !entry.borrowed.empty()) {
    deadline = entry.borrowed.front().expiry - 1ns;
  }
  if (deadline <= local) {
    return;
  }
  const std::optional<Slot> slot = process.slots->Reserve(id, deadline);
  if (!slot) {
    return;
  }
  process.requests.push_back({.slot = *slot, .deadline = deadline});
  ++counts_.requests;
  counts_.borrowed_requests += slot->loan.valid() ? 1 : 0;
  std::vector<Occupied>& requests = endpoints_[id.value()].requests;
  std::erase_if(requests, [&](const Occupied& r) { return r.end <= now_; });
  requests.push_back({True(process, deadline), &process, *slot});
  if (std::cmp_greater(requests.size(), specs_[id.value()].slots)) {
    violation_ = "endpoint " + std::to_string(id.value()) + " has " +
                 std::to_string(requests.size()) + " requests at " +
                 std::to_string(core::ToMillis(now_)) + " ms";
  }
}

void ShareSimulation::Finish(Process& process, bool all) {
  std::erase_if(process.requests, [&](const Request& request) {
    const bool expired = request.deadline <= Local(process);
    if (!all && !expired && !Chance(0.005)) {
      return false;
    }
    process.slots->Release(request.slot);
    if (!expired) {
      std::vector<Occupied>& requests =
          endpoints_[request.slot.endpoint.value()].requests;
      requests.erase(std::ranges::find_if(requests, [&](const Occupied& r) {
        return r.owner == &process && r.slot == request.slot &&
               r.end == True(process, request.deadline);
      }));
    }
    return true;
  });
}

void ShareSimulation::CountConnections() {
  for (std::uint32_t i = 0; i < kEndpoints; ++i) {
    const core::EndpointId id(i);
    std::erase_if(endpoints_[i].closing,
                  [&](const Occupied& c) { return c.end <= now_; });
    auto count = static_cast<int>(endpoints_[i].closing.size());
    for (Process* process : seats_) {
      if (process->life == Life::kRunning) {
        const SlotEntry& entry = process->slots->entry(id);
        process->slots->SetOpenConnections(
            id, std::max({0, entry.in_flight,
                          entry.connections - kSpareConnections}));
      }
      if (process->life != Life::kDead) {
        count += process->slots->entry(id).open_connections;
        count += static_cast<int>(
            std::ranges::count_if(process->requests, [&](const Request& r) {
              return r.slot.endpoint == id && r.slot.loan.valid() &&
                     True(*process, r.deadline) > now_;
            }));
      }
    }
    if (count > specs_[i].connections) {
      violation_ = "endpoint " + std::to_string(i) + " has " +
                   std::to_string(count) + " connections at " +
                   std::to_string(core::ToMillis(now_)) + " ms";
    }
  }
}

void ShareSimulation::InjectFaults() {
  Process& victim = *seats_[random_() % seats_.size()];
  if (Chance(0.0005) && victim.life != Life::kDead) {
    ++counts_.kills;
    Kill(victim);
  }
  if (Chance(0.0005) && victim.life == Life::kRunning) {
    victim.life = Life::kFrozen;
    victim.resume_at = now_ + Between(100ms, 6s);
  }
  if (Chance(0.0002) && victim.life == Life::kRunning) {
    victim.releasing = true;
    Handle(victim, ReleaseShares{});
  }
  if (cut_until_ < now_ && Chance(0.001)) {
    cut_until_ = now_ + Between(200ms, 5s);
    cut_domains_ = Chance(0.3);
    cut_one_way_ = Chance(0.3);
    cut_seat_ = static_cast<std::uint32_t>(random_() % (seats_.size() + 1));
  }
}

void ShareSimulation::Kill(Process& process) {
  process.life = Life::kDead;
  process.vm_lost = Chance(0.7);
  replace_at_[Index(process.identity.address)] = now_ + Between(10ms, 6s);
  for (std::uint32_t i = 0; i < kEndpoints; ++i) {
    const int open = process.slots->entry(core::EndpointId(i)).open_connections;
    for (int c = 0; c < open; ++c) {
      endpoints_[i].closing.push_back(
          {now_ + Between(0ms, kLongestDeadline), &process, Slot{}});
    }
  }
  PublishVmList();
}

void ShareSimulation::Replace(Process& process) {
  const bool same_vm = !process.vm_lost || defect_ == Defect::kReusedVm;
  const core::VmId vm = same_vm ? process.identity.vm : core::VmId(next_vm_++);
  const std::uint64_t incarnation =
      process.identity.incarnation.value() +
      (defect_ == Defect::kReusedIncarnation ? 0 : 1);
  Start(process.identity.address, incarnation, vm, false);
  PublishVmList();
}

void ShareSimulation::PublishVmList() {
  ListVersion version{.since = now_};
  for (const Process* process : seats_) {
    if (process->life != Life::kDead || !process->vm_lost) {
      version.vms.push_back(process->identity.vm);
    }
  }
  vm_list_.push_back(std::move(version));
}

bool ShareSimulation::Chance(double probability) {
  return static_cast<double>(random_() >> 11) * 0x1p-53 < probability;
}

core::Duration ShareSimulation::Between(core::Duration low,
                                        core::Duration high) {
  return low +
         core::Duration(static_cast<std::int64_t>(
             random_() % static_cast<std::uint64_t>((high - low).count())));
}

}  // namespace hickoryusher::routing
