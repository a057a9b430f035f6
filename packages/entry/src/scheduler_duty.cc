#include <algorithm>
#include <chrono>
#include <utility>

#include "core/overloaded.h"
#include "scheduler_duty_p.h"

namespace hickoryusher::entry {
namespace {

constexpr core::Duration kTick = std::chrono::milliseconds(100);

// Commands of the job API are numbered from here, those of the slices from 1.
constexpr std::uint64_t kFirstApiId = std::uint64_t{1} << 62U;

core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

SchedulerDuty::SchedulerDuty(const config::ProcessSettings& settings)
    : fleet_(settings),
      api_(fleet_, kFirstApiId),
      inputs_(settings.limits.ring_slots) {}

std::unique_ptr<SchedulerDuty> SchedulerDuty::Create(
    Parts parts,
    std::vector<std::string>& errors) {
  std::unique_ptr<SchedulerDuty> duty(new SchedulerDuty(parts.settings));
  return duty->Build(std::move(parts), errors) ? std::move(duty) : nullptr;
}

bool SchedulerDuty::Build(Parts parts, std::vector<std::string>& errors) {
  manager_ = SliceManager::Create({.fleet = fleet_,
                                   .directory = parts.directory,
                                   .charts = parts.charts,
                                   .incarnation = parts.incarnation,
                                   .log = std::move(parts.log),
                                   .now = Now(),
                                   .unix_ms = UnixMillis()},
                                  errors);
  if (!manager_) {
    return false;
  }
  manager_->AddMethods(dispatcher_, Now);
  const config::PlatformSettings& platform = parts.settings.platform;
  store_ = std::make_unique<store::HttpAdapter>(
      store::HttpAdapter::Options{.table_url = platform.table_url,
                                  .object_url = platform.object_url,
                                  .vm_list_url = platform.vm_list_url},
      [this](store::Event&& event) {
        return inputs_.TryPush(SchedulerInput(event));
      });
  http::Upstream::Builder builder;
  builder.events(inputs_);
  upstream_ = builder.Start();
  if (!upstream_) {
    errors.push_back(builder.last_error());
  }
  return upstream_ != nullptr;
}

SchedulerDuty::~SchedulerDuty() {
  Stop();
}

void SchedulerDuty::Start(std::function<bool(http::Response)> respond) {
  respond_ = std::move(respond);
  thread_ = runtime::DutyThread("scheduler", [this] { Run(); });
}

void SchedulerDuty::Stop() {
  // The upstream first: it hands its last events to the ring.
  if (upstream_) {
    upstream_->Shutdown();
  }
  inputs_.Close();
  thread_.Join();
  store_.reset();
}

bool SchedulerDuty::Release(core::TimePoint until) {
  if (!inputs_.TryPush(SchedulerInput(SliceReleaseRequested{}))) {
    return false;
  }
  std::unique_lock lock(released_mutex_);
  return released_changed_.wait_until(lock, until,
                                      [this] { return released_; });
}

void SchedulerDuty::NoteReleased() {
  if (!releasing_ || !manager_->IsIdle(Now())) {
    return;
  }
  {
    const std::lock_guard lock(released_mutex_);
    released_ = true;
  }
  released_changed_.notify_all();
}

void SchedulerDuty::Run() {
  std::vector<SchedulerInput> inputs;
  core::TimePoint next_tick = Now();
  while (!inputs_.finished()) {
    inputs_.WaitDrain(inputs, next_tick);
    std::ranges::for_each(
        inputs, [this](SchedulerInput& input) { Take(std::move(input)); });
    inputs.clear();
    if (Now() >= next_tick) {
      next_tick = Now() + kTick;
      manager_->Tick(Now());
    }
    CarryOut();
    NoteReleased();
  }
}

void SchedulerDuty::Take(SchedulerInput&& input) {
  std::visit(
      core::Overloaded{
          [this](const http::IncomingRequest& r) { TakeRequest(r); },
          [this](const store::Event& e) { TakeStoreEvent(e); },
          [this](const http::UpstreamEvent& e) { manager_->Handle(e, Now()); },
          [this](const SliceReleaseRequested&) {
            releasing_ = true;
            manager_->Release(Now());
          }},
      std::move(input));
}

void SchedulerDuty::TakeRequest(const http::IncomingRequest& request) {
  if (request.path != kSliceRpcPath) {
    api_.Handle(request, UnixMillis());
    return;
  }
  respond_({.id = request.id,
            .status = 200,
            .headers = {{"Content-Type", "application/json"}},
            .body = dispatcher_.Handle(request.body)});
}

void SchedulerDuty::TakeStoreEvent(const store::Event& event) {
  if (store::IdOf(event).value() >= kFirstApiId) {
    api_.Handle(event);
  } else {
    manager_->Handle(event, Now());
  }
}

void SchedulerDuty::Send(store::Command&& command) {
  const store::CommandId id = store::IdOf(command);
  if (!store_->Send(std::move(command))) {
    TakeStoreEvent(
        store::Refused{.id = id, .reason = store::RefusalReason::kRingFull});
  }
}

void SchedulerDuty::CarryOut() {
  for (store::Command& command : manager_->TakeCommands()) {
    Send(std::move(command));
  }
  for (store::Command& command : api_.TakeCommands()) {
    Send(std::move(command));
  }
  for (http::StartExchange& exchange : manager_->TakeExchanges()) {
    const core::AttemptId id = exchange.id;
    if (!upstream_->TrySend(http::UpstreamCommand(std::move(exchange)))) {
      manager_->Handle(http::UpstreamEvent(
                           http::Failed{.id = id,
                                        .stage = http::Stage::kBeforeConnection,
                                        .reason = "exchange_limit",
                                        .at = Now()}),
                       Now());
    }
  }
  for (http::Response& response : api_.TakeResponses()) {
    respond_(std::move(response));
  }
}

}  // namespace hickoryusher::entry
