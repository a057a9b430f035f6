#include "http/request_parser.h"

#include <pistache/http.h>

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

#include "head_check_p.h"

namespace hickoryusher::http {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

/// Assignment of an empty text would keep the capacity.
void Free(std::string& text) {
  std::string().swap(text);
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

bool KeepsAlive(std::span<const Header> headers, bool http_1_1) {
  bool keep_alive = http_1_1;
  for (const Header& header : headers) {
    if (EqualNames(header.name, "connection")) {
      keep_alive = !HasToken(header.value, "close") &&
                   (keep_alive || HasToken(header.value, "keep-alive"));
    }
  }
  return keep_alive;
}

std::string LibraryHead(const CheckedHead& checked) {
  std::string head(checked.request_line);
  for (const HeaderLine& header : checked.headers) {
    if (!header.opaque) {
      head += header.line;
    }
  }
  return head += "\r\n";
}

/// Feeds Pistache's parser a head without a length, which it takes for a
/// complete message.
std::optional<ParseError> ReadByLibrary(const CheckedHead& checked,
                                        Pistache::Http::RequestParser& parser) {
  namespace Steps = Pistache::Http::Private;
  const std::string head = LibraryHead(checked);
  try {
    if (parser.feed(head.data(), head.size()) &&
        parser.parse() == Steps::State::Done) {
      return std::nullopt;
    }
    return ParseError{400, "bad_header"};
  } catch (const std::exception&) {
    // Other mistakes in a request line do not pass CheckHead().
    return parser.step()->id() == Steps::RequestLineStep::Id
               ? ParseError{501, "unknown_method"}
               : ParseError{400, "bad_header"};
  }
}

/// @returns the request except for its body.
ParsedRequest TakeHead(const CheckedHead& checked,
                       const Pistache::Http::Request& read) {
  ParsedRequest parsed;
  IncomingRequest& request = parsed.request;
  request.method = Pistache::Http::methodString(read.method());
  request.path = read.resource();
  request.query = checked.query;
  request.headers.reserve(checked.headers.size());
  for (const auto& [key, raw] : read.headers().rawList()) {
    request.headers.push_back(
        {raw.name(), std::string(TrimSpace(raw.value()))});
  }
  // After the library's, so that the lines of one name keep their order.
  for (const HeaderLine& header : checked.headers) {
    if (header.opaque) {
      request.headers.push_back(
          {std::string(header.name), std::string(header.value)});
    }
  }
  parsed.keep_alive = KeepsAlive(
      request.headers, read.version() == Pistache::Http::Version::Http11);
  return parsed;
}

}  // namespace

RequestParser::RequestParser(ParseLimits limits) : limits_(limits) {}

ParseResult RequestParser::Feed(std::string_view& input) {
  return in_body() ? FeedBody(input) : FeedHead(input);
}

// RFC 9112 section 2.2: empty lines before a request are ignored. Their bytes
// may arrive in different pieces; a first one is kept in head_.
void RequestParser::SkipEmptyLines(std::string_view& input) {
  while (!input.empty() && (head_.empty() || head_ == "\r")) {
    if (head_.empty() && input.front() == '\r') {
      head_ = "\r";
    } else if (!head_.empty() && input.front() == '\n') {
      head_.clear();
    } else {
      return;
    }
    input.remove_prefix(1);
  }
}

ParseResult RequestParser::FeedHead(std::string_view& input) {
  SkipEmptyLines(input);
  if (input.empty()) {
    return NeedMore{};
  }
  // The end may be split between what was kept and the new input.
  const std::size_t searched =
      head_.size() < kHeadEnd.size() ? 0 : head_.size() - kHeadEnd.size() + 1;
  const std::size_t kept = head_.size();
  head_ += input.substr(0, limits_.max_header_bytes + kHeadEnd.size());
  const std::size_t end = head_.find(kHeadEnd, searched);
  if (end == head_.npos) {
    input.remove_prefix(std::min(input.size(), head_.size() - kept));
    // The last bytes may be a part of the end.
    if (head_.size() >= limits_.max_header_bytes + kHeadEnd.size()) {
      return ParseError{431, "header_too_large"};
    }
    return NeedMore{};
  }
  if (end > limits_.max_header_bytes) {
    return ParseError{431, "header_too_large"};
  }
  input.remove_prefix(end + kHeadEnd.size() - kept);
  head_.resize(end + kHeadEnd.size());
  return ParseHead();
}

ParseResult RequestParser::ParseHead() {
  const auto checked = CheckHead(head_);
  if (const auto* error = std::get_if<ParseError>(&checked)) {
    return *error;
  }
  const auto& head = std::get<CheckedHead>(checked);
  if (head.content_length > limits_.max_body_bytes) {
    return ParseError{413, "body_too_large"};
  }
  Pistache::Http::RequestParser library(limits_.max_header_bytes +
                                        kHeadEnd.size());
  if (const auto error = ReadByLibrary(head, library)) {
    return *error;
  }
  parsed_ = TakeHead(head, library.request);
  const bool expects_continue =
      library.request.version() == Pistache::Http::Version::Http11 &&
      EqualNames(FindHeader(parsed_.request.headers, "expect"), "100-continue");
  Free(head_);
  remaining_ = head.content_length;
  if (remaining_ == 0) {
    return Finish();
  }
  parsed_head_bytes_ = HeldBytes(parsed_.request);
  // Allocated once, so that growing copies never hold memory beside it.
  parsed_.request.body.reserve(remaining_);
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

ParseResult RequestParser::Finish() {
  parsed_head_bytes_ = 0;
  return std::exchange(parsed_, ParsedRequest{});
}

std::size_t RequestParser::held_bytes() const {
  return HeldBytes(head_) + HeldBytes(parsed_.request.body) +
         parsed_head_bytes_;
}

void RequestParser::Abandon() {
  Free(head_);
  Free(parsed_.request.body);
  parsed_ = ParsedRequest{};
  parsed_head_bytes_ = 0;
  remaining_ = 0;
}

}  // namespace hickoryusher::http
