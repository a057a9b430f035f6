#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <numeric>

#include "sim_world.h"

namespace hickoryusher::placement::sim {
namespace {

/// More seeds take longer than they find; HICKORYUSHER_SEED runs one,
/// HICKORYUSHER_SEEDS another number.
constexpr std::uint64_t kSeeds = 24;

std::vector<std::uint64_t> Seeds() {
  const char* seed = std::getenv("HICKORYUSHER_SEED");
  const char* count = std::getenv("HICKORYUSHER_SEEDS");
  if (seed != nullptr) {
    return {std::stoull(seed)};
  }
  std::vector<std::uint64_t> seeds(count == nullptr ? kSeeds
                                                    : std::stoull(count));
  std::iota(seeds.begin(), seeds.end(), std::uint64_t{1});
  return seeds;
}

// Guards against any loss of the guarantees P1, P2 and P3, and of progress,
// whatever combination of faults happens.
TEST_CASE("seeded faults never break a guarantee and all work is done") {
  int evictions = 0;
  int resumes = 0;
  for (const std::uint64_t seed : Seeds()) {
    World world({.seed = seed});
    world.Run();
    CAPTURE(seed, world.takeovers(), world.checker().starts());
    for (const std::string& violation : world.checker().violations()) {
      UNSCOPED_INFO(violation);
    }
    CHECK(world.checker().violations().empty());
    CHECK(world.checker().starts() > 300);
    evictions += world.evictions();
    resumes += world.checker().resumes();
  }
  // A run without evictions proves nothing about resuming.
  CHECK(evictions > 0);
  CHECK(resumes > 0);
}

struct DefectRow {
  Defect defect;
  std::string_view name;
  std::string_view rule;  ///< That the checker has to report.
};

constexpr DefectRow kDefects[] = {
    {Defect::kNoEpochCheck, "no_epoch_check", "attempt_started_twice"},
    {Defect::kNoLeaseEnd, "no_lease_end", "two_places"},
    {Defect::kShortLostWait, "short_lost_wait", "two_places"},
    {Defect::kShortTakeoverWait, "short_takeover_wait", "two_places"},
    {Defect::kNoConditions, "no_conditions", "start_without_claim"},
    {Defect::kLostIsWritten, "lost_is_written", "start_without_claim"},
    {Defect::kLostIsRefused, "lost_is_refused", "unfinished"},
    {Defect::kNoMargin, "no_margin", "capacity"},
    {Defect::kCutCheckpoint, "cut_checkpoint", "checkpoint_not_whole"},
    {Defect::kLateStart, "late_start", "start_without_claim"},
};

bool Sees(Defect defect, std::string_view rule, std::uint64_t seed) {
  World world({.seed = seed, .defect = defect});
  world.Run();
  const std::string wanted = "rule=" + std::string(rule);
  return std::ranges::any_of(
      world.checker().violations(), [&](const std::string& violation) {
        return violation.find(wanted) != std::string::npos;
      });
}

// Guards against a checker that passes whatever happens.
TEST_CASE("the checker sees every seeded defect") {
  for (const DefectRow& row : kDefects) {
    INFO(row.name);
    bool seen = false;
    for (std::uint64_t seed = 1; seed <= kSeeds && !seen; ++seed) {
      seen = Sees(row.defect, row.rule, seed);
    }
    CHECK(seen);
  }
}

}  // namespace
}  // namespace hickoryusher::placement::sim
