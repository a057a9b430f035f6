#include "settings/schema.h"

#include <catch2/catch.hpp>
#include <limits>

namespace hickoryusher::settings {
namespace {

constexpr int kTeams = 23;

std::string QuotaOf(int team) {
  return "/teams/team" + std::to_string(team) + "/quota/cpu_millis";
}

/// 23 teams with 100 each of a capacity of 2,300.
Tree MakeTree() {
  Tree tree;
  const auto set = [&tree](const std::string& path, Value value) {
    tree = tree.With({.id = "c", .path = path, .value = std::move(value)});
  };
  set("/failure_domains/dakar-yoff/region", std::string("dakar"));
  set("/capacity/cpu_millis", std::int64_t{100} * kTeams);
  for (int team = 0; team < kTeams; ++team) {
    set(QuotaOf(team), std::int64_t{100});
  }
  set("/teams/team0/services/carnet/floors/batch", 0.75);
  set("/teams/team1/services/carnet/floors/batch", 0.75);
  set("/teams/team0/services/carnet/failure_domains",
      std::vector<std::string>{"dakar-yoff"});
  return tree;
}

// Guards against a wrong value that is accepted, and against a report that does
// not tell the operator what to change.
TEST_CASE("each kind of mistake is reported with path, expected and found") {
  const std::string service = "/teams/team0/services/carnet/";
  struct Row {
    std::string path;
    std::optional<Value> value;
    Mistake expected;
  };
  const Row rows[] = {
      {"/teams/team0/servces/x",
       true,
       {"/teams/team0/servces/x", "a known path", "an unknown path"}},
      {service + "enabled",
       std::int64_t{1},
       {service + "enabled", "true or false", "1"}},
      {service + "deadline_ms",
       std::int64_t{0},
       {service + "deadline_ms", "a value from 1 to 600000", "0"}},
      {service + "share",
       std::numeric_limits<double>::quiet_NaN(),
       {service + "share", "a value from 0 to 1", "nan"}},
      {service + "class",
       std::string("slow"),
       {service + "class", "one of latency_critical, batch, watcher", "slow"}},
      {service + "failure_domains",
       std::vector<std::string>{"dakar-yoff", "dakar"},
       {service + "failure_domains", "a name under /failure_domains", "dakar"}},
      {"/failure_domains/dakar-yoff/region",
       std::nullopt,
       {service + "failure_domains", "a name under /failure_domains",
        "dakar-yoff"}},
      {QuotaOf(22),
       std::int64_t{101},
       {"/teams/*/quota/cpu_millis",
        "a sum of at most 2300 (/capacity/cpu_millis)", "2301"}},
      {"/capacity/cpu_millis",
       std::int64_t{2299},
       {"/teams/*/quota/cpu_millis",
        "a sum of at most 2299 (/capacity/cpu_millis)", "2300"}},
      {service + "first_byte_timeout_ms",
       std::int64_t{0},
       {service + "first_byte_timeout_ms", "a value from 1 to 600000", "0"}},
      {service + "floors/urgent",
       0.1,
       {service + "floors/urgent", "a known path", "an unknown path"}},
      {service + "floors/watcher",
       0.5,
       {"/teams/team0/services/carnet/floors", "a sum of at most 1",
        "1.250000"}},
      {"/Teams//x",
       true,
       {"/Teams//x", "a path of names of a-z, 0-9, _, - and .", "/Teams//x"}},
  };
  const Schema schema = KnownSettings();
  const Tree tree = MakeTree();
  REQUIRE(schema.Validate(tree).empty());
  for (const Row& row : rows) {
    CAPTURE(row.path);
    CHECK(schema.Validate(tree,
                          {.id = "c", .path = row.path, .value = row.value}) ==
          std::vector<Mistake>{row.expected});
  }
}

// Guards against a check that stops at the first mistake.
TEST_CASE("all mistakes are reported at once") {
  Tree tree = MakeTree().With({.id = "c", .path = "/unknown", .value = true});
  tree =
      tree.With({.id = "c", .path = QuotaOf(0), .value = std::string("100")});
  const Change change{.id = "c", .path = QuotaOf(1), .value = std::int64_t{-1}};
  CHECK(KnownSettings().Validate(tree, change).size() == 3);
}

}  // namespace
}  // namespace hickoryusher::settings
