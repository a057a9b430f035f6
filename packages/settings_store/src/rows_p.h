#ifndef SETTINGS_STORE_ROWS_P_H_
#define SETTINGS_STORE_ROWS_P_H_

#include <optional>
#include <string>
#include <string_view>

#include "settings/types.h"
#include "store/types.h"

namespace hickoryusher::settings_store {

inline constexpr std::string_view kChangePrefix = "settings/change/";
inline constexpr std::string_view kChangeIdPrefix = "settings/change_id/";
inline constexpr std::string_view kValuePrefix = "settings/value/";

/// @returns the key of the row of one revision; keys sort by revision.
std::string ChangeKey(settings::Revision revision);

std::string EncodeEntry(const settings::Entry& entry);

/// @returns nothing if @p text was not written by EncodeEntry.
std::optional<settings::Entry> DecodeEntry(std::string_view text);

}  // namespace hickoryusher::settings_store

#endif  // SETTINGS_STORE_ROWS_P_H_
