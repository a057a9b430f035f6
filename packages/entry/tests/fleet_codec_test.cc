#include "fleet_codec_p.h"

#include <catch2/catch.hpp>
#include <string>

namespace hickoryusher::entry {
namespace {

using namespace std::chrono_literals;

config::ProcessSettings Settings() {
  config::ProcessSettings settings;
  settings.entry = "e0";
  settings.entries = {{.name = "e0", .failure_domain = "d0"}};
  settings.workers = {{.name = "w0", .rack = "r0", .failure_domain = "d0"}};
  return settings;
}

// Guards against fields that are lost between a term and the next.
TEST_CASE("a task row is read as it was written") {
  Fleet fleet(Settings());
  const placement::TaskRow row{.task = core::TaskId(9),
                               .attempt = 3,
                               .state = placement::TaskRow::State::kFailed,
                               .worker = core::WorkerId(0),
                               .checkpoint_attempt = 2,
                               .epoch = core::Epoch(5),
                               .claim = 8,
                               .version = 4};
  const auto read = DecodeTaskRow(EncodeTaskRow(row, fleet), fleet);
  REQUIRE(read.has_value());
  CHECK(read->task == row.task);
  CHECK(read->attempt == 3);
  CHECK(read->state == row.state);
  CHECK(read->worker == row.worker);
  CHECK(read->checkpoint_attempt == 2);
  CHECK(read->epoch == row.epoch);
  CHECK(read->claim == 8);
  CHECK(read->version == 4);
}

// Guards against a task that counts as free because its worker is not listed.
TEST_CASE("a task keeps a worker that the settings do not list") {
  Fleet fleet(Settings());
  const auto read = DecodeTaskRow(
      R"({"task":1,"attempt":1,"state":"claimed","worker":"old","epoch":1})",
      fleet);
  REQUIRE(read.has_value());
  CHECK(read->worker.valid());
  CHECK(fleet.Find(read->worker) == nullptr);
}

// Guards against a slice that counts as free because its owner is not listed.
TEST_CASE("an owner that the settings do not list is an owner") {
  const config::ProcessSettings settings = Settings();
  const Directory directory(settings);
  const auto unlisted =
      DecodeSliceRow(R"({"owner":"old","incarnation":1,"epoch":2})", directory);
  REQUIRE(unlisted.has_value());
  CHECK(unlisted->owner.valid());
  CHECK(unlisted->owner != directory.own_entry());
  const auto released =
      DecodeSliceRow(R"({"owner":null,"epoch":2})", directory);
  REQUIRE(released.has_value());
  CHECK_FALSE(released->owner.valid());
}

// Guards against text from outside that throws or is half read.
TEST_CASE("malformed rows and replies give nothing") {
  Fleet fleet(Settings());
  const config::ProcessSettings settings = Settings();
  const Directory directory(settings);
  const std::string texts[] = {
      "",
      "null",
      "7",
      "[",
      "[]",
      std::string(3000, '{'),
      R"({"epoch":"x","state":"claimed","task":-1})",
      R"({"epoch":{},"tasks":[{"phase":"sleeping"}]})"};
  for (const std::string& text : texts) {
    INFO(text.substr(0, 60));
    CHECK_FALSE(DecodeTaskRow(text, fleet).has_value());
    CHECK_FALSE(DecodeSliceRow(text, directory).has_value());
    CHECK_FALSE(DecodeExchange(text).has_value());
    CHECK_FALSE(DecodeEpoch(text).valid());
  }
}

// Guards against an order that reaches a worker without its attempt or echo.
TEST_CASE("an exchange carries the lease and every order") {
  const placement::TaskAddress address{core::WorkerId(0), core::TaskId(6), 2};
  const WorkerOrder orders[] = {
      StartOrder{.start = {.worker = core::WorkerId(0),
                           .task = core::TaskId(5),
                           .attempt = 1,
                           .size = {.cpu_millis = 10}},
                 .run_ms = 77},
      placement::StopTask{address}, placement::CheckpointTask{address},
      placement::AckEnded{address},
      placement::ThrottleWorker{.worker = core::WorkerId(0), .level = 3}};
  const std::string text = EncodeExchange({.worker = core::WorkerId(0),
                                           .epoch = core::Epoch(4),
                                           .echo = core::TimePoint(1ns)},
                                          orders);
  for (const std::string_view part :
       {R"("epoch":4)", R"("echo_ns":1)", R"("type":"start")", R"("run_ms":77)",
        R"("type":"stop")", R"("type":"checkpoint")", R"("type":"ack")",
        R"("level":3)", R"("attempt":2,"task":6)"}) {
    INFO(part << " in " << text);
    CHECK(text.find(part) != std::string::npos);
  }
}

}  // namespace
}  // namespace hickoryusher::entry
