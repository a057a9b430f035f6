#include <cstddef>
#include <cstdint>
#include <string_view>

#include "parser_runs.h"

// Reads heads and pipelined requests. The first four bytes of an input are the
// sizes of the pieces.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  constexpr std::size_t kSizes = 4;
  // Small, so that short inputs reach them.
  constexpr hickoryusher::http::ParseLimits kLimits{.max_header_bytes = 256,
                                                    .max_body_bytes = 64};
  if (size < kSizes) {
    return 0;
  }
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  hickoryusher::fuzz::CheckPieces(text.substr(kSizes), kLimits,
                                  text.substr(0, kSizes));
  return 0;
}
