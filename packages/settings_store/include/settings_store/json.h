#ifndef SETTINGS_STORE_JSON_H_
#define SETTINGS_STORE_JSON_H_

#include <json/value.h>

#include <optional>

#include "settings/types.h"

namespace hickoryusher::settings_store {

Json::Value ToJson(const settings::Value& value);

/// @returns nothing for null, an object, a list of anything but texts and an
/// integer of more than 64 bits.
std::optional<settings::Value> ValueFromJson(const Json::Value& json);

/// @returns an object with `id`, `path`, `revision` and, unless the path was
/// removed, `value`.
Json::Value ToJson(const settings::Entry& entry);

/// @returns nothing if @p json was not made by ToJson.
std::optional<settings::Entry> EntryFromJson(const Json::Value& json);

Json::Value ToJson(const settings::Delta& delta);

/// @returns nothing if @p json was not made by ToJson.
std::optional<settings::Delta> DeltaFromJson(const Json::Value& json);

}  // namespace hickoryusher::settings_store

#endif  // SETTINGS_STORE_JSON_H_
