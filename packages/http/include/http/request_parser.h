#ifndef HTTP_REQUEST_PARSER_H_
#define HTTP_REQUEST_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "http/message.h"

namespace hickoryusher::http {

struct ParseLimits {
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 1024UL * 1024;
};

/// More bytes are needed.
struct NeedMore {};

/// The caller waits for `100 Continue` before it sends the body.
struct ContinueExpected {};

/// One complete request; the parser is ready for the next one.
struct ParsedRequest {
  IncomingRequest request;
  bool keep_alive = true;
};

/// The input cannot be read further.
struct ParseError {
  int status = 400;
  std::string_view reason;
};

using ParseResult =
    std::variant<NeedMore, ContinueExpected, ParsedRequest, ParseError>;

/// Reads HTTP/1.0 and HTTP/1.1 requests from a byte stream. Pistache's parser
/// reads the heads.
///
/// @remarks The library is fed one head at a time, without its length, so that
/// it holds neither bodies nor bytes of the next request. Strict where leniency
/// lets two readers disagree about the end of a message: line ends are CRLF, no
/// folded headers, no space before a colon, at most one length. Chunked bodies
/// are refused with 411, and methods that the library does not know with 501.
/// Headers with different names may change their order.
class RequestParser {
 public:
  explicit RequestParser(ParseLimits limits);
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Takes bytes from the front of @p input until a result is known.
  /// @param input shortened by the bytes taken.
  ParseResult Feed(std::string_view& input);

  /// @returns true if part of a request has been read.
  bool started() const { return in_body() || !head_.empty(); }

  /// @returns true while the body of a request is being read.
  bool in_body() const { return remaining_ > 0; }

  /// @returns the bytes of the buffers of an incomplete request. A body counts
  /// in full as soon as its head is complete.
  std::size_t held_bytes() const;

  /// Frees the buffers of an incomplete request. The rest of the input must
  /// not be fed.
  void Abandon();

 private:
  void SkipEmptyLines(std::string_view& input);
  ParseResult FeedHead(std::string_view& input);
  ParseResult FeedBody(std::string_view& input);
  ParseResult ParseHead();
  ParseResult Finish();

  ParseLimits limits_;
  std::string head_;
  std::uint64_t remaining_ = 0;  ///< Bytes left of the body.
  ParsedRequest parsed_;
  /// Held by parsed_ beside its body, while that is read.
  std::size_t parsed_head_bytes_ = 0;
};

}  // namespace hickoryusher::http

#endif  // HTTP_REQUEST_PARSER_H_
