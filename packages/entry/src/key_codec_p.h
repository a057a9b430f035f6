#ifndef ENTRY_SRC_KEY_CODEC_P_H_
#define ENTRY_SRC_KEY_CODEC_P_H_

#include <json/value.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "directory_p.h"
#include "http/message.h"
#include "retry/key_claims.h"

namespace hickoryusher::entry {

/// Largest body kept with the outcome of a key. A larger response is not kept,
/// and a repeated request is then told that the first one ran.
inline constexpr std::size_t kMaxStoredBodyBytes = 16'384;

/// A complete response, as kept with a key.
struct StoredResponse {
  std::vector<http::Header> headers;
  std::string body;
};

/// @returns nothing if the body is too large to be kept.
std::optional<std::string> EncodeStoredResponse(
    std::span<const http::Header> headers,
    std::string_view body);

/// @returns nothing unless @p text was written by EncodeStoredResponse.
std::optional<StoredResponse> DecodeStoredResponse(std::string_view text);

Json::Value EncodeOutcome(const retry::StoredOutcome& outcome);
std::optional<retry::StoredOutcome> DecodeOutcome(const Json::Value& value);

Json::Value EncodeClaim(const retry::ClaimId& claim,
                        const Directory& directory);

/// @returns a claim whose entry is invalid if the name is unknown.
retry::ClaimId DecodeClaim(const Json::Value& value,
                           const Directory& directory);

std::string EncodeKeyRow(const retry::KeyRow& row, const Directory& directory);

/// @returns nothing if the row was not written by EncodeKeyRow.
std::optional<retry::KeyRow> DecodeKeyRow(std::string_view text,
                                          const Directory& directory);

/// @returns the JSON value in @p text, or a null value.
Json::Value ParseJson(std::string_view text);

/// @returns @p value as compact JSON text.
std::string WriteJson(const Json::Value& value);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_KEY_CODEC_P_H_
