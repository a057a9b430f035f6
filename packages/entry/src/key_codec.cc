#include <json/reader.h>
#include <json/writer.h>
#include <openssl/evp.h>

#include <memory>
#include <sstream>

#include "key_codec_p.h"

namespace hickoryusher::entry {
namespace {

// Base64 keeps bytes that are not UTF-8 intact inside JSON.
std::string EncodeBase64(std::string_view bytes) {
  std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(length));
  return out;
}

std::optional<std::string> DecodeBase64(std::string_view text,
                                        std::size_t size) {
  std::string out(text.size() / 4 * 3 + 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  // The decoder counts the padding as bytes, so the size is kept beside it.
  if (length < 0 || static_cast<std::size_t>(length) < size) {
    return std::nullopt;
  }
  out.resize(size);
  return out;
}

std::optional<retry::Outcome> ParseOutcome(const Json::Value& value) {
  constexpr retry::Outcome kOutcomes[] = {retry::Outcome::kAnswered,
                                          retry::Outcome::kNotRun,
                                          retry::Outcome::kUnknown};
  for (const retry::Outcome outcome : kOutcomes) {
    if (value.isString() && value.asString() == retry::ToString(outcome)) {
      return outcome;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> EncodeStoredResponse(
    std::span<const http::Header> headers,
    std::string_view body) {
  if (body.size() > kMaxStoredBodyBytes) {
    return std::nullopt;
  }
  Json::Value value(Json::objectValue);
  Json::Value& list = value["headers"] = Json::Value(Json::arrayValue);
  for (const http::Header& header : headers) {
    if (!http::IsHopByHop(header.name)) {
      Json::Value pair(Json::arrayValue);
      pair.append(EncodeBase64(header.name + ":" + header.value));
      pair.append(static_cast<Json::UInt64>(header.name.size()));
      pair.append(static_cast<Json::UInt64>(header.value.size()));
      list.append(pair);
    }
  }
  value["body"] = EncodeBase64(body);
  value["size"] = static_cast<Json::UInt64>(body.size());
  return WriteJson(value);
}

std::optional<StoredResponse> DecodeStoredResponse(std::string_view text) {
  const Json::Value value = ParseJson(text);
  if (!value.isObject() || !value["body"].isString() ||
      !value["size"].isUInt64() || !value["headers"].isArray()) {
    return std::nullopt;
  }
  auto body = DecodeBase64(value["body"].asString(), value["size"].asUInt64());
  if (!body) {
    return std::nullopt;
  }
  StoredResponse response{.headers = {}, .body = *std::move(body)};
  for (const Json::Value& pair : value["headers"]) {
    if (!pair.isArray() || pair.size() != 3 || !pair[0].isString() ||
        !pair[1].isUInt64() || !pair[2].isUInt64()) {
      return std::nullopt;
    }
    const std::size_t name_size = pair[1].asUInt64();
    const auto joined =
        DecodeBase64(pair[0].asString(), name_size + 1 + pair[2].asUInt64());
    if (!joined) {
      return std::nullopt;
    }
    response.headers.push_back(
        {joined->substr(0, name_size), joined->substr(name_size + 1)});
  }
  return response;
}

Json::Value EncodeOutcome(const retry::StoredOutcome& outcome) {
  Json::Value value(Json::objectValue);
  value["outcome"] = std::string(retry::ToString(outcome.outcome));
  value["status"] = outcome.status;
  value["response"] = outcome.response;
  return value;
}

std::optional<retry::StoredOutcome> DecodeOutcome(const Json::Value& value) {
  if (!value.isObject() || !value["status"].isInt() ||
      !value["response"].isString()) {
    return std::nullopt;
  }
  const auto outcome = ParseOutcome(value["outcome"]);
  if (!outcome) {
    return std::nullopt;
  }
  return retry::StoredOutcome{.outcome = *outcome,
                              .reason = retry::Reason::kKeyHeld,
                              .status = value["status"].asInt(),
                              .response = value["response"].asString()};
}

Json::Value EncodeClaim(const retry::ClaimId& claim,
                        const Directory& directory) {
  Json::Value value(Json::objectValue);
  value["entry"] = std::string(directory.EntryName(claim.entry));
  value["incarnation"] = static_cast<Json::UInt64>(claim.incarnation.value());
  value["request"] = static_cast<Json::UInt64>(claim.request.value());
  return value;
}

retry::ClaimId DecodeClaim(const Json::Value& value,
                           const Directory& directory) {
  retry::ClaimId claim;
  if (value.isObject() && value["entry"].isString() &&
      value["incarnation"].isUInt64() && value["request"].isUInt64()) {
    claim.entry = directory.FindEntry(value["entry"].asString());
    claim.incarnation = core::Incarnation(value["incarnation"].asUInt64());
    claim.request = core::RequestId(value["request"].asUInt64());
  }
  return claim;
}

std::string EncodeKeyRow(const retry::KeyRow& row, const Directory& directory) {
  Json::Value value(Json::objectValue);
  value["claim"] = EncodeClaim(row.claim, directory);
  if (row.outcome) {
    value["outcome"] = EncodeOutcome(*row.outcome);
  }
  return WriteJson(value);
}

std::optional<retry::KeyRow> DecodeKeyRow(std::string_view text,
                                          const Directory& directory) {
  const Json::Value value = ParseJson(text);
  if (!value.isObject() || !value["claim"].isObject()) {
    return std::nullopt;
  }
  return retry::KeyRow{.claim = DecodeClaim(value["claim"], directory),
                       .outcome = DecodeOutcome(value["outcome"])};
}

Json::Value ParseJson(std::string_view text) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &value,
                       &errors)) {
      return {};
    }
  } catch (const Json::Exception&) {
    // jsoncpp throws when a value is nested too deeply.
    return {};
  }
  return value;
}

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace hickoryusher::entry
