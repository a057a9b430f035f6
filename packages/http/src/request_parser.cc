#include "http/request_parser.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace hickoryusher::http {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Longest chunk-size line; extensions beyond it are refused.
constexpr std::size_t kMaxChunkLineBytes = 256;

std::string_view TrimSpace(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == text.npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, base);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

bool HasToken(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    if (EqualNames(TrimSpace(list.substr(0, comma)), token)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool IsTargetChar(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > 0x20 && byte < 0x7f;
}

}  // namespace

ParseResult RequestParser::Feed(std::string_view& input) {
  switch (state_) {
    case State::kHead:
      return FeedHead(input);
    case State::kBody:
      return FeedBody(input);
    default:
      return FeedChunked(input);
  }
}

ParseResult RequestParser::FeedHead(std::string_view& input) {
  if (head_.empty()) {
    // RFC 9112 section 2.2: empty lines before a request are ignored.
    while (input.starts_with("\r\n")) {
      input.remove_prefix(2);
    }
  }
  // The end may be split between what was kept and the new input.
  const std::size_t searched =
      head_.size() < kHeadEnd.size() ? 0 : head_.size() - kHeadEnd.size() + 1;
  const std::size_t kept = head_.size();
  head_ += input.substr(0, limits_.max_header_bytes + kHeadEnd.size());
  const std::size_t end = head_.find(kHeadEnd, searched);
  if (end == head_.npos) {
    input.remove_prefix(std::min(input.size(), head_.size() - kept));
    if (head_.size() > limits_.max_header_bytes) {
      return ParseError{431, "header_too_large"};
    }
    return NeedMore{};
  }
  if (end > limits_.max_header_bytes) {
    return ParseError{431, "header_too_large"};
  }
  input.remove_prefix(end + kHeadEnd.size() - kept);
  head_.resize(end + 2);
  return ParseHead();
}

ParseResult RequestParser::ParseHead() {
  parsed_ = ParsedRequest{};
  std::string_view rest = head_;
  bool first = true;
  while (!rest.empty()) {
    const std::size_t end = rest.find("\r\n");
    const std::string_view line = rest.substr(0, end);
    ParseResult result = first ? ParseRequestLine(line) : ParseHeaderLine(line);
    if (std::holds_alternative<ParseError>(result)) {
      return result;
    }
    first = false;
    rest.remove_prefix(end + 2);
  }
  head_.clear();
  return ChooseBody();
}

ParseResult RequestParser::ParseRequestLine(std::string_view line) {
  const std::size_t method_end = line.find(' ');
  const std::size_t target_end = line.rfind(' ');
  if (method_end == line.npos || method_end == target_end) {
    return ParseError{400, "bad_request_line"};
  }
  const std::string_view method = line.substr(0, method_end);
  const std::string_view target =
      line.substr(method_end + 1, target_end - method_end - 1);
  const std::string_view version = line.substr(target_end + 1);
  if (!IsToken(method) || target.empty() ||
      !std::ranges::all_of(target, IsTargetChar) ||
      (target[0] != '/' && target != "*")) {
    return ParseError{400, "bad_request_line"};
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return version.starts_with("HTTP/") ? ParseError{505, "bad_version"}
                                        : ParseError{400, "bad_request_line"};
  }
  http_1_1_ = version == "HTTP/1.1";
  const std::size_t query = std::min(target.find('?'), target.size());
  parsed_.request.method = method;
  parsed_.request.path = target.substr(0, query);
  parsed_.request.query = target.substr(std::min(query + 1, target.size()));
  return NeedMore{};
}

ParseResult RequestParser::ParseHeaderLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == line.npos) {
    return ParseError{400, "bad_header"};
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = TrimSpace(line.substr(colon + 1));
  if (!IsValidHeader(name, value)) {
    return ParseError{400, "bad_header"};
  }
  parsed_.request.headers.push_back({std::string(name), std::string(value)});
  return NeedMore{};
}

ParseResult RequestParser::ChooseBody() {
  std::optional<std::string_view> length;
  std::optional<std::string_view> coding;
  bool keep_alive = http_1_1_;
  for (const Header& header : parsed_.request.headers) {
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
    } else if (EqualNames(header.name, "connection")) {
      keep_alive = !HasToken(header.value, "close") &&
                   (keep_alive || HasToken(header.value, "keep-alive"));
    }
  }
  parsed_.keep_alive = keep_alive;
  const bool expects_continue =
      http_1_1_ &&
      EqualNames(FindHeader(parsed_.request.headers, "expect"), "100-continue");
  if (coding) {
    if (length || !http_1_1_) {
      return ParseError{400, "bad_transfer_encoding"};
    }
    if (!EqualNames(*coding, "chunked")) {
      return ParseError{501, "bad_transfer_encoding"};
    }
    state_ = State::kChunkSize;
    trailer_bytes_ = 0;
  } else if (length) {
    const auto number = ParseNumber(*length, 10);
    if (!number) {
      return ParseError{400, "bad_content_length"};
    }
    if (*number > limits_.max_body_bytes) {
      return ParseError{413, "body_too_large"};
    }
    remaining_ = *number;
    if (remaining_ == 0) {
      return Finish();
    }
    state_ = State::kBody;
    parsed_.request.body.reserve(remaining_);
  } else {
    return Finish();
  }
  return expects_continue ? ParseResult(ContinueExpected{})
                          : ParseResult(NeedMore{});
}

ParseResult RequestParser::FeedBody(std::string_view& input) {
  const std::size_t taken = std::min<std::uint64_t>(remaining_, input.size());
  parsed_.request.body += input.substr(0, taken);
  input.remove_prefix(taken);
  remaining_ -= taken;
  return remaining_ == 0 ? Finish() : NeedMore{};
}

bool RequestParser::TakeLine(std::string_view& input) {
  const std::size_t end = input.find('\n');
  const std::size_t taken = end == input.npos ? input.size() : end + 1;
  line_ += input.substr(0, taken);
  input.remove_prefix(taken);
  return end != input.npos;
}

ParseResult RequestParser::FeedChunked(std::string_view& input) {
  while (!input.empty()) {
    if (state_ == State::kChunkData) {
      const std::size_t taken =
          std::min<std::uint64_t>(remaining_, input.size());
      parsed_.request.body += input.substr(0, taken);
      input.remove_prefix(taken);
      remaining_ -= taken;
      if (remaining_ == 0) {
        state_ = State::kChunkEnd;
      }
      continue;
    }
    const bool complete = TakeLine(input);
    const std::size_t limit = state_ == State::kTrailer
                                  ? limits_.max_header_bytes
                                  : kMaxChunkLineBytes;
    if (line_.size() + trailer_bytes_ > limit) {
      return ParseError{400, "bad_chunk"};
    }
    if (!complete) {
      break;
    }
    if (!line_.ends_with("\r\n")) {
      return ParseError{400, "bad_chunk"};
    }
    line_.resize(line_.size() - 2);
    ParseResult result = StartChunk();
    if (!std::holds_alternative<NeedMore>(result)) {
      return result;
    }
  }
  return NeedMore{};
}

ParseResult RequestParser::StartChunk() {
  const std::string line = std::exchange(line_, {});
  if (state_ == State::kTrailer) {
    trailer_bytes_ += line.size() + 2;
    return line.empty() ? Finish() : NeedMore{};
  }
  if (state_ == State::kChunkEnd) {
    state_ = State::kChunkSize;
    return line.empty() ? ParseResult(NeedMore{})
                        : ParseResult(ParseError{400, "bad_chunk"});
  }
  const auto size = ParseNumber(
      std::string_view(line).substr(0, std::min(line.find(';'), line.size())),
      16);
  if (!size) {
    return ParseError{400, "bad_chunk"};
  }
  if (*size > limits_.max_body_bytes - parsed_.request.body.size()) {
    return ParseError{413, "body_too_large"};
  }
  remaining_ = *size;
  state_ = *size == 0 ? State::kTrailer : State::kChunkData;
  return NeedMore{};
}

ParseResult RequestParser::Finish() {
  state_ = State::kHead;
  return std::exchange(parsed_, ParsedRequest{});
}

}  // namespace hickoryusher::http
