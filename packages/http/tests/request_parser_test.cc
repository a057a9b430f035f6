#include "http/request_parser.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

namespace hickoryusher::http {
namespace {

/// Feeds @p bytes cut at @p split and collects all results but NeedMore.
std::vector<ParseResult> FeedAll(std::string_view bytes, std::size_t split) {
  RequestParser parser({});
  std::vector<ParseResult> results;
  for (std::string_view part : {bytes.substr(0, split), bytes.substr(split)}) {
    while (!part.empty()) {
      ParseResult result = parser.Feed(part);
      if (std::holds_alternative<NeedMore>(result)) {
        continue;
      }
      results.push_back(std::move(result));
      if (std::holds_alternative<ParseError>(results.back())) {
        return results;
      }
    }
  }
  return results;
}

std::vector<std::string> Values(const IncomingRequest& request,
                                std::string_view name) {
  std::vector<std::string> values;
  for (const Header& header : request.headers) {
    if (EqualNames(header.name, name)) {
      values.push_back(header.value);
    }
  }
  return values;
}

IncomingRequest ParseOne(std::string_view bytes) {
  auto results = FeedAll(bytes, 0);
  REQUIRE(results.size() == 1);
  REQUIRE(std::holds_alternative<ParsedRequest>(results[0]));
  return std::get<ParsedRequest>(results[0]).request;
}

// Guards against a request that depends on how its bytes are split, and
// against bytes of the next request that count as part of this one.
TEST_CASE("requests with a body are the same for every split") {
  const std::string bytes =
      "POST /p?q=1 HTTP/1.1\r\nContent-Length: 13\r\nT: u\r\n\r\nabc0123456789"
      "GET /next HTTP/1.0\r\n\r\n"
      "PUT /last HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nz";
  for (std::size_t split = 0; split < bytes.size(); ++split) {
    CAPTURE(split);
    const auto results = FeedAll(bytes, split);
    REQUIRE(results.size() == 3);
    REQUIRE(std::ranges::all_of(results, [](const ParseResult& result) {
      return std::holds_alternative<ParsedRequest>(result);
    }));
    const auto& first = std::get<ParsedRequest>(results[0]);
    CHECK(first.request.method == "POST");
    CHECK(first.request.path == "/p");
    CHECK(first.request.query == "q=1");
    CHECK(first.request.body == "abc0123456789");
    CHECK(Values(first.request, "t") == std::vector<std::string>{"u"});
    CHECK(first.keep_alive);
    const auto& second = std::get<ParsedRequest>(results[1]);
    CHECK(second.request.method == "GET");
    CHECK(second.request.path == "/next");
    CHECK(second.request.body.empty());
    CHECK(second.request.headers.empty());
    CHECK_FALSE(second.keep_alive);
    const auto& third = std::get<ParsedRequest>(results[2]);
    CHECK(third.request.method == "PUT");
    CHECK(third.request.body == "z");
  }
}

// Guards against a chunked body whose bytes are taken for requests. Pistache
// does not tell where such a body ends.
TEST_CASE("a chunked request is refused for every split") {
  const std::string bytes =
      "POST /p?q=1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: u\r\n\r\n"
      "GET /smuggled HTTP/1.1\r\n\r\n";
  for (std::size_t split = 0; split < bytes.size(); ++split) {
    CAPTURE(split);
    const auto results = FeedAll(bytes, split);
    REQUIRE(results.size() == 1);
    REQUIRE(std::holds_alternative<ParseError>(results[0]));
    CHECK(std::get<ParseError>(results[0]).status == 411);
    CHECK(std::get<ParseError>(results[0]).reason == "length_required");
  }
}

// Guards against header lines that get lost: Pistache keeps one line for each
// name and its parameters in no order.
TEST_CASE("repeated headers and the query pass unchanged") {
  const IncomingRequest request = ParseOne(
      "GET /a%20b?q=2&q=1&flag&empty=&p=?x HTTP/1.1\r\n"
      "Forwarded: for=a\r\nOther:  \t x y\t \r\nforwarded: for=b\r\n"
      "FORWARDED: for=c\r\nEmpty:\r\n\r\n");
  CHECK(request.path == "/a%20b");
  CHECK(request.query == "q=2&q=1&flag&empty=&p=?x");
  CHECK(request.headers.size() == 5);
  CHECK(Values(request, "Forwarded") ==
        std::vector<std::string>{"for=a", "for=b", "for=c"});
  CHECK(Values(request, "Other") == std::vector<std::string>{"x y"});
  CHECK(Values(request, "Empty") == std::vector<std::string>{""});
}

// Guards against requests refused for values that only the endpoint has to
// understand: Pistache throws on each of these.
TEST_CASE("header values that the library cannot convert pass unchanged") {
  const std::pair<std::string, std::string> rows[] = {
      {"Content-Type", "multipart/form-data; boundary=\"a b\""},
      {"Content-Type", "unusual"},
      {"Accept", ""},
      {"Cookie", "no-value"},
      {"Set-Cookie", "no-value"},
      {"Date", "yesterday"},
      {"Cache-Control", "extension=value, max-age=1"},
      {"Host", "[::1"},
  };
  for (const auto& [name, value] : rows) {
    CAPTURE(name, value);
    std::string bytes("GET / HTTP/1.1\r\n");
    bytes.append(name).append(": ").append(value).append("\r\n\r\n");
    CHECK(Values(ParseOne(bytes), name) == std::vector<std::string>{value});
  }
}

// Guards against a length that the check and the library read differently; a
// number in octal would leave bytes of the body for the next request.
TEST_CASE("a length with leading zeros is decimal") {
  CHECK(ParseOne("POST / HTTP/1.1\r\nContent-Length: 0010\r\n\r\n0123456789")
            .body == "0123456789");
}

// Guards against input on which the library throws past the border or reads
// beyond its buffer (found by the address sanitizer).
TEST_CASE("damaged requests give results and no exceptions") {
  constexpr unsigned kSeed = 20261204;
  INFO("seed " << kSeed);
  const std::string good =
      "POST /p?q=1&r HTTP/1.1\r\nHost: a:80\r\nContent-Length: 5\r\n"
      "Connection: keep-alive\r\nAuthorization: Bearer x\r\n"
      "Accept-Encoding: gzip\r\nAllow: GET\r\nExpect: x\r\n\r\nabcde";
  constexpr std::string_view kBytes = "\r\n\t :;,=?&%0123456789aA\"\x7f\xff";
  std::mt19937 random(kSeed);
  const auto below = [&random](std::size_t count) { return random() % count; };
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = good;
    for (std::size_t i = 0; i <= below(4); ++i) {
      const std::size_t at = below(bytes.size());
      if (below(2) == 0) {
        bytes[at] = kBytes[below(kBytes.size())];
      } else {
        bytes.erase(at, below(3));
      }
    }
    CAPTURE(round, bytes);
    std::vector<ParseResult> results;
    REQUIRE_NOTHROW(results = FeedAll(bytes, below(bytes.size())));
    for (const ParseResult& result : results) {
      const auto* parsed = std::get_if<ParsedRequest>(&result);
      if (parsed != nullptr) {
        const std::string_view length =
            FindHeader(parsed->request.headers, "content-length");
        REQUIRE(parsed->request.body.size() ==
                (length.empty() ? 0 : std::stoul(std::string(length))));
      }
    }
  }
}

// Guards against a request that is refused because of how its bytes arrive:
// found by the fuzz targets of the head and the body.
TEST_CASE("a request reads the same in pieces") {
  constexpr std::string_view kStart = "GET / HTTP/1.1\r\nHost: a\r\nX: ";
  // Of exactly the longest size, without the empty line at its end.
  const std::string longest = std::string(kStart) +
                              std::string(16UL * 1024 - kStart.size(), 'x') +
                              "\r\n\r\n";
  for (const std::string& bytes : {longest, "\r\n" + longest}) {
    RequestParser parser({});
    ParseResult last = NeedMore{};
    for (std::string_view rest = bytes; !rest.empty();) {
      std::string_view piece = rest.substr(0, 1);
      rest.remove_prefix(1);
      last = parser.Feed(piece);
      REQUIRE_FALSE(std::holds_alternative<ParseError>(last));
    }
    CHECK(std::holds_alternative<ParsedRequest>(last));
  }
}

}  // namespace
}  // namespace hickoryusher::http
