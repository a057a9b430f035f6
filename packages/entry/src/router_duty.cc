#include <algorithm>
#include <chrono>
#include <utility>

#include "core/overloaded.h"
#include "router_duty_p.h"

namespace hickoryusher::entry {
namespace {

core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

RouterDuty::RouterDuty(std::unique_ptr<RequestPath> path,
                       telemetry::Metrics& metrics,
                       std::size_t ring_slots)
    : path_(std::move(path)), metrics_(metrics), inputs_(ring_slots) {}

RouterDuty::~RouterDuty() {
  Stop();
}

void RouterDuty::Start(Outputs outputs) {
  outputs_ = std::move(outputs);
  thread_ = runtime::DutyThread("router", [this] { Run(); });
}

void RouterDuty::Stop() {
  inputs_.Close();
  thread_.Join();
}

void RouterDuty::Run() {
  std::vector<RouterInput> inputs;
  while (!inputs_.finished()) {
    if (const auto until = path_->next_timer()) {
      inputs_.WaitDrain(inputs, *until);
    } else {
      inputs_.WaitDrain(inputs);
    }
    std::ranges::for_each(
        inputs, [this](RouterInput& input) { Take(std::move(input), Now()); });
    inputs.clear();
    path_->RunTimers(Now());
    CarryOut(Now());
  }
}

void RouterDuty::Take(RouterInput&& input, core::TimePoint now) {
  std::visit(
      core::Overloaded{
          [&](http::IncomingRequest&& r) { TakeRequest(std::move(r), now); },
          [&](http::UpstreamEvent&& e) { path_->Handle(std::move(e), now); },
          [&](const routing::MembershipEvent& e) { path_->Handle(e, now); },
          [&](const StopRequested&) { path_->StartShutdown(now); }},
      std::move(input));
}

void RouterDuty::TakeRequest(http::IncomingRequest&& request,
                             core::TimePoint now) {
  if (request.path == "/healthz") {
    const bool healthy = healthy_.load();
    outputs_.respond(TextResponse(request.id, healthy ? 200 : 503,
                                  healthy ? "ok" : "not serving"));
  } else if (request.path == "/metrics") {
    outputs_.respond(TextResponse(request.id, 200, metrics_.Collect()));
  } else {
    path_->Arrive(std::move(request), now);
  }
}

void RouterDuty::CarryOut(core::TimePoint now) {
  std::vector<PathCommand> commands;
  path_->TakeCommands(commands);
  while (!commands.empty()) {
    for (PathCommand& command : commands) {
      std::visit(
          core::Overloaded{
              [this](http::Response& r) { outputs_.respond(std::move(r)); },
              [&](http::UpstreamCommand& c) {
                if (outputs_.send(std::move(c))) {
                  return;
                }
                if (const auto* start = std::get_if<http::StartExchange>(&c)) {
                  path_->Handle(
                      http::Failed{.id = start->id,
                                   .stage = http::Stage::kBeforeConnection,
                                   .reason = "exchange_limit",
                                   .at = now},
                      now);
                }
              }},
          command);
    }
    commands.clear();
    path_->TakeCommands(commands);
  }
}

}  // namespace hickoryusher::entry
