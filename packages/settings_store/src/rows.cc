#include <json/json.h>

#include <memory>

#include "core/overloaded.h"
#include "rows_p.h"

namespace hickoryusher::settings_store {
namespace {

// Digits of the largest 64-bit number.
constexpr std::size_t kRevisionDigits = 20;

Json::Value EncodeValue(const settings::Value& value) {
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

settings::Value DecodeValue(const Json::Value& value) {
  switch (value.type()) {
    case Json::booleanValue:
      return value.asBool();
    case Json::intValue:
    case Json::uintValue:
      return std::int64_t{value.asInt64()};
    case Json::realValue:
      return value.asDouble();
    case Json::arrayValue: {
      std::vector<std::string> list;
      for (const Json::Value& item : value) {
        list.push_back(item.asString());
      }
      return list;
    }
    default:
      return value.asString();
  }
}

}  // namespace

std::string ChangeKey(settings::Revision revision) {
  const std::string digits = std::to_string(revision);
  return std::string(kChangePrefix) +
         std::string(kRevisionDigits - digits.size(), '0') + digits;
}

std::string EncodeEntry(const settings::Entry& entry) {
  Json::Value json;
  json["id"] = entry.change_id;
  json["path"] = entry.path;
  json["revision"] = Json::UInt64(entry.revision);
  if (entry.value) {
    json["value"] = EncodeValue(*entry.value);
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, json);
}

std::optional<settings::Entry> DecodeEntry(std::string_view text) {
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value json;
  if (!reader->parse(text.data(), text.data() + text.size(), &json, nullptr)) {
    return std::nullopt;
  }
  try {
    settings::Entry entry{.path = json["path"].asString(),
                          .revision = json["revision"].asUInt64(),
                          .change_id = json["id"].asString()};
    if (json.isMember("value")) {
      entry.value = DecodeValue(json["value"]);
    }
    return entry;
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

}  // namespace hickoryusher::settings_store
