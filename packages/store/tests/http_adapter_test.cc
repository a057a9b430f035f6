#include "store/http_adapter.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <ctime>
#include <set>
#include <thread>

#include "platform/table_server.h"
#include "runtime/ring.h"

namespace hickoryusher::store {
namespace {

using std::chrono::milliseconds;

// Guards against commands that are forgotten when many wait for few transfers
// and the receiver is full most of the time.
TEST_CASE("every command gets one event when all rings are full") {
  constexpr std::uint64_t kCommands = 200;
  standins::TableServer table({.reads_per_second = 100'000});
  runtime::Ring<Event> events(2);
  HttpAdapter adapter(
      {.table_url = table.server().url(),
       .ring_capacity = 8,
       .max_in_flight = 3,
       .timeout = std::chrono::seconds(20)},
      [&events](Event&& event) { return events.TryPush(std::move(event)); });
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;
  std::set<std::uint64_t> answered;
  std::vector<Event> out;
  while (answered.size() < kCommands) {
    while (sent < kCommands &&
           adapter.Send(ReadRow{.id = CommandId(sent), .key = "k"})) {
      ++sent;
    }
    refused += sent < kCommands ? 1 : 0;
    out.clear();
    events.WaitDrain(out);
    for (const Event& event : out) {
      CHECK(std::holds_alternative<RowRead>(event));
      CHECK(answered.insert(IdOf(event).value()).second);
    }
  }
  CHECK(refused > 0);
}

// Guards against a service that cannot be reached being reported as a write
// with an unknown effect.
TEST_CASE("a refused connection is reported as not run") {
  std::string url;
  {
    standins::TableServer table({});
    url = table.server().url();
  }
  runtime::Ring<Event> events(2);
  HttpAdapter adapter({.table_url = url}, [&events](Event&& event) {
    return events.TryPush(std::move(event));
  });
  REQUIRE(adapter.Send(Transact{.id = CommandId(1)}));
  std::vector<Event> out;
  events.WaitDrain(out);
  CHECK(std::holds_alternative<Unavailable>(out.at(0)));
}

// Guards against an adapter thread that spins while it has nothing to do.
TEST_CASE("an idle adapter uses no processor time") {
  HttpAdapter adapter({.table_url = "http://127.0.0.1:1"},
                      [](Event&&) { return true; });
  std::this_thread::sleep_for(milliseconds(50));
  const std::clock_t before = std::clock();
  std::this_thread::sleep_for(milliseconds(400));
  const double used = double(std::clock() - before) / CLOCKS_PER_SEC;
  CHECK(used < 0.05);
}

}  // namespace
}  // namespace hickoryusher::store
