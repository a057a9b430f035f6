// The store, the workers and the task placement of the lease world.
#include <algorithm>
#include <chrono>

#include "core/overloaded.h"
#include "lease_world.h"

namespace hickoryusher::matrix {
namespace {

using std::chrono::milliseconds;

constexpr core::SliceId kSlice(0);
/// A claim without an answer is read back after this time.
constexpr core::Duration kClaimTimeout = milliseconds(1500);

}  // namespace

void LeaseWorld::GiveOwner(std::size_t index, const lease::SliceEvent& event) {
  std::vector<lease::SliceCommand> out;
  processes_.at(index).owner->Handle(event, Clock(index), out);
  RunCommands(index, out);
}

void LeaseWorld::RunCommands(std::size_t index,
                             const std::vector<lease::SliceCommand>& commands) {
  ProcessState& process = processes_.at(index);
  std::vector<lease::WorkerCommand> out;
  for (const lease::SliceCommand& command : commands) {
    std::visit(
        core::Overloaded{
            [&](const lease::ReadRows& c) { Send(index, StoreRead{c}); },
            [&](const lease::WriteRows& c) { Send(index, StoreWrite{c}); },
            [&](const lease::SliceBegun& c) {
              process.leases->BeginSlice(lease::TermOf(c));
              process.task = {};
              for (std::uint32_t w = 0; w < kWorkers; ++w) {
                process.leases->AddWorker(core::WorkerId(w), kSlice,
                                          Clock(index), out);
                if (workers_.at(w).gone) {
                  process.leases->VmGone(core::WorkerId(w), Clock(index), out);
                }
              }
            },
            [&](const lease::SliceEnded& c) {
              process.leases->EndSlice(c.slice);
              process.task = {};
            },
            [&](const lease::YieldAnswer& c) {
              if (!links.between_processes && !injector_.IsCut(true, now_) &&
                  !injector_.IsCut(false, now_)) {
                Reply(c.to.value(), YieldDone{c.slice});
              }
            },
            [](const auto&) {}},
        command);
  }
  RunCommands(index, out);
}

void LeaseWorld::RunCommands(
    std::size_t index,
    const std::vector<lease::WorkerCommand>& commands) {
  ProcessState& process = processes_.at(index);
  for (const lease::WorkerCommand& command : commands) {
    std::visit(
        core::Overloaded{
            [&](const lease::Heartbeat& c) { Send(index, BeatWorker{c}); },
            [&](const lease::AskYield& c) {
              if (!links.between_processes && !injector_.IsCut(true, now_) &&
                  !injector_.IsCut(false, now_) &&
                  IsRunning(c.previous.value())) {
                Reply(c.previous.value(),
                      ToOwner{lease::YieldAsked{
                          .slice = c.slice,
                          .epoch = c.epoch,
                          .from = core::EntryId(
                              static_cast<std::uint32_t>(index))}});
              }
            },
            [&](const lease::WorkerLost& c) {
              if (process.task.worker == c.worker) {
                process.task.worker = core::WorkerId();
              }
            },
            [](const auto&) {}},
        command);
  }
}

void LeaseWorld::PlaceTask(std::size_t index) {
  ProcessState& process = processes_.at(index);
  TaskView& task = process.task;
  const core::TimePoint now = Clock(index);
  const core::Epoch epoch = process.owner->epoch(kSlice);
  if (!task.known || (task.claiming && now - task.claim_sent > kClaimTimeout)) {
    // The row is read when a slice begins and after a lost answer. A read is
    // possible only while the store can be reached.
    const bool reachable = !IsLinkCut(index, ClaimTask{}) &&
                           injector_.Active<RefuseStore>(now_) == nullptr &&
                           (index != 0 || (!injector_.IsCut(true, now_) &&
                                           !injector_.IsCut(false, now_)));
    if (reachable) {
      task = {.known = true,
              .attempt = claimed_attempt_,
              .worker = claimed_worker_};
      const std::string_view state = process.leases->StateName(task.worker);
      if (state == "lost" || state == "gone") {
        // Announced before the row was read.
        task.worker = core::WorkerId();
      }
    }
    return;
  }
  if (task.claiming) {
    return;
  }
  if (!task.worker.valid()) {
    if (process.owner->OwnershipAt(kSlice, now) != lease::Ownership::kOwned) {
      return;
    }
    for (std::uint32_t w = 0; w < kWorkers; ++w) {
      if (process.leases->IsLive(core::WorkerId(w))) {
        task.claiming = true;
        task.claim_sent = now;
        Send(index, ClaimTask{epoch, task.attempt + 1, core::WorkerId(w)});
        return;
      }
    }
    return;
  }
  // Repeated, because the command may be lost; the worker knows duplicates.
  if (now >= process.next_start && process.leases->IsLive(task.worker)) {
    process.next_start = now + lease::kHeartbeat;
    if (const auto echo = process.leases->EchoForCommand(task.worker)) {
      Send(index, StartTask{task.worker, epoch, *echo, task.attempt});
    }
  }
}

void LeaseWorld::Serve(std::size_t from, const BeatWorker& message) {
  FakeWorker& worker = workers_.at(message.beat.worker.value());
  if (worker.gone) {
    return;
  }
  worker.guard.Renew(message.beat.epoch, message.beat.echo);
  if (from == 0 && message.beat.worker == core::WorkerId(0) &&
      links.worker_0_of_0) {
    return;
  }
  Reply(from, FromWorker{.worker = message.beat.worker,
                         .epoch = worker.guard.newest_epoch(),
                         .worker_time = now_,
                         .ended = worker.ended});
}

void LeaseWorld::Serve(std::size_t /*from*/, const StartTask& message) {
  FakeWorker& worker = workers_.at(message.worker.value());
  if (worker.gone) {
    return;
  }
  if (worker.guard.Start(message.epoch, message.echo, {kTask, message.attempt},
                         now_) == lease::Admission::kAccepted) {
    Note(TaskStarted{kTask, message.attempt, message.worker});
  }
}

void LeaseWorld::Serve(std::size_t from, const StoreWrite& message) {
  const lease::Token token = message.command.token;
  const lease::SliceRow& row = message.command.rows.front();
  if (row.version != row_.version) {
    Reply(from, ToOwner{lease::RowsConflicted{token}});
    return;
  }
  const std::uint64_t version = row_.version + 1;
  row_ = row;
  row_.version = version;
  Reply(from, ToOwner{lease::RowsWritten{token, {row_}}});
}

void LeaseWorld::Serve(std::size_t from, const StoreRead& message) {
  Reply(from, ToOwner{lease::RowsRead{message.command.token, {row_}}});
}

// A claim is conditional on the epoch of the slice and on the last attempt.
void LeaseWorld::Serve(std::size_t from, const ClaimTask& message) {
  const bool written =
      row_.epoch == message.epoch && claimed_attempt_ + 1 == message.attempt;
  if (written) {
    claimed_attempt_ = message.attempt;
    claimed_worker_ = message.worker;
  }
  Reply(from, ClaimAnswer{.written = written,
                          .attempt = claimed_attempt_,
                          .worker = claimed_worker_});
}

}  // namespace hickoryusher::matrix
