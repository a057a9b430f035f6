// Commands of the owners and of the worker leases, and the slice's row.
#include <algorithm>
#include <chrono>

#include "core/overloaded.h"
#include "lease_world.h"

namespace hickoryusher::matrix {
namespace {

constexpr core::SliceId kSlice(0);

placement::WorkerSpec SpecOf(core::WorkerId worker) {
  return {.worker = worker,
          .rack = core::RackId(worker.value()),
          .capacity = LeaseWorld::kCapacity};
}

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
              process.scheduler.reset();
              process.next_load = {};
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
              process.scheduler.reset();
            },
            [&](const lease::YieldAnswer& c) {
              if (!links.between_processes && !injector_.IsCut(true, now_) &&
                  !injector_.IsCut(false, now_)) {
                Reply(c.to.value(), YieldDone{c.slice});
              }
            },
            [&](const lease::HoldBegun&) {
              GiveScheduler(index, placement::SetHold{.hold = true});
            },
            [&](const lease::HoldEnded&) {
              GiveScheduler(index, placement::SetHold{.hold = false});
            }},
        command);
  }
  RunCommands(index, out);
}

void LeaseWorld::RunCommands(
    std::size_t index,
    const std::vector<lease::WorkerCommand>& commands) {
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
            [&](const lease::WorkerLive& c) {
              GiveScheduler(index, placement::WorkerUp{SpecOf(c.worker)});
            },
            [&](const lease::WorkerSilent& c) {
              GiveScheduler(index, placement::WorkerPaused{c.worker});
            },
            [&](const lease::WorkerLost& c) {
              GiveScheduler(index, placement::WorkerTasksLost{c.worker});
            }},
        command);
  }
}

void LeaseWorld::Serve(std::size_t from, const BeatWorker& message) {
  FakeWorker& worker = workers_.at(message.beat.worker.value());
  if (worker.gone) {
    return;
  }
  worker.guard.Renew(message.beat.epoch, message.beat.echo);
  if (from == 0 && links.worker_of_0.at(message.beat.worker.value())) {
    return;
  }
  std::vector<placement::AttemptReport> attempts;
  attempts.reserve(worker.runs.size());
  for (const auto& [attempt, run] : worker.runs) {
    attempts.push_back({.task = attempt.task,
                        .attempt = attempt.attempt,
                        .phase = run.phase,
                        .peak_use = run.use,
                        .slowdown = 1.0});
  }
  Reply(from, FromWorker{.worker = message.beat.worker,
                         .epoch = worker.guard.newest_epoch(),
                         .worker_time = now_,
                         .attempts = std::move(attempts)});
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

}  // namespace hickoryusher::matrix
