#include "owners_world.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <type_traits>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kCallTimeout{900};
constexpr milliseconds kHeartbeat{1000};
// Three heartbeats.
constexpr milliseconds kUnlistedAfter{3000};

Destination ReceiverOf(const WorkerCommand& command) {
  return std::visit([](const auto& order) { return order.to; }, command);
}

}  // namespace

OwnersWorld::OwnersWorld(milliseconds longest_lease, RunEnds ends)
    : longest_lease_(longest_lease), ends_(std::move(ends)) {
  workers.longest_lease = longest_lease;
}

void OwnersWorld::Log(std::string_view who, std::string_view text) {
  if (keeps_log) {
    log.push_back(
        std::to_string(core::ToMillis(now_.time_since_epoch()) - 3'600'000) +
        ' ' + std::string(who) + ' ' + std::string(text));
  }
}

void OwnersWorld::AddProcess(const std::string& name,
                             const std::string& domain) {
  processes_.push_back({.name = name, .domain = domain});
  Begin(processes_.back());
}

void OwnersWorld::Begin(Process& process) {
  ++process.life;
  process.stopping = false;
  process.registry.clear();
  std::vector<chart::Problem> problems;
  process.board = SliceBoard::Create(
      {.process = process.name,
       .incarnation = std::to_string(process.life),
       .failure_domain = process.domain,
       .slices = {{.name = kSlice, .failure_domain = "yoff"}},
       .log = [this, name = process.name](
                  const core::LogLine& line) { Log(name, line.text()); }},
      OwnershipChart(), ids_, problems);
  REQUIRE(problems.empty());
}

void OwnersWorld::Kill(std::size_t process) {
  Process& killed = processes_[process];
  Log(killed.name, "KILLED");
  killed.scheduler.reset();
  killed.board.reset();
}

void OwnersWorld::Start(std::size_t process) {
  if (!runs(process)) {
    Log(processes_[process].name, "STARTS");
    Begin(processes_[process]);
  }
}

void OwnersWorld::Stop(std::size_t process) {
  Process& stopped = processes_[process];
  if (!runs(process) || stopped.stopping) {
    return;
  }
  Log(stopped.name, "SIGTERM");
  stopped.stopping = true;
  if (stopped.scheduler) {
    stopped.scheduler->HandOver(now_);
  }
}

void OwnersWorld::Freeze(std::size_t process, core::Duration duration) {
  Log(processes_[process].name,
      "FROZEN " + std::to_string(core::ToMillis(duration)));
  processes_[process].frozen_until = now_ + duration;
}

bool OwnersWorld::may_stop(std::size_t process) const {
  const Process& stopped = processes_[process];
  return runs(process) && now_ >= stopped.frozen_until &&
         (!stopped.scheduler || stopped.scheduler->load());
}

std::optional<std::size_t> OwnersWorld::owner() const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    if (processes_[i].scheduler &&
        (!best || processes_[i].epoch > processes_[*best].epoch)) {
      best = i;
    }
  }
  return best;
}

void OwnersWorld::FailStoreLink(std::size_t process,
                                LinkFault fault,
                                core::Duration duration) {
  Log(processes_[process].name,
      "STORE LINK " + std::to_string(static_cast<int>(fault)) + " FOR " +
          std::to_string(core::ToMillis(duration)));
  processes_[process].store_link = {.until = now_ + duration, .fault = fault};
}

void OwnersWorld::FailWorkerLink(std::size_t process,
                                 const std::string& worker,
                                 LinkFault fault,
                                 core::Duration duration) {
  Log(processes_[process].name,
      "LINK TO " + worker + ' ' + std::to_string(static_cast<int>(fault)) +
          " FOR " + std::to_string(core::ToMillis(duration)));
  processes_[process].worker_links[worker] = {.until = now_ + duration,
                                              .fault = fault};
}

void OwnersWorld::AddWorker(const std::string& id) {
  Log(id, "JOINS");
  workers.Restart(id, ++born_);
  Worker& worker = states_[id];
  worker.born = born_;
  worker.clock_behind = now_.time_since_epoch() - core::Duration(kHeartbeat);
  workers.SetBackClock(id, worker.clock_behind);
  worker.next_beat = now_;
}

void OwnersWorld::Restart(const std::string& id,
                          core::Duration duration,
                          bool answers) {
  Worker& worker = states_[id];
  if (worker.gone) {
    return;
  }
  Log(id, "ENDS FOR " + std::to_string(core::ToMillis(duration)));
  worker.up = false;
  worker.refuses = answers;
  worker.up_at = now_ + duration;
  workers.Restart(id, ++born_);
  worker.born = born_;
  worker.draining = false;
  worker.leaves_at = core::TimePoint::max();
}

void OwnersWorld::Hang(const std::string& worker, core::Duration duration) {
  Log(worker, "SILENT FOR " + std::to_string(core::ToMillis(duration)));
  states_[worker].hung_until = now_ + duration;
}

void OwnersWorld::Unlist(const std::string& worker, core::Duration duration) {
  Log(worker, "NO BEATS FOR " + std::to_string(core::ToMillis(duration)));
  states_[worker].unlisted_until = now_ + duration;
}

void OwnersWorld::Drain(const std::string& worker, core::Duration duration) {
  Log(worker, "DRAINS, LEAVES IN " + std::to_string(core::ToMillis(duration)));
  states_[worker].draining = true;
  states_[worker].leaves_at = now_ + duration;
  states_[worker].next_beat = now_;
}

void OwnersWorld::SlowClock(const std::string& worker) {
  states_[worker].slow_clock = true;
}

std::vector<std::string> OwnersWorld::Workers() const {
  std::vector<std::string> names;
  for (const auto& [name, worker] : states_) {
    if (!worker.gone) {
      names.push_back(name);
    }
  }
  return names;
}

void OwnersWorld::Submit(const std::string& id, const std::string& steps) {
  store.Run(CommitRows{
      .conditions = {{.key = ProgressRow(kSlice, id), .version = 0}},
      .puts = {
          {.key = ProgressRow(kSlice, id), .value = EncodeProgress(Progress())},
          {.key = JobRow(kSlice, id),
           .value = EncodeStoredJob({.queue = "diary", .document = steps})}}});
}

void OwnersWorld::Cancel(const std::string& id) {
  const auto phase = PhaseOf(id);
  if (phase && !IsFinal(*phase)) {
    Log(id, "CANCELLED");
    store.Put(CancelRow(kSlice, id), "cancelled");
  }
}

std::optional<JobPhase> OwnersWorld::PhaseOf(const std::string& id) const {
  const auto row = store.Find(ProgressRow(kSlice, id));
  const auto progress = row ? DecodeProgress(row->value) : std::nullopt;
  return progress ? std::optional(progress->phase) : std::nullopt;
}

void OwnersWorld::Advance(milliseconds duration) {
  const core::TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ += kStep;
    store.SetTime(now_);
    UpdateWorkers();
    UpdateRegistry();
    workers.EndLeases(now_);
    EndRuns();
    DeliverLate();
    AnswerFollowers();
    AnswerRenewals();
    DeliverAnswers();
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      RunProcess(i);
    }
  }
}

void OwnersWorld::UpdateWorkers() {
  for (auto& [id, worker] : states_) {
    if (worker.gone) {
      continue;
    }
    if (!worker.up && now_ >= worker.up_at) {
      Log(id, "BORN " + std::to_string(worker.born));
      worker.up = true;
      worker.clock_behind =
          now_.time_since_epoch() - core::Duration(kHeartbeat);
      workers.SetBackClock(id, worker.clock_behind);
      worker.next_beat = now_;
    }
    if (worker.slow_clock) {
      worker.clock_behind += kStep / 50;
      workers.SetBackClock(id, worker.clock_behind);
    }
    if (now_ >= worker.leaves_at) {
      Log(id, "LEAVES");
      workers.Restart(id, ++born_);
      worker.gone = true;
      worker.up = false;
    }
  }
}

// Workers write their entries each second; one that has not for three times
// that long is removed.
void OwnersWorld::UpdateRegistry() {
  for (auto& [id, worker] : states_) {
    if (worker.up && now_ >= worker.unlisted_until &&
        now_ >= worker.next_beat) {
      worker.last_beat = now_;
      worker.next_beat = now_ + kHeartbeat;
      WorkerEntry entry = EntryOfWorker(id, "yoff");
      entry.born_unix_ms = worker.born;
      entry.draining = worker.draining;
      registry_[id] = entry;
    }
    if (worker.gone || now_ >= worker.last_beat + kUnlistedAfter) {
      registry_.erase(id);
    }
  }
}

void OwnersWorld::EndRuns() {
  const auto started = workers.started_runs();
  for (; seen_runs_ < started.size(); ++seen_runs_) {
    open_runs_.push_back(seen_runs_);
    const auto& run = started[seen_runs_];
    Log(run.worker,
        "STARTS " + ToText(run.task) + " RUN " + std::to_string(run.number));
  }
  std::vector<std::size_t> still_open;
  for (const std::size_t index : open_runs_) {
    const FakeWorkers::StartedRun& run = started[index];
    if (run.ended == core::TimePoint::max()) {
      const RunEnd end = ends_(run);
      if (now_ >= run.begun + end.after) {
        workers.EndRun(run.worker, run.task, run.number, end.kind);
        Log(run.worker, "ENDS " + ToText(run.task) + " RUN " +
                            std::to_string(run.number) + ' ' +
                            std::string(ToString(end.kind)));
      } else {
        still_open.push_back(index);
      }
    } else {
      Log(run.worker,
          "ENDED " + ToText(run.task) + " RUN " + std::to_string(run.number) +
              ' ' +
              (run.kind ? std::string(ToString(*run.kind)) : "with its life"));
    }
  }
  open_runs_ = std::move(still_open);
}

void OwnersWorld::DeliverLate() {
  if (late_.empty()) {
    return;
  }
  for (auto& [at, call] : std::exchange(late_, {})) {
    if (now_ < at) {
      late_.emplace_back(at, std::move(call));
      continue;
    }
    std::visit(core::Overloaded{
                   [this](const CommitRows& commit) { store.Run(commit); },
                   [this](const WorkerCommand& command) {
                     const std::string id = ReceiverOf(command).worker;
                     const Worker& worker = states_[id];
                     if (worker.up && now_ >= worker.hung_until) {
                       Log(id, "LATE CALL");
                       workers.Handle(command, now_);
                     }
                   }},
               call);
  }
}

std::optional<LinkFault> OwnersWorld::FaultOf(const Link& link) const {
  return now_ < link.until ? std::optional(link.fault) : std::nullopt;
}

void OwnersWorld::AnswerFollowers() {
  for (WaitingFollow& wait : std::exchange(follows_, {})) {
    const Process& process = processes_[wait.from.process];
    if (process.life != wait.from.life) {
      continue;
    }
    if (FaultOf(process.store_link)) {
      Reply(wait.from.process, StoreUnanswered{.call = wait.command.call},
            wait.until - now_ + kCallTimeout);
    } else if (auto answer = store.Run(wait.command)) {
      Reply(wait.from.process, *std::move(answer));
    } else if (now_ >= wait.until) {
      Reply(wait.from.process, RowsChanged{.call = wait.command.call,
                                           .version = wait.command.after});
    } else {
      follows_.push_back(std::move(wait));
    }
  }
}

void OwnersWorld::AnswerRenewals() {
  for (WaitingRenewal& wait : std::exchange(renewals_, {})) {
    Process& process = processes_[wait.from.process];
    if (process.life != wait.from.life) {
      continue;
    }
    const std::string& id = wait.order.to.worker;
    const Worker& worker = states_[id];
    if (worker.born != wait.born || !worker.up) {
      ReplyUnanswered(wait.from.process, wait.order, {});
    } else if (now_ < wait.until && !workers.HasEnds(id)) {
      renewals_.push_back(std::move(wait));
    } else if (now_ < worker.hung_until || FaultOf(process.worker_links[id])) {
      ReplyUnanswered(
          wait.from.process, wait.order,
          std::max<core::Duration>(wait.until - now_, {}) + kCallTimeout);
    } else {
      Reply(wait.from.process, *workers.Handle(wait.order, now_));
    }
  }
}

void OwnersWorld::DeliverAnswers() {
  std::vector<Answer> due;
  for (Answer& answer : std::exchange(answers_, {})) {
    const Process& process = processes_[answer.to.process];
    if (process.life != answer.to.life || process.board == nullptr) {
      continue;
    }
    const bool frozen = now_ < process.frozen_until;
    (now_ >= answer.at && !frozen ? due : answers_)
        .push_back(std::move(answer));
  }
  for (const Answer& answer : due) {
    Process& process = processes_[answer.to.process];
    std::visit(core::Overloaded{[&](const StoreEvent& event) {
                                  if (process.scheduler) {
                                    process.scheduler->Handle(event, now_);
                                  }
                                  process.board->Handle(event, now_);
                                },
                                [&](const WorkerEvent& event) {
                                  if (process.scheduler) {
                                    process.scheduler->Handle(event, now_);
                                  }
                                }},
               answer.event);
  }
}

// Follows the order of SchedulerDuty.
void OwnersWorld::RunProcess(std::size_t index) {
  Process& process = processes_[index];
  if (process.board == nullptr || now_ < process.frozen_until) {
    return;
  }
  ReadRegistry(process);
  process.board->Run(now_);
  TakeNotices(index);
  if (process.scheduler) {
    process.scheduler->SetTermEnd(process.board->TermEnd(core::SliceId(0)));
    process.scheduler->SetStoreClock(process.board->store_clock());
    process.scheduler->Run(now_, core::ToMillis(now_.time_since_epoch()));
    if (process.scheduler->fenced()) {
      process.board->MarkFenced(core::SliceId(0), now_);
    }
  }
  if (process.stopping &&
      (!process.scheduler || process.scheduler->handed_over())) {
    process.board->ReleaseAll(now_);
  }
  TakeNotices(index);
  for (const StoreCommand& command : process.board->PopCommands()) {
    Send(index, command);
  }
  if (process.scheduler) {
    for (const StoreCommand& c : process.scheduler->PopStoreCommands()) {
      Send(index, c);
    }
    for (const WorkerCommand& c : process.scheduler->PopWorkerCommands()) {
      Send(index, c);
    }
  }
}

void OwnersWorld::TakeNotices(std::size_t index) {
  for (const SliceNotice& notice : processes_[index].board->PopNotices()) {
    std::visit(core::Overloaded{
                   [&](const SliceGained& gained) { Gain(index, gained); },
                   [&](const SliceLost&) {
                     processes_[index].scheduler.reset();
                     processes_[index].registry.clear();
                   }},
               notice);
  }
}

void OwnersWorld::Gain(std::size_t index, const SliceGained& gained) {
  Process& process = processes_[index];
  std::vector<chart::Problem> problems;
  process.registry.clear();
  if (process.stopping) {
    return;  // Would crash; see may_stop.
  }
  process.epoch = gained.epoch;
  process.scheduler = SliceScheduler::Create(
      {.slice = {.name = kSlice, .failure_domain = "yoff"},
       .id = gained.slice,
       .all_slices = {{.name = kSlice, .failure_domain = "yoff"}},
       .epoch = gained.epoch,
       .fence_version = gained.fence_version,
       .predecessor_ended = gained.predecessor_ended,
       .predecessor_term_end = gained.predecessor_term_end,
       .earlier_term_end = gained.earlier_term_end,
       .places_since = gained.places_since,
       .limits = {.longest_lease = longest_lease_,
                  .keep_final_jobs = milliseconds(120'000)},
       .read_document = ReadSteps,
       .log = [this, name = process.name](
                  const core::LogLine& line) { Log(name, line.text()); }},
      {.task_run = TaskChart(), .worker_contact = ContactChart()}, ids_, now_,
      problems);
  REQUIRE(problems.empty());
  process.scheduler->SetTermEnd(process.board->TermEnd(gained.slice));
  process.scheduler->SetEvacuated({}, now_);
  process.scheduler->SetConfig(OneQueue(), now_);
}

void OwnersWorld::ReadRegistry(Process& process) {
  if (!process.scheduler || FaultOf(process.store_link)) {
    return;
  }
  for (const auto& [id, entry] : registry_) {
    const auto [known, added] = process.registry.try_emplace(id, entry);
    if (added || known->second.born_unix_ms != entry.born_unix_ms ||
        known->second.draining != entry.draining) {
      known->second = entry;
      process.scheduler->UpdateWorker(entry, now_);
    }
  }
  std::erase_if(process.registry, [&](const auto& item) {
    const bool removed = !registry_.contains(item.first);
    if (removed) {
      process.scheduler->RemoveWorker(item.first, now_);
    }
    return removed;
  });
}

void OwnersWorld::Reply(std::size_t index, Event event, core::Duration after) {
  answers_.push_back({.at = now_ + after,
                      .to = {.process = index, .life = processes_[index].life},
                      .event = std::move(event)});
}

void OwnersWorld::ReplyUnanswered(std::size_t index,
                                  const WorkerCommand& command,
                                  core::Duration after) {
  const CallId call = CallOf(command);
  Reply(index,
        std::holds_alternative<RenewLease>(command)
            ? WorkerEvent(LeaseAnswered{.call = call})
            : WorkerEvent(OrderAnswered{.call = call}),
        after);
}

void OwnersWorld::Hold(Late call) {
  if (late_calls) {
    // Up to 11 s, by a number that is the same in each play.
    const core::Duration after =
        kCallTimeout * (1 + (seen_runs_ * 7 + late_.size() * 5) % 12);
    late_.emplace_back(now_ + after, std::move(call));
  }
}

void OwnersWorld::Send(std::size_t index, const StoreCommand& command) {
  const CallId call = CallOf(command);
  const auto* commit = std::get_if<CommitRows>(&command);
  const auto* follow = std::get_if<FollowRows>(&command);
  const auto fault = FaultOf(processes_[index].store_link);
  if (!fault) {
    if (auto answer = store.Run(command)) {
      Reply(index, *std::move(answer));
    } else {
      follows_.push_back(
          {.until = now_ + follow->wait,
           .from = {.process = index, .life = processes_[index].life},
           .command = *follow});
    }
    return;
  }
  if (*fault == LinkFault::kRefused) {
    Reply(index, StoreRefused{.call = call});
    return;
  }
  if (commit != nullptr && *fault == LinkFault::kLoseAnswers) {
    store.Run(command);
  } else if (commit != nullptr && *fault == LinkFault::kHold) {
    Hold(*commit);
  }
  Reply(index, StoreUnanswered{.call = call},
        kCallTimeout + (follow == nullptr ? core::Duration() : follow->wait));
}

bool OwnersWorld::Reachable(const Worker& worker) const {
  return worker.up && now_ >= worker.hung_until;
}

void OwnersWorld::Send(std::size_t index, const WorkerCommand& command) {
  const std::string id = ReceiverOf(command).worker;
  const Worker& worker = states_[id];
  const auto fault = FaultOf(processes_[index].worker_links[id]);
  const auto* renewal = std::get_if<RenewLease>(&command);
  const core::Duration timeout =
      kCallTimeout + (renewal == nullptr ? core::Duration() : renewal->wait);
  const bool refused =
      !worker.up && now_ >= worker.hung_until && worker.refuses;
  if (fault == LinkFault::kRefused || (!fault && refused)) {
    const CallId call = CallOf(command);
    constexpr auto kOutcome = OrderOutcome::kUnreachable;
    Reply(index,
          renewal == nullptr
              ? WorkerEvent(OrderAnswered{.call = call, .outcome = kOutcome})
              : WorkerEvent(LeaseAnswered{.call = call, .outcome = kOutcome}));
  } else if (fault == LinkFault::kLoseAnswers && Reachable(worker)) {
    workers.Handle(command, now_);
    ReplyUnanswered(index, command, timeout);
  } else if (fault || !Reachable(worker)) {
    if (fault == LinkFault::kHold) {
      Hold(command);
    }
    ReplyUnanswered(index, command, timeout);
  } else {
    Deliver(index, command);
  }
}

void OwnersWorld::Deliver(std::size_t index, const WorkerCommand& command) {
  WorkerEvent answer = *workers.Handle(command, now_);
  const auto* renewal = std::get_if<RenewLease>(&command);
  const bool done = std::visit(
      [](const auto& a) { return a.outcome == OrderOutcome::kCarriedOut; },
      answer);
  if (renewal == nullptr || renewal->wait == core::Duration() || !done) {
    Reply(index, std::move(answer));
    return;
  }
  // Has been carried out; only the report is left to do.
  RenewLease rest = *renewal;
  rest.lease_until_ms.reset();
  rest.acknowledged = 0;
  renewals_.push_back(
      {.until = now_ + renewal->wait,
       .from = {.process = index, .life = processes_[index].life},
       .order = std::move(rest),
       .born = states_[renewal->to.worker].born});
}

}  // namespace hickoryusher::jobs
