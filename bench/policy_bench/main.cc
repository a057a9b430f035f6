// Compares the placement policies on the same seeded fleets. Seeds 1 to 4 are
// for tuning; seeds 201 to 206 are kept for the final comparison.
#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>

#include "chart_yaml/load.h"
#include "core/log_line.h"
#include "fleet.h"

namespace hickoryusher::placement::bench {
namespace {

constexpr std::array<std::uint64_t, 4> kTuningSeeds = {1, 2, 3, 4};
constexpr std::array<std::uint64_t, 6> kFinalSeeds = {201, 202, 203,
                                                      204, 205, 206};

struct Candidate {
  std::string_view name;
  Policy policy;
};

Result Mean(const std::vector<Result>& results) {
  Result mean;
  const auto count = static_cast<double>(results.size());
  for (const Result& result : results) {
    mean.p99 += result.p99 / count;
    mean.p50 += result.p50 / count;
    mean.batch_hours += result.batch_hours / count;
    mean.repeated_hours += result.repeated_hours / count;
    mean.evictions += result.evictions;
    mean.deadlines_met += result.deadlines_met;
    mean.deadlines += result.deadlines;
  }
  return mean;
}

void Print(std::string_view name, std::string_view seeds, const Result& mean) {
  core::LogLine line("policy_bench");
  line.Add("seeds", seeds)
      .Add("policy", name)
      .Add("p99", mean.p99)
      .Add("p50", mean.p50)
      .Add("batch_core_hours", mean.batch_hours)
      .Add("checkpoint_core_hours", mean.repeated_hours)
      .Add("evictions", mean.evictions)
      .Add("deadlines_met", mean.deadlines_met)
      .Add("deadlines", mean.deadlines);
  std::cout << line.text() << std::endl;
}

void Compare(const chart::Chart& chart,
             std::string_view name,
             std::span<const std::uint64_t> seeds) {
  const Candidate candidates[] = {{"declared_sizes", DeclaredSizes{}},
                                  {"least_loaded", LeastLoaded{}},
                                  {"spread_by_rack", SpreadByRack{}},
                                  {"learned", LearnedPlacement{}}};
  std::vector<Result> means;
  for (const Candidate& candidate : candidates) {
    SchedulerConfig config{.epoch = core::Epoch(1), .policy = candidate.policy};
    config.guard.enabled = IsLearned(candidate.policy);
    std::vector<Result> results;
    std::ranges::transform(
        seeds, std::back_inserter(results), [&](std::uint64_t seed) {
          return RunPolicy(chart, MakeScenario(seed), seed, config);
        });
    means.push_back(Mean(results));
    Print(candidate.name, name, means.back());
  }
  const auto safest = std::ranges::min_element(means.begin(), means.end() - 1,
                                               {}, &Result::p99);
  core::LogLine line("policy_bench_verdict");
  line.Add("seeds", name)
      .Add("safest_baseline", candidates[safest - means.begin()].name)
      .Add("batch_ratio", means.back().batch_hours / safest->batch_hours)
      .Add("p99_ratio", means.back().p99 / safest->p99)
      .Add("reached", means.back().batch_hours >= 1.25 * safest->batch_hours &&
                          means.back().p99 <= safest->p99);
  std::cout << line.text() << std::endl;
}

}  // namespace
}  // namespace hickoryusher::placement::bench

int main(int argc, char** argv) {
  using namespace hickoryusher::placement::bench;
  hickoryusher::chart_yaml::Loader loader;
  const auto chart =
      loader.LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/task.yaml");
  if (!chart.has_value()) {
    std::cerr << "event=chart_not_loaded\n";
    return 1;
  }
  Compare(*chart, "tuning", kTuningSeeds);
  if (argc > 1 && std::string_view(argv[1]) == "--final") {
    Compare(*chart, "final", kFinalSeeds);
  }
  return 0;
}
