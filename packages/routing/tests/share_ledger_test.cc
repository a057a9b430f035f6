#include "routing/share_ledger.h"

#include <catch2/catch.hpp>

#include "share_simulation.h"

namespace hickoryusher::routing {
namespace {

using namespace std::chrono_literals;

// Guards against an endpoint that gets more requests or connections than it
// has, and against a share that nobody uses once the faults are over.
TEST_CASE("no endpoint is overloaded under faults, and every share is used") {
  SimulationCounts sum;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ShareSimulation simulation(seed, Defect::kNone);
    simulation.Run(60s);
    simulation.Settle(15s);
    INFO("seed " << seed << " " << simulation.violation().value_or(""));
    REQUIRE_FALSE(simulation.violation().has_value());
    for (std::uint32_t endpoint = 0; endpoint < 4; ++endpoint) {
      CHECK(simulation.GrantedSlots(endpoint) == 8);
    }
    sum.requests += simulation.counts().requests;
    sum.borrowed_requests += simulation.counts().borrowed_requests;
    sum.shares_taken += simulation.counts().shares_taken;
    sum.kills += simulation.counts().kills;
    sum.releases += simulation.counts().releases;
  }
  INFO("requests=" << sum.requests << " borrowed=" << sum.borrowed_requests
                   << " shares_taken=" << sum.shares_taken
                   << " kills=" << sum.kills << " releases=" << sum.releases);
  CHECK(sum.borrowed_requests > 1000);
  CHECK(sum.shares_taken > 20 * 6 + 50);
  CHECK(sum.kills > 50);
  CHECK(sum.releases > 20);
}

// Guards against a checker that passes whatever the ledgers do.
TEST_CASE("the checker finds each seeded defect") {
  const Defect defect = GENERATE(
      Defect::kSuccessionOnTimeout, Defect::kNoInFlightWait,
      Defect::kLoanWithoutMargin, Defect::kReplacementAtOnce,
      Defect::kStaleVmList, Defect::kReusedIncarnation, Defect::kReusedVm);
  INFO("defect " << static_cast<int>(defect));
  bool found = false;
  for (std::uint64_t seed = 1; seed <= 20 && !found; ++seed) {
    ShareSimulation simulation(seed, defect);
    simulation.Run(60s);
    found = simulation.violation().has_value();
  }
  CHECK(found);
}

}  // namespace
}  // namespace hickoryusher::routing
