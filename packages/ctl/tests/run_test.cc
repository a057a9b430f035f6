#include "ctl/run.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <vector>

namespace hickoryusher::ctl {
namespace {

/// Server that gives its responses in order and keeps the requests.
struct FakeServer {
  std::vector<HttpResult> results;
  std::vector<HttpRequest> requests;

  HttpResult Take(const HttpRequest& request) {
    requests.push_back(request);
    REQUIRE(requests.size() <= results.size());
    return results[requests.size() - 1];
  }
};

struct Outcome {
  ExitCode code;
  std::string out;
  std::string err;
};

Outcome RunWith(FakeServer& server, const std::vector<std::string>& arguments) {
  CommandLine line;
  const auto invocation = line.Parse(arguments);
  if (!invocation) {
    return {.code = kExitUsage, .err = line.last_error()};
  }
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = Run(
      *invocation, [&](const HttpRequest& r) { return server.Take(r); }, out,
      err);
  return {.code = code, .out = out.str(), .err = err.str()};
}

HttpResponse Respond(long status, std::string body) {
  return {.status = status, .body = std::move(body)};
}

// Guards against scripts that take a refusal for a success.
TEST_CASE("each response has its exit code") {
  struct Row {
    HttpResult result;
    ExitCode code;
    std::string text;
  };
  const Row rows[] = {
      {Respond(200, R"({"revision":7})"), kExitOk, "revision=7"},
      {Respond(403, R"({"reason":"outside the subtree"})"), kExitRefused,
       "outside the subtree"},
      {Respond(422, R"({"mistakes":[{"path":"/p","expected":"a number",)"
                    R"("found":"x"}]})"),
       kExitUsage, "/p: expected a number, found x"},
      {Respond(503, R"({"outcome":"not_written"})"), kExitUnreachable,
       "not_written"},
      {Respond(409, R"({"lost_to":9})"), kExitConflict, "revision 9"},
      {Respond(200, "<html>"), kExitUnreachable, "not JSON"},
      {NotConnected{"refused"}, kExitUnreachable, "refused"},
  };
  for (const Row& row : rows) {
    FakeServer server{.results = {row.result}};
    const Outcome outcome =
        RunWith(server, {"settings", "set", "/p", "1", "--base", "3"});
    CHECK(outcome.code == row.code);
    CHECK((outcome.out + outcome.err).find(row.text) != std::string::npos);
  }
}

// Guards against a second change when the response to the first is lost.
TEST_CASE("a change without a response is sent again with its id") {
  FakeServer server{.results = {Respond(200, R"({"revision":3})"),
                                NoResponse{"timeout"},
                                Respond(504, R"({"outcome":"unknown"})"),
                                Respond(200, R"({"revision":4})")}};
  const Outcome outcome =
      RunWith(server, {"settings", "set", "/p", "text", "--change-id", "c-1"});
  CHECK(outcome.code == kExitOk);
  CHECK(server.requests[0].path == "/v1/settings/revision?path=/p");
  CHECK(server.requests[1].body ==
        R"({"base":3,"id":"c-1","path":"/p","value":"text"})");
  CHECK(
      server.requests[3].body ==
      R"({"base":3,"id":"c-1","path":"/p","resubmitted":true,"value":"text"})");
}

// Guards against wrong usage that reaches the server.
TEST_CASE("wrong usage sends nothing") {
  const std::vector<std::vector<std::string>> lines = {
      {},
      {"settings"},
      {"settings", "set", "/p"},
      {"--output", "xml", "settings", "get", "/"},
      {"settings", "get", "/", "--nothing"},
      {"settings", "diff", "/no/such/file"}};
  for (const auto& line : lines) {
    FakeServer server;
    const Outcome outcome = RunWith(server, line);
    CHECK(outcome.code == kExitUsage);
    CHECK_FALSE(outcome.err.empty());
  }
}

}  // namespace
}  // namespace hickoryusher::ctl
