#include "jobs/pace_plan.h"

#include <catch2/catch.hpp>
#include <vector>

namespace hickoryusher::jobs {
namespace {

using Raises = std::vector<std::vector<double>>;
using Paces = std::vector<std::uint32_t>;

TEST_CASE("best-effort tasks run at full pace beside no serving task",
          "[pace]") {
  CHECK(PlanPaces({}, Raises{{}, {}}, PaceAlarm::kNone) == Paces{100, 100});
}

// Guards against a load peak that pauses all work on a worker: one heavy
// neighbour took the pace of those that disturb nothing.
TEST_CASE("a heavy task is slowed, not the light ones beside it", "[pace]") {
  const std::vector<double> headrooms = {0.3};
  CHECK(PlanPaces(headrooms, Raises{{0.5}, {0.05}, {0.05}}, PaceAlarm::kNone) ==
        Paces{40, 100, 100});
}

TEST_CASE("each serving task limits the paces by itself", "[pace]") {
  const std::vector<double> headrooms = {0.1, 1.0};
  CHECK(PlanPaces(headrooms, Raises{{0, 0.5}, {0.2, 0}}, PaceAlarm::kNone) ==
        Paces{100, 50});
}

TEST_CASE("the paces together keep within the headroom", "[pace]") {
  const std::vector<double> headrooms = {0.4};
  const Raises raises = {{0.3}, {0.3}, {0.3}};
  const Paces paces = PlanPaces(headrooms, raises, PaceAlarm::kNone);
  CHECK((paces[0] + paces[1] + paces[2]) * 0.3 / 100 <= 0.4);
  CHECK(paces[0] == 100);
}

// Guards against a target that is missed for 4 s by tasks whose raise is
// underestimated.
TEST_CASE("an alarm that lasts pauses disturbing tasks, then all", "[pace]") {
  const std::vector<double> headrooms = {1.0};
  const Raises raises = {{0.2}, {0.005}};
  CHECK(PlanPaces(headrooms, raises, PaceAlarm::kPauseDisturbing) ==
        Paces{0, 100});
  CHECK(PlanPaces(headrooms, raises, PaceAlarm::kPauseAll) == Paces{0, 0});
}

}  // namespace
}  // namespace hickoryusher::jobs
