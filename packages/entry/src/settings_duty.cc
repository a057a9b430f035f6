#include "settings_duty_p.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::entry {
namespace {

constexpr std::string_view kRpcPath = "/rpc/settings";

// The router's ring is full only for moments; settings must be in effect within
// 3 s.
constexpr core::Duration kApplyRetry = std::chrono::milliseconds(50);

core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

SettingsDuty::SettingsDuty(SettingsManager::Parts parts, std::size_t ring_slots)
    : manager_(std::move(parts)), inputs_(ring_slots) {}

SettingsDuty::~SettingsDuty() {
  Stop();
}

void SettingsDuty::Start(Outputs outputs) {
  outputs_ = std::move(outputs);
  thread_ = runtime::DutyThread("settings", [this] { Run(); });
}

void SettingsDuty::Stop() {
  inputs_.Close();
  thread_.Join();
}

bool SettingsDuty::WaitReady(core::TimePoint until) {
  std::unique_lock lock(ready_mutex_);
  return ready_changed_.wait_until(lock, until, [this] { return ready_; });
}

void SettingsDuty::Run() {
  std::vector<SettingsInput> inputs;
  while (!inputs_.finished()) {
    manager_.Advance(Now());
    CarryOut(Now());
    inputs_.WaitDrain(inputs, std::min(manager_.next_timer(), next_apply_));
    for (const SettingsInput& input : inputs) {
      Take(input, Now());
    }
    inputs.clear();
    CarryOut(Now());
    Apply(Now());
    NoteReady();
  }
}

void SettingsDuty::Take(const SettingsInput& input, core::TimePoint now) {
  std::visit(
      core::Overloaded{[&](const http::IncomingRequest& r) {
                         if (r.path == kRpcPath) {
                           manager_.TakeCall(r);
                         } else {
                           manager_.Take(r, now);
                         }
                       },
                       [&](const store::Event& e) { manager_.Handle(e, now); },
                       [&](const PeerReply& r) { manager_.Handle(r, now); }},
      input);
}

void SettingsDuty::CarryOut(core::TimePoint now) {
  auto commands = manager_.TakeCommands();
  while (!commands.empty()) {
    for (SettingsCommand& command : commands) {
      std::visit([&](auto& c) { Run(c, now); }, command);
    }
    commands = manager_.TakeCommands();
  }
}

void SettingsDuty::NoteReady() {
  // The process is ready once the settings are also with the router.
  if (ready_ || !manager_.ready() || next_apply_ != core::TimePoint::max()) {
    return;
  }
  {
    const std::lock_guard lock(ready_mutex_);
    ready_ = true;
  }
  ready_changed_.notify_all();
}

void SettingsDuty::Run(http::Response& response, core::TimePoint) {
  outputs_.respond(std::move(response));
}

void SettingsDuty::Run(store::Command& command, core::TimePoint now) {
  const store::CommandId id = store::IdOf(command);
  if (!outputs_.store(std::move(command))) {
    manager_.Handle(store::Event(store::Refused{
                        .id = id, .reason = store::RefusalReason::kRingFull}),
                    now);
  }
}

void SettingsDuty::Run(PeerCall& call, core::TimePoint now) {
  const PeerCallId id = call.id;
  if (!outputs_.call(std::move(call))) {
    manager_.Handle(PeerReply{.id = id, .text = std::nullopt}, now);
  }
}

void SettingsDuty::Run(const TreeMoved&, core::TimePoint now) {
  next_apply_ = now;
}

void SettingsDuty::Apply(core::TimePoint now) {
  if (next_apply_ <= now) {
    next_apply_ = outputs_.apply(manager_.tree()) ? core::TimePoint::max()
                                                  : now + kApplyRetry;
  }
}

}  // namespace hickoryusher::entry
