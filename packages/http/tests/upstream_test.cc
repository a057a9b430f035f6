#include "http/upstream.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "socket_fakes.h"
#include "standin/endpoint_standin.h"

namespace hickoryusher::http {
namespace {

using standin::EndpointStandIn;
using standin::Mode;
using std::chrono::milliseconds;

/// An upstream with a ring for its events.
class Harness {
 public:
  explicit Harness(std::size_t capacity = 256, UpstreamOptions options = {})
      : ring_(capacity),
        upstream(Upstream::Builder().options(options).events(ring_).Start()) {}

  core::AttemptId Start(StartExchange command) {
    command.id = core::AttemptId(next_++);
    const core::AttemptId id = command.id;
    const bool taken = upstream->TrySend(std::move(command));
    REQUIRE(taken);
    return id;
  }

  /// Waits for the next event that is not a FirstByte.
  UpstreamEvent Final() {
    while (true) {
      if (waiting_.empty()) {
        REQUIRE(ring_.WaitDrain(waiting_, std::chrono::steady_clock::now() +
                                              milliseconds(20'000)) > 0);
      }
      UpstreamEvent event = std::move(waiting_.front());
      waiting_.erase(waiting_.begin());
      if (!std::holds_alternative<FirstByte>(event)) {
        return event;
      }
      ++first_bytes;
    }
  }

  Failed Failure() {
    UpstreamEvent event = Final();
    REQUIRE(std::holds_alternative<Failed>(event));
    return std::get<Failed>(event);
  }

  Completed Success() {
    UpstreamEvent event = Final();
    REQUIRE(std::holds_alternative<Completed>(event));
    return std::get<Completed>(std::move(event));
  }

 private:
  runtime::Ring<UpstreamEvent> ring_;
  std::vector<UpstreamEvent> waiting_;
  std::uint64_t next_ = 1;

 public:
  std::unique_ptr<Upstream> upstream;
  int first_bytes = 0;
};

std::string UrlOf(const EndpointStandIn& endpoint) {
  return "http://127.0.0.1:" + std::to_string(endpoint.port()) + "/";
}

StartExchange Post(std::string url, std::string key) {
  return {.url = std::move(url),
          .method = "POST",
          .headers = {{"Hickoryusher-Request-Key", std::move(key)}},
          .body = "diary"};
}

struct AnswerRow {
  std::string_view name;
  std::string answer;
  Stage stage;
  std::string_view reason;
};

// Guards against a request that is written after its deadline because the
// process was frozen before the exchange started.
TEST_CASE("nothing is written once the deadline has passed") {
  const auto endpoint = EndpointStandIn::Start({});
  Harness harness;
  StartExchange command{
      .url = "http://127.0.0.1:" + std::to_string(endpoint->port()) + "/",
      .method = "POST",
      .body = "x",
      .write_before = std::chrono::steady_clock::now()};
  harness.Start(std::move(command));
  const Failed failed = harness.Failure();
  CHECK(failed.reason == "deadline_passed");
  CHECK(failed.stage == Stage::kConnecting);
  CHECK(endpoint->record().stats().runs == 0);
}

// Guards against an order that leaves a suspended process late, and that looks
// like any other: the delay counts from the decision, not from the exchange.
TEST_CASE("the end of an exchange tells how late it was written") {
  const auto endpoint = EndpointStandIn::Start({});
  Harness harness;
  StartExchange late = Post(UrlOf(*endpoint), "late");
  late.decided = std::chrono::steady_clock::now() - milliseconds(700);
  harness.Start(std::move(late));
  CHECK(harness.Success().write_delay >= milliseconds(700));
  harness.Start(Post(UrlOf(*endpoint), "plain"));
  CHECK(harness.Success().write_delay == core::Duration());
  StartExchange unwritten = Post(UrlOf(*endpoint), "unwritten");
  unwritten.decided = std::chrono::steady_clock::now() - milliseconds(700);
  unwritten.write_before = unwritten.decided;
  harness.Start(std::move(unwritten));
  CHECK(harness.Failure().write_delay == core::Duration());
}

// Guards against a broken answer that is passed on as complete.
TEST_CASE("a truncated, oversized or malformed answer is a failure") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const AnswerRow rows[] = {
      {"no answer", "", Stage::kAwaitingFirstByte, "connection_broken"},
      {"half a status line", "HTTP/1.1 2", Stage::kAwaitingFirstByte, ""},
      {"half a header", ok + "Content-Le", Stage::kReceiving, ""},
      {"body too short", ok + "Content-Length: 10\r\n\r\nabc",
       Stage::kReceiving, "truncated"},
      {"chunk cut off", ok + "Transfer-Encoding: chunked\r\n\r\na\r\nabc",
       Stage::kReceiving, "truncated"},
      {"last chunk missing",
       ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", Stage::kReceiving,
       "truncated"},
      {"bad chunk size",
       ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
       Stage::kReceiving, ""},
      {"no length", ok + "\r\nabc", Stage::kReceiving, "no_length"},
      {"two lengths", ok + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
       Stage::kReceiving, ""},
      {"length and chunks",
       ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\n\r\n",
       Stage::kReceiving, "malformed"},
      {"negative length", ok + "Content-Length: -3\r\n\r\nabc",
       Stage::kReceiving, ""},
      {"not HTTP", "hello\r\n\r\n", Stage::kAwaitingFirstByte, "malformed"},
      {"bad status", "HTTP/1.1 abc OK\r\nContent-Length: 0\r\n\r\n",
       Stage::kAwaitingFirstByte, "malformed"},
      {"header without colon", ok + "oops\r\nContent-Length: 0\r\n\r\n",
       Stage::kReceiving, "malformed"},
      {"control character in a header",
       ok + "A: b\x01" + "c\r\nContent-Length: 0\r\n\r\n", Stage::kReceiving,
       "malformed"},
      {"oversized header", ok + "A: " + std::string(70'000, 'a') + "\r\n\r\n",
       Stage::kReceiving, "oversized"},
      {"oversized body",
       ok + "Content-Length: 5000\r\n\r\n" + std::string(5000, 'a'),
       Stage::kReceiving, "oversized"},
      {"oversized chunk",
       ok + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" +
           std::string(5000, 'a') + "\r\n0\r\n\r\n",
       Stage::kReceiving, "oversized"},
  };
  Harness harness;
  for (const AnswerRow& row : rows) {
    CAPTURE(row.name);
    const ScriptedServer server(row.answer);
    harness.Start({.url = server.url(), .max_response_bytes = 4000});
    const Failed failed = harness.Failure();
    CAPTURE(failed.reason, failed.detail);
    CHECK(ToString(failed.stage) == ToString(row.stage));
    CHECK((row.reason.empty() || failed.reason == row.reason));
  }
}

struct FaultRow {
  std::string_view name;
  milliseconds first_byte;
  milliseconds total;
  std::string_view reason;
  Mode mode;
  Stage stage;
};

// Guards against a wrong stage, which decides whether a request may be retried.
TEST_CASE("an endpoint's fault is reported with its stage") {
  const milliseconds none{0};
  const milliseconds brief{100};
  const milliseconds ample{10'000};
  const FaultRow rows[] = {
      {"hang, first byte", brief, ample, "first_byte_timeout", Mode::kHang,
       Stage::kAwaitingFirstByte},
      {"hang, total", none, brief, "total_timeout", Mode::kHang,
       Stage::kAwaitingFirstByte},
      {"dies in mid-answer", ample, ample, "truncated", Mode::kDieMidAnswer,
       Stage::kReceiving},
      {"closes after reading", ample, ample, "connection_broken",
       Mode::kCloseAfterRead, Stage::kAwaitingFirstByte},
  };
  const auto endpoint = EndpointStandIn::Start({});
  Harness harness;
  for (const FaultRow& row : rows) {
    CAPTURE(row.name);
    endpoint->SetBehaviour({.mode = row.mode});
    StartExchange command = Post(UrlOf(*endpoint), "k");
    command.first_byte_timeout = row.first_byte;
    command.total_timeout = row.total;
    harness.Start(std::move(command));
    const Failed failed = harness.Failure();
    CHECK(ToString(failed.stage) == ToString(row.stage));
    CHECK(failed.reason == row.reason);
  }
}

// Guards against "connecting" for requests that may have been written, and
// against other stages for requests that provably were not.
TEST_CASE("refused and unanswered connections fail while connecting") {
  std::uint16_t port = 0;
  const int fd = BindLoopback(port);
  const std::string url = "http://127.0.0.1:" + std::to_string(port) + "/";
  Harness harness;
  harness.Start(Post(url, "k"));  // Bound, but not listening.
  const Failed refused = harness.Failure();
  CHECK(ToString(refused.stage) == "connecting");
  CHECK(refused.reason == "refused");

  // A full accept queue drops further connection attempts.
  listen(fd, 0);
  const RawClient first(port);
  StartExchange command = Post(url, "k");
  command.connect_timeout = milliseconds(200);
  harness.Start(std::move(command));
  const Failed timed_out = harness.Failure();
  CHECK(ToString(timed_out.stage) == "connecting");
  CHECK(timed_out.reason == "connect_timeout");
  close(fd);
}

// Guards against a request that is carried out long after it was given up: the
// bytes that the endpoint had not received stayed in the send queue of the
// closed connection, until the endpoint read again.
TEST_CASE("a request that was given up is withdrawn from the connection") {
  std::uint16_t port = 0;
  const int listener = BindLoopback(port);
  const int receive_bytes = 1;  // The kernel's minimum, about 2 KB.
  setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
             sizeof receive_bytes);
  listen(listener, 1);
  Harness harness;
  StartExchange command =
      Post("http://127.0.0.1:" + std::to_string(port) + "/", "k");
  command.body = std::string(12'000, 'x');
  command.reuses_connections = true;
  command.total_timeout = milliseconds(300);
  harness.Start(std::move(command));
  CHECK(harness.Failure().reason == "total_timeout");
  const int connection = accept(listener, nullptr, nullptr);
  REQUIRE(connection >= 0);
  const timeval limit{.tv_sec = 5};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  std::size_t received = 0;
  std::array<char, 4096> chunk;
  ssize_t size = 0;
  while ((size = recv(connection, chunk.data(), chunk.size(), 0)) > 0) {
    received += static_cast<std::size_t>(size);
  }
  CHECK(received < 12'000);
  close(connection);
  close(listener);
}

// Guards P6: libcurl resends a request when a reused connection is dead. The
// idempotent part shows that the endpoint would have seen the second run.
TEST_CASE("a request that is not idempotent is never resent") {
  const bool reuses_connections = GENERATE(false, true);
  for (const bool idempotent : {false, true}) {
    CAPTURE(idempotent, reuses_connections);
    const auto endpoint = EndpointStandIn::Start({});
    Harness harness;
    StartExchange warm_up = Post(UrlOf(*endpoint), "warm-up");
    warm_up.idempotent = true;  // Leaves a connection open for reuse.
    harness.Start(warm_up);
    CHECK(harness.Success().status == 200);
    endpoint->SetBehaviour({.mode = Mode::kCloseAfterRead});
    StartExchange command = Post(UrlOf(*endpoint), "once");
    command.idempotent = idempotent;
    command.reuses_connections = reuses_connections;
    harness.Start(std::move(command));
    const Failed failed = harness.Failure();
    CHECK(failed.reason == "connection_broken");
    CHECK(failed.stage >= Stage::kSending);
    CHECK(endpoint->record().RunsOf("once") == (idempotent ? 2 : 1));
    if (!idempotent) {
      CHECK(endpoint->record().stats().connections_peak ==
            (reuses_connections ? 1 : 2));
    }
  }
}

// Guards against an endpoint's own errors being taken for transport failures.
TEST_CASE("complete answers of any status are completed") {
  const auto endpoint = EndpointStandIn::Start({});
  Harness harness;
  endpoint->SetBehaviour({.mode = Mode::kNotRun});
  harness.Start(Post(UrlOf(*endpoint), "a"));
  const Completed not_run = harness.Success();
  CHECK(not_run.status == 503);
  CHECK(FindHeader(not_run.headers, "hickoryusher-not-run") == "yes");
  CHECK(endpoint->record().RunsOf("a") == 0);
  endpoint->SetBehaviour({.mode = Mode::kFailFast});
  harness.Start(Post(UrlOf(*endpoint), "b"));
  CHECK(harness.Success().status == 500);
  CHECK(endpoint->record().RunsOf("b") == 1);
  CHECK(harness.first_bytes == 2);
}

// Guards against exchanges with no final event or with two.
TEST_CASE("cancelling and shutting down end each exchange once") {
  const auto endpoint = EndpointStandIn::Start({});
  endpoint->SetBehaviour({.mode = Mode::kHang});
  Harness harness;
  const auto id = harness.Start(Post(UrlOf(*endpoint), "a"));
  harness.Start(Post(UrlOf(*endpoint), "b"));
  REQUIRE(harness.upstream->TrySend(CancelExchange{id}));
  REQUIRE(harness.upstream->TrySend(CancelExchange{id}));
  const Failed cancelled = harness.Failure();
  CHECK(cancelled.id == id);
  CHECK(cancelled.reason == "cancelled");
  harness.upstream->Shutdown();
  const Failed stopped = harness.Failure();
  CHECK(stopped.reason == "shutting_down");
  CHECK_FALSE(harness.upstream->TrySend(CancelExchange{id}));
}

// Guards the endpoint's connection limit: without it, the two new connections
// would come on top of the two idle ones.
TEST_CASE("idle and active connections to a host stay within the limit") {
  const auto endpoint = EndpointStandIn::Start({});
  endpoint->SetBehaviour({.delay = milliseconds(50)});
  Harness harness;
  StartExchange command = Post(UrlOf(*endpoint), "k");
  command.max_connections_per_host = 2;
  command.idempotent = true;
  harness.Start(command);
  harness.Start(command);
  CHECK(harness.Success().status == 200);
  CHECK(harness.Success().status == 200);
  CHECK(endpoint->record().stats().connections == 2);

  endpoint->SetBehaviour({.mode = Mode::kHang});
  command.idempotent = false;
  harness.Start(command);
  harness.Start(command);
  const auto settled = [&] {
    const standin::EndpointStats stats = endpoint->record().stats();
    return stats.runs == 4 && stats.slots == 2 && stats.connections == 2;
  };
  // The endpoint sees the close of an idle connection a moment later.
  for (int i = 0; i < 2000 && !settled(); ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK(settled());

  harness.Start(command);
  const Failed failed = harness.Failure();
  CHECK(failed.reason == "connection_limit");
  CHECK(ToString(failed.stage) == "before_connection");
}

// Guards against header injection into the endpoint's request.
TEST_CASE("an invalid command is refused before the connection") {
  Harness harness;
  const StartExchange rows[] = {
      {.url = "file:///etc/passwd"},
      {.url = "http://127.0.0.1/a b"},
      {.url = "http://127.0.0.1/", .method = "GET / HTTP/1.1\r\nA: b"},
      {.url = "http://127.0.0.1/", .headers = {{"A", "b\r\nC: d"}}},
  };
  for (const StartExchange& row : rows) {
    harness.Start(row);
    const Failed failed = harness.Failure();
    CHECK(failed.reason == "invalid_request");
    CHECK(ToString(failed.stage) == "before_connection");
  }
}

// Guards against events lost or reordered while the consumer is slow.
TEST_CASE("a full event ring delays events and loses none") {
  const auto endpoint = EndpointStandIn::Start({.slots = 64});
  Harness harness(1);
  for (int i = 0; i < 8; ++i) {
    harness.Start(Post(UrlOf(*endpoint), "k" + std::to_string(i)));
  }
  for (int i = 0; i < 8; ++i) {
    CHECK(harness.Success().body == "diary");
  }
  CHECK(harness.first_bytes == 8);
}

// Guards against a thread that spins while it has nothing to do or waits for a
// slow endpoint. Processor time does not depend on the machine's load.
TEST_CASE("a waiting upstream uses almost no processor time") {
  const auto endpoint = EndpointStandIn::Start({});
  endpoint->SetBehaviour({.mode = Mode::kHang});
  Harness harness;
  harness.Start(Post(UrlOf(*endpoint), "k"));
  const auto used = [] {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000 +
           (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1000;
  };
  std::this_thread::sleep_for(milliseconds(100));
  const auto before = used();
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(used() - before < 100);
}

}  // namespace
}  // namespace hickoryusher::http
