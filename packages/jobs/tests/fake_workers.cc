#include "fake_workers.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::jobs {

std::optional<WorkerEvent> FakeWorkers::Handle(const WorkerCommand& command,
                                               core::TimePoint now) {
  now_ = std::max(now_, now);
  if (const auto receiver = workers_.find(std::visit(
          [](const auto& order) { return order.to.worker; }, command));
      receiver != workers_.end()) {
    OriginOf(receiver->second, CallOf(command), now);
  }
  if (hold_ && hold_(command)) {
    held_.push_back(command);
    return std::nullopt;
  }
  return std::visit(
      [&](const auto& order) -> std::optional<WorkerEvent> {
        using Order = std::remove_cvref_t<decltype(order)>;
        constexpr bool kRenewal = std::is_same_v<Order, RenewLease>;
        const auto found = workers_.find(order.to.worker);
        if (found == workers_.end()) {
          return std::nullopt;
        }
        Worker& worker = found->second;
        const core::TimePoint clock = now - worker.clock_behind;
        if (worker.fault == Fault::kSilent) {
          return std::nullopt;
        }
        if (worker.replaced || worker.fault == Fault::kGone) {
          const OrderOutcome outcome = worker.replaced
                                           ? OrderOutcome::kOtherIncarnation
                                           : OrderOutcome::kUnreachable;
          if constexpr (kRenewal) {
            return LeaseAnswered{.call = order.call, .outcome = outcome};
          }
          return OrderAnswered{.call = order.call, .outcome = outcome};
        }
        if constexpr (std::is_same_v<Order, SetPace>) {
          if (worker.fault == Fault::kLate) {
            return OrderAnswered{.call = order.call};
          }
        }
        if constexpr (std::is_same_v<Order, StartRun>) {
          if (worker.fault == Fault::kLate) {
            worker.late.push_back(order);
            return OrderAnswered{.call = order.call};
          }
        }
        if constexpr (kRenewal) {
          if (worker.fault == Fault::kLateLease && order.lease_until_ms) {
            late_renewals_[order.to.worker].push_back(order);
            return LeaseAnswered{.call = order.call};
          }
        }
        if (order.token < worker.token) {
          if constexpr (kRenewal) {
            return LeaseAnswered{.call = order.call,
                                 .outcome = OrderOutcome::kFenced};
          }
          return OrderAnswered{.call = order.call,
                               .outcome = OrderOutcome::kFenced};
        }
        worker.token = order.token;
        if constexpr (kRenewal) {
          return Report(worker, order, clock);
        } else {
          const OrderOutcome outcome = Execute(worker, order, clock);
          if (worker.fault == Fault::kLoseAnswer) {
            return OrderAnswered{.call = order.call};
          }
          return OrderAnswered{
              .call = order.call,
              .outcome = outcome,
              .clock_ms = core::ToMillis(clock.time_since_epoch())};
        }
      },
      command);
}

std::optional<WorkerEvent> FakeWorkers::DeliverOldest(core::TimePoint now) {
  std::ranges::reverse(held_);
  auto answer = DeliverNewest(now);
  std::ranges::reverse(held_);
  return answer;
}

std::optional<WorkerEvent> FakeWorkers::DeliverNewest(core::TimePoint now) {
  if (held_.empty()) {
    return std::nullopt;
  }
  const WorkerCommand command = std::move(held_.back());
  held_.pop_back();
  const auto hold = std::exchange(hold_, {});
  delivers_held_ = true;
  auto answer = Handle(command, now);
  delivers_held_ = false;
  hold_ = hold;
  return answer;
}

OrderOutcome FakeWorkers::Execute(Worker& worker,
                                  const StartRun& order,
                                  core::TimePoint now) {
  if (order.lease_until_ms < core::ToMillis(now.time_since_epoch())) {
    return OrderOutcome::kTooLate;
  }
  const bool there = std::ranges::any_of(worker.runs, [&](const Run& run) {
    return run.task == order.task && run.number == order.run;
  });
  const Origin& origin = OriginOf(worker, order.call, now_);
  const bool strayed = origin.born != worker.born;
  Extend(worker, order.lease_until_ms, now, strayed);
  if (there) {
    return OrderOutcome::kCarriedOut;
  }
  const auto closed = worker.closed.find(ToText(order.task));
  if (closed != worker.closed.end() && closed->second >= order.run) {
    return OrderOutcome::kSuperseded;
  }
  worker.runs.push_back({.task = order.task,
                         .number = order.run,
                         .checkpoint = order.checkpoint});
  started_.push_back(order.task);
  started_runs_.push_back({.task = order.task,
                           .number = order.run,
                           .worker = order.to.worker,
                           .born = worker.born,
                           .strayed = strayed,
                           .token = order.token,
                           .sent = origin.sent,
                           .begun = now_});
  return OrderOutcome::kCarriedOut;
}

OrderOutcome FakeWorkers::Execute(Worker& worker,
                                  const StopRun& order,
                                  core::TimePoint) {
  if (worker.fault == Fault::kSlowStop) {
    return OrderOutcome::kCarriedOut;
  }
  const auto found = std::ranges::find_if(worker.runs, [&](const Run& run) {
    return run.task == order.task && run.number == order.run;
  });
  Close(worker, order.task, order.run);
  if (found != worker.runs.end()) {
    worker.ends.push_back({.number = worker.next_end++,
                           .task = order.task,
                           .run = order.run,
                           .kind = EndKind::kStopped,
                           .checkpoint = "at_stop"});
    NoteEnd(order.to.worker, worker, &worker.ends.back(), *found);
    worker.runs.erase(found);
  }
  return OrderOutcome::kCarriedOut;
}

OrderOutcome FakeWorkers::Execute(Worker& worker,
                                  const SetPace& order,
                                  core::TimePoint) {
  const auto found = std::ranges::find(worker.runs, order.task, &Run::task);
  if (found == worker.runs.end()) {
    return OrderOutcome::kRefused;
  }
  found->percent = order.percent;
  return OrderOutcome::kCarriedOut;
}

std::uint32_t FakeWorkers::PaceOf(const TaskAddress& task) const {
  for (const auto& [name, worker] : workers_) {
    const auto found = std::ranges::find(worker.runs, task, &Run::task);
    if (found != worker.runs.end()) {
      return found->percent;
    }
  }
  return 0;
}

LeaseAnswered FakeWorkers::Report(Worker& worker,
                                  const RenewLease& order,
                                  core::TimePoint now) {
  worker.acknowledged = std::max(worker.acknowledged, order.acknowledged);
  Extend(worker, order.lease_until_ms.value_or(0), now,
         OriginOf(worker, order.call, now_).born != worker.born);
  std::erase_if(worker.ends, [&](const EndedRun& end) {
    return end.number <= order.acknowledged;
  });
  for (StartedRun& run : started_runs_) {
    if (run.worker == order.to.worker && run.born == worker.born &&
        run.kind.has_value() && run.end_number <= order.acknowledged) {
      run.acknowledged = std::min(run.acknowledged, now_);
    }
  }
  if (!delivers_held_) {
    sent_reports_.push_back({.worker = order.to.worker,
                             .born = worker.born,
                             .token = order.token,
                             .at = now_});
  }
  WorkerReport report{.clock_ms = core::ToMillis(now.time_since_epoch()),
                      .born_unix_ms = worker.born,
                      .ended = worker.ends};
  if (report.ended.size() > ends_per_report) {
    report.ended.resize(ends_per_report);
  }
  for (const Run& run : worker.runs) {
    report.running.push_back({.task = run.task,
                              .run = run.number,
                              .checkpoint = run.checkpoint,
                              .percent = 50,
                              .usage = usage_[ToText(run.task)]});
  }
  return {.call = order.call,
          .outcome = OrderOutcome::kCarriedOut,
          .report = std::move(report)};
}

void FakeWorkers::End(const TaskAddress& task,
                      EndKind kind,
                      std::string checkpoint) {
  for (auto& [name, worker] : workers_) {
    const auto found = std::ranges::find(worker.runs, task, &Run::task);
    if (found != worker.runs.end()) {
      EndRun(name, worker, found, kind, std::move(checkpoint));
      return;
    }
  }
}

void FakeWorkers::EndRun(const std::string& worker,
                         const TaskAddress& task,
                         RunNumber number,
                         EndKind kind) {
  Worker& state = workers_[worker];
  const auto found = std::ranges::find_if(state.runs, [&](const Run& run) {
    return run.task == task && run.number == number;
  });
  if (found != state.runs.end()) {
    EndRun(worker, state, found, kind, {});
  }
}

void FakeWorkers::EndRun(const std::string& name,
                         Worker& worker,
                         std::vector<Run>::iterator run,
                         EndKind kind,
                         std::string checkpoint) {
  worker.ends.push_back({.number = worker.next_end++,
                         .task = run->task,
                         .run = run->number,
                         .kind = kind,
                         .checkpoint = std::move(checkpoint)});
  NoteEnd(name, worker, &worker.ends.back(), *run);
  Close(worker, run->task, run->number);
  worker.runs.erase(run);
}

void FakeWorkers::ExecuteLateCommands(const std::string& worker) {
  Worker& target = workers_[worker];
  for (const StartRun& order : std::exchange(target.late, {})) {
    if (order.token >= target.token) {
      Execute(target, order, core::TimePoint());
    }
  }
}

void FakeWorkers::Accept(RenewLease& order, core::TimePoint now) {
  const auto found = workers_.find(order.to.worker);
  if (found == workers_.end() || found->second.fault == Fault::kLateLease) {
    return;
  }
  const Worker& worker = found->second;
  now_ = std::max(now_, now);
  const bool strayed = OriginOf(worker, order.call, now).born != worker.born;
  const std::int64_t until =
      std::exchange(order.lease_until_ms, {}).value_or(0);
  if (!worker.replaced && worker.fault != Fault::kSilent &&
      worker.fault != Fault::kGone && order.token >= worker.token) {
    Extend(found->second, until, now - worker.clock_behind, strayed);
  }
}

void FakeWorkers::ExecuteLateLeases(const std::string& worker,
                                    core::TimePoint now) {
  Worker& target = workers_[worker];
  for (const RenewLease& order : std::exchange(late_renewals_[worker], {})) {
    if (order.token >= target.token) {
      Report(target, order, now - target.clock_behind);
    }
  }
}

void FakeWorkers::Extend(Worker& worker,
                         std::int64_t until_ms,
                         core::TimePoint now,
                         bool strayed) const {
  const std::int64_t longest =
      core::ToMillis(now.time_since_epoch()) + core::ToMillis(longest_lease);
  worker.lease_until_ms =
      std::max(worker.lease_until_ms, std::min(until_ms, longest));
  // A late order that was granted on the clock of an earlier life, which the
  // owner took for the present one, counts as one sent to that life.
  if (!strayed && (!delivers_held_ || until_ms <= longest)) {
    worker.own_lease_until_ms =
        std::max(worker.own_lease_until_ms, std::min(until_ms, longest));
  }
}

const FakeWorkers::Origin& FakeWorkers::OriginOf(const Worker& worker,
                                                 CallId call,
                                                 core::TimePoint now) {
  return origins_.try_emplace(call, Origin{.born = worker.born, .sent = now})
      .first->second;
}

void FakeWorkers::Close(Worker& worker,
                        const TaskAddress& task,
                        RunNumber run) {
  RunNumber& closed = worker.closed[ToText(task)];
  closed = std::max(closed, run);
}

/// @param end nullptr if the run has ended with its life.
void FakeWorkers::NoteEnd(const std::string& worker,
                          const Worker& state,
                          const EndedRun* end,
                          const Run& run) {
  for (StartedRun& started : started_runs_) {
    if (started.task == run.task && started.number == run.number &&
        started.worker == worker && started.born == state.born &&
        started.ended == core::TimePoint::max()) {
      started.ended = now_;
      if (end != nullptr) {
        started.kind = end->kind;
        started.end_number = end->number;
      }
    }
  }
}

void FakeWorkers::EndLeases(core::TimePoint now) {
  now_ = std::max(now_, now);
  for (auto& [name, worker] : workers_) {
    const std::int64_t clock =
        core::ToMillis((now - worker.clock_behind).time_since_epoch());
    if (clock >= worker.own_lease_until_ms) {
      for (StartedRun& started : started_runs_) {
        if (started.worker == name && started.born == worker.born) {
          started.strayed_lease_since =
              std::min(started.strayed_lease_since, now);
        }
      }
    }
    if (clock < worker.lease_until_ms) {
      continue;
    }
    for (StartedRun& started : started_runs_) {
      started.lapsed |= started.worker == name && started.born == worker.born &&
                        started.kind.has_value() &&
                        started.acknowledged == core::TimePoint::max();
    }
    for (const Run& run : std::exchange(worker.runs, {})) {
      worker.ends.push_back({.number = worker.next_end++,
                             .task = run.task,
                             .run = run.number,
                             .kind = EndKind::kLapsed});
      NoteEnd(name, worker, &worker.ends.back(), run);
      Close(worker, run.task, run.number);
    }
  }
}

void FakeWorkers::Restart(const std::string& worker, std::int64_t born) {
  for (const Run& run : workers_[worker].runs) {
    NoteEnd(worker, workers_[worker], nullptr, run);
  }
  workers_[worker] = Worker{.born = born};
}

std::string FakeWorkers::WorkerOf(const TaskAddress& task) const {
  for (const auto& [name, worker] : workers_) {
    if (std::ranges::find(worker.runs, task, &Run::task) != worker.runs.end()) {
      return name;
    }
  }
  return {};
}

std::size_t FakeWorkers::starts(const TaskAddress& task) const {
  return static_cast<std::size_t>(std::ranges::count(started_, task));
}

}  // namespace hickoryusher::jobs
