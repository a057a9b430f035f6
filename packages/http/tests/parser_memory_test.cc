#include <catch2/catch.hpp>
#include <string>

#include "http/request_parser.h"

namespace hickoryusher::http {
namespace {

// Guards against buffers that a closed connection keeps: assigning an empty
// string keeps the capacity, which held every body of a crowd in memory.
TEST_CASE("abandoning a request frees its buffers") {
  constexpr std::size_t kBody = 100'000;
  const std::string head =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBody) +
      "\r\nLong: " + std::string(1000, 'a') + "\r\n\r\n";
  for (const std::string& bytes :
       {head.substr(0, head.size() - 1), head + std::string(500, 'x')}) {
    RequestParser parser({});
    std::string_view input = bytes;
    while (!input.empty()) {
      CHECK(std::holds_alternative<NeedMore>(parser.Feed(input)));
    }
    CHECK(parser.started());
    CHECK(parser.held_bytes() >=
          (parser.in_body() ? kBody + 1000 : bytes.size()));
    parser.Abandon();
    CHECK_FALSE(parser.started());
    CHECK(parser.held_bytes() == 0);
  }
}

// Guards against idle connections that keep the buffers of their last request.
TEST_CASE("a parser holds nothing after a complete request") {
  RequestParser parser({});
  const std::string bytes =
      "POST / HTTP/1.1\r\nContent-Length: 5000\r\nLong: " +
      std::string(1000, 'a') + "\r\n\r\n" + std::string(5000, 'x');
  std::string_view input = bytes;
  CHECK(std::holds_alternative<NeedMore>(parser.Feed(input)));
  CHECK(std::holds_alternative<ParsedRequest>(parser.Feed(input)));
  CHECK(parser.held_bytes() == 0);
}

}  // namespace
}  // namespace hickoryusher::http
