#include "core/log_limiter.h"

#include <catch2/catch.hpp>
#include <string>

namespace hickoryusher::core {
namespace {

using std::chrono::milliseconds;

// Guards against a client that fills the log, and against omitted lines that
// are not counted or counted twice.
TEST_CASE("a log limiter omits lines beyond its rate and counts them") {
  LogLimiter limiter(2);
  const TimePoint start = TimePoint{} + std::chrono::hours(1);
  CHECK(limiter.Admit(start) == 0U);
  CHECK(limiter.Admit(start) == 0U);
  CHECK_FALSE(limiter.Admit(start + milliseconds(1)));
  CHECK_FALSE(limiter.Admit(start + milliseconds(999)));
  CHECK(limiter.Admit(start + milliseconds(1000)) == 2U);
  CHECK(limiter.Admit(start + milliseconds(1500)) == 0U);
  CHECK_FALSE(limiter.Admit(start + milliseconds(1999)));
  CHECK(limiter.Admit(start + milliseconds(2000)) == 1U);
}

// Guards against a summary that is written for each line, and against lines
// that are not counted or counted twice.
TEST_CASE("a log summary counts the lines of a second") {
  LogSummary summary;
  const TimePoint start = TimePoint{} + std::chrono::hours(1);
  CHECK(summary.due() == TimePoint::max());
  CHECK(summary.Take(start) == 0);
  summary.Count(start);
  summary.Count(start + milliseconds(900));
  CHECK(summary.due() == start + milliseconds(1000));
  CHECK(summary.Take(start + milliseconds(999)) == 0);
  CHECK(summary.Take(start + milliseconds(1000)) == 2);
  CHECK(summary.Take(start + milliseconds(1000)) == 0);
  summary.Count(start + milliseconds(5000));
  CHECK(summary.due() == start + milliseconds(6000));
  CHECK(summary.Take(start + milliseconds(6000)) == 1);
}

// Guards against log lines as long as a request head.
TEST_CASE("text of a caller is truncated for the log") {
  CHECK(TruncateForLog("/short") == "/short");
  CHECK(TruncateForLog(std::string(16'000, 'a')) ==
        std::string(kMaxLoggedText, 'a'));
}

}  // namespace
}  // namespace hickoryusher::core
