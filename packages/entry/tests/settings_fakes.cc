#include "settings_fakes.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>

#include "chart_yaml/load.h"
#include "core/overloaded.h"

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

store::Event FakeTable::Run(const store::Command& command) {
  const store::CommandId id = store::IdOf(command);
  if (outage) {
    return store::Unavailable{id};
  }
  return std::visit(
      core::Overloaded{
          [&](const store::Transact& c) { return Write(c); },
          [&](const store::ReadRow& c) -> store::Event {
            const auto row = rows.find(c.key);
            return store::RowRead{.id = id,
                                  .row = row == rows.end()
                                             ? std::nullopt
                                             : std::optional(row->second),
                                  .as_of = last};
          },
          [&](const store::ReadRange& c) { return Read(c); },
          [&](const auto&) -> store::Event { return store::Unavailable{id}; }},
      command);
}

store::Event FakeTable::Read(const store::ReadRange& command) const {
  store::RangeRead read{.id = command.id, .as_of = last};
  for (auto row = rows.upper_bound(std::max(command.after, command.prefix));
       row != rows.end() && row->first.starts_with(command.prefix); ++row) {
    if (read.rows.size() == command.limit) {
      read.more = true;
      break;
    }
    read.rows.push_back(row->second);
  }
  return read;
}

store::Event FakeTable::Write(const store::Transact& command) {
  for (const store::KeyVersion& condition : command.conditions) {
    const auto row = rows.find(condition.key);
    const auto version = row == rows.end() ? 0 : row->second.version;
    if (version != condition.version) {
      return store::Conflicted{.id = command.id};
    }
  }
  ++last;
  for (store::Row row : command.puts) {
    row.version = last;
    rows[row.key] = row;
  }
  outage = outage_after_write;
  if (loses_answers) {
    return store::TimedOut{command.id};
  }
  return store::Committed{.id = command.id, .version = last};
}

SettingsProcess::SettingsProcess(FakeTable& table, std::string admin)
    : table_(table) {
  desk_.emplace(SettingsDesk::Parts{.editor = MakeEditor(),
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
  desk_->Take(request, now_);
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
  while (desk_->next_timer() < end) {
    now_ = std::max(now_, desk_->next_timer());
    Settle();
  }
  now_ = end;
  Settle();
}

void SettingsProcess::Settle() {
  desk_->Advance(now_);
  for (auto commands = desk_->TakeCommands(); !commands.empty();
       commands = desk_->TakeCommands()) {
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

void SettingsProcess::Run(const store::Command& command) {
  if (holds_store) {
    return;
  }
  desk_->Handle(reaches_store
                    ? table_.Run(command)
                    : store::Event(store::Unavailable{store::IdOf(command)}),
                now_);
}

void SettingsProcess::Run(const PeerCall& call) {
  PeerReply reply{.id = call.id, .text = std::nullopt};
  if (peer != nullptr) {
    peer->desk().TakeCall({.id = core::RequestId(1u << 20U),
                           .method = "POST",
                           .path = call.path,
                           .body = call.text});
    for (SettingsCommand& command : peer->desk().TakeCommands()) {
      reply.text = std::get<http::Response>(command).body;
    }
  }
  desk_->Handle(reply, now_);
}

void SettingsProcess::Run(const TreeMoved&) {
  ++moves;
}

}  // namespace hickoryusher::entry
