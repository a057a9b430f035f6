#include "scheduler_duty_p.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "clocks_p.h"
#include "core/overloaded.h"

namespace hickoryusher::jobs_process {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingSlots = 8192;

// How long the store may hold a call that follows the registry. A leaving
// worker must get no task later than 2 s after it begins to leave.
constexpr core::Duration kRegistryFollowWait = milliseconds(1000);

// Duration from which an iteration of the scheduler loop is logged as slow.
// Iterations delay renewals, and a slice that is not renewed for 2.8 s is
// claimed by another process.
constexpr core::Duration kSlowIterationThreshold = milliseconds(300);
constexpr core::Duration kSlowIterationLogInterval = milliseconds(1000);

// Others write the registry, any number of rows at a time.
constexpr core::Duration kUnreadableEntryLogInterval = milliseconds(1000);
constexpr std::size_t kMaxLoggedKeyBytes = 200;

}  // namespace

SchedulerDuty::SchedulerDuty(const Ports& ports,
                             Options options,
                             SchedulerCharts charts)
    : ports_(ports),
      options_(std::move(options)),
      charts_(std::move(charts)),
      codec_(ports.make_codec(options_.log)),
      late_orders_(options_.log),
      inputs_(kRingSlots) {}

SchedulerDuty::~SchedulerDuty() {
  Stop();
}

std::unique_ptr<SchedulerDuty> SchedulerDuty::Create(
    const Ports& ports,
    Options options,
    SchedulerCharts charts,
    std::vector<std::string>& errors) {
  std::unique_ptr<SchedulerDuty> duty(
      new SchedulerDuty(ports, std::move(options), std::move(charts)));
  std::vector<chart::Problem> problems;
  duty->board_ = jobs::SliceBoard::Create(
      {.process = duty->options_.process,
       .incarnation = duty->options_.incarnation,
       .failure_domain = duty->options_.failure_domain,
       .cpu_millis = duty->options_.cpu_millis,
       .slices = duty->options_.slices,
       .log = duty->options_.log},
      duty->charts_.slice_ownership, duty->ids_, problems);
  std::ranges::transform(problems, std::back_inserter(errors),
                         &chart::Problem::text);
  return duty->board_ == nullptr ? nullptr : std::move(duty);
}

void SchedulerDuty::Start(http::Upstream& upstream) {
  upstream_ = &upstream;
  thread_ = runtime::DutyThread("scheduler", [this] { Run(); });
}

void SchedulerDuty::Stop() {
  inputs_.Close();
  thread_.Join();
}

core::TimePoint SchedulerDuty::NextTimer() const {
  core::TimePoint next = board_->next_timer();
  for (const auto& [id, scheduler] : schedulers_) {
    next = std::min(next, scheduler->next_timer());
  }
  return registry_rows_ ? std::min(next, registry_rows_->next_timer()) : next;
}

void SchedulerDuty::Run() {
  std::vector<SchedulerInput> inputs;
  while (!inputs_.finished()) {
    const core::TimePoint now = Now();
    std::ranges::for_each(
        inputs, [&](SchedulerInput& input) { HandleInput(input, now); });
    inputs.clear();
    PublishLoads();
    board_->Run(now);
    PopNotices(now);
    const std::int64_t unix_ms = UnixMillis();
    for (const auto& [id, scheduler] : schedulers_) {
      scheduler->SetTermEnd(board_->TermEnd(id));
      scheduler->SetStoreClock(board_->store_clock());
      scheduler->Run(now, unix_ms);
      if (scheduler->fenced()) {
        board_->MarkFenced(id, now);
      } else if (scheduler->needs_renewed_term()) {
        board_->RenewSoon(id, now);
      }
    }
    ReleaseSlices(now);
    PopNotices(now);
    SendCommands(now);
    LogSlowIteration(now);
    inputs_.WaitDrain(inputs, NextTimer());
  }
}

// Releases the slices once all have been handed over.
void SchedulerDuty::ReleaseSlices(core::TimePoint now) {
  const bool handed_over = std::ranges::all_of(
      schedulers_, [](const auto& item) { return item.second->handed_over(); });
  if (releasing_ && handed_over) {
    releasing_ = false;
    board_->ReleaseAll(now);
  }
}

// Logs an iteration that has delayed renewals and answers.
void SchedulerDuty::LogSlowIteration(core::TimePoint begun) {
  const core::TimePoint end = Now();
  if (end < begun + kSlowIterationThreshold || end < next_slow_iteration_log_) {
    return;
  }
  next_slow_iteration_log_ = end + kSlowIterationLogInterval;
  std::uint64_t candidates_evaluated = 0;
  for (const auto& [id, scheduler] : schedulers_) {
    candidates_evaluated += scheduler->candidates_evaluated();
  }
  options_.log(core::LogLine("scheduler_round_slow", core::LogLevel::kWarning)
                   .Add("ms", core::ToMillis(end - begun))
                   .Add("slices", schedulers_.size())
                   .Add("considerations", candidates_evaluated));
}

void SchedulerDuty::HandleInput(SchedulerInput& input, core::TimePoint now) {
  std::visit(core::Overloaded{
                 [&](jobs::OperatorState& state) {
                   operator_state_ = std::move(state);
                   for (const auto& [id, scheduler] : schedulers_) {
                     SetOperatorState(*scheduler, now);
                   }
                 },
                 [&](const http::UpstreamEvent& e) { HandleEvent(e, now); },
                 [&](const SliceReleaseRequested&) {
                   releasing_ = true;
                   for (const auto& [id, scheduler] : schedulers_) {
                     scheduler->HandOver(now);
                   }
                 }},
             input);
}

// A scheduler starts no task before its first configuration. The evacuations
// come first, so that no task starts on a worker of an evacuated domain between
// the two.
void SchedulerDuty::SetOperatorState(jobs::SliceScheduler& scheduler,
                                     core::TimePoint now) {
  scheduler.SetEvacuated(operator_state_.evacuated, now);
  if (operator_state_.config != nullptr) {
    scheduler.SetConfig(operator_state_.config, now);
  }
}

void SchedulerDuty::HandleEvent(const http::UpstreamEvent& event,
                                core::TimePoint now) {
  late_orders_.Handle(event, now);
  const auto decoded = codec_.decode(event);
  if (!decoded) {
    return;
  }
  for (const auto& [id, scheduler] : schedulers_) {
    std::visit([&](const auto& e) { scheduler->Handle(e, now); }, *decoded);
  }
  if (const auto* store = std::get_if<jobs::StoreEvent>(&*decoded)) {
    board_->Handle(*store, now);
    if (registry_rows_) {
      if (const auto update = registry_rows_->Handle(*store, now)) {
        HandleRegistry(*update, now);
      }
    }
  }
}

void SchedulerDuty::HandleRegistry(const jobs::TableUpdate& update,
                                   core::TimePoint now) {
  std::visit(core::Overloaded{[&](const jobs::TableSnapshot& snapshot) {
                                RemoveMissingWorkers(snapshot, now);
                                for (const jobs::Row& row : snapshot.rows) {
                                  HandleRegistryRow(row, now);
                                }
                              },
                              [&](const jobs::TableChanges& changes) {
                                for (const jobs::Row& row : changes.rows) {
                                  HandleRegistryRow(row, now);
                                }
                              }},
             update);
}

void SchedulerDuty::RemoveMissingWorkers(const jobs::TableSnapshot& snapshot,
                                         core::TimePoint now) {
  std::set<std::string> present;
  std::ranges::transform(snapshot.rows, std::inserter(present, present.end()),
                         [](const jobs::Row& row) { return row.key.key; });
  for (const auto& [id, entry] : registry_) {
    if (!present.contains(id)) {
      for (const auto& [slice, scheduler] : schedulers_) {
        scheduler->RemoveWorker(id, now);
      }
    }
  }
  std::erase_if(registry_, [&](const auto& item) {
    return !present.contains(item.first);
  });
}

void SchedulerDuty::HandleRegistryRow(const jobs::Row& row,
                                      core::TimePoint now) {
  const auto entry = row.removed ? std::nullopt : ports_.read_worker(row);
  if (!entry) {
    if (!row.removed) {
      LogUnreadableEntry(row, now);
    }
    registry_.erase(row.key.key);
    for (const auto& [slice, scheduler] : schedulers_) {
      scheduler->RemoveWorker(row.key.key, now);
    }
    return;
  }
  registry_[row.key.key] = *entry;
  for (const auto& [slice, scheduler] : schedulers_) {
    scheduler->UpdateWorker(*entry, now);
  }
}

void SchedulerDuty::LogUnreadableEntry(const jobs::Row& row,
                                       core::TimePoint now) {
  ++unreadable_entries_;
  if (now < next_unreadable_entry_log_) {
    return;
  }
  next_unreadable_entry_log_ = now + kUnreadableEntryLogInterval;
  options_.log(
      core::LogLine("worker_entry_unreadable", core::LogLevel::kWarning)
          .Add("key", row.key.key.substr(0, kMaxLoggedKeyBytes))
          .Add("total", unreadable_entries_));
}

void SchedulerDuty::StartScheduler(const jobs::SliceGained& gained,
                                   core::TimePoint now) {
  std::vector<chart::Problem> problems;
  auto scheduler = jobs::SliceScheduler::Create(
      {.slice = options_.slices.at(gained.slice.value()),
       .id = gained.slice,
       .all_slices = options_.slices,
       .epoch = gained.epoch,
       .fence_version = gained.fence_version,
       .predecessor_ended = gained.predecessor_ended,
       .predecessor_term_end = gained.predecessor_term_end,
       .earlier_term_end = gained.earlier_term_end,
       .places_since = gained.places_since,
       .incarnation = options_.incarnation,
       .predecessor = gained.predecessor,
       .predecessor_incarnation = gained.predecessor_incarnation,
       .limits = options_.limits,
       .job_bytes = options_.slice_job_bytes,
       .read_document = ports_.read_document,
       .log = options_.log},
      {.task_run = charts_.task_run, .worker_contact = charts_.worker_contact},
      ids_, now, problems);
  if (scheduler == nullptr) {
    for (const chart::Problem& problem : problems) {
      options_.log(core::LogLine("chart_unusable", core::LogLevel::kError)
                       .Add("problem", problem.text));
    }
    return;
  }
  if (!registry_rows_) {
    registry_rows_ = std::make_unique<jobs::TableFollower>(
        jobs::TableFollower::Options{.table = ports_.registry_table,
                                     .part = {},
                                     .wait = kRegistryFollowWait},
        ids_);
  }
  scheduler->SetTermEnd(board_->TermEnd(gained.slice));
  for (const auto& [id, entry] : registry_) {
    scheduler->UpdateWorker(entry, now);
  }
  SetOperatorState(*scheduler, now);
  if (releasing_) {
    scheduler->HandOver(now);
  }
  schedulers_[gained.slice] = std::move(scheduler);
}

// The board renews its slices and reads all slices once a second; loads are
// computed only then.
void SchedulerDuty::PublishLoads() {
  if (!board_->ConsumeLoadsChanged()) {
    return;
  }
  for (const auto& [id, scheduler] : schedulers_) {
    if (auto load = scheduler->load()) {
      board_->SetLoad(id, *std::move(load));
    }
    scheduler->SetLoads(board_->Loads());
  }
  options_.publish_loads(board_->Loads());
}

void SchedulerDuty::EndScheduler(const jobs::SliceLost& lost,
                                 core::TimePoint now) {
  const auto found = schedulers_.find(lost.slice);
  if (found != schedulers_.end()) {
    found->second->LogLoss(lost.cause, now);
    schedulers_.erase(found);
  }
}

void SchedulerDuty::PopNotices(core::TimePoint now) {
  for (const jobs::SliceNotice& notice : board_->PopNotices()) {
    std::visit(core::Overloaded{[&](const jobs::SliceGained& gained) {
                                  StartScheduler(gained, now);
                                },
                                [&](const jobs::SliceLost& lost) {
                                  EndScheduler(lost, now);
                                }},
               notice);
  }
  if (schedulers_.empty() && registry_rows_) {
    registry_rows_.reset();
    registry_.clear();
  }
}

template <typename Command>
void SchedulerDuty::Send(const Command& command, core::TimePoint now) {
  http::StartExchange exchange;
  if constexpr (std::is_same_v<Command, jobs::StoreCommand>) {
    exchange = codec_.encode_store(command);
  } else {
    exchange = codec_.encode_worker(command);
    exchange.decided = now;
  }
  const core::AttemptId id = exchange.id;
  if (!upstream_->TrySend(std::move(exchange))) {
    options_.log(core::LogLine("upstream_ring_full", core::LogLevel::kWarning)
                     .Add("call", id.value()));
    HandleEvent(http::Failed{.id = id,
                             .stage = http::Stage::kBeforeConnection,
                             .reason = "ring_full",
                             .at = now},
                now);
  }
}

void SchedulerDuty::SendCommands(core::TimePoint now) {
  for (const jobs::StoreCommand& command : board_->PopCommands()) {
    Send(command, now);
  }
  if (registry_rows_) {
    if (const auto command = registry_rows_->Next(now)) {
      Send(*command, now);
    }
  }
  for (const auto& [id, scheduler] : schedulers_) {
    for (const jobs::StoreCommand& command : scheduler->PopStoreCommands()) {
      Send(command, now);
    }
    for (const jobs::WorkerCommand& command : scheduler->PopWorkerCommands()) {
      Send(command, now);
    }
  }
}

}  // namespace hickoryusher::jobs_process
