#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "core/overloaded.h"
#include "router_duty_p.h"

namespace hickoryusher::entry {
namespace {

constexpr std::string_view kRpcPath = "/rpc";

// A leaving VM must get no request after 3 s.
constexpr core::Duration kListInterval = std::chrono::seconds(1);

core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

RouterDuty::RouterDuty(std::unique_ptr<RequestPath> path,
                       telemetry::Metrics& metrics,
                       std::size_t ring_slots)
    : path_(std::move(path)), metrics_(metrics), inputs_(ring_slots) {
  path_->AddMethods(dispatcher_, Now);
}

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
    inputs_.WaitDrain(inputs, std::min(path_->next_timer(), next_list_read_));
    std::ranges::for_each(
        inputs, [this](RouterInput& input) { Take(std::move(input), Now()); });
    inputs.clear();
    path_->RunTimers(Now());
    ReadVmList(Now());
    CarryOut(Now());
    NoteReleased();
  }
}

void RouterDuty::Take(RouterInput&& input, core::TimePoint now) {
  std::visit(
      core::Overloaded{
          [&](http::IncomingRequest&& r) { TakeRequest(std::move(r), now); },
          [&](http::UpstreamEvent&& e) { path_->Handle(std::move(e), now); },
          [&](const store::Event& e) { TakeStoreEvent(e, now); },
          [&](const PeerReply& r) { path_->Handle(r, now); },
          [&](const routing::MembershipEvent& e) { path_->Handle(e, now); },
          [&](const PoliciesChanged& e) { path_->Handle(e, now); },
          [&](const StopRequested&) { path_->StartShutdown(now); },
          [&](const ReleaseRequested&) { path_->ReleaseShares(now); }},
      std::move(input));
}

void RouterDuty::ReadVmList(core::TimePoint now) {
  if (now < next_list_read_) {
    return;
  }
  next_list_read_ = now + kListInterval;
  const store::CommandId id(next_list_id_++);
  if (outputs_.store(store::ReadVmList{
          .id = id, .known_revision = path_->vm_list_revision()})) {
    list_read_ = id;
  }
}

void RouterDuty::TakeStoreEvent(const store::Event& event,
                                core::TimePoint now) {
  if (store::IdOf(event).value() < kFirstListId) {
    path_->Handle(event, now);
    return;
  }
  const auto* read = std::get_if<store::VmListRead>(&event);
  // An answer to an earlier read may be older than one already taken.
  if (read != nullptr && read->id == list_read_) {
    path_->TakeVmList(*read, now);
  }
}

void RouterDuty::NoteReleased() {
  if (!path_->shares_released()) {
    return;
  }
  {
    const std::lock_guard lock(released_mutex_);
    released_ = true;
  }
  released_changed_.notify_all();
}

bool RouterDuty::WaitReleased(core::TimePoint until) {
  std::unique_lock lock(released_mutex_);
  return released_changed_.wait_until(lock, until,
                                      [this] { return released_; });
}

void RouterDuty::TakeRequest(http::IncomingRequest&& request,
                             core::TimePoint now) {
  if (request.path == "/healthz") {
    const bool healthy = healthy_.load();
    outputs_.respond(TextResponse(request.id, healthy ? 200 : 503,
                                  healthy ? "ok" : "not serving"));
  } else if (request.path == "/metrics") {
    outputs_.respond(TextResponse(request.id, 200, metrics_.Collect()));
  } else if (request.path == kRpcPath) {
    outputs_.respond({.id = request.id,
                      .status = 200,
                      .headers = {{"Content-Type", "application/json"}},
                      .body = dispatcher_.Handle(request.body)});
  } else if (request.path == "/v1/tickets") {
    IssueTickets(request);
  } else {
    path_->Arrive(std::move(request), now);
  }
}

void RouterDuty::IssueTickets(const http::IncomingRequest& request) {
  constexpr std::string_view kCount = "count=";
  std::uint32_t count = 1;
  const std::string_view query = request.query;
  if (query.starts_with(kCount)) {
    const std::string_view text = query.substr(kCount.size());
    const auto result =
        std::from_chars(text.data(), text.data() + text.size(), count);
    count = result.ptr == text.data() + text.size() ? count : 0;
  } else if (!query.empty()) {
    count = 0;
  }
  const auto tickets = path_->keys().tickets().Issue(count);
  if (request.method != "POST" || !tickets) {
    outputs_.respond(NotRunResponse(request.id, 400, "bad_ticket_count", {}));
    return;
  }
  std::string body;
  std::ranges::for_each(*tickets,
                        [&body](const std::string& t) { body += t + '\n'; });
  outputs_.respond({.id = request.id,
                    .status = 200,
                    .headers = {{"Content-Type", "text/plain; charset=utf-8"}},
                    .body = std::move(body)});
}

void RouterDuty::CarryOut(core::TimePoint now) {
  std::vector<PathCommand> commands;
  path_->TakeCommands(commands);
  while (!commands.empty()) {
    for (PathCommand& command : commands) {
      std::visit([&](auto& c) { Run(c, now); }, command);
    }
    commands.clear();
    path_->TakeCommands(commands);
  }
}

void RouterDuty::Run(http::Response& response, core::TimePoint) {
  outputs_.respond(std::move(response));
}

void RouterDuty::Run(http::UpstreamCommand& command, core::TimePoint now) {
  if (outputs_.send(std::move(command))) {
    return;
  }
  if (const auto* start = std::get_if<http::StartExchange>(&command)) {
    path_->Handle(http::Failed{.id = start->id,
                               .stage = http::Stage::kBeforeConnection,
                               .reason = "exchange_limit",
                               .at = now},
                  now);
  }
}

void RouterDuty::Run(store::Command& command, core::TimePoint now) {
  const store::CommandId id = store::IdOf(command);
  if (!outputs_.store(std::move(command))) {
    path_->Handle(store::Event(store::Refused{
                      .id = id, .reason = store::RefusalReason::kRingFull}),
                  now);
  }
}

void RouterDuty::Run(PeerCall& call, core::TimePoint now) {
  const PeerCallId id = call.id;
  if (!outputs_.call(std::move(call))) {
    path_->Handle(PeerReply{.id = id, .text = std::nullopt}, now);
  }
}

}  // namespace hickoryusher::entry
