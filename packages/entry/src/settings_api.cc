#include "settings_api_p.h"

#include <json/json.h>

#include <charconv>
#include <memory>
#include <utility>

#include "core/overloaded.h"
#include "settings_store/json.h"

namespace hickoryusher::entry {
namespace {

constexpr std::string_view kListPath = "/v1/settings";
constexpr std::string_view kRevisionPath = "/v1/settings/revision";
constexpr std::string_view kHistoryPath = "/v1/settings/history";
constexpr std::string_view kValidatePath = "/v1/settings/validate";
constexpr std::string_view kChangesPath = "/v1/settings/changes";

http::Response JsonResponse(core::RequestId id,
                            int status,
                            const Json::Value& body) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return {.id = id,
          .status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = Json::writeString(builder, body)};
}

std::optional<Json::Value> ParseObject(std::string_view text) {
  Json::CharReaderBuilder builder;
  builder["failIfExtra"] = true;
  // Input that nests deeper makes the parser throw.
  builder["stackLimit"] = 16;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value json;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &json,
                       nullptr) ||
        !json.isObject()) {
      return std::nullopt;
    }
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
  return json;
}

std::optional<std::string> DecodePercent(std::string_view text) {
  std::string decoded;
  while (!text.empty()) {
    if (text.front() != '%') {
      decoded += text.front();
      text.remove_prefix(1);
      continue;
    }
    unsigned int byte = 0;
    const std::string_view digits = text.substr(1, 2);
    const auto result =
        std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
    if (digits.size() != 2 || result.ptr != digits.data() + 2) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    text.remove_prefix(3);
  }
  return decoded;
}

Json::Value MistakeList(std::span<const settings::Mistake> mistakes) {
  Json::Value list(Json::arrayValue);
  for (const settings::Mistake& mistake : mistakes) {
    Json::Value item;
    item["path"] = mistake.path;
    item["expected"] = mistake.expected;
    item["found"] = mistake.found;
    list.append(std::move(item));
  }
  return list;
}

Json::Value EntryJson(const settings::Entry& entry) {
  Json::Value json = settings_store::ToJson(entry);
  json["change_id"] = json["id"];
  json.removeMember("id");
  return json;
}

}  // namespace

std::string_view PathOf(const SettingsRequest& request) {
  return std::visit(
      core::Overloaded{
          [](const ValidateChange& r) -> std::string_view {
            return r.change.path;
          },
          [](const SubmitChange& r) -> std::string_view {
            return r.change.path;
          },
          [](const auto& r) -> std::string_view { return r.path; }},
      request);
}

std::optional<SettingsRequest> SettingsRequestReader::Read(
    const http::IncomingRequest& request) {
  const std::string_view path = request.path;
  const bool is_read =
      path == kListPath || path == kRevisionPath || path == kHistoryPath;
  const bool is_post = path == kValidatePath || path == kChangesPath;
  if (!is_read && !is_post) {
    return Refuse(404, "unknown_path");
  }
  if (request.method != (is_read ? "GET" : "POST")) {
    return Refuse(405, "method_not_allowed");
  }
  if (is_post) {
    auto change = ReadChange(request, path == kChangesPath);
    if (!change) {
      return std::nullopt;
    }
    return path == kChangesPath
               ? SettingsRequest(SubmitChange{*std::move(change)})
               : SettingsRequest(ValidateChange{*std::move(change)});
  }
  auto read = ReadPath(request);
  if (!read) {
    return std::nullopt;
  }
  if (path == kListPath) {
    return ListSettings{*std::move(read)};
  }
  return path == kRevisionPath
             ? SettingsRequest(ReadPathRevision{*std::move(read)})
             : SettingsRequest(ReadHistory{*std::move(read)});
}

std::nullopt_t SettingsRequestReader::Refuse(int status,
                                             std::string_view reason) {
  last_error_ = {.status = status, .reason = reason};
  return std::nullopt;
}

std::optional<std::string> SettingsRequestReader::ReadPath(
    const http::IncomingRequest& request) {
  constexpr std::string_view kParameter = "path=";
  const std::string_view query = request.query;
  if (query.empty()) {
    return "/";
  }
  if (!query.starts_with(kParameter)) {
    return Refuse(400, "unknown_parameter");
  }
  auto path = DecodePercent(query.substr(kParameter.size()));
  if (!path || (*path != "/" && !settings::IsPath(*path))) {
    return Refuse(400, "bad_path");
  }
  return path;
}

std::optional<settings::Change> SettingsRequestReader::ReadChange(
    const http::IncomingRequest& request,
    bool is_submission) {
  const auto json = ParseObject(request.body);
  if (!json) {
    return Refuse(400, "bad_json");
  }
  if (!(*json)["path"].isString()) {
    return Refuse(400, "bad_path");
  }
  // Any id does for validation, which ends before the id is looked at again.
  settings::Change change{.id = "validate", .path = (*json)["path"].asString()};
  if (json->isMember("value")) {
    change.value = settings_store::ValueFromJson((*json)["value"]);
    if (!change.value) {
      return Refuse(400, "bad_value");
    }
  }
  if (!is_submission) {
    return change;
  }
  const Json::Value resubmitted = json->get("resubmitted", false);
  if (!(*json)["id"].isString() || !(*json)["base"].isUInt64() ||
      !resubmitted.isBool()) {
    return Refuse(400, "bad_change");
  }
  change.id = (*json)["id"].asString();
  change.base = (*json)["base"].asUInt64();
  change.resubmitted = resubmitted.asBool();
  return change;
}

std::string_view BearerKey(const http::IncomingRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value =
      http::FindHeader(request.headers, "Authorization");
  return value.starts_with(kScheme) ? value.substr(kScheme.size())
                                    : std::string_view();
}

http::Response SettingsError(core::RequestId id,
                             int status,
                             std::string_view reason) {
  Json::Value body;
  body["reason"] = std::string(reason);
  http::Response response = JsonResponse(id, status, body);
  if (status == 401) {
    response.headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  return response;
}

http::Response SettingsList(core::RequestId id,
                            const settings::Tree& tree,
                            std::string_view path) {
  Json::Value body;
  body["head"] = Json::UInt64(tree.head());
  body["entries"] = Json::Value(Json::arrayValue);
  tree.ForEach([&](std::string_view entry_path, const settings::Value&) {
    if (settings::IsWithin(entry_path, path)) {
      body["entries"].append(EntryJson(*tree.FindEntry(entry_path)));
    }
  });
  return JsonResponse(id, 200, body);
}

http::Response SettingsRevision(core::RequestId id,
                                settings::Revision revision) {
  Json::Value body;
  body["revision"] = Json::UInt64(revision);
  return JsonResponse(id, 200, body);
}

http::Response SettingsHistory(core::RequestId id,
                               std::span<const settings::Entry> changes) {
  Json::Value body;
  body["changes"] = Json::Value(Json::arrayValue);
  for (const settings::Entry& entry : changes) {
    body["changes"].append(EntryJson(entry));
  }
  return JsonResponse(id, 200, body);
}

http::Response SettingsMistakes(core::RequestId id,
                                std::span<const settings::Mistake> mistakes) {
  Json::Value body;
  body["mistakes"] = MistakeList(mistakes);
  if (!mistakes.empty()) {
    body["reason"] = "invalid";
  }
  return JsonResponse(id, mistakes.empty() ? 200 : 422, body);
}

http::Response SettingsOutcome(core::RequestId id,
                               const settings::Outcome& outcome) {
  return std::visit(
      core::Overloaded{[id](const settings::Accepted& o) {
                         return SettingsRevision(id, o.revision);
                       },
                       [id](const settings::Conflict& o) {
                         Json::Value body;
                         body["lost_to"] = Json::UInt64(o.lost_to);
                         body["reason"] = "conflict";
                         return JsonResponse(id, 409, body);
                       },
                       [id](const settings::Invalid& o) {
                         return SettingsMistakes(id, o.mistakes);
                       },
                       [id](const settings::NotWritten&) {
                         return SettingsNotWritten(id, "store_unavailable");
                       },
                       [id](const settings::Unknown&) {
                         return SettingsUnknown(id, "store_did_not_answer");
                       }},
      outcome);
}

http::Response SettingsNotWritten(core::RequestId id, std::string_view reason) {
  Json::Value body;
  body["outcome"] = "not_written";
  body["reason"] = std::string(reason);
  return JsonResponse(id, 503, body);
}

http::Response SettingsUnknown(core::RequestId id, std::string_view reason) {
  Json::Value body;
  body["outcome"] = "unknown";
  body["reason"] = std::string(reason);
  return JsonResponse(id, 504, body);
}

std::string_view ToString(const settings::Outcome& outcome) {
  return std::visit(
      core::Overloaded{
          [](const settings::Accepted&) { return "accepted"; },
          [](const settings::Conflict&) { return "conflict"; },
          [](const settings::Invalid&) { return "invalid"; },
          [](const settings::NotWritten&) { return "not_written"; },
          [](const settings::Unknown&) { return "unknown"; }},
      outcome);
}

}  // namespace hickoryusher::entry
