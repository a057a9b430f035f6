#ifndef HTTP_HEAD_CHECK_P_H_
#define HTTP_HEAD_CHECK_P_H_

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "http/request_parser.h"

namespace hickoryusher::http {

struct HeaderLine {
  std::string_view line;  ///< With its CRLF.
  std::string_view name;
  std::string_view value;
  /// Passed on as sent, without the library: the library keeps one line for
  /// each name, and it refuses values that it cannot convert to its own types.
  bool opaque = false;
};

/// Views into a request head that passed the checks.
struct CheckedHead {
  std::string_view request_line;  ///< With its CRLF.
  /// Taken here because the library keeps the parameters in a hash map, which
  /// loses their order and repeated names.
  std::string_view query;
  std::vector<HeaderLine> headers;
  std::uint64_t content_length = 0;
};

/// Refuses heads that Pistache accepts but that another reader could split at
/// a different place, and those whose error it does not tell apart.
/// @param head request line and header lines up to and with the empty line.
std::variant<CheckedHead, ParseError> CheckHead(std::string_view head);

/// @returns @p text without spaces and tabs around it.
std::string_view TrimSpace(std::string_view text);

}  // namespace hickoryusher::http

#endif  // HTTP_HEAD_CHECK_P_H_
