#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "slice_world.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

// An owner may use 3.6% of a core for control, and evaluating a worker for a
// task takes 100 ns.
constexpr std::uint64_t kEvaluationsPerSecond = 360'000;

/// A slice of a system of the design size, 1,000 workers in 9 failure domains.
/// Each worker runs two long-running tasks and has 8 of 32 cores free.
class FullSlice : public SliceWorld {
 public:
  static constexpr int kWorkers = 111;

  FullSlice() {
    for (int i = 0; i < kWorkers; ++i) {
      AddWorker("w" + std::to_string(i));
    }
    Advance(500ms);
    for (int i = 0; i < 2 * kWorkers; ++i) {
      Submit("held" + std::to_string(i), "t");
    }
    Advance(5s);
    for (int i = 0; i < kWorkers; ++i) {
      REQUIRE(workers.runs("w" + std::to_string(i)).size() == 2);
    }
  }
};

// Guards against a placement pass that delays renewals: a pass over 143
// long-running tasks without room took 2.4 s, during which neither the slice
// nor leases were renewed, so that 20 owners succeeded one another.
TEST_CASE("an owner keeps up while many long-running tasks find no room",
          "[slice][load]") {
  FullSlice world;
  for (int i = 0; i < 150; ++i) {
    world.Submit("waiting" + std::to_string(i), "w");
  }
  world.Advance(1s);
  const std::uint64_t before = world.owner->candidates_evaluated();
  constexpr int kSeconds = 3;
  world.Advance(std::chrono::seconds(kSeconds));
  CHECK(world.owner->candidates_evaluated() - before <=
        kSeconds * kEvaluationsPerSecond);
}

// Guards against short-lived tasks that are never tried: a placement pass
// tried only 100 long-running groups without room if a worker could run only
// one task of each.
TEST_CASE("long-running tasks without room do not delay short-lived ones",
          "[slice][load]") {
  const std::string kind = GENERATE("w", "x");
  FullSlice world;
  for (int i = 0; i < 150; ++i) {
    world.Submit("waiting" + std::to_string(i), kind);
  }
  world.Advance(1s);
  world.Submit("short", "c");
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("short")) == 1);
}

}  // namespace
}  // namespace hickoryusher::jobs
