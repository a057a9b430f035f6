#include "settings_fakes.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

#include "chart_yaml/load.h"

namespace hickoryusher::entry {
namespace {

const chart::Chart& RevisionChart() {
  static const auto kChart = [] {
    chart_yaml::Loader loader;
    auto chart = loader.LoadFile(std::string(HICKORYUSHER_SOURCE_DIR) +
                                 "/charts/settings_revision.yaml");
    REQUIRE(chart.has_value());
    return *std::move(chart);
  }();
  return kChart;
}

settings::Editor MakeEditor() {
  std::vector<chart::Problem> problems;
  auto editor = settings::Editor::Create(
      RevisionChart(), settings::KnownSettings(), {}, 1, problems);
  REQUIRE(editor.has_value());
  return *std::move(editor);
}

}  // namespace

SettingsProcess::SettingsProcess(store::FakePlatform& platform,
                                 std::string admin)
    : platform_(platform) {
  manager_.emplace(
      SettingsManager::Parts{.editor = MakeEditor(),
                             .peers = {core::EntryId(1)},
                             .admin_key_hash = std::move(admin),
                             .log = [this](const core::LogLine& line) {
                               log.emplace_back(line.text());
                             }});
}

void SettingsProcess::Send(std::string_view method,
                           std::string_view target,
                           std::string_view bearer,
                           std::string_view body) {
  const std::size_t mark = target.find('?');
  http::IncomingRequest request{
      .id = core::RequestId(next_request_++),
      .method = std::string(method),
      .path = std::string(target.substr(0, mark)),
      .query = mark == std::string_view::npos
                   ? std::string()
                   : std::string(target.substr(mark + 1)),
      .body = std::string(body)};
  if (!bearer.empty()) {
    request.headers = {{"Authorization", "Bearer " + std::string(bearer)}};
  }
  manager_->Take(request, now_);
  Settle();
}

void SettingsProcess::Submit(std::string_view id,
                             std::string_view path,
                             std::string_view value,
                             int base,
                             std::string_view bearer,
                             bool resubmitted) {
  Send("POST", "/v1/settings/changes", bearer,
       R"({"id":")" + std::string(id) + R"(","path":")" + std::string(path) +
           R"(","value":)" + std::string(value) + R"(,"base":)" +
           std::to_string(base) + R"(,"resubmitted":)" +
           (resubmitted ? "true}" : "false}"));
}

void SettingsProcess::Pass(core::Duration duration) {
  const core::TimePoint end = now_ + duration;
  Settle();
  while (next_due() < end) {
    now_ = std::max(now_, next_due());
    Settle();
  }
  now_ = end;
  Settle();
}

core::TimePoint SettingsProcess::next_due() const {
  return std::min(manager_->next_timer(),
                  platform_.next_due().value_or(core::TimePoint::max()));
}

void SettingsProcess::Settle() {
  manager_->Advance(now_);
  RunCommands();
  for (auto events = platform_.Advance(now_); !events.empty();
       events = platform_.Advance(now_)) {
    for (const store::Event& event : events) {
      manager_->Handle(event, now_);
    }
    RunCommands();
  }
}

void SettingsProcess::RunCommands() {
  for (auto commands = manager_->TakeCommands(); !commands.empty();
       commands = manager_->TakeCommands()) {
    for (SettingsCommand& command : commands) {
      std::visit([this](auto& c) { Run(c); }, command);
    }
  }
}

bool SettingsProcess::HasLog(std::string_view text) const {
  return std::ranges::any_of(log, [text](const std::string& line) {
    return line.find(text) != std::string::npos;
  });
}

void SettingsProcess::Run(http::Response& response) {
  responses.push_back(std::move(response));
}

void SettingsProcess::Run(store::Command& command) {
  if (reaches_store) {
    platform_.Send(now_, std::move(command));
  } else {
    manager_->Handle(store::Unavailable{store::IdOf(command)}, now_);
  }
}

void SettingsProcess::Run(const PeerCall& call) {
  PeerReply reply{.id = call.id, .text = std::nullopt};
  if (peer != nullptr) {
    peer->manager().TakeCall({.id = core::RequestId(1u << 20U),
                              .method = "POST",
                              .path = call.path,
                              .body = call.text});
    for (SettingsCommand& command : peer->manager().TakeCommands()) {
      reply.text = std::get<http::Response>(command).body;
    }
  }
  manager_->Handle(reply, now_);
}

void SettingsProcess::Run(const TreeMoved&) {
  ++moves;
}

}  // namespace hickoryusher::entry
