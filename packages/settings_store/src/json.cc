#include "settings_store/json.h"

#include <algorithm>

#include "core/overloaded.h"

namespace hickoryusher::settings_store {
namespace {

bool HasUInt64(const Json::Value& object, const char* key) {
  return object[key].isUInt64();
}

bool HasText(const Json::Value& object, const char* key) {
  return object[key].isString();
}

}  // namespace

Json::Value ToJson(const settings::Value& value) {
  return std::visit(
      core::Overloaded{
          [](bool v) { return Json::Value(v); },
          [](std::int64_t v) { return Json::Value(Json::Int64(v)); },
          [](double v) { return Json::Value(v); },
          [](const std::string& v) { return Json::Value(v); },
          [](const std::vector<std::string>& v) {
            Json::Value list(Json::arrayValue);
            for (const std::string& item : v) {
              list.append(item);
            }
            return list;
          }},
      value);
}

std::optional<settings::Value> ValueFromJson(const Json::Value& json) {
  switch (json.type()) {
    case Json::booleanValue:
      return json.asBool();
    case Json::intValue:
    case Json::uintValue:
      if (!json.isInt64()) {
        return std::nullopt;
      }
      return std::int64_t{json.asInt64()};
    case Json::realValue:
      return json.asDouble();
    case Json::stringValue:
      return json.asString();
    case Json::arrayValue: {
      std::vector<std::string> list;
      for (const Json::Value& item : json) {
        if (!item.isString()) {
          return std::nullopt;
        }
        list.push_back(item.asString());
      }
      return list;
    }
    default:
      return std::nullopt;
  }
}

Json::Value ToJson(const settings::Entry& entry) {
  Json::Value json;
  json["id"] = entry.change_id;
  json["path"] = entry.path;
  json["revision"] = Json::UInt64(entry.revision);
  if (entry.value) {
    json["value"] = ToJson(*entry.value);
  }
  return json;
}

std::optional<settings::Entry> EntryFromJson(const Json::Value& json) {
  if (!json.isObject() || !HasText(json, "path") || !HasText(json, "id") ||
      !HasUInt64(json, "revision")) {
    return std::nullopt;
  }
  settings::Entry entry{.path = json["path"].asString(),
                        .revision = json["revision"].asUInt64(),
                        .change_id = json["id"].asString()};
  if (json.isMember("value")) {
    entry.value = ValueFromJson(json["value"]);
    if (!entry.value) {
      return std::nullopt;
    }
  }
  return entry;
}

Json::Value ToJson(const settings::Delta& delta) {
  Json::Value json;
  json["after"] = Json::UInt64(delta.after);
  json["head"] = Json::UInt64(delta.head);
  json["more"] = delta.more;
  json["entries"] = Json::Value(Json::arrayValue);
  for (const settings::Entry& entry : delta.entries) {
    json["entries"].append(ToJson(entry));
  }
  return json;
}

std::optional<settings::Delta> DeltaFromJson(const Json::Value& json) {
  if (!json.isObject() || !HasUInt64(json, "after") ||
      !HasUInt64(json, "head") || !json["more"].isBool() ||
      !json["entries"].isArray()) {
    return std::nullopt;
  }
  settings::Delta delta{.after = json["after"].asUInt64(),
                        .head = json["head"].asUInt64(),
                        .more = json["more"].asBool()};
  for (const Json::Value& item : json["entries"]) {
    auto entry = EntryFromJson(item);
    if (!entry) {
      return std::nullopt;
    }
    delta.entries.push_back(*std::move(entry));
  }
  return delta;
}

}  // namespace hickoryusher::settings_store
