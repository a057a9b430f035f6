#include "settings_runtime_p.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <random>
#include <utility>

#include "http/ring_sink.h"
#include "peer_exchange_p.h"

namespace hickoryusher::entry {
namespace {

// Administration requests are few; the bound keeps a flood of them small.
constexpr std::size_t kRingSlots = 256;

// A failure domain that is cut off from the store and from all other processes
// serves with its settings file after this time. A read of the store fails
// after 2 s, so every source has answered or failed by then.
constexpr core::Duration kReadyTimeout = std::chrono::seconds(5);

std::vector<core::EntryId> OtherEntries(const Directory& directory) {
  std::vector<core::EntryId> others;
  for (std::uint32_t i = 0; i < directory.entry_count(); ++i) {
    if (core::EntryId(i) != directory.own_entry()) {
      others.emplace_back(i);
    }
  }
  return others;
}

bool IsAtOrBelow(std::string_view path, std::string_view prefix) {
  return path.starts_with(prefix) &&
         (path.size() == prefix.size() || path[prefix.size()] == '/');
}

}  // namespace

std::unique_ptr<SettingsRuntime> SettingsRuntime::Create(
    Parts parts,
    std::vector<std::string>& errors) {
  std::vector<chart::Problem> problems;
  auto editor = settings::Editor::Create(parts.chart, settings::KnownSettings(),
                                         {}, std::random_device()(), problems);
  if (!editor) {
    std::ranges::transform(problems, std::back_inserter(errors),
                           &chart::Problem::text);
    return nullptr;
  }
  std::unique_ptr<SettingsRuntime> runtime(
      new SettingsRuntime(std::move(parts), *std::move(editor)));
  return runtime->StartPeers(errors) ? std::move(runtime) : nullptr;
}

SettingsRuntime::SettingsRuntime(Parts parts, settings::Editor editor)
    : parts_(std::move(parts)),
      duty_({.editor = std::move(editor),
             .peers = OtherEntries(parts_.directory),
             .admin_key_hash = parts_.settings.admin_key_hash,
             .log = parts_.log},
            kRingSlots) {
  const config::PlatformSettings& platform = parts_.settings.platform;
  store_ = std::make_unique<store::HttpAdapter>(
      store::HttpAdapter::Options{.table_url = platform.table_url,
                                  .object_url = platform.object_url,
                                  .vm_list_url = platform.vm_list_url},
      [this](store::Event&& event) {
        return duty_.inputs().TryPush(SettingsInput(event));
      });
}

SettingsRuntime::~SettingsRuntime() {
  if (peers_) {
    peers_->Shutdown();
  }
  // The thread uses the store adapter, so it ends first.
  duty_.Stop();
}

bool SettingsRuntime::StartPeers(std::vector<std::string>& errors) {
  http::Upstream::Builder builder;
  builder.on_event([this](http::UpstreamEvent& event) {
    const auto reply = ToPeerReply(event);
    return !reply || duty_.inputs().TryPush(SettingsInput(*reply));
  });
  peers_ = builder.Start();
  if (!peers_) {
    errors.push_back(builder.last_error());
  }
  return peers_ != nullptr;
}

bool SettingsRuntime::Serves(const http::IncomingRequest& request) {
  return IsAtOrBelow(request.path, "/v1/settings") ||
         IsAtOrBelow(request.path, "/rpc/settings");
}

bool SettingsRuntime::Take(http::IncomingRequest& request) {
  return http::PushInto(duty_.inputs(), request);
}

void SettingsRuntime::Start() {
  duty_.Start(
      {.respond = parts_.respond,
       .store =
           [this](store::Command&& c) { return store_->Send(std::move(c)); },
       .call =
           [this](PeerCall&& c) {
             return peers_->TrySend(ToExchange(std::move(c), parts_.directory));
           },
       .apply = [this](const settings::Tree& tree) { return Apply(tree); }});
}

bool SettingsRuntime::Apply(const settings::Tree& tree) const {
  PoliciesChanged change;
  std::ranges::transform(parts_.settings.services,
                         std::back_inserter(change.policies),
                         [&tree](const config::ServiceSettings& service) {
                           return EffectivePolicy(service, tree);
                         });
  return parts_.apply(std::move(change));
}

void SettingsRuntime::WaitReady() {
  const core::TimePoint until =
      std::chrono::steady_clock::now() + kReadyTimeout;
  if (!duty_.WaitReady(until)) {
    parts_.log(core::LogLine("settings_missing")
                   .Add("after_ms", core::ToMillis(kReadyTimeout))
                   .Add("effect", "serving with the settings file"));
  }
}

}  // namespace hickoryusher::entry
