#include <json/json.h>

#include <memory>

#include "rows_p.h"
#include "settings_store/json.h"

namespace hickoryusher::settings_store {
namespace {

// Digits of the largest 64-bit number.
constexpr std::size_t kRevisionDigits = 20;

}  // namespace

std::string ChangeKey(settings::Revision revision) {
  const std::string digits = std::to_string(revision);
  return std::string(kChangePrefix) +
         std::string(kRevisionDigits - digits.size(), '0') + digits;
}

std::string EncodeEntry(const settings::Entry& entry) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, ToJson(entry));
}

std::optional<settings::Entry> DecodeEntry(std::string_view text) {
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value json;
  if (!reader->parse(text.data(), text.data() + text.size(), &json, nullptr)) {
    return std::nullopt;
  }
  return EntryFromJson(json);
}

}  // namespace hickoryusher::settings_store
