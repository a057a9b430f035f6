#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/front.h"
#include "socket_fakes.h"

namespace hickoryusher::http {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKilobyte = 1024;

std::string Get(std::string_view path) {
  return "GET " + std::string(path) + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string PostHead(std::size_t length) {
  return "POST /body HTTP/1.1\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

core::TimePoint Soon() {
  return std::chrono::steady_clock::now() + milliseconds(20'000);
}

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != text.npos;
}

/// Waits until @p reached returns true. Only a fault reaches the time limit.
template <typename Reached>
void Await(Reached reached) {
  const core::TimePoint until = Soon();
  while (!reached()) {
    REQUIRE(std::chrono::steady_clock::now() < until);
    std::this_thread::sleep_for(milliseconds(1));
  }
}

/// A front with one thread whose requests are answered by the test.
class Harness {
 public:
  explicit Harness(FrontOptions options) : ring_(1024) {
    options.threads = 1;
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

  IncomingRequest Take() {
    if (taken_.empty()) {
      REQUIRE(ring_.WaitDrain(taken_, Soon()) > 0);
    }
    IncomingRequest request = std::move(taken_.front());
    taken_.erase(taken_.begin());
    return request;
  }

  void Answer(const IncomingRequest& request, std::string body = "done") {
    const bool taken = front->Respond(
        {.id = request.id, .status = 200, .body = std::move(body)});
    CHECK(taken);
  }

  /// Shows that an ordinary caller is served now.
  void CheckServes() {
    RawClient client(front->port());
    REQUIRE(client.Send(Get("/ordinary")));
    const IncomingRequest request = Take();
    CHECK(request.path == "/ordinary");
    Answer(request);
    CHECK(client.ReadResponse().ends_with("\r\n\r\ndone"));
  }

  std::uint64_t refused(const std::string& reason) const {
    const FrontCounters counters = front->counters();
    const auto found = counters.refused.find(reason);
    return found == counters.refused.end() ? 0 : found->second;
  }

  std::uint64_t closed(const std::string& reason) const {
    const FrontCounters counters = front->counters();
    const auto found = counters.closed.find(reason);
    return found == counters.closed.end() ? 0 : found->second;
  }

  std::string log() {
    const std::lock_guard lock(mutex_);
    return log_;
  }

 private:
  runtime::Ring<IncomingRequest> ring_;
  std::vector<IncomingRequest> taken_;
  std::mutex mutex_;
  std::string log_;

 public:
  std::unique_ptr<Front> front;
};

// Guards against memory that grows with connections x body limit: bodies that
// stop short of their end stay open.
TEST_CASE("incomplete bodies stay within the budget") {
  constexpr std::size_t kBody = 64 * kKilobyte;
  constexpr std::size_t kBudget = 512 * kKilobyte;
  constexpr std::size_t kClients = 40;
  Harness harness({.max_bytes = kBudget});
  std::vector<std::unique_ptr<RawClient>> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<RawClient>(harness.front->port()));
    clients.back()->Send(PostHead(kBody) + std::string(kBody - 50, 'x'));
  }
  // Each fits alone, and at most seven fit together.
  Await([&] { return harness.refused("memory_limit") >= kClients - 7; });
  // One connection's buffer is charged before room is made for it.
  CHECK(harness.front->counters().bytes_peak < kBudget + kBody + 8192);
  Await([&] { return harness.front->counters().bytes <= kBudget; });
  harness.CheckServes();
  const std::string refusal = clients.front()->ReadResponse();
  CHECK(refusal.starts_with("HTTP/1.1 503 "));
  CHECK(Contains(refusal, "Hickoryusher-Outcome: not_run\r\n"));
  CHECK(Contains(refusal, "Hickoryusher-Reason: memory_limit\r\n"));
  CHECK(Contains(refusal, "Retry-After: 1\r\n"));
  CHECK(Contains(refusal, "Connection: close\r\n"));
  CHECK(clients.front()->ReadEnd());
  // The last one began last, and completes.
  REQUIRE(clients.back()->Send(std::string(50, 'x')));
  const IncomingRequest request = harness.Take();
  CHECK(request.body == std::string(kBody, 'x'));
  harness.Answer(request);
  CHECK(clients.back()->ReadResponse().ends_with("\r\n\r\ndone"));
  clients.clear();
  Await([&] { return harness.front->counters().bytes == 0; });
}

// Guards against small callers that fail because of a large one.
TEST_CASE("one large body gives way to many small ones") {
  constexpr std::size_t kLarge = 200 * kKilobyte;
  constexpr std::size_t kSmall = 10 * kKilobyte;
  constexpr std::size_t kClients = 10;
  Harness harness({.max_bytes = 256 * kKilobyte});
  RawClient large(harness.front->port());
  REQUIRE(large.Send(PostHead(kLarge) + std::string(kLarge - 1, 'x')));
  Await([&] { return harness.front->counters().bytes > kLarge; });
  std::vector<std::unique_ptr<RawClient>> small;
  for (std::size_t i = 0; i < kClients; ++i) {
    small.push_back(std::make_unique<RawClient>(harness.front->port()));
    REQUIRE(
        small.back()->Send(PostHead(kSmall) + std::string(kSmall - 1, 'x')));
  }
  CHECK(Contains(large.ReadResponse(), "memory_limit"));
  for (const auto& client : small) {
    REQUIRE(client->Send("x"));
    harness.Answer(harness.Take());
    CHECK(client->ReadResponse().ends_with("\r\n\r\ndone"));
  }
  CHECK(harness.refused("memory_limit") == 1);
  CHECK(harness.closed("memory_limit") == 1);
}

// Guards against heads that hold memory without a body.
TEST_CASE("incomplete heads stay within the budget") {
  constexpr std::size_t kHead = 12'000;
  constexpr std::size_t kBudget = 128 * kKilobyte;
  Harness harness({.max_bytes = kBudget});
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(std::make_unique<RawClient>(harness.front->port()));
    clients.back()->Send("GET / HTTP/1.1\r\nA: " + std::string(kHead, 'a'));
  }
  Await([&] { return harness.refused("memory_limit") >= 20; });
  // A buffer that grows is charged before room is made for it.
  CHECK(harness.front->counters().bytes_peak < kBudget + 2 * kHead);
  Await([&] { return harness.front->counters().bytes <= kBudget; });
  harness.CheckServes();
}

// Guards against memory held by callers that do not read, and against a
// refusal or further response that is written into the middle of another.
TEST_CASE("unread responses stay within the budget") {
  constexpr std::size_t kBudget = 24UL * 1024 * kKilobyte;
  constexpr std::size_t kResponse = 8UL * 1024 * kKilobyte;
  Harness harness({.max_bytes = kBudget, .send_timeout = milliseconds(60'000)});
  std::vector<std::unique_ptr<RawClient>> clients;
  constexpr std::size_t kClients = 8;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<RawClient>(harness.front->port()));
    REQUIRE(clients.back()->Send(Get("/large")));
    harness.Answer(harness.Take(), std::string(kResponse, 'y'));
  }
  Await([&] { return harness.closed("memory_limit") >= kClients - 3; });
  Await([&] { return harness.front->counters().bytes <= kBudget; });
  CHECK(harness.front->connections() <= kClients);
  // Cut off within the response, without a further one behind it.
  CHECK(clients.front()->ReadResponse().empty());
  harness.CheckServes();
  CHECK(clients.back()->ReadResponse().ends_with("yyyy"));
}

// Guards against requests behind the front that nothing limits: their callers
// disconnect, and the copies stay until each has its response.
TEST_CASE("requests in progress stay charged when their callers leave") {
  constexpr std::size_t kCost = 16 * kKilobyte;
  Harness harness(
      {.max_bytes = 256 * kKilobyte, .request_cost = {.bytes = kCost}});
  std::vector<IncomingRequest> requests;
  bool refused = false;
  while (!refused) {
    REQUIRE(harness.front->in_flight() == 0);
    RawClient client(harness.front->port());
    REQUIRE(client.Send(Get("/gone")));
    Await([&] {
      refused = harness.refused("memory_limit") > 0;
      return refused || harness.front->in_flight() > 0;
    });
    if (refused) {
      CHECK(Contains(client.ReadResponse(), "memory_limit"));
      CHECK(client.ReadEnd());
    } else {
      requests.push_back(harness.Take());
      client.Close();
      Await([&] { return harness.front->connections() == 0; });
    }
  }
  // Half of the budget.
  CHECK(requests.size() == 7);
  CHECK(harness.front->in_flight() == 0);
  CHECK(harness.front->counters().bytes >= 7 * kCost);
  for (const IncomingRequest& request : requests) {
    harness.Answer(request);
  }
  Await([&] { return harness.front->dropped_responses() == 7; });
  harness.CheckServes();
  Await([&] { return harness.front->counters().bytes == 0; });
}

// Guards against copies of a body that are not counted.
TEST_CASE("a request in progress is charged for the copies of its body") {
  constexpr std::size_t kBody = 10 * kKilobyte;
  Harness harness({.max_bytes = 1024 * kKilobyte,
                   .request_cost = {.bytes = 1000,
                                    .body_copies = 5,
                                    .copied_body_bytes = 8 * kKilobyte}});
  RawClient client(harness.front->port());
  REQUIRE(client.Send(PostHead(kBody) + std::string(kBody, 'x')));
  const IncomingRequest request = harness.Take();
  const std::size_t bytes = harness.front->counters().bytes;
  constexpr std::size_t kCopies = 40 * kKilobyte;
  CHECK(bytes >= 1000 + kBody + kCopies);
  CHECK(bytes < 8 * kKilobyte + kBody + kCopies);
  harness.Answer(request);
  CHECK(client.ReadResponse().ends_with("\r\n\r\ndone"));
}

// Guards against memory that grows behind requests in progress, which are not
// closed: the next, incomplete request is refused, the first one is answered.
TEST_CASE("a body behind a request in progress is refused for memory") {
  constexpr std::size_t kBody = 100 * kKilobyte;
  Harness harness({.max_bytes = 256 * kKilobyte});
  std::vector<std::unique_ptr<RawClient>> clients;
  std::vector<IncomingRequest> requests;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(std::make_unique<RawClient>(harness.front->port()));
    REQUIRE(clients.back()->Send(Get("/first")));
    requests.push_back(harness.Take());
    REQUIRE(
        clients.back()->Send(PostHead(kBody) + std::string(kBody - 1, 'x')));
  }
  Await([&] { return harness.refused("memory_limit") >= 2; });
  for (const IncomingRequest& request : requests) {
    harness.Answer(request);
  }
  for (const auto& client : clients) {
    CHECK(client->ReadResponse().ends_with("\r\n\r\ndone"));
  }
  CHECK(Contains(clients.front()->ReadResponse(), "memory_limit"));
}

// Guards against callers that are kept out by connections that do nothing.
TEST_CASE("a new connection takes the place of an idle one") {
  Harness harness({.max_connections = 3, .makes_room = true});
  RawClient busy(harness.front->port());
  REQUIRE(busy.Send(Get("/busy")));
  const IncomingRequest request = harness.Take();
  RawClient stopped(harness.front->port());
  constexpr std::size_t kPart = 10'000;
  REQUIRE(stopped.Send("GET / HTTP/1.1\r\nA: " + std::string(kPart, 'b')));
  Await([&] { return harness.front->counters().bytes > kPart; });
  RawClient idle(harness.front->port());
  Await([&] { return harness.front->connections() == 3; });
  harness.CheckServes();  // Closes `stopped`, which began first.
  CHECK(Contains(stopped.ReadResponse(), "connection_limit"));
  Await([&] { return harness.front->connections() <= 2; });
  constexpr std::size_t kCrowd = 20;
  std::vector<std::unique_ptr<RawClient>> crowd;
  crowd.reserve(kCrowd);
  for (std::size_t i = 0; i < kCrowd; ++i) {
    crowd.push_back(std::make_unique<RawClient>(harness.front->port()));
  }
  harness.CheckServes();
  CHECK(idle.ReadEnd());
  Await([&] { return harness.front->connections() <= 3; });
  harness.Answer(request);
  CHECK(busy.ReadResponse().ends_with("\r\n\r\ndone"));
  CHECK(harness.closed("connection_limit") >= 20);
}

// Guards against callers whose requests are cut off for others.
TEST_CASE("a new connection is refused if all have requests in progress") {
  Harness harness({.max_connections = 2, .makes_room = true});
  RawClient first(harness.front->port());
  REQUIRE(first.Send(Get("/first")));
  RawClient second(harness.front->port());
  REQUIRE(second.Send(Get("/second")));
  const std::vector<IncomingRequest> requests = {harness.Take(),
                                                 harness.Take()};
  const RawClient third(harness.front->port());
  Await([&] { return harness.refused("connection_limit") == 1; });
  for (const IncomingRequest& request : requests) {
    harness.Answer(request);
  }
  CHECK(first.ReadResponse().ends_with("\r\n\r\ndone"));
  CHECK(second.ReadResponse().ends_with("\r\n\r\ndone"));
}

// Guards against a readiness port that a crowd closes for the load balancer.
TEST_CASE("a front with small limits serves within a crowd") {
  Harness harness({.max_header_bytes = 4 * kKilobyte,
                   .max_body_bytes = 4 * kKilobyte,
                   .max_connections = 8,
                   .makes_room = true,
                   .max_bytes = 64 * kKilobyte,
                   .request_cost = {.bytes = 2 * kKilobyte}});
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(std::make_unique<RawClient>(harness.front->port()));
    crowd.back()->Send(i % 3 == 0
                           ? "GET / HTTP/1.1\r\nA: " + std::string(3900, 'a')
                       : i % 3 == 1 ? PostHead(4096) + std::string(4000, 'x')
                                    : PostHead(1 << 20));
    if (i % 10 == 9) {
      harness.CheckServes();
    }
  }
  CHECK(harness.front->counters().bytes_peak < 80 * kKilobyte);
  CHECK(harness.refused("body_too_large") > 0);
}

// Guards against a log that a crowd fills, and against refusals that show in
// no counter.
TEST_CASE("log lines of refusals are limited and counted") {
  constexpr std::uint64_t kRefusals = 300;
  const auto start = std::chrono::steady_clock::now();
  Harness harness({.limits_log_interval = milliseconds(1)});
  for (std::uint64_t i = 0; i < kRefusals; ++i) {
    RawClient client(harness.front->port());
    REQUIRE(client.Send("BREW / HTTP/1.1\r\n\r\n"));
    CHECK(client.ReadResponse().starts_with("HTTP/1.1 501 "));
  }
  CHECK(harness.refused("unknown_method") == kRefusals);
  Await([&] {
    return Contains(harness.log(), " refused_unknown_method=" +
                                       std::to_string(kRefusals) + "\n") &&
           Contains(harness.log(), " connections=0 bytes=0 ");
  });
  const std::string log = harness.log();
  CHECK(Contains(log, "event=front_limits port=" +
                          std::to_string(harness.front->port()) + " "));
  std::uint64_t lines = 0;
  for (std::size_t at = log.find("event=request_refused");
       at != std::string::npos;
       at = log.find("event=request_refused", at + 1)) {
    ++lines;
  }
  // The first of the reason, and 20 for each second that was touched.
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(
      std::chrono::steady_clock::now() - start);
  CHECK(lines <= 1 + 20 * static_cast<std::uint64_t>(seconds.count() + 1));
  std::uint64_t suppressed = 0;
  for (std::size_t at = log.find(" suppressed="); at != std::string::npos;
       at = log.find(" suppressed=", at + 1)) {
    suppressed += std::stoul(log.substr(at + 12));
  }
  CHECK(lines + suppressed <= kRefusals);
}

}  // namespace
}  // namespace hickoryusher::http
