#include "head_check_p.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "http/message.h"

namespace hickoryusher::http {
namespace {

// Bounds the search for repeated names, which is quadratic.
constexpr std::size_t kMaxHeaderLines = 256;

// Pistache 0.0.5 throws on valid values of these, such as a quoted Content-Type
// parameter with a space or a cookie without a value. The front does not use
// them.
// The length is kept from it because it would collect the body.
constexpr std::array<std::string_view, 8> kOpaqueNames = {
    "accept", "cache-control", "content-length", "content-type",
    "cookie", "date",          "host",           "set-cookie"};

std::optional<std::uint64_t> ParseLength(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

bool IsTargetChar(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > 0x20 && byte < 0x7f;
}

// Pistache accepts relative targets and control characters, and answers every
// unknown version with the same 400 as other mistakes.
std::optional<ParseError> CheckRequestLine(std::string_view line,
                                           CheckedHead& checked) {
  const std::size_t method_end = line.find(' ');
  const std::size_t target_end = line.rfind(' ');
  if (method_end == line.npos || method_end == target_end) {
    return ParseError{400, "bad_request_line"};
  }
  const std::string_view target =
      line.substr(method_end + 1, target_end - method_end - 1);
  const std::string_view version = line.substr(target_end + 1);
  if (!IsToken(line.substr(0, method_end)) || target.empty() ||
      !std::ranges::all_of(target, IsTargetChar) ||
      (target[0] != '/' && target != "*")) {
    return ParseError{400, "bad_request_line"};
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return version.starts_with("HTTP/") ? ParseError{505, "bad_version"}
                                        : ParseError{400, "bad_request_line"};
  }
  const std::size_t query = std::min(target.find('?'), target.size());
  checked.query = target.substr(std::min(query + 1, target.size()));
  return std::nullopt;
}

// Pistache accepts spaces before the colon, folded lines, and a bare LF or CR
// within a value.
std::optional<ParseError> CheckHeaderLine(std::string_view line,
                                          CheckedHead& checked) {
  const std::string_view text = line.substr(0, line.size() - 2);
  const std::size_t colon = text.find(':');
  if (colon == text.npos) {
    return ParseError{400, "bad_header"};
  }
  const std::string_view name = text.substr(0, colon);
  const std::string_view value = TrimSpace(text.substr(colon + 1));
  if (!IsValidHeader(name, value)) {
    return ParseError{400, "bad_header"};
  }
  if (checked.headers.size() >= kMaxHeaderLines) {
    return ParseError{431, "header_too_large"};
  }
  const auto same = [name](std::string_view other) {
    return EqualNames(name, other);
  };
  const bool opaque =
      std::ranges::any_of(kOpaqueNames, same) ||
      std::ranges::any_of(checked.headers, same, &HeaderLine::name);
  checked.headers.push_back(
      {.line = line, .name = name, .value = value, .opaque = opaque});
  return std::nullopt;
}

// Pistache uses the first of several Content-Length lines, reads "5x" as 5 and
// nothing as 0, and prefers a length to chunks. Each of these lets two readers
// disagree about the end of the message.
std::optional<ParseError> CheckFraming(CheckedHead& checked, bool http_1_1) {
  std::optional<std::string_view> length;
  std::optional<std::string_view> coding;
  for (const HeaderLine& header : checked.headers) {
    if (EqualNames(header.name, "content-length")) {
      if (length && *length != header.value) {
        return ParseError{400, "bad_content_length"};
      }
      length = header.value;
    } else if (EqualNames(header.name, "transfer-encoding")) {
      if (coding) {
        return ParseError{400, "bad_transfer_encoding"};
      }
      coding = header.value;
    }
  }
  if (coding) {
    if (length || !http_1_1) {
      return ParseError{400, "bad_transfer_encoding"};
    }
    // Pistache reads a chunk size like "-5" or "0x10", does not take the
    // trailer, and does not tell where the message ends. RFC 9112 section 6.3
    // allows the refusal of a body without a length.
    return EqualNames(*coding, "chunked")
               ? ParseError{411, "length_required"}
               : ParseError{501, "bad_transfer_encoding"};
  }
  if (length) {
    const auto number = ParseLength(*length);
    if (!number) {
      return ParseError{400, "bad_content_length"};
    }
    checked.content_length = *number;
  }
  return std::nullopt;
}

}  // namespace

std::string_view TrimSpace(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == text.npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::variant<CheckedHead, ParseError> CheckHead(std::string_view head) {
  CheckedHead checked;
  const std::size_t line_end = head.find("\r\n");
  checked.request_line = head.substr(0, line_end + 2);
  const std::string_view request_line = head.substr(0, line_end);
  if (const auto error = CheckRequestLine(request_line, checked)) {
    return *error;
  }
  std::string_view rest = head.substr(line_end + 2);
  while (!rest.starts_with("\r\n")) {
    const std::string_view line = rest.substr(0, rest.find("\r\n") + 2);
    if (const auto error = CheckHeaderLine(line, checked)) {
      return *error;
    }
    rest.remove_prefix(line.size());
  }
  if (const auto error =
          CheckFraming(checked, request_line.ends_with("HTTP/1.1"))) {
    return *error;
  }
  return checked;
}

}  // namespace hickoryusher::http
