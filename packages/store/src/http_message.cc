#include <json/json.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <memory>
#include <optional>
#include <utility>

#include "core/overloaded.h"
#include "http_message_p.h"

namespace hickoryusher::store {
namespace {

constexpr long kOk = 200;
constexpr long kBadRequest = 400;
constexpr long kNotFound = 404;
constexpr long kConflict = 409;
constexpr long kTooManyRequests = 429;
constexpr long kServiceUnavailable = 503;

// The rate limits are per second.
constexpr core::Duration kRateLimitRetry = std::chrono::seconds(1);

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

Json::Value ParseJson(std::string_view text) {
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value value;
  std::string errors;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
    throw Json::RuntimeError(errors);
  }
  return value;
}

/// jsoncpp reads an absent member as zero, which would pass for a version.
const Json::Value& Member(const Json::Value& object, const char* name) {
  if (!object.isMember(name)) {
    throw Json::RuntimeError(std::string("no member ") + name);
  }
  return object[name];
}

std::string EncodeTransact(const Transact& command) {
  Json::Value body;
  for (const KeyVersion& condition : command.conditions) {
    Json::Value& entry = body["conditions"].append(Json::Value());
    entry["key"] = condition.key;
    entry["version"] = Json::UInt64(condition.version);
  }
  for (const Row& row : command.puts) {
    Json::Value& entry = body["puts"].append(Json::Value());
    entry["key"] = row.key;
    entry["value"] = row.value;
  }
  for (const std::string& key : command.deletes) {
    body["deletes"].append(key);
  }
  return WriteJson(body);
}

std::string EncodeRange(const ReadRange& command) {
  Json::Value body;
  body["prefix"] = command.prefix;
  body["after"] = command.after;
  body["limit"] = command.limit;
  return WriteJson(body);
}

/// Percent-encodes everything but unreserved characters (RFC 3986).
std::string EscapePath(std::string_view text) {
  static constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  static constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      escaped += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      escaped += {'%', kHex[byte >> 4U], kHex[byte & 15U]};
    }
  }
  return escaped;
}

Row DecodeRow(const Json::Value& row) {
  return {.key = Member(row, "key").asString(),
          .value = Member(row, "value").asString(),
          .version = Member(row, "version").asUInt64()};
}

Vm DecodeVm(const Json::Value& vm) {
  return {.name = Member(vm, "name").asString(),
          .address = Member(vm, "address").asString(),
          .failure_domain = Member(vm, "failure_domain").asString(),
          .state = Member(vm, "state").asString() == "live"
                       ? VmState::kLive
                       : VmState::kLeaving};
}

Conflicted DecodeConflict(CommandId id, const Json::Value& body) {
  Conflicted conflict{.id = id};
  for (const Json::Value& entry : Member(body, "present")) {
    conflict.present.push_back(
        {.key = Member(entry, "key").asString(),
         .version = Member(entry, "version").asUInt64()});
  }
  return conflict;
}

RowRead DecodeRowRead(CommandId id, const Json::Value& body) {
  RowRead read{.id = id, .as_of = Member(body, "as_of").asUInt64()};
  if (const Json::Value& row = Member(body, "row"); !row.isNull()) {
    read.row = DecodeRow(row);
  }
  return read;
}

RangeRead DecodeRange(CommandId id, const Json::Value& body) {
  RangeRead read{.id = id,
                 .more = Member(body, "more").asBool(),
                 .as_of = Member(body, "as_of").asUInt64()};
  std::ranges::transform(Member(body, "rows"), std::back_inserter(read.rows),
                         DecodeRow);
  return read;
}

/// A list without the member `vms` is the one that the issuer holds.
VmListRead DecodeVmList(CommandId id, const Json::Value& body) {
  VmListRead read{.id = id, .revision = Member(body, "revision").asUInt64()};
  if (!body.isMember("vms")) {
    read.unchanged = true;
    return read;
  }
  std::ranges::transform(Member(body, "vms"), std::back_inserter(read.vms),
                         DecodeVm);
  return read;
}

Event DecodeOk(const Command& command, std::string_view body) {
  return std::visit(
      core::Overloaded{
          [&](const Transact& c) -> Event {
            return Committed{
                .id = c.id,
                .version = Member(ParseJson(body), "version").asUInt64()};
          },
          [&](const ReadRow& c) -> Event {
            return DecodeRowRead(c.id, ParseJson(body));
          },
          [&](const ReadRange& c) -> Event {
            return DecodeRange(c.id, ParseJson(body));
          },
          [&](const PutObject& c) -> Event { return ObjectStored{c.id}; },
          [&](const GetObject& c) -> Event {
            return ObjectRead{.id = c.id, .content = std::string(body)};
          },
          [&](const ReadVmList& c) -> Event {
            return DecodeVmList(c.id, ParseJson(body));
          }},
      command);
}

}  // namespace

HttpRequest Encode(const Command& command) {
  return std::visit(
      core::Overloaded{
          [](const Transact& c) -> HttpRequest {
            return {.path = "/v1/table/transact", .body = EncodeTransact(c)};
          },
          [](const ReadRow& c) -> HttpRequest {
            Json::Value body;
            body["key"] = c.key;
            return {.path = "/v1/table/read", .body = WriteJson(body)};
          },
          [](const ReadRange& c) -> HttpRequest {
            return {.path = "/v1/table/range", .body = EncodeRange(c)};
          },
          [](const PutObject& c) -> HttpRequest {
            return {.service = Service::kObjects,
                    .method = Method::kPut,
                    .path = "/v1/objects/" + EscapePath(c.name),
                    .body = c.content};
          },
          [](const GetObject& c) -> HttpRequest {
            return {.service = Service::kObjects,
                    .method = Method::kGet,
                    .path = "/v1/objects/" + EscapePath(c.name)};
          },
          [](const ReadVmList& c) -> HttpRequest {
            return {
                .service = Service::kVmList,
                .method = Method::kGet,
                .path = "/v1/vms/since/" + std::to_string(c.known_revision)};
          }},
      command);
}

Event Decode(const Command& command, long status, std::string_view body) {
  const CommandId id = IdOf(command);
  try {
    switch (status) {
      case kOk:
        return DecodeOk(command, body);
      case kConflict:
        return DecodeConflict(id, ParseJson(body));
      case kTooManyRequests:
        return Refused{.id = id,
                       .reason = RefusalReason::kRateLimit,
                       .retry_after = kRateLimitRetry};
      case kBadRequest:
        return Refused{.id = id, .reason = RefusalReason::kInvalid};
      case kServiceUnavailable:
        return Unavailable{id};
      case kNotFound:
        if (std::holds_alternative<GetObject>(command)) {
          return ObjectRead{.id = id};
        }
        return Refused{.id = id, .reason = RefusalReason::kInvalid};
      default:
        return TimedOut{id};
    }
  } catch (const Json::Exception&) {
    return TimedOut{id};
  }
}

}  // namespace hickoryusher::store
