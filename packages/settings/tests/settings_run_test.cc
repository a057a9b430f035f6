#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "chart_yaml/load.h"
#include "settings_run.h"

namespace hickoryusher::settings {
namespace {

constexpr std::uint64_t kRuns = 20;

std::uint64_t FirstSeed() {
  const char* text = std::getenv("HICKORYUSHER_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

chart::Chart LoadChart() {
  chart_yaml::Loader loader;
  auto chart =
      loader.LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/settings_revision.yaml");
  for (const std::string& error : loader.errors()) {
    UNSCOPED_INFO(error);
  }
  REQUIRE(chart.has_value());
  return *std::move(chart);
}

// Guards against accepted changes that are lost, reverted or written twice
// while operators race and the store, the peers and the processes fail.
TEST_CASE("accepted changes are never lost or reverted") {
  const chart::Chart chart = LoadChart();
  std::map<std::size_t, int> outcomes;
  for (std::uint64_t seed = FirstSeed(); seed < FirstSeed() + kRuns; ++seed) {
    const History history = SettingsRun(chart, seed, Defect::kNone).Play();
    INFO("HICKORYUSHER_SEED=" << seed);
    const std::vector<std::string> broken = CheckHistory(history);
    CAPTURE(broken);
    CHECK(broken.empty());
    CHECK(history.log.size() > 20);
    for (const auto& [kind, count] : history.outcomes) {
      outcomes[kind] += count;
    }
  }
  // A run in which a kind of outcome never occurs does not test it.
  CHECK(outcomes.size() == std::variant_size_v<Outcome>);
}

// Guards against a checker that cannot fail.
TEST_CASE("the checker finds each seeded defect") {
  const chart::Chart chart = LoadChart();
  struct Row {
    Defect defect;
    std::string_view expected;
  };
  const Row rows[] = {
      {Defect::kUnconditionalWrite, "an accepted change is lost"},
      {Defect::kFalseAccept, "an accepted change is lost"},
      {Defect::kForgottenId, "a refused change was written"},
      {Defect::kResentWrite, "a change was written twice"},
      {Defect::kHeadBack, "a head went back"},
      {Defect::kEarlyReady, "a new process serves older settings"},
  };
  for (const Row& row : rows) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= kRuns && !found; ++seed) {
      const History history = SettingsRun(chart, seed, row.defect).Play();
      found = std::ranges::any_of(CheckHistory(history),
                                  [&row](const std::string& broken) {
                                    return broken.starts_with(row.expected);
                                  });
    }
    CAPTURE(row.expected);
    CHECK(found);
  }
}

}  // namespace
}  // namespace hickoryusher::settings
