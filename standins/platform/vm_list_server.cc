#include "platform/vm_list_server.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

#include "platform/json.h"

namespace hickoryusher::standins {
namespace {

constexpr std::array<std::string_view, 3> kStates = {"live", "leaving", "gone"};
constexpr std::string_view kListPath = "/v1/vms";
constexpr std::string_view kSincePath = "/v1/vms/since/";

/// @returns the revision that the reader holds, 0 for none, or nothing for an
/// unknown path.
std::optional<std::uint64_t> KnownRevision(const Request& request) {
  if (request.path == kListPath) {
    return 0;
  }
  std::string_view text = request.path;
  if (request.write || !text.starts_with(kSincePath)) {
    return std::nullopt;
  }
  text.remove_prefix(kSincePath.size());
  std::uint64_t revision = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), revision);
  return result.ec == std::errc() && result.ptr == text.data() + text.size()
             ? std::optional(revision)
             : std::nullopt;
}

}  // namespace

VmListServer::VmListServer(std::uint16_t port)
    : history_{{std::chrono::steady_clock::time_point::min(), {}}},
      server_(
          port,
          [](const Request& r) { return r.method == "POST"; },
          [this](const Request& r) { return Handle(r); }) {}

Reply VmListServer::Handle(const Request& request) {
  const std::optional<std::uint64_t> known = KnownRevision(request);
  if (!known) {
    return {.status = 404};
  }
  const auto now = std::chrono::steady_clock::now();
  const auto lag = std::chrono::milliseconds(server_.faults().lag_ms);
  if (request.write) {
    return Change(request);
  }
  const std::lock_guard lock(mutex_);
  return Show(now - lag, *known);
}

Reply VmListServer::Change(const Request& request) {
  const std::optional<Json::Value> body = ParseJson(request.body);
  if (!body || std::ranges::find(kStates, (*body)["state"].asString()) ==
                   kStates.end()) {
    return {.status = 400};
  }
  const std::lock_guard lock(mutex_);
  const std::string name = (*body)["name"].asString();
  List list = history_.back().second;
  const bool gone = (*body)["state"].asString() == "gone";
  if (list.erase(name) > 0 && gone) {
    gone_.insert(name);
  }
  if (gone_.contains(name) && !gone) {
    return {.status = 409};
  }
  if (!gone) {
    list[name] = {.address = (*body)["address"].asString(),
                  .failure_domain = (*body)["failure_domain"].asString(),
                  .state = (*body)["state"].asString()};
  }
  history_.emplace_back(std::chrono::steady_clock::now(), std::move(list));
  return {};
}

Reply VmListServer::Show(std::chrono::steady_clock::time_point as_of,
                         std::uint64_t known) const {
  const auto later = std::ranges::find_if(
      history_, [as_of](const auto& entry) { return entry.first > as_of; });
  Json::Value reply;
  const auto revision = static_cast<std::uint64_t>(later - history_.begin());
  reply["revision"] = Json::UInt64(revision);
  if (revision == known) {
    return {.body = WriteJson(reply)};
  }
  reply["vms"] = Json::Value(Json::arrayValue);
  for (const auto& [name, vm] : std::prev(later)->second) {
    Json::Value& entry = reply["vms"].append(Json::Value());
    entry["name"] = name;
    entry["address"] = vm.address;
    entry["failure_domain"] = vm.failure_domain;
    entry["state"] = vm.state;
  }
  return {.body = WriteJson(reply)};
}

}  // namespace hickoryusher::standins
