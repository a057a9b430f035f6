#include "parser_runs.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <variant>

#include "core/overloaded.h"

namespace hickoryusher::fuzz {
namespace {

// Larger pieces than this would leave few cuts in an input.
constexpr unsigned kMaxPieceBytes = 32;

std::size_t PieceSize(PieceSizes sizes, std::size_t index) {
  return 1 + static_cast<unsigned char>(sizes[index % sizes.size()]) %
                 kMaxPieceBytes;
}

std::string Describe(const http::ParsedRequest& parsed) {
  const http::IncomingRequest& request = parsed.request;
  std::string text = "request " + request.method + ' ' + request.path + " ? " +
                     request.query + '\n';
  for (const http::Header& header : request.headers) {
    text += header.name + " = " + header.value + '\n';
  }
  return text + "body " + request.body + '\n' +
         (parsed.keep_alive ? "keep-alive\n" : "close\n");
}

/// Feeds one piece. @returns false once the parser has reported an error.
bool FeedPiece(http::RequestParser& parser,
               std::string_view piece,
               std::string& description) {
  while (!piece.empty()) {
    const std::size_t before = piece.size();
    const http::ParseResult result = parser.Feed(piece);
    const bool goes_on = std::visit(
        core::Overloaded{[&](const http::NeedMore&) {
                           if (piece.size() == before) {
                             Fail("the parser asks for more and takes nothing");
                           }
                           return true;
                         },
                         [&](const http::ContinueExpected&) {
                           description += "continue\n";
                           return true;
                         },
                         [&](const http::ParsedRequest& parsed) {
                           description += Describe(parsed);
                           return true;
                         },
                         [&](const http::ParseError& error) {
                           description += "error " +
                                          std::to_string(error.status) + ' ' +
                                          std::string(error.reason) + '\n';
                           return false;
                         }},
        result);
    if (!goes_on) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string DescribeRun(std::string_view text,
                        http::ParseLimits limits,
                        PieceSizes sizes) {
  http::RequestParser parser(limits);
  std::string description;
  for (std::size_t index = 0; !text.empty(); ++index) {
    const std::size_t size =
        sizes.empty() ? text.size()
                      : std::min(text.size(), PieceSize(sizes, index));
    // A copy of the piece's size lets the sanitizer see a read beyond it.
    const std::string piece(text.substr(0, size));
    text.remove_prefix(size);
    if (!FeedPiece(parser, piece, description)) {
      return description;
    }
  }
  if (parser.in_body()) {
    return description + "incomplete body\n";
  }
  return description + (parser.started() ? "incomplete head\n" : "");
}

std::string CheckPieces(std::string_view text,
                        http::ParseLimits limits,
                        PieceSizes sizes) {
  std::string whole = DescribeRun(text, limits, {});
  const std::string pieces = DescribeRun(text, limits, sizes);
  if (whole != pieces) {
    Fail("read as a whole:\n" + whole + "read in pieces:\n" + pieces);
  }
  return whole;
}

void Fail(std::string_view message) {
  std::cerr << message << std::endl;
  std::abort();
}

}  // namespace hickoryusher::fuzz
