#include "front_report_p.h"

#include <catch2/catch.hpp>
#include <string>

namespace hickoryusher::http {
namespace {

using std::chrono::seconds;

core::TimePoint At(int second) {
  return core::TimePoint{} + std::chrono::hours(1) + seconds(second);
}

// Guards against a flood that fills the log, or that hides the only line of
// another reason.
TEST_CASE("refusals are logged at a limited rate, the first of each always") {
  FrontReport report(seconds(10));
  int lines = 0;
  for (int i = 0; i < 100; ++i) {
    lines += report.Refused(core::LogLine("refused"), "flood", At(0)) ? 1 : 0;
  }
  CHECK(lines == 21);
  CHECK(report.Refused(core::LogLine("refused"), "other", At(0)));
  CHECK_FALSE(report.Refused(core::LogLine("refused"), "other", At(0)));
  // Closed connections have a limit of their own.
  CHECK(report.Closed(core::LogLine("closed"), "flood", At(0)));
  CHECK(report.Closed(core::LogLine("closed"), "flood", At(0)));
  const auto next = report.Refused(core::LogLine("refused"), "flood", At(1));
  REQUIRE(next);
  CHECK(next->text() == "event=refused suppressed=80");
  FrontCounters counters;
  report.AddTotals(counters);
  CHECK(counters.refused["flood"] == 101);
  CHECK(counters.refused["other"] == 2);
  CHECK(counters.closed["flood"] == 2);
}

// Guards against a line for each change, and against a last change that is
// never logged.
TEST_CASE("limits are logged when they changed, after an interval") {
  FrontReport report(seconds(10));
  FrontCounters counters;
  CHECK_FALSE(report.DueLine(80, counters, At(0)));
  CHECK_FALSE(report.IsBehind(counters));
  counters = {.connections = 2,
              .bytes = 5,
              .bytes_peak = 7,
              .refused = {{"memory_limit", 3}},
              .closed = {{"connection_limit", 4}}};
  const auto line = report.DueLine(80, counters, At(1));
  REQUIRE(line);
  CHECK(line->text() ==
        "event=front_limits port=80 connections=2 bytes=5 bytes_peak=7 "
        "refused_memory_limit=3 closed_connection_limit=4");
  CHECK_FALSE(report.DueLine(80, counters, At(20)));
  counters.bytes = 6;
  CHECK(report.DueLine(80, counters, At(20)));
  counters.connections = 0;
  CHECK_FALSE(report.DueLine(80, counters, At(29)));
  CHECK(report.IsBehind(counters));
  CHECK(report.DueLine(80, counters, At(30)));
  CHECK_FALSE(report.IsBehind(counters));
}

}  // namespace
}  // namespace hickoryusher::http
