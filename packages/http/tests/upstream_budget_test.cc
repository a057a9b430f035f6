#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http/upstream.h"
#include "runtime/ring.h"
#include "socket_fakes.h"
#include "standin/endpoint_standin.h"

namespace hickoryusher::http {
namespace {

using standin::EndpointStandIn;
using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 50'000;

/// An upstream whose consumer can stop taking events.
class Consumer {
 public:
  explicit Consumer(std::size_t budget) {
    UpstreamOptions options;
    options.response_budget_bytes = budget;
    upstream = Upstream::Builder()
                   .options(options)
                   .on_event([this](UpstreamEvent& event) {
                     if (std::holds_alternative<FirstByte>(event)) {
                       return true;
                     }
                     ++offered;
                     return !blocked && ring_.TryPush(std::move(event));
                   })
                   .Start();
  }

  void Start(std::uint64_t id, std::string url, std::size_t body_bytes) {
    StartExchange command{
        .id = core::AttemptId(id),
        .url = std::move(url),
        .method = "POST",
        .headers = {{"Hickoryusher-Request-Key", std::to_string(id)}},
        .body = std::string(body_bytes, 'x'),
        .total_timeout = milliseconds(20'000)};
    const bool taken = upstream->TrySend(std::move(command));
    REQUIRE(taken);
  }

  UpstreamEvent Next() {
    while (waiting_.empty()) {
      REQUIRE(ring_.WaitDrain(waiting_, std::chrono::steady_clock::now() +
                                            milliseconds(20'000)) > 0);
    }
    UpstreamEvent event = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    return event;
  }

  /// Waits until the budget holds @p bytes, and fails after 20 s.
  void WaitUsed(std::size_t bytes) {
    for (int i = 0; i < 4000 && upstream->response_budget().used() != bytes;
         ++i) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    REQUIRE(upstream->response_budget().used() == bytes);
  }

  std::atomic<bool> blocked = false;
  std::atomic<int> offered = 0;

 private:
  runtime::Ring<UpstreamEvent> ring_{16};
  std::vector<UpstreamEvent> waiting_;

 public:
  std::unique_ptr<Upstream> upstream;
};

std::string UrlOf(const EndpointStandIn& endpoint) {
  return "http://127.0.0.1:" + std::to_string(endpoint.port()) + "/";
}

// Guards against memory that grows with what endpoints send, and against a
// failure that counts as one before the request was sent.
TEST_CASE("a response that does not fit the budget fails after sending") {
  const auto endpoint = EndpointStandIn::Start({});
  Consumer consumer(kBodyBytes / 2);
  consumer.Start(1, UrlOf(*endpoint), kBodyBytes);
  const UpstreamEvent event = consumer.Next();
  REQUIRE(std::holds_alternative<Failed>(event));
  CHECK(std::get<Failed>(event).reason == "memory_limit");
  CHECK(ToString(std::get<Failed>(event).stage) == "receiving");
  CHECK(endpoint->record().RunsOf("1") == 1);
  consumer.WaitUsed(0);
  CHECK(consumer.upstream->response_budget().peak() <= kBodyBytes / 2);

  // What was refused leaves room for others.
  consumer.Start(2, UrlOf(*endpoint), 1000);
  CHECK(std::holds_alternative<Completed>(consumer.Next()));
}

// Guards against heads that the budget does not count.
TEST_CASE("the head of a response is charged") {
  const ScriptedServer server(
      "HTTP/1.1 200 OK\r\nA: " + std::string(9000, 'a') +
      "\r\nContent-Length: 2\r\n\r\nok");
  Consumer consumer(8000);
  consumer.Start(1, server.url(), 1);
  const UpstreamEvent event = consumer.Next();
  REQUIRE(std::holds_alternative<Failed>(event));
  CHECK(std::get<Failed>(event).reason == "memory_limit");
}

// Guards against memory that grows while the consumer does not take events,
// and against bytes that stay charged after an event was taken.
TEST_CASE("responses are charged until they are handed over") {
  const auto endpoint = EndpointStandIn::Start({});
  Consumer consumer(2 * kBodyBytes);
  consumer.blocked = true;
  consumer.Start(1, UrlOf(*endpoint), kBodyBytes);
  for (int i = 0; i < 4000 && consumer.offered < 2; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  REQUIRE(consumer.offered >= 2);
  CHECK(consumer.upstream->response_budget().used() >= kBodyBytes);
  consumer.blocked = false;
  const UpstreamEvent event = consumer.Next();
  REQUIRE(std::holds_alternative<Completed>(event));
  CHECK(std::get<Completed>(event).body.size() == kBodyBytes);
  consumer.WaitUsed(0);
}

// Guards against a response that is given up without its bytes being released.
TEST_CASE("a cancelled or failed exchange holds no bytes") {
  const ScriptedServer server(
      "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" +
      std::string(4000, 'a'));
  Consumer consumer(kBodyBytes);
  consumer.Start(1, server.url(), 1);
  const UpstreamEvent event = consumer.Next();
  REQUIRE(std::holds_alternative<Failed>(event));
  CHECK(std::get<Failed>(event).reason == "truncated");
  consumer.WaitUsed(0);
  CHECK(consumer.upstream->response_budget().peak() >= 4000);
}

// Guards against bytes that are released twice or never when their owner moves.
TEST_CASE("a charge releases its bytes once") {
  ByteBudget budget(100);
  {
    ByteCharge first(budget);
    CHECK(first.TryAdd(60));
    CHECK_FALSE(first.TryAdd(50));
    ByteCharge second(std::move(first));
    CHECK(second.bytes() == 60);
    ByteCharge third;
    CHECK_FALSE(third.TryAdd(1));
    third = std::move(second);
    CHECK(budget.used() == 60);
    third = ByteCharge();
    CHECK(budget.used() == 0);
  }
  CHECK(budget.used() == 0);
}

}  // namespace
}  // namespace hickoryusher::http
