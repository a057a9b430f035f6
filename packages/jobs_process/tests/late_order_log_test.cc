#include "late_order_log_p.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace hickoryusher::jobs_process {
namespace {

using namespace std::chrono_literals;

struct Log {
  std::vector<std::string> lines;
  LateOrderLog late{[this](const core::LogLine& line) {
    lines.push_back(line.TextWithLevel());
  }};
  core::TimePoint now{1h};
};

// Guards against a start that leaves a suspended process seconds after it was
// decided on, and of which no line tells.
TEST_CASE("an order that was sent late is logged with its age") {
  Log log;
  log.late.Handle(
      http::Completed{
          .id = core::AttemptId(7), .at = log.now - 20ms, .write_delay = 300ms},
      log.now);
  log.late.Handle(http::Failed{.id = core::AttemptId(8),
                               .reason = "total_timeout",
                               .at = log.now,
                               .write_delay = 2s},
                  log.now);
  log.late.Handle(
      http::Completed{
          .id = core::AttemptId(9), .at = log.now, .write_delay = 299ms},
      log.now);
  log.late.Handle(http::FirstByte{.id = core::AttemptId(9), .at = log.now},
                  log.now);
  CHECK(log.lines ==
        std::vector<std::string>{
            "event=order_sent_late level=warning call=7 age_ms=300 "
            "result=answered ended_ms_ago=20 suppressed=0",
            "event=order_sent_late level=warning call=8 age_ms=2000 "
            "result=total_timeout ended_ms_ago=0 suppressed=0"});
}

// Guards against hundreds of lines at once after a process was suspended.
TEST_CASE("lines about late orders are limited and counted") {
  Log log;
  const auto end = [&] {
    log.late.Handle(
        http::Completed{
            .id = core::AttemptId(1), .at = log.now, .write_delay = 5s},
        log.now);
  };
  for (int i = 0; i < 100; ++i) {
    end();
  }
  CHECK(log.lines.size() == 20);
  log.now += 1s;
  end();
  REQUIRE(log.lines.size() == 21);
  CHECK(log.lines.back().ends_with("suppressed=80"));
}

}  // namespace
}  // namespace hickoryusher::jobs_process
