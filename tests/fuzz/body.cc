#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "parser_runs.h"

// Reads a body of an announced length. The first four bytes of an input are the
// sizes of the pieces, the next two the length that is announced; the rest
// follows the head.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  constexpr std::size_t kSizes = 4;
  constexpr std::size_t kControl = kSizes + 2;
  constexpr hickoryusher::http::ParseLimits kLimits{.max_header_bytes = 256,
                                                    .max_body_bytes = 2048};
  // Lengths beyond the limit are announced, too.
  constexpr std::size_t kMaxAnnounced = 2100;
  if (size < kControl) {
    return 0;
  }
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const std::size_t announced =
      (std::size_t{data[kSizes]} << 8U | data[kSizes + 1]) % kMaxAnnounced;
  const std::string_view sent = text.substr(kControl);
  const std::string head =
      "POST /q/j HTTP/1.1\r\nContent-Length: " + std::to_string(announced) +
      "\r\n\r\n";
  const std::string description = hickoryusher::fuzz::CheckPieces(
      head + std::string(sent), kLimits, text.substr(0, kSizes));

  std::string expected = "incomplete body\n";
  if (announced > kLimits.max_body_bytes) {
    expected = "error 413 ";
  } else if (sent.size() >= announced) {
    expected =
        "body " + std::string(sent.substr(0, announced)) + "\nkeep-alive\n";
  }
  if (description.find(expected) == std::string::npos) {
    hickoryusher::fuzz::Fail("expected " + expected + "found " + description);
  }
  return 0;
}
