#include "key_codec_p.h"

#include <catch2/catch.hpp>

#include "test_directory.h"

namespace hickoryusher::entry {
namespace {

// Guards against a kept response that comes back changed.
TEST_CASE("a stored response keeps every byte") {
  const std::string bodies[] = {"",
                                "a",
                                "ab",
                                "abc",
                                std::string("\0\xff\n", 3),
                                std::string(kMaxStoredBodyBytes, 'x')};
  for (const std::string& body : bodies) {
    const std::vector<http::Header> headers = {{"Content-Type", "text/plain"},
                                               {"X-Empty", ""}};
    const auto text = EncodeStoredResponse(headers, body);
    REQUIRE(text.has_value());
    const auto stored = DecodeStoredResponse(*text);
    REQUIRE(stored.has_value());
    CHECK(stored->body == body);
    REQUIRE(stored->headers.size() == 2);
    CHECK(stored->headers[0].value == "text/plain");
    CHECK(stored->headers[1].value.empty());
  }
}

// Guards against a part of a response that is passed off as the whole.
TEST_CASE("a response that is too large is not kept") {
  CHECK_FALSE(
      EncodeStoredResponse({}, std::string(kMaxStoredBodyBytes + 1, 'x')));
}

// Guards against a damaged row that is taken for a response or a claim.
TEST_CASE("malformed rows are refused") {
  const TestDirectory test;
  const std::string rows[] = {"",
                              "{",
                              "[]",
                              "null",
                              R"({"body":"YQ==","size":5,"headers":[]})",
                              R"({"body":"YQ==","size":1,"headers":[[1,2]]})",
                              R"({"claim":7})",
                              std::string(20'000, '[')};
  for (const std::string& row : rows) {
    INFO(row.substr(0, 60));
    CHECK_FALSE(DecodeStoredResponse(row).has_value());
    CHECK_FALSE(DecodeKeyRow(row, test.directory).has_value());
  }
}

// Guards against a claim that another process reads as its own.
TEST_CASE("a key row keeps the claim and its outcome") {
  const TestDirectory test;
  const retry::KeyRow row{
      .claim = {.entry = test.directory.FindEntry("e1"),
                .incarnation = core::Incarnation(1'796'380'236'983),
                .request = core::RequestId(std::uint64_t{1} << 50U)},
      .outcome = retry::StoredOutcome{.outcome = retry::Outcome::kAnswered,
                                      .status = 201,
                                      .response = "kept"}};
  const auto read =
      DecodeKeyRow(EncodeKeyRow(row, test.directory), test.directory);
  REQUIRE(read.has_value());
  CHECK(read->claim == row.claim);
  REQUIRE(read->outcome.has_value());
  CHECK(read->outcome->status == 201);
  CHECK(read->outcome->response == "kept");
}

}  // namespace
}  // namespace hickoryusher::entry
