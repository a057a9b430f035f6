#include "worker/checkpoint.h"

#include <openssl/evp.h>

#include <array>
#include <charconv>

namespace hickoryusher::standins {
namespace {

std::string Digest(std::string_view content) {
  static constexpr std::string_view kHex = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int size = 0;
  EVP_Digest(content.data(), content.size(), bytes.data(), &size, EVP_sha256(),
             nullptr);
  std::string text;
  for (unsigned int i = 0; i < size; ++i) {
    text += {kHex[bytes.at(i) >> 4U], kHex[bytes.at(i) & 15U]};
  }
  return text;
}

std::string Frame(std::string_view content) {
  return std::to_string(content.size()) + " " + Digest(content) + "\n" +
         std::string(content);
}

}  // namespace

std::string CheckpointName(lease::TaskAttempt attempt) {
  return "checkpoint/" + std::to_string(attempt.task.value()) + "/" +
         std::to_string(attempt.attempt);
}

std::string EncodeCheckpoint(std::int64_t done_ms) {
  return Frame(std::to_string(done_ms));
}

std::optional<std::int64_t> DecodeCheckpoint(std::string_view text) {
  const std::size_t end = text.find('\n');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view content = text.substr(end + 1);
  std::int64_t done_ms = 0;
  const auto result =
      std::from_chars(content.data(), content.data() + content.size(), done_ms);
  if (Frame(content) != text || result.ec != std::errc()) {
    return std::nullopt;
  }
  return done_ms;
}

}  // namespace hickoryusher::standins
