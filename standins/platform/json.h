#ifndef STANDINS_PLATFORM_JSON_H_
#define STANDINS_PLATFORM_JSON_H_

#include <json/json.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hickoryusher::standins {

/// @returns the object in @p text, or nothing if it is not a JSON object.
inline std::optional<Json::Value> ParseJson(std::string_view text) {
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value value;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) ||
      !value.isObject()) {
    return std::nullopt;
  }
  return value;
}

/// @returns @p value on one line.
inline std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

}  // namespace hickoryusher::standins

#endif  // STANDINS_PLATFORM_JSON_H_
