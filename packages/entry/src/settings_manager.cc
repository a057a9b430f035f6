#include "settings_manager_p.h"

#include <algorithm>
#include <iterator>

#include "core/overloaded.h"
#include "settings_store/json.h"

namespace hickoryusher::entry {
namespace {

constexpr std::string_view kBootstrapPath = "/admin/keys/bootstrap";

// A reply later than the next exchange is of no use.
constexpr core::Duration kPeerTimeout = std::chrono::milliseconds(500);

// Each read holds all changes of its path, and a year has 222,650 changes.
constexpr std::size_t kMaxHistories = 4;

// Command ids of the history reads, apart from those of the other commands.
constexpr std::uint64_t kFirstHistoryCommand = std::uint64_t{1} << 62U;

settings::Tree MakeBootstrap(std::string_view hash) {
  if (hash.empty()) {
    return {};
  }
  return settings::Tree().With({.id = "bootstrap",
                                .path = std::string(kBootstrapPath),
                                .value = std::string(hash)});
}

std::optional<settings::PeerAnswered> DecodePeer(std::size_t peer,
                                                 const PeerReply& reply) {
  Json::Value result;
  std::string error;
  if (!reply.text || !rpc::DecodeResponse(*reply.text, result, error) ||
      !result.isObject() || !result["ready"].isBool()) {
    return std::nullopt;
  }
  auto delta = settings_store::DeltaFromJson(result);
  if (!delta) {
    return std::nullopt;
  }
  return settings::PeerAnswered{.peer = peer,
                                .ready = result["ready"].asBool(),
                                .delta = *std::move(delta)};
}

}  // namespace

SettingsManager::SettingsManager(Parts parts)
    : parts_(std::move(parts)),
      follower_({.peers = parts_.peers.size()}),
      store_(store::CommandId(1)),
      history_store_(store::CommandId(kFirstHistoryCommand)),
      bootstrap_(MakeBootstrap(parts_.admin_key_hash)) {
  dispatcher_.Add("settings.since",
                  [this](const Json::Value& params, Json::Value& result,
                         std::string& error) {
                    if (!params.isObject() || !params["after"].isUInt64()) {
                      error = "settings.since: expected a revision";
                      return false;
                    }
                    result = settings_store::ToJson(
                        follower_.tree().Since(params["after"].asUInt64()));
                    result["ready"] = follower_.ready();
                    return true;
                  });
}

void SettingsManager::Take(const http::IncomingRequest& request,
                           core::TimePoint now) {
  now_ = now;
  const auto principal = Authenticate(BearerKey(request));
  if (!principal) {
    // Without settings, a key that is valid elsewhere is not known here.
    if (!ready()) {
      Refuse(request, 503, "settings_not_ready");
    } else {
      Refuse(request, 401, "no_valid_key");
    }
    return;
  }
  const auto read = reader_.Read(request);
  if (!read) {
    Refuse(request, reader_.last_error().status, reader_.last_error().reason);
    return;
  }
  if (!principal->MayReach(PathOf(*read))) {
    Refuse(request, 403, "outside_subtree");
    return;
  }
  if (!ready()) {
    Refuse(request, 503, "settings_not_ready");
    return;
  }
  principal_ = principal->name;
  std::visit([&](const auto& r) { Run(r, request); }, *read);
  Collect();
}

void SettingsManager::TakeCall(const http::IncomingRequest& request) {
  Respond({.id = request.id,
           .status = 200,
           .headers = {{"Content-Type", "application/json"}},
           .body = dispatcher_.Handle(request.body)});
}

std::optional<settings::Principal> SettingsManager::Authenticate(
    std::string_view bearer) const {
  // An entry at the path, also a removal, revokes the hash of the settings
  // file.
  const bool revoked = tree().FindEntry(kBootstrapPath) != nullptr;
  auto found = settings::Keys::Authenticate(tree(), bearer);
  return found || revoked || !ready()
             ? found
             : settings::Keys::Authenticate(bootstrap_, bearer);
}

void SettingsManager::Refuse(const http::IncomingRequest& request,
                             int status,
                             std::string_view reason) {
  parts_.log(core::LogLine("settings_refused")
                 .Add("request", request.id.value())
                 .Add("method", request.method)
                 .Add("path", request.path)
                 .Add("status", status)
                 .Add("reason", reason));
  Respond(SettingsError(request.id, status, reason));
}

void SettingsManager::Run(const ListSettings& request,
                          const http::IncomingRequest& from) {
  Respond(SettingsList(from.id, tree(), request.path));
}

void SettingsManager::Run(const ReadPathRevision& request,
                          const http::IncomingRequest& from) {
  Respond(SettingsRevision(from.id, tree().PathRevision(request.path)));
}

void SettingsManager::Run(const ReadHistory& request,
                          const http::IncomingRequest& from) {
  if (histories_.size() >= kMaxHistories) {
    Refuse(from, 503, "too_many_reads");
    return;
  }
  AskHistory({.request = from.id, .path = request.path}, 0);
}

void SettingsManager::Run(const ValidateChange& request,
                          const http::IncomingRequest& from) {
  Respond(SettingsMistakes(from.id, schema_.Validate(tree(), request.change)));
}

void SettingsManager::Run(const SubmitChange& request,
                          const http::IncomingRequest& from) {
  const settings::Change& change = request.change;
  if (submissions_.contains(change.id)) {
    RefuseSubmission(request, from, true, "change_under_way");
    return;
  }
  if (!parts_.editor.Submit(now_, change, tree())) {
    RefuseSubmission(request, from, change.resubmitted, "too_many_changes");
    return;
  }
  submissions_.emplace(
      change.id,
      Submission{.request = from.id, .path = change.path, .by = principal_});
}

void SettingsManager::RefuseSubmission(const SubmitChange& request,
                                       const http::IncomingRequest& from,
                                       bool may_be_written,
                                       std::string_view reason) {
  parts_.log(core::LogLine("settings_change")
                 .Add("id", request.change.id)
                 .Add("path", request.change.path)
                 .Add("by", principal_)
                 .Add("outcome", may_be_written ? "unknown" : "not_written")
                 .Add("reason", reason));
  Respond(may_be_written ? SettingsUnknown(from.id, reason)
                         : SettingsNotWritten(from.id, reason));
}

void SettingsManager::AskHistory(HistoryRead read, settings::Revision after) {
  const settings::EditSerial serial = ++last_history_;
  histories_.emplace(serial, std::move(read));
  history_store_.Send(settings::EditCommand(
      settings::ReadChanges{.serial = serial, .after = after}));
}

void SettingsManager::TakeHistory(const settings::EditEvent& event) {
  const auto serial = std::visit([](const auto& e) { return e.serial; }, event);
  auto node = histories_.extract(serial);
  if (node.empty()) {
    return;
  }
  HistoryRead& read = node.mapped();
  const auto* changes = std::get_if<settings::ChangesRead>(&event);
  if (changes == nullptr) {
    parts_.log(core::LogLine("settings_refused")
                   .Add("request", read.request.value())
                   .Add("path", read.path)
                   .Add("status", 503)
                   .Add("reason", "store_unavailable"));
    Respond(SettingsError(read.request, 503, "store_unavailable"));
    return;
  }
  const settings::Delta& delta = changes->delta;
  std::ranges::copy_if(delta.entries, std::back_inserter(read.changes),
                       [&read](const settings::Entry& entry) {
                         return settings::IsWithin(entry.path, read.path);
                       });
  if (delta.more && delta.head > delta.after) {
    AskHistory(std::move(read), delta.head);
    return;
  }
  Respond(SettingsHistory(read.request, read.changes));
}

void SettingsManager::Handle(const store::Event& event, core::TimePoint now) {
  if (store_.Handle(event)) {
    for (const settings::EditEvent& e : store_.TakeEditEvents()) {
      parts_.editor.Handle(now, e);
    }
    for (const settings::FollowEvent& e : store_.TakeFollowEvents()) {
      follower_.Handle(now, e);
    }
  } else if (history_store_.Handle(event)) {
    std::ranges::for_each(
        history_store_.TakeEditEvents(),
        [this](const settings::EditEvent& e) { TakeHistory(e); });
  }
  Collect();
}

void SettingsManager::Handle(const PeerReply& reply, core::TimePoint now) {
  const auto node = calls_.extract(reply.id);
  if (node.empty()) {
    return;
  }
  const std::size_t peer = node.mapped();
  if (auto answer = DecodePeer(peer, reply)) {
    follower_.Handle(now, *std::move(answer));
  } else {
    follower_.Handle(now, settings::PeerFailed{.peer = peer});
  }
  Collect();
}

void SettingsManager::Advance(core::TimePoint now) {
  parts_.editor.Advance(now);
  follower_.Advance(now);
  Collect();
}

core::TimePoint SettingsManager::next_timer() const {
  return std::min(parts_.editor.next_due().value_or(core::TimePoint::max()),
                  follower_.next_due().value_or(core::TimePoint::max()));
}

void SettingsManager::Respond(http::Response response) {
  commands_.emplace_back(std::move(response));
}

void SettingsManager::Collect() {
  for (const settings::FollowCommand& command : follower_.TakeCommands()) {
    if (const auto* ask = std::get_if<settings::AskPeer>(&command)) {
      Json::Value params;
      params["after"] = Json::UInt64(ask->after);
      const PeerCallId id(next_call_++);
      calls_.emplace(id, ask->peer);
      commands_.emplace_back(
          PeerCall{.id = id,
                   .to = parts_.peers[ask->peer],
                   .text = rpc::EncodeCall("settings.since", params),
                   .timeout = kPeerTimeout,
                   .path = "/rpc/settings"});
    } else {
      store_.Send(command);
    }
  }
  for (const settings::EditCommand& command : parts_.editor.TakeCommands()) {
    store_.Send(command);
  }
  CollectStore();
  CollectResults();
  NoteHead();
}

void SettingsManager::CollectStore() {
  for (settings_store::SettingsStore* store : {&store_, &history_store_}) {
    std::ranges::for_each(store->TakeCommands(),
                          [this](store::Command& command) {
                            commands_.emplace_back(std::move(command));
                          });
  }
}

void SettingsManager::CollectResults() {
  for (const settings::EditResult& result : parts_.editor.TakeResults()) {
    const auto node = submissions_.extract(result.change_id);
    if (node.empty()) {
      continue;
    }
    const Submission& submission = node.mapped();
    core::LogLine line("settings_change");
    line.Add("id", result.change_id)
        .Add("path", submission.path)
        .Add("by", submission.by)
        .Add("outcome", ToString(result.outcome));
    if (const auto* accepted =
            std::get_if<settings::Accepted>(&result.outcome)) {
      line.Add("revision", accepted->revision);
    }
    parts_.log(line);
    Respond(SettingsOutcome(submission.request, result.outcome));
  }
}

void SettingsManager::NoteHead() {
  if (tree().head() <= logged_head_) {
    return;
  }
  const settings::Delta applied = tree().Since(logged_head_);
  logged_head_ = tree().head();
  for (const settings::Entry& entry : applied.entries) {
    parts_.log(core::LogLine("settings_applied")
                   .Add("revision", entry.revision)
                   .Add("path", entry.path)
                   .Add("id", entry.change_id));
  }
  commands_.emplace_back(TreeMoved{});
}

}  // namespace hickoryusher::entry
