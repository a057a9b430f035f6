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

}  // namespace

struct RequestParser::Library {
  explicit Library(std::size_t max_bytes) : parser(max_bytes) {}

  /// Feeds @p bytes of one message.
  /// @returns true at the end of the message, or an error.
  std::variant<bool, ParseError> Feed(std::string_view bytes);

  Pistache::Http::RequestParser parser;
};

std::variant<bool, ParseError> RequestParser::Library::Feed(
    std::string_view bytes) {
  namespace Steps = Pistache::Http::Private;
  try {
    if (!parser.feed(bytes.data(), bytes.size())) {
      return ParseError{413, "body_too_large"};
    }
    return parser.parse() == Steps::State::Done;
  } catch (const std::exception&) {
    // Other mistakes in a request line do not pass CheckHead().
    return parser.step()->id() == Steps::RequestLineStep::Id
               ? ParseError{501, "unknown_method"}
               : ParseError{400, "bad_header"};
  }
}

RequestParser::RequestParser(ParseLimits limits) : limits_(limits) {}

RequestParser::~RequestParser() = default;

ParseResult RequestParser::Feed(std::string_view& input) {
  return in_body() ? FeedBody(input) : FeedHead(input);
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
  if (!library_) {
    library_ = std::make_unique<Library>(
        limits_.max_header_bytes + kHeadEnd.size() + limits_.max_body_bytes);
  }
  const auto fed = library_->Feed(LibraryHead(head));
  if (const auto* error = std::get_if<ParseError>(&fed)) {
    return *error;
  }
  if (std::get<bool>(fed) != (head.content_length == 0)) {
    return ParseError{400, "bad_header"};
  }
  ReadHead(head);
  head_.clear();
  remaining_ = head.content_length;
  if (remaining_ == 0) {
    return Finish();
  }
  return expects_continue_ ? ParseResult(ContinueExpected{})
                           : ParseResult(NeedMore{});
}

void RequestParser::ReadHead(const CheckedHead& checked) {
  const Pistache::Http::Request& read = library_->parser.request;
  parsed_ = ParsedRequest{};
  IncomingRequest& request = parsed_.request;
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
  const bool http_1_1 = read.version() == Pistache::Http::Version::Http11;
  parsed_.keep_alive = KeepsAlive(request.headers, http_1_1);
  expects_continue_ =
      http_1_1 &&
      EqualNames(FindHeader(request.headers, "expect"), "100-continue");
}

ParseResult RequestParser::FeedBody(std::string_view& input) {
  const std::size_t taken = std::min<std::uint64_t>(remaining_, input.size());
  const auto fed = library_->Feed(input.substr(0, taken));
  input.remove_prefix(taken);
  remaining_ -= taken;
  if (const auto* error = std::get_if<ParseError>(&fed)) {
    return *error;
  }
  if (std::get<bool>(fed) != (remaining_ == 0)) {
    return ParseError{400, "bad_content_length"};
  }
  return remaining_ == 0 ? Finish() : NeedMore{};
}

ParseResult RequestParser::Finish() {
  parsed_.request.body = std::as_const(library_->parser.request).body();
  library_->parser.reset();
  return std::exchange(parsed_, ParsedRequest{});
}

}  // namespace hickoryusher::http
