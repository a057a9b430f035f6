#include "jobs/tail_estimate.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

constexpr core::TimePoint kStart{std::chrono::hours(1)};

/// @returns the smoothed report @p age after one of @p before_ms, if the tail
/// has been @p tail_ms since.
double ReportAfter(double before_ms, double tail_ms, core::Duration age) {
  const double kept = SmoothingWeight(age);
  return kept * before_ms + (1 - kept) * tail_ms;
}

// Guards against best-effort work that is paused for a second after a peak: the
// reports stay over the target while the smoothing forgets the peak.
TEST_CASE("a peak that has ended does not show in the recent tail", "[tail]") {
  TailEstimate tail;
  tail.Update(218, kStart);
  const double reported = ReportAfter(218, 8, 700ms);
  REQUIRE(reported > 30);
  tail.Update(reported, kStart + 700ms);
  REQUIRE(tail.recent_ms().has_value());
  CHECK(*tail.recent_ms() == Approx(8).margin(0.01));
}

// Guards against a target that is missed unnoticed: a peak takes a second to
// show in full.
TEST_CASE("a peak shows in the recent tail at once", "[tail]") {
  TailEstimate tail;
  tail.Update(8, kStart);
  tail.Update(ReportAfter(8, 40, 300ms), kStart + 300ms);
  CHECK(*tail.recent_ms() == Approx(40).margin(0.01));
}

TEST_CASE("rounded reports never give a negative tail", "[tail]") {
  TailEstimate tail;
  tail.Update(100, kStart);
  tail.Update(20, kStart + 300ms);
  CHECK(*tail.recent_ms() >= 0);
}

TEST_CASE("one report gives no recent tail, nor does a reset", "[tail]") {
  TailEstimate tail;
  tail.Update(8, kStart);
  CHECK_FALSE(tail.recent_ms().has_value());
  tail.Update(8, kStart + 700ms);
  tail.Reset();
  CHECK_FALSE(tail.recent_ms().has_value());
}

}  // namespace
}  // namespace hickoryusher::jobs
