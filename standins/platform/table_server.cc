#include "platform/table_server.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "platform/json.h"

namespace hickoryusher::standins {
namespace {

constexpr std::uint32_t kMaxRange = 1000;

std::int64_t NowMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

TableServer::Options WithClock(TableServer::Options options) {
  if (!options.now_ms) {
    options.now_ms = NowMillis;
  }
  return options;
}

}  // namespace

TableServer::TableServer(Options options)
    : options_(WithClock(std::move(options))),
      writes_{.tokens = double(options_.writes_per_second),
              .refilled_ms = options_.now_ms()},
      reads_{.tokens = double(options_.reads_per_second),
             .refilled_ms = options_.now_ms()},
      server_(
          options_.port,
          [](const Request& r) { return r.path == "/v1/table/transact"; },
          [this](const Request& r) { return Handle(r); }) {}

Reply TableServer::Handle(const Request& request) {
  const std::optional<Json::Value> body = ParseJson(request.body);
  if (!body) {
    return {.status = 400};
  }
  const std::lock_guard lock(mutex_);
  if (!(request.write ? TakeToken(writes_, options_.writes_per_second)
                      : TakeToken(reads_, options_.reads_per_second))) {
    return {.status = 429};
  }
  try {
    if (request.write) {
      return Transact(*body);
    }
    if (request.path == "/v1/table/read") {
      return Read(*body);
    }
    return request.path == "/v1/table/range" ? Range(*body)
                                             : Reply{.status = 404};
  } catch (const Json::Exception&) {
    return {.status = 400};
  }
}

bool TableServer::TakeToken(Bucket& bucket, std::uint32_t per_second) {
  const std::int64_t now = options_.now_ms();
  const double refill =
      double(now - bucket.refilled_ms) * double(per_second) / 1000.0;
  bucket = {.tokens = std::min(double(per_second), bucket.tokens + refill),
            .refilled_ms = now};
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

Reply TableServer::Transact(const Json::Value& body) {
  Json::Value present(Json::arrayValue);
  for (const Json::Value& condition : body["conditions"]) {
    const std::string key = condition["key"].asString();
    if (VersionOf(key) != condition["version"].asUInt64()) {
      Json::Value& entry = present.append(Json::Value());
      entry["key"] = key;
      entry["version"] = Json::UInt64(VersionOf(key));
    }
  }
  Json::Value reply;
  if (!present.empty()) {
    reply["present"] = present;
    return {.status = 409, .body = WriteJson(reply)};
  }
  // Everything is read before the first change, so that a malformed body
  // changes nothing.
  std::map<std::string, std::string> puts;
  for (const Json::Value& put : body["puts"]) {
    puts[put["key"].asString()] = put["value"].asString();
  }
  std::vector<std::string> deletes;
  for (const Json::Value& key : body["deletes"]) {
    deletes.push_back(key.asString());
  }
  ++version_;
  for (auto& [key, value] : puts) {
    rows_[key] = {.value = std::move(value), .version = version_};
  }
  std::ranges::for_each(deletes, [&](const auto& key) { rows_.erase(key); });
  reply["version"] = Json::UInt64(version_);
  return {.body = WriteJson(reply)};
}

Reply TableServer::Read(const Json::Value& body) const {
  Json::Value reply;
  reply["as_of"] = Json::UInt64(version_);
  reply["row"] = Json::Value();
  const auto found = rows_.find(body["key"].asString());
  if (found != rows_.end()) {
    reply["row"] = ToJson(found->first, found->second);
  }
  return {.body = WriteJson(reply)};
}

Reply TableServer::Range(const Json::Value& body) const {
  const std::string prefix = body["prefix"].asString();
  const std::string after = body["after"].asString();
  const std::uint32_t limit = std::min(kMaxRange, body["limit"].asUInt());
  Json::Value reply;
  reply["as_of"] = Json::UInt64(version_);
  reply["more"] = false;
  reply["rows"] = Json::Value(Json::arrayValue);
  auto next =
      after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
  for (; next != rows_.end() && next->first.starts_with(prefix); ++next) {
    if (reply["rows"].size() == limit) {
      reply["more"] = true;
      break;
    }
    reply["rows"].append(ToJson(next->first, next->second));
  }
  return {.body = WriteJson(reply)};
}

std::uint64_t TableServer::VersionOf(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? 0 : found->second.version;
}

Json::Value TableServer::ToJson(const std::string& key, const Row& row) {
  Json::Value value;
  value["key"] = key;
  value["value"] = row.value;
  value["version"] = Json::UInt64(row.version);
  return value;
}

}  // namespace hickoryusher::standins
