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

/// Reads HTTP/1.0 and HTTP/1.1 requests from a byte stream.
///
/// @remarks Strict where leniency lets two readers disagree about the end of a
/// message: line ends are CRLF, no folded headers, no space before a colon, at
/// most one length.
class RequestParser {
 public:
  explicit RequestParser(ParseLimits limits) : limits_(limits) {}

  /// Takes bytes from the front of @p input until a result is known.
  /// @param input shortened by the bytes taken.
  ParseResult Feed(std::string_view& input);

  /// @returns true if part of a request has been read.
  bool started() const { return state_ != State::kHead || !head_.empty(); }

  /// @returns true while the body of a request is being read.
  bool in_body() const { return state_ != State::kHead; }

 private:
  enum class State {
    kHead,
    kBody,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailer,
  };

  ParseResult FeedHead(std::string_view& input);
  ParseResult FeedBody(std::string_view& input);
  ParseResult FeedChunked(std::string_view& input);
  ParseResult ParseHead();
  ParseResult ParseRequestLine(std::string_view line);
  ParseResult ParseHeaderLine(std::string_view line);
  ParseResult ChooseBody();
  ParseResult StartChunk();
  ParseResult Finish();

  /// Takes input into line_ up to and with the next CRLF.
  /// @returns true when the line is complete.
  bool TakeLine(std::string_view& input);

  ParseLimits limits_;
  State state_ = State::kHead;
  std::string head_;
  std::string line_;
  std::size_t trailer_bytes_ = 0;
  std::uint64_t remaining_ = 0;  ///< Bytes left of the body or chunk.
  bool http_1_1_ = true;
  ParsedRequest parsed_;
};

}  // namespace hickoryusher::http

#endif  // HTTP_REQUEST_PARSER_H_
