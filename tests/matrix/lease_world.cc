#include "lease_world.h"

#include <algorithm>
#include <chrono>

#include "core/overloaded.h"

namespace hickoryusher::matrix {
namespace {

using std::chrono::milliseconds;

constexpr core::SliceId kSlice(0);
constexpr core::Duration kTick = milliseconds(100);
constexpr core::Duration kHop = milliseconds(1);

}  // namespace

LeaseWorld::LeaseWorld(const Charts& charts) : charts_(charts) {}

void LeaseWorld::StartProcess(std::size_t index) {
  ProcessState& process = processes_.at(index);
  ++process.incarnation;
  process.scheduler.reset();
  std::vector<chart::Problem> problems;
  process.owner = lease::SliceOwner::Create(
      *charts_.slice,
      {.self = core::EntryId(static_cast<std::uint32_t>(index)),
       .incarnation = core::Incarnation(process.incarnation),
       .slices = {kSlice}},
      Clock(index), problems);
  process.leases = lease::WorkerLeases::Create(*charts_.worker, {}, problems);
}

void LeaseWorld::StopProcess(std::size_t index) {
  processes_.at(index).owner.reset();
  processes_.at(index).leases.reset();
  processes_.at(index).scheduler.reset();
  NoteOwnership(index);
}

std::string_view LeaseWorld::SliceState() const {
  return processes_[0].owner->StateName(kSlice);
}

std::string_view LeaseWorld::WorkerState() const {
  return processes_[0].leases->StateName(tested_);
}

lease::Ownership LeaseWorld::OwnershipOf(std::size_t index) const {
  const auto& owner = processes_.at(index).owner;
  return owner.has_value() ? owner->OwnershipAt(kSlice, Clock(index))
                           : lease::Ownership::kNone;
}

void LeaseWorld::NoteOwnership(std::size_t index) {
  ProcessState& process = processes_.at(index);
  const bool owned = OwnershipOf(index) == lease::Ownership::kOwned;
  if (owned != process.claims_slice) {
    process.claims_slice = owned;
    Note(SliceHeld{core::EntryId(static_cast<std::uint32_t>(index)), owned});
  }
}

void LeaseWorld::Post(Message message, core::Duration after) {
  message.due = now_ + after;
  message.sequence = next_sequence_++;
  queue_.push_back(std::move(message));
}

bool LeaseWorld::IsStoreCommand(const ToOther& payload) {
  return std::holds_alternative<StoreWrite>(payload) ||
         std::holds_alternative<StoreRead>(payload) ||
         std::holds_alternative<WriteTasks>(payload) ||
         std::holds_alternative<ReadTasks>(payload) ||
         std::holds_alternative<LoadTasks>(payload);
}

bool LeaseWorld::IsLinkCut(std::size_t process, const ToOther& payload) const {
  if (IsStoreCommand(payload)) {
    return process == 0 ? links.store_of_0 : links.store_of_1;
  }
  const core::WorkerId worker = std::visit(
      core::Overloaded{[](const BeatWorker& m) { return m.beat.worker; },
                       [](const OrderWorker& m) { return m.worker; },
                       [](const auto&) { return core::WorkerId(); }},
      payload);
  return process == 0 && links.worker_of_0.at(worker.value());
}

void LeaseWorld::Send(std::size_t from, ToOther payload) {
  const bool to_store = IsStoreCommand(payload);
  if (from == 0) {
    if (injector_.Active<FillRings>(now_) != nullptr ||
        injector_.IsCut(false, now_) ||
        (to_store && injector_.Active<RefuseStore>(now_) != nullptr)) {
      return;
    }
  } else if (to_store && injector_.Active<RefuseStore>(now_) != nullptr) {
    return;
  }
  if (IsLinkCut(from, payload)) {
    return;
  }
  Message message{.process = from,
                  .incarnation = processes_.at(from).incarnation,
                  .payload = std::move(payload)};
  const ToOther& sent = std::get<ToOther>(message.payload);
  if (from == 0 &&
      ((hold == Hold::kWrites && std::holds_alternative<StoreWrite>(sent)) ||
       (hold == Hold::kReads && to_store))) {
    held_.push_back(std::move(message));
    return;
  }
  core::Duration after = kHop;
  if (const SlowStore* slow =
          to_store ? injector_.Active<SlowStore>(now_) : nullptr) {
    after += slow->by;
  }
  Post(std::move(message), after);
}

void LeaseWorld::Reply(std::size_t to, ToProcess payload) {
  Message message{.process = to,
                  .incarnation = processes_.at(to).incarnation,
                  .payload = std::move(payload)};
  core::Duration after = kHop;
  if (to == 0) {
    if (injector_.IsCut(true, now_) || injector_.TakeDroppedAnswer()) {
      return;
    }
    if (const Delay* delay = injector_.Active<Delay>(now_)) {
      after += delay->by;
    }
    if (const Reorder* reorder = injector_.Active<Reorder>(now_);
        reorder != nullptr && inbound_count_++ % 2 == 0) {
      after += reorder->by;
    }
    if (const Duplicate* twice = injector_.Active<Duplicate>(now_)) {
      Post(message, after + twice->by);
    }
  }
  Post(std::move(message), after);
}

void LeaseWorld::StepOnce() {
  const auto next = std::ranges::min_element(queue_, {}, [](const Message& m) {
    return std::pair(m.due, m.sequence);
  });
  if (skew_ends_.has_value() && now_ >= *skew_ends_) {
    EndSkew();
  }
  if (next == queue_.end() || next->due > next_tick_) {
    now_ = next_tick_;
    next_tick_ += kTick;
    TickAll();
    return;
  }
  Message message = std::move(*next);
  queue_.erase(next);
  now_ = std::max(now_, message.due);
  Deliver(std::move(message));
}

void LeaseWorld::TickAll() {
  TickWorker(0);
  TickWorker(1);
  // Ends are noted before beginnings, because both happened since the last
  // tick.
  for (const std::size_t index : {0U, 1U}) {
    if (OwnershipOf(index) != lease::Ownership::kOwned) {
      NoteOwnership(index);
    }
  }
  for (const std::size_t index : {0U, 1U}) {
    if (IsRunning(index) &&
        (index != 0 || injector_.PausedUntil(now_) == now_)) {
      Tick(index);
    }
    NoteOwnership(index);
  }
}

void LeaseWorld::Tick(std::size_t index) {
  ProcessState& process = processes_.at(index);
  GiveOwner(index, lease::Tick{});
  std::vector<lease::WorkerCommand> out;
  process.leases->Tick(Clock(index), out);
  RunCommands(index, out);
  if (process.owner->epoch(kSlice).valid()) {
    if (process.leases->IsExclusive(kSlice)) {
      process.owner->SetExclusive(kSlice);
    }
    TickScheduler(index);
  }
}

void LeaseWorld::Deliver(Message message) {
  if (const ToOther* other = std::get_if<ToOther>(&message.payload)) {
    const std::size_t from = message.process;
    std::visit([&](const auto& typed) { Serve(from, typed); }, *other);
    return;
  }
  const std::size_t to = message.process;
  if (!IsRunning(to) || message.incarnation != processes_.at(to).incarnation) {
    return;
  }
  if (const core::TimePoint until = injector_.PausedUntil(now_);
      to == 0 && until > now_) {
    message.due = until;
    queue_.push_back(std::move(message));
    return;
  }
  Deliver(to, std::get<ToProcess>(message.payload));
}

void LeaseWorld::Deliver(std::size_t index, const ToProcess& message) {
  constexpr std::size_t kMaxGiven = 40;
  if (index == 0) {
    given_.push_back(message);
    if (given_.size() > kMaxGiven) {
      given_.erase(given_.begin());
    }
  }
  ProcessState& process = processes_.at(index);
  std::vector<lease::WorkerCommand> out;
  std::visit(
      core::Overloaded{
          [&](const ToOwner& m) { GiveOwner(index, m.event); },
          [&](const FromWorker& m) {
            if (!process.leases->Report(m.worker, m.epoch, m.worker_time,
                                        Clock(index), out)) {
              if (process.owner->epoch(kSlice).valid() &&
                  m.epoch > process.owner->epoch(kSlice)) {
                GiveOwner(index,
                          lease::Fenced{.slice = kSlice, .epoch = m.epoch});
              }
              return;
            }
            RunCommands(index, out);
            out.clear();
            GiveScheduler(index, placement::WorkerReport{m.worker, m.attempts});
          },
          [&](const YieldDone& m) {
            process.leases->Yielded(m.slice, Clock(index), out);
          },
          [&](const ToScheduler& m) {
            if (m.epoch == process.owner->epoch(kSlice)) {
              GiveScheduler(index, m.event);
            }
          },
          [&](const TasksLoaded& m) { FillScheduler(index, m); }},
      message);
  RunCommands(index, out);
}

void LeaseWorld::EndSkew() {
  skew_ends_.reset();
  processes_[0].clock.SetRate(0, now_);
}

void LeaseWorld::ReleaseHeld(bool drop_answers) {
  hold = Hold::kNone;
  std::vector<Message> held = std::move(held_);
  held_.clear();
  for (Message& message : held) {
    const std::uint64_t incarnation = processes_[0].incarnation;
    if (drop_answers) {
      // The answer goes to a run that does not exist.
      ++processes_[0].incarnation;
      Deliver(std::move(message));
      processes_[0].incarnation = incarnation;
    } else {
      Deliver(std::move(message));
    }
  }
}

void LeaseWorld::RemoveVm() {
  const core::WorkerId id = tested_;
  FakeWorker& worker = workers_.at(id.value());
  worker.gone = true;
  for (const auto& [attempt, run] : worker.runs) {
    if (run.phase == placement::Phase::kRunning) {
      Note(TaskStopped{attempt.task, attempt.attempt, id});
    }
  }
  worker.runs.clear();
  for (const std::size_t process : {0U, 1U}) {
    if (IsRunning(process)) {
      std::vector<lease::WorkerCommand> out;
      processes_.at(process).leases->VmGone(id, Clock(process), out);
      RunCommands(process, out);
    }
  }
}

void LeaseWorld::Inject(const Step& step) {
  injector_.Begin(step, now_);
  const auto repeat = [this](std::size_t count) {
    const std::size_t skip = given_.size() - std::min(count, given_.size());
    const std::vector<ToProcess> again(
        given_.begin() + static_cast<std::ptrdiff_t>(skip), given_.end());
    std::ranges::for_each(again, [this](const auto& m) { Deliver(0, m); });
    if (!again.empty()) {
      injector_.MarkLastEffective();
    }
  };
  std::visit(
      core::Overloaded{[&](const Kill&) {
                         StartProcess(0);
                         NoteOwnership(0);
                         given_.clear();
                         injector_.MarkLastEffective();
                       },
                       [&](const RepeatLast&) { repeat(1); },
                       [&](const RepeatEarlier&) { repeat(given_.size()); },
                       [&](const ClockRate& rate) {
                         processes_[0].clock.SetRate(rate.percent, now_);
                         skew_ends_ = now_ + rate.lasts;
                         injector_.MarkLastEffective();
                       },
                       [&](const VmLeaving&) {
                         RemoveVm();
                         injector_.MarkLastEffective();
                       },
                       [&](const OperatorChange&) {
                         // Two operators, each with a limit of their own.
                         SetQuota({.cpu_millis = 40'000,
                                   .memory_bytes = kCapacity.memory_bytes});
                         SetQuota({.cpu_millis = 20'000,
                                   .memory_bytes = kCapacity.memory_bytes});
                         injector_.MarkLastEffective();
                       },
                       [&](const Terminate&) {
                         Note(ShutdownBegan{});
                         GiveOwner(0, lease::Release{});
                         injector_.MarkLastEffective();
                       },
                       [&](const Advance& advance) {
                         RunFor(advance.by);
                         injector_.MarkLastEffective();
                       },
                       [](const auto&) {}},
      step);
}

}  // namespace hickoryusher::matrix
