#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "socket_fakes.h"
#include "standin/endpoint_standin.h"

namespace hickoryusher::standin {
namespace {

using http::RawClient;

std::string Ask(std::uint16_t port, const std::string& request) {
  RawClient client(port);
  REQUIRE(client.Send(request + " HTTP/1.1\r\n\r\n"));
  return client.ReadResponse();
}

std::string RunRequest(const std::string& key) {
  return "GET /run HTTP/1.1\r\nHickoryusher-Request-Key: " + key + "\r\n\r\n";
}

// Guards the counts that other tests rely on for double runs and limits.
TEST_CASE("the stand-in counts runs and enforces its limits") {
  const auto endpoint = EndpointStandIn::Start({.slots = 1, .connections = 2});
  REQUIRE(endpoint != nullptr);
  const std::uint16_t control = endpoint->control_port();
  CHECK(Ask(control, "PUT /behaviour?mode=hang").starts_with("HTTP/1.1 200"));
  RawClient hanging(endpoint->port());
  REQUIRE(hanging.Send(RunRequest("a")));
  while (endpoint->record().stats().slots < 1) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  RawClient second(endpoint->port());
  REQUIRE(second.Send(RunRequest("b")));
  const std::string refused = second.ReadResponse();
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Hickoryusher-Not-Run: yes") != refused.npos);
  RawClient third(endpoint->port());
  CHECK(third.ReadEnd());

  const std::string runs = Ask(control, "GET /runs");
  CHECK(runs.ends_with("\r\n\r\nevent=run key=a runs=1\n"));
  const std::string stats = Ask(control, "GET /stats");
  CHECK(stats.ends_with(
      "event=stats runs=1 slots=1 slots_peak=1 slot_refusals=1 connections=2 "
      "connections_peak=2 connection_refusals=1\n"));
  CHECK(Ask(control, "DELETE /runs").starts_with("HTTP/1.1 200"));
  CHECK(Ask(control, "GET /runs").ends_with("\r\n\r\n"));
}

// Guards against a mistyped behaviour that silently tests nothing.
TEST_CASE("the stand-in rejects unknown behaviour") {
  const auto endpoint = EndpointStandIn::Start({});
  const std::uint16_t control = endpoint->control_port();
  for (const std::string query :
       {"mode=odd", "delay_ms=5", "mode=normal&delay_ms=x",
        "mode=normal&delay_ms=-5"}) {
    CAPTURE(query);
    CHECK(Ask(control, "PUT /behaviour?" + query).starts_with("HTTP/1.1 400"));
  }
  CHECK(Ask(control, "PUT /behaviour?mode=fail_fast&delay_ms=1")
            .starts_with("HTTP/1.1 200"));
  CHECK(Ask(endpoint->port(), "GET /x").starts_with("HTTP/1.1 500"));
}

}  // namespace
}  // namespace hickoryusher::standin
