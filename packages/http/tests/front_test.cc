#include "http/front.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "socket_fakes.h"

namespace hickoryusher::http {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kGood = "GET /good HTTP/1.1\r\nHost: a\r\n\r\n";

std::string Get(std::string_view path) {
  return "GET " + std::string(path) + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

core::TimePoint Soon() {
  return std::chrono::steady_clock::now() + milliseconds(20'000);
}

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != text.npos;
}

/// A front whose requests are answered by the test itself.
class Harness {
 public:
  explicit Harness(FrontOptions options = {}, std::size_t capacity = 1024)
      : ring_(capacity) {
    front = Front::Builder()
                .options(std::move(options))
                .requests(ring_)
                .log([this](const core::LogLine& line) {
                  const std::lock_guard lock(mutex_);
                  log_ += std::string(line.text()) + "\n";
                })
                .Start();
    REQUIRE(front != nullptr);
  }

  std::vector<IncomingRequest> Take(std::size_t count) {
    std::vector<IncomingRequest> requests;
    while (requests.size() < count) {
      REQUIRE(ring_.WaitDrain(requests, Soon()) > 0);
    }
    return requests;
  }

  /// Answers with the request's path, or with its body if it has one.
  bool Answer(const IncomingRequest& request) {
    return front->Respond(
        {.id = request.id,
         .status = 200,
         .body = request.body.empty() ? request.path : request.body});
  }

  /// Shows that the process still serves.
  void CheckServes() {
    RawClient client(front->port());
    REQUIRE(client.Send(kGood));
    Answer(Take(1).front());
    CHECK(client.ReadResponse().ends_with("\r\n\r\n/good"));
  }

  std::string log() {
    const std::lock_guard lock(mutex_);
    return log_;
  }

 private:
  runtime::Ring<IncomingRequest> ring_;
  std::mutex mutex_;
  std::string log_;

 public:
  std::unique_ptr<Front> front;
};

// Guards P4: Pistache answers in the order of completion and loses the second
// request of one segment.
TEST_CASE("pipelined requests get their own responses in order") {
  const std::string both = Get("/slow") + Get("/fast");
  // One segment, between the requests, and within each of them.
  for (const std::size_t split :
       {both.size(), both.size() / 2, std::size_t{3}, both.size() - 3}) {
    CAPTURE(split);
    Harness harness;
    RawClient client(harness.front->port());
    REQUIRE(client.Send(both.substr(0, split)));
    if (split < both.size()) {
      std::this_thread::sleep_for(milliseconds(20));
      REQUIRE(client.Send(both.substr(split)));
    }
    const auto requests = harness.Take(2);
    CHECK(requests[0].path == "/slow");
    CHECK(requests[1].path == "/fast");
    harness.Answer(requests[1]);
    harness.Answer(requests[0]);
    CHECK(client.ReadResponse().ends_with("\r\n\r\n/slow"));
    CHECK(client.ReadResponse().ends_with("\r\n\r\n/fast"));
  }
}

// Guards P4 across connections and threads, with responses in random order.
TEST_CASE("every caller gets the response to its own request") {
  constexpr unsigned kSeed = 20261204;
  INFO("seed " << kSeed);
  std::mt19937 random(kSeed);
  Harness harness({.threads = 3});
  std::vector<std::unique_ptr<RawClient>> clients;
  constexpr std::size_t kClients = 40;
  constexpr std::size_t kPerClient = 5;
  for (std::size_t c = 0; c < kClients; ++c) {
    clients.push_back(std::make_unique<RawClient>(harness.front->port()));
    for (std::size_t r = 0; r < kPerClient; ++r) {
      REQUIRE(clients.back()->Send(
          Get("/" + std::to_string(c) + "." + std::to_string(r))));
    }
  }
  auto requests = harness.Take(kClients * kPerClient);
  std::ranges::shuffle(requests, random);
  for (const IncomingRequest& request : requests) {
    CHECK(harness.Answer(request));
  }
  for (std::size_t c = 0; c < kClients; ++c) {
    for (std::size_t r = 0; r < kPerClient; ++r) {
      CHECK(clients[c]->ReadResponse().ends_with(
          "\r\n\r\n/" + std::to_string(c) + "." + std::to_string(r)));
    }
  }
  CHECK(harness.front->WaitIdle(Soon()));
  CHECK(harness.front->dropped_responses() == 0);
}

// Guards P5 and against a caller that waits while the router is overloaded.
TEST_CASE("a full ring is answered at once as not run") {
  Harness harness({}, 1);
  RawClient client(harness.front->port());
  REQUIRE(client.Send(Get("/1")));
  RawClient second(harness.front->port());
  while (harness.front->in_flight() == 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  REQUIRE(second.Send(Get("/2")));
  const std::string refusal = second.ReadResponse();
  CHECK(refusal.starts_with("HTTP/1.1 503 "));
  CHECK(Contains(refusal, "Hickoryusher-Outcome: not_run\r\n"));
  CHECK(Contains(refusal, "Hickoryusher-Reason: ring_full\r\n"));
  CHECK(Contains(refusal, "Retry-After: "));
  harness.Answer(harness.Take(1).front());
  CHECK(client.ReadResponse().ends_with("\r\n\r\n/1"));
}

struct BadInputRow {
  std::string_view name;
  std::string bytes;
  int status;
  std::string_view reason;
};

// Guards against input that hangs, crashes or is taken for something else.
TEST_CASE("bad input gets a clear error and a log line") {
  const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n";
  std::string many;
  for (int i = 0; i < 257; ++i) {
    many += "A: b\r\n";
  }
  const BadInputRow rows[] = {
      {"not HTTP", "hello\r\n\r\n", 400, "bad_request_line"},
      {"TLS hello", std::string("\x16\x03\x01\x00\xa5\r\n\r\n", 9), 400,
       "bad_request_line"},
      {"relative target", "GET x HTTP/1.1\r\n\r\n", 400, "bad_request_line"},
      {"control character", "GET /\x01 HTTP/1.1\r\n\r\n", 400,
       "bad_request_line"},
      {"HTTP/2", "PRI * HTTP/2.0\r\n\r\n", 505, "bad_version"},
      {"no colon", "GET / HTTP/1.1\r\noops\r\n\r\n", 400, "bad_header"},
      {"space before colon", "GET / HTTP/1.1\r\nA : b\r\n\r\n", 400,
       "bad_header"},
      {"folded header", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400,
       "bad_header"},
      {"bare line feed", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", 400,
       "bad_header"},
      {"text length", post + "Content-Length: ten\r\n\r\n", 400,
       "bad_content_length"},
      {"negative length", post + "Content-Length: -1\r\n\r\n", 400,
       "bad_content_length"},
      {"huge length", post + "Content-Length: 99999999999999999999\r\n\r\n",
       400, "bad_content_length"},
      {"two lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       400, "bad_content_length"},
      {"length and chunks", chunked + "Content-Length: 1\r\n\r\n", 400,
       "bad_transfer_encoding"},
      {"unknown coding", post + "Transfer-Encoding: gzip\r\n\r\n", 501,
       "bad_transfer_encoding"},
      {"two codings", chunked + "Transfer-Encoding: chunked\r\n\r\n", 400,
       "bad_transfer_encoding"},
      {"chunks in HTTP/1.0",
       "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400,
       "bad_transfer_encoding"},
      {"length with a tail", post + "Content-Length: 5x\r\n\r\nabcde", 400,
       "bad_content_length"},
      {"empty length", post + "Content-Length:\r\n\r\n", 400,
       "bad_content_length"},
      {"length with a sign", post + "Content-Length: +5\r\n\r\nabcde", 400,
       "bad_content_length"},
      {"bare carriage return", "GET / HTTP/1.1\r\nA: b\rC: d\r\n\r\n", 400,
       "bad_header"},
      {"unknown method", "BREW / HTTP/1.1\r\n\r\n", 501, "unknown_method"},
      {"too many headers", "GET / HTTP/1.1\r\n" + many + "\r\n", 431,
       "header_too_large"},
      {"bad chunk size", chunked + "\r\nzz\r\n", 411, "length_required"},
      {"chunk longer than its size", chunked + "\r\n2\r\nabc\r\n0\r\n\r\n", 411,
       "length_required"},
      {"oversized header", "GET / HTTP/1.1\r\nA: " + std::string(9000, 'a'),
       431, "header_too_large"},
      {"oversized body", post + "Content-Length: 10001\r\n\r\n", 413,
       "body_too_large"},
      {"oversized chunk", chunked + "\r\n2711\r\n", 411, "length_required"},
      {"endless chunk size", chunked + "\r\n" + std::string(300, '0'), 411,
       "length_required"},
  };
  Harness harness({.max_header_bytes = 8000, .max_body_bytes = 10'000});
  for (const BadInputRow& row : rows) {
    CAPTURE(row.name);
    RawClient client(harness.front->port());
    REQUIRE(client.Send(row.bytes));
    const std::string response = client.ReadResponse();
    CHECK(response.starts_with("HTTP/1.1 " + std::to_string(row.status)));
    CHECK(Contains(response, "Hickoryusher-Outcome: not_run\r\n"));
    CHECK(Contains(response,
                   "Hickoryusher-Reason: " + std::string(row.reason) + "\r\n"));
    CHECK(Contains(harness.log(), "reason=" + std::string(row.reason)));
    CHECK(client.ReadEnd());
    harness.CheckServes();
  }
}

// Guards against a body that is longer than Content-Length being lost or run:
// its rest is read as the next request and refused.
TEST_CASE("bytes beyond Content-Length do not reach the router as a body") {
  Harness harness;
  RawClient client(harness.front->port());
  REQUIRE(client.Send(
      "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabcdef\r\n\r\n"));
  const auto requests = harness.Take(1);
  CHECK(requests[0].body == "ab");
  harness.Answer(requests[0]);
  CHECK(client.ReadResponse().ends_with("\r\n\r\nab"));
  CHECK(client.ReadResponse().starts_with("HTTP/1.1 400 "));
  harness.CheckServes();
}

// Guards against a 100 MB body that fills memory or loses its error response.
TEST_CASE("a body of 100 MB is refused while it is being sent") {
  Harness harness;
  RawClient client(harness.front->port());
  constexpr int kMegabytes = 100;
  const std::string megabyte(1'000'000, 'x');
  REQUIRE(client.Send("POST / HTTP/1.1\r\nContent-Length: 100000000\r\n\r\n"));
  for (int i = 0; i < kMegabytes; ++i) {
    REQUIRE(client.Send(megabyte));
  }
  CHECK(client.ReadResponse().starts_with("HTTP/1.1 413 "));
  harness.CheckServes();
}

// Guards against callers that hold connections by sending slowly; each byte
// must not extend the time allowed.
TEST_CASE("a slow sender is timed out") {
  const std::pair<std::string, std::string_view> rows[] = {
      {"GET / HTTP/1.1\r\nA: ", "header_timeout"},
      {"POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n", "body_timeout"},
  };
  Harness harness(
      {.header_timeout = milliseconds(150), .body_timeout = milliseconds(150)});
  for (const auto& [start, reason] : rows) {
    CAPTURE(reason);
    RawClient client(harness.front->port());
    REQUIRE(client.Send(start));
    for (int i = 0; i < 400 && !Contains(harness.log(), reason); ++i) {
      client.Send("a");
      std::this_thread::sleep_for(milliseconds(10));
    }
    const std::string response = client.ReadResponse();
    CHECK(response.starts_with("HTTP/1.1 408 "));
    CHECK(Contains(response, reason));
    harness.CheckServes();
  }
}

// Guards P8: a graceful stop must not cut off a request.
TEST_CASE("stopping refuses new requests and finishes those in progress") {
  Harness harness;
  RawClient client(harness.front->port());
  REQUIRE(client.Send(Get("/old") + Get("/next")));
  const auto requests = harness.Take(2);
  harness.front->StopAccepting();
  RawClient late(harness.front->port());
  REQUIRE(late.Send(Get("/new")));
  const std::string refusal = late.ReadResponse();
  CHECK(refusal.starts_with("HTTP/1.1 503 "));
  CHECK(Contains(refusal, "Hickoryusher-Reason: shutting_down\r\n"));
  CHECK(harness.front->in_flight() == 2);
  CHECK_FALSE(harness.front->WaitIdle(std::chrono::steady_clock::now()));
  harness.Answer(requests[0]);
  harness.Answer(requests[1]);
  CHECK(harness.front->WaitIdle(Soon()));
  RawClient idle(harness.front->port());
  while (harness.front->connections() < 3) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  harness.front->Shutdown();
  CHECK(client.ReadResponse().ends_with("\r\n\r\n/old"));
  CHECK(client.ReadResponse().ends_with("\r\n\r\n/next"));
  CHECK(client.ReadEnd());
  CHECK(idle.ReadEnd());
  CHECK_FALSE(harness.Answer(requests[0]));
}

// Guards P4 against reused sockets: the next caller often gets the number of
// the connection that was closed.
TEST_CASE("a response for a caller that left goes to nobody else") {
  Harness harness({.threads = 1});
  for (int i = 0; i < 20; ++i) {
    RawClient gone(harness.front->port());
    REQUIRE(gone.Send(Get("/gone")));
    const auto old_request = harness.Take(1);
    gone.Close();
    RawClient next(harness.front->port());
    REQUIRE(next.Send(Get("/next")));
    const auto request = harness.Take(1);
    harness.Answer(old_request[0]);
    harness.Answer(request[0]);
    CHECK(next.ReadResponse().ends_with("\r\n\r\n/next"));
    harness.Answer(request[0]);  // A second response is dropped.
  }
  CHECK(harness.front->WaitIdle(Soon()));
  while (harness.front->dropped_responses() < 40) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(harness.front->dropped_responses() == 40);
}

// Guards against a fault in a later request that ends the connection before an
// earlier request is answered.
TEST_CASE("a request in progress outlives a later one that times out") {
  Harness harness({.body_timeout = milliseconds(50)});
  RawClient client(harness.front->port());
  REQUIRE(client.Send(Get("/first") +
                      "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"));
  const auto requests = harness.Take(1);
  while (!Contains(harness.log(), "body_timeout")) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  std::this_thread::sleep_for(milliseconds(150));  // Several time-outs more.
  harness.Answer(requests[0]);
  CHECK(client.ReadResponse().ends_with("\r\n\r\n/first"));
  CHECK(client.ReadResponse().starts_with("HTTP/1.1 408 "));
}

// Guards against connections that stay open forever, and against a process
// that dies when callers reset theirs.
TEST_CASE("idle, reset and surplus connections are closed") {
  Harness harness({.max_connections = 3, .idle_timeout = milliseconds(100)});
  for (int i = 0; i < 10; ++i) {
    RawClient client(harness.front->port());
    REQUIRE(client.Send(i % 2 == 0 ? Get("/x") : "GET / HT"));
    if (i % 2 == 0) {
      harness.Take(1);
    }
    while (harness.front->connections() == 0) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    client.Reset();
    while (harness.front->connections() > 0) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  CHECK(harness.front->WaitIdle(Soon()));
  std::vector<std::unique_ptr<RawClient>> idle;
  for (std::size_t i = 0; i < 3; ++i) {
    idle.push_back(std::make_unique<RawClient>(harness.front->port()));
  }
  while (harness.front->connections() < 3) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  RawClient surplus(harness.front->port());
  CHECK(Contains(surplus.ReadResponse(), "connection_limit"));
  for (const auto& client : idle) {
    CHECK(client->ReadEnd());
  }
  surplus.Close();
  while (harness.front->connections() > 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  harness.CheckServes();
}

// Guards against one caller that fills the process with unanswered requests.
TEST_CASE("unanswered requests of one connection are limited") {
  Harness harness({.max_pipelined = 2});
  RawClient client(harness.front->port());
  REQUIRE(client.Send(Get("/1") + Get("/2") + Get("/3") + Get("/4")));
  for (const IncomingRequest& request : harness.Take(2)) {
    harness.Answer(request);
  }
  CHECK(client.ReadResponse().ends_with("\r\n\r\n/1"));
  CHECK(client.ReadResponse().ends_with("\r\n\r\n/2"));
  CHECK(Contains(client.ReadResponse(), "pipeline_limit"));
  CHECK(client.ReadEnd());
}

// Guards against a caller that holds memory by not reading its response.
TEST_CASE("a caller that does not read is disconnected") {
  Harness harness({.max_body_bytes = 64UL * 1024 * 1024,
                   .send_timeout = milliseconds(100)});
  RawClient client(harness.front->port());
  const std::string body(32UL * 1024 * 1024, 'x');
  REQUIRE(client.Send("POST / HTTP/1.1\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body));
  harness.Answer(harness.Take(1).front());
  CHECK(harness.front->WaitIdle(Soon()));
  CHECK(client.ReadResponse().empty());
}

// Guards against bodies cut off when the socket's buffer is full.
TEST_CASE("a large body passes in both directions") {
  Harness harness({.max_body_bytes = 32UL * 1024 * 1024});
  RawClient client(harness.front->port());
  std::string body(16UL * 1024 * 1024, 'x');
  body += "end";
  REQUIRE(
      client.Send("POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
                  "Content-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n"));
  CHECK(client.ReadResponse() == "HTTP/1.1 100 Continue\r\n\r\n");
  REQUIRE(client.Send(body));
  harness.Answer(harness.Take(1).front());
  std::this_thread::sleep_for(milliseconds(50));  // Lets the buffer fill up.
  CHECK(client.ReadResponse().ends_with("\r\n\r\n" + body));
  harness.CheckServes();
}

// Guards against a front that reports success without a port.
TEST_CASE("a port in use is reported") {
  const Harness harness;
  Front::Builder builder;
  builder.port(harness.front->port()).on_request([](IncomingRequest&) {
    return true;
  });
  CHECK(builder.Start() == nullptr);
  CHECK(Contains(builder.last_error(), "cannot listen on 127.0.0.1:"));
}

}  // namespace
}  // namespace hickoryusher::http
