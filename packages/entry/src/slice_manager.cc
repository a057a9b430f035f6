#include <json/value.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "core/overloaded.h"
#include "slice_manager_p.h"

namespace hickoryusher::entry {
namespace {

// A leaving VM must get no new work after 3 s.
constexpr core::Duration kVmInterval = std::chrono::seconds(1);

constexpr int kOk = 200;

// Two heartbeats. A worker without an answer for longer is about to be silent.
constexpr std::chrono::milliseconds kExchangeTimeout{2000};

}  // namespace

SliceManager::SliceManager(Parts parts,
                           lease::SliceOwner owner,
                           lease::WorkerLeases leases)
    : parts_(std::move(parts)),
      fleet_(parts_.fleet),
      store_(parts_.fleet, parts_.directory),
      owner_(std::move(owner)),
      leases_(std::move(leases)),
      next_vm_read_(parts_.now) {}

std::unique_ptr<SliceManager> SliceManager::Create(
    Parts parts,
    std::vector<std::string>& errors) {
  std::vector<chart::Problem> problems;
  auto owner = lease::SliceOwner::Create(parts.charts.slice_lease,
                                         {.self = parts.directory.own_entry(),
                                          .incarnation = parts.incarnation,
                                          .slices = parts.fleet.slices()},
                                         parts.now, problems);
  auto leases = lease::WorkerLeases::Create(parts.charts.worker_lease,
                                            lease::Timing(), problems);
  const auto scheduler =
      placement::Scheduler::Create(parts.charts.task, {}, problems);
  if (!owner || !leases || !scheduler) {
    std::ranges::transform(problems, std::back_inserter(errors),
                           &chart::Problem::text);
    return nullptr;
  }
  return std::unique_ptr<SliceManager>(new SliceManager(
      std::move(parts), *std::move(owner), *std::move(leases)));
}

std::vector<http::StartExchange> SliceManager::TakeExchanges() {
  return std::exchange(exchanges_, {});
}

void SliceManager::RunOwner(const lease::SliceEvent& event,
                            core::TimePoint now) {
  std::vector<lease::SliceCommand> out;
  owner_.Handle(event, now, out);
  Execute(out, now);
}

void SliceManager::Tick(core::TimePoint now) {
  if (fleet_.workers().empty()) {
    return;
  }
  RunOwner(lease::Tick{}, now);
  if (now >= next_vm_read_) {
    next_vm_read_ = now + kVmInterval;
    store_.ReadVms();
  }
  TickWorkers(now);
  TickTerms(now);
}

void SliceManager::TickWorkers(core::TimePoint now) {
  std::vector<lease::WorkerCommand> out;
  for (const FleetWorker& worker : fleet_.workers()) {
    if (!terms_.contains(worker.slice)) {
      continue;
    }
    const core::WorkerId id = worker.spec.worker;
    leases_.AddWorker(id, worker.slice, now, out);
    if (workers_[id].gone) {
      leases_.VmGone(id, now, out);
    }
  }
  leases_.Tick(now, out);
  Execute(out, now);
}

void SliceManager::Release(core::TimePoint now) {
  RunOwner(lease::Release{}, now);
}

bool SliceManager::IsIdle(core::TimePoint now) const {
  return !store_.IsWritingSlices() &&
         std::ranges::all_of(fleet_.slices(), [&](core::SliceId slice) {
           return owner_.OwnershipAt(slice, now) == lease::Ownership::kNone;
         });
}

void SliceManager::Handle(const store::Event& event, core::TimePoint now) {
  // A process that was frozen first learns that its leases have ended.
  RunOwner(lease::Tick{}, now);
  std::vector<FleetEvent> events;
  store_.Handle(event, events);
  for (const FleetEvent& fleet_event : events) {
    std::visit(core::Overloaded{
                   [&](const lease::SliceEvent& e) { RunOwner(e, now); },
                   [&](const TermLoaded& e) { Fill(e, now); },
                   [](const TermNotLoaded&) {},  // TickTerms loads it again.
                   [&](const OpenJobsListed& e) {
                     if (Term* term = FindTerm(e.term)) {
                       TakeJobs(*term, e.jobs, now);
                     }
                   },
                   [&](const GroupAnswered& e) {
                     if (Term* term = FindTerm(e.term)) {
                       RunScheduler(*term, e.event, now);
                     }
                   },
                   [&](const JobClosed& e) {
                     Term* term = FindTerm(e.term);
                     if (term != nullptr && e.written) {
                       term->jobs[e.number].closed = true;
                       term->jobs[e.number].close_at.reset();
                     }
                   },
                   [&](const VmsListed& e) { TakeVms(e); }},
               fleet_event);
  }
}

void SliceManager::Execute(std::span<const lease::SliceCommand> commands,
                           core::TimePoint now) {
  const auto hold = [&](core::SliceId slice, bool on) {
    const auto term = terms_.find(slice);
    if (term != terms_.end()) {
      RunScheduler(term->second, placement::SetHold{.hold = on}, now);
    }
    parts_.log(core::LogLine("slice_hold")
                   .Add("slice", slice.value())
                   .Add("hold", on));
  };
  for (const lease::SliceCommand& command : commands) {
    std::visit(core::Overloaded{
                   [&](const lease::ReadRows& c) { store_.ReadSlices(c); },
                   [&](const lease::WriteRows& c) { store_.WriteSlices(c); },
                   [&](const lease::SliceBegun& c) { Begin(c, now); },
                   [&](const lease::HoldBegun& c) { hold(c.slice, true); },
                   [&](const lease::HoldEnded& c) { hold(c.slice, false); },
                   [&](const lease::SliceEnded& c) { End(c); },
                   [&](const lease::YieldAnswer&) { yield_answered_ = true; }},
               command);
  }
}

void SliceManager::Begin(const lease::SliceBegun& begun, core::TimePoint now) {
  leases_.BeginSlice(lease::TermOf(begun));
  Term& term = terms_[begun.slice];
  term = Term{.key = {.slice = begun.slice, .epoch = begun.epoch},
              .next_load = now};
  parts_.log(core::LogLine("slice_begun")
                 .Add("slice", begun.slice.value())
                 .Add("epoch", begun.epoch.value()));
}

void SliceManager::End(const lease::SliceEnded& ended) {
  leases_.EndSlice(ended.slice);
  terms_.erase(ended.slice);
  for (const FleetWorker& worker : fleet_.workers()) {
    if (worker.slice == ended.slice) {
      DropOrders(worker.spec.worker);
      workers_[worker.spec.worker].run.reset();
    }
  }
  parts_.log(core::LogLine("slice_ended")
                 .Add("slice", ended.slice.value())
                 .Add("epoch", ended.epoch.value()));
}

void SliceManager::DropOrders(core::WorkerId worker) {
  WorkerState& state = workers_[worker];
  state.orders.clear();
  state.throttle.reset();
}

void SliceManager::Execute(std::span<const lease::WorkerCommand> commands,
                           core::TimePoint now) {
  const auto forward = [&](std::string_view state, core::WorkerId worker,
                           const placement::Event& event) {
    parts_.log(core::LogLine("worker_lease")
                   .Add("worker", fleet_.Name(worker))
                   .Add("state", state));
    if (Term* term = TermOfWorker(worker)) {
      RunScheduler(*term, event, now);
    }
  };
  for (const lease::WorkerCommand& command : commands) {
    std::visit(
        core::Overloaded{
            [&](const lease::Heartbeat& c) { SendHeartbeat(c); },
            [&](const lease::AskYield& c) { AskYield(c); },
            [&](const lease::WorkerLive& c) {
              if (!workers_[c.worker].leaving) {
                forward("live", c.worker,
                        placement::WorkerUp{fleet_.Find(c.worker)->spec});
              }
            },
            [&](const lease::WorkerSilent& c) {
              DropOrders(c.worker);
              forward("silent", c.worker, placement::WorkerPaused{c.worker});
            },
            [&](const lease::WorkerLost& c) {
              DropOrders(c.worker);
              workers_[c.worker].run.reset();
              forward("lost", c.worker, placement::WorkerTasksLost{c.worker});
            }},
        command);
  }
}

void SliceManager::SendHeartbeat(const lease::Heartbeat& heartbeat) {
  WorkerState& state = workers_[heartbeat.worker];
  if (state.in_flight) {
    return;
  }
  std::vector<WorkerOrder> orders = std::exchange(state.orders, {});
  // A worker whose lease is not renewed takes no commands; the scheduler
  // repeats those that still count.
  if (!heartbeat.echo) {
    orders.clear();
  } else if (state.throttle) {
    orders.emplace_back(*state.throttle);
  }
  const core::AttemptId id(++next_exchange_);
  state.in_flight = true;
  in_flight_.emplace(id, heartbeat.worker);
  exchanges_.push_back(
      {.id = id,
       .url = fleet_.Find(heartbeat.worker)->url + "/v1/exchange",
       .method = "POST",
       .headers = {{"Content-Type", "application/json"}},
       .body = EncodeExchange(heartbeat, orders),
       .idempotent = true,
       .connect_timeout = kExchangeTimeout,
       .total_timeout = kExchangeTimeout});
}

void SliceManager::AskYield(const lease::AskYield& ask) {
  if (ask.previous == parts_.directory.own_entry() ||
      ask.previous.value() >= parts_.directory.entry_count()) {
    return;
  }
  const config::EntrySettings& to = parts_.directory.entry(ask.previous);
  Json::Value params;
  params["domain"] = fleet_.domain();
  params["slice"] = ask.slice.value();
  params["epoch"] = Json::UInt64(ask.epoch.value());
  params["from"] =
      std::string(parts_.directory.EntryName(parts_.directory.own_entry()));
  const core::AttemptId id(++next_exchange_);
  in_flight_.emplace(
      id, YieldCall{.term = {.slice = ask.slice, .epoch = ask.epoch}});
  exchanges_.push_back({.id = id,
                        .url = "http://" + to.address + ":" +
                               std::to_string(to.port) +
                               std::string(kSliceRpcPath),
                        .method = "POST",
                        .headers = {{"Content-Type", "application/json"}},
                        .body = rpc::EncodeCall("slice.yield", params),
                        .idempotent = true,
                        .connect_timeout = kExchangeTimeout,
                        .total_timeout = kExchangeTimeout});
}

void SliceManager::AddMethods(rpc::Dispatcher& dispatcher,
                              std::function<core::TimePoint()> clock) {
  dispatcher.Add("slice.yield", [this, clock = std::move(clock)](
                                    const Json::Value& params,
                                    Json::Value& result, std::string& error) {
    if (!params.isObject() || !params["slice"].isUInt() ||
        !params["epoch"].isUInt64() || !params["from"].isString() ||
        params["domain"] != Json::Value(fleet_.domain())) {
      error = "slice.yield: malformed or of another failure domain";
      return false;
    }
    result = Json::Value(Json::objectValue);
    result["yielded"] = AnswerYield(params, clock());
    return true;
  });
}

bool SliceManager::AnswerYield(const Json::Value& params, core::TimePoint now) {
  RunOwner(lease::Tick{}, now);
  yield_answered_ = false;
  RunOwner(lease::YieldAsked{.slice = core::SliceId(params["slice"].asUInt()),
                             .epoch = core::Epoch(params["epoch"].asUInt64()),
                             .from = parts_.directory.FindEntry(
                                 params["from"].asString())},
           now);
  return yield_answered_;
}

void SliceManager::Handle(const http::UpstreamEvent& event,
                          core::TimePoint now) {
  const auto finish = [&](core::AttemptId id, const http::Completed* reply) {
    const auto found = in_flight_.extract(id);
    if (!found.empty()) {
      std::visit([&](const auto& call) { Finish(call, reply, now); },
                 found.mapped());
    }
  };
  RunOwner(lease::Tick{}, now);
  std::visit(
      core::Overloaded{[](const http::FirstByte&) {},
                       [&](const http::Failed& e) { finish(e.id, nullptr); },
                       [&](const http::Completed& e) { finish(e.id, &e); }},
      event);
}

void SliceManager::Finish(core::WorkerId worker,
                          const http::Completed* reply,
                          core::TimePoint now) {
  workers_[worker].in_flight = false;
  if (reply == nullptr || reply->status != kOk) {
    return;
  }
  if (const auto report = DecodeExchange(reply->body)) {
    TakeReply(worker, *report, now);
  }
}

void SliceManager::Finish(const YieldCall& call,
                          const http::Completed* reply,
                          core::TimePoint now) {
  Json::Value result;
  std::string error;
  if (reply == nullptr || FindTerm(call.term) == nullptr ||
      !rpc::DecodeResponse(reply->body, result, error) || !result.isObject() ||
      result["yielded"] != Json::Value(true)) {
    return;
  }
  std::vector<lease::WorkerCommand> out;
  leases_.Yielded(call.term.slice, now, out);
  Execute(out, now);
}

bool SliceManager::IsSameRun(core::WorkerId worker,
                             const ExchangeReply& reply) {
  // A worker that started again does not know which attempts it ran. Its
  // reports count only once the lease of its predecessor has ended.
  std::optional<std::uint64_t>& run = workers_[worker].run;
  run = run.value_or(reply.run);
  return *run == reply.run;
}

void SliceManager::TakeReply(core::WorkerId worker,
                             const ExchangeReply& reply,
                             core::TimePoint now) {
  Term* term = TermOfWorker(worker);
  if (term == nullptr) {
    return;
  }
  if (!reply.accepted) {
    RunOwner(lease::Fenced{.slice = term->key.slice, .epoch = reply.epoch},
             now);
    return;
  }
  if (!IsSameRun(worker, reply)) {
    return;
  }
  std::vector<lease::WorkerCommand> out;
  const bool accepted =
      leases_.Report(worker, reply.epoch, reply.worker_time, now, out);
  Execute(out, now);
  if (accepted) {
    RunScheduler(
        *term,
        placement::WorkerReport{.worker = worker, .attempts = reply.attempts},
        now);
  }
}

void SliceManager::TakeVms(const VmsListed& list) {
  // An answer to an earlier read may be older than one already taken.
  if (list.revision < vm_revision_) {
    return;
  }
  vm_revision_ = list.revision;
  for (const FleetWorker& worker : fleet_.workers()) {
    WorkerState& state = workers_[worker.spec.worker];
    const auto found = std::ranges::find(list.vms, worker.vm, &store::Vm::name);
    const bool listed = found != list.vms.end();
    state.gone = state.gone || (state.listed && !listed);
    state.listed = state.listed || listed;
    state.leaving =
        listed ? found->state == store::VmState::kLeaving : state.leaving;
  }
}

}  // namespace hickoryusher::entry
