// Measures the time per routing decision, and compares the policies in a
// seeded simulation. Usage: routing_bench [SEED]
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <vector>

#include "chart_yaml/load.h"
#include "core/log_line.h"
#include "core/overloaded.h"
#include "policy_comparison.h"

namespace hickoryusher::bench {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int kDecisions = 400'000;
constexpr int kRepeats = 5;
constexpr std::uint64_t kRackLastSeeds = 5;

std::string_view Name(const routing::Policy& policy) {
  return std::visit(
      core::Overloaded{[](const routing::PowerOfTwoChoices&)
                           -> std::string_view { return "power_of_two"; },
                       [](const routing::LeastLoaded&) -> std::string_view {
                         return "least_loaded";
                       },
                       [](const routing::RandomChoice&) -> std::string_view {
                         return "random";
                       }},
      policy);
}

routing::Router MakeRouter(const chart::Chart& chart, std::uint32_t endpoints) {
  routing::Router::Builder builder;
  builder.HealthChart(chart).StartWithOwnShare().Seat(core::FailureDomainId(0),
                                                      routing::SeatId(0), 1);
  for (std::uint32_t i = 0; i < endpoints; ++i) {
    builder.AddEndpoint({.service = core::ServiceId(0),
                         .vm = core::VmId(i),
                         .rack = core::RackId(i / 8),
                         .domain = core::FailureDomainId(0)});
  }
  return std::move(*builder.Build());
}

/// Keeps @p in_flight requests in flight and replaces the oldest each time.
/// @returns nanoseconds for one Choose and one Release, the least of the
/// repeats: the others contain the work of other programs.
double TimePerDecision(const chart::Chart& chart,
                       std::uint32_t endpoints,
                       std::size_t in_flight) {
  routing::Router router = MakeRouter(chart, endpoints);
  core::TimePoint now(1h);
  std::vector<routing::Slot> slots;
  const auto choose = [&] {
    now += 1us;
    return router.Choose({.service = core::ServiceId(0),
                          .idempotent = true,
                          .deadline = now + 1s},
                         now);
  };
  while (slots.size() < in_flight) {
    slots.push_back(choose()->slot);
  }
  double best = 0;
  std::size_t oldest = 0;
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const Clock::time_point start = Clock::now();
    for (int i = 0; i < kDecisions; ++i) {
      router.Release(slots[oldest], routing::Succeeded{5ms}, now);
      slots[oldest] = choose()->slot;
      oldest = (oldest + 1) % slots.size();
    }
    const std::chrono::duration<double, std::nano> spent = Clock::now() - start;
    const double each = spent.count() / kDecisions;
    best = repeat == 0 ? each : std::min(best, each);
  }
  return best;
}

void PrintTimes(const chart::Chart& chart) {
  for (const std::uint32_t endpoints : {48U, 1000U}) {
    const std::size_t slots = std::size_t{endpoints} * 8;
    // Half of the slots, and all but one: then the policy has to search.
    for (const std::size_t in_flight : {slots / 2, slots - 1}) {
      core::LogLine line("routing_decision_time");
      line.Add("endpoints", endpoints)
          .Add("in_flight", in_flight)
          .Add("ns", TimePerDecision(chart, endpoints, in_flight));
      std::cout << line.text() << '\n';
    }
  }
}

void PrintTrial(const chart::Chart& chart, const Trial& trial) {
  const Outcome outcome = Run(trial, chart);
  core::LogLine line("routing_policy");
  line.Add("fault", ToString(trial.fault))
      .Add("policy", Name(trial.policy))
      .Add("load", trial.load)
      .Add("rack_last", trial.rack_last)
      .Add("seed", trial.seed)
      .Add("requests", outcome.requests)
      .Add("failed", outcome.requests - outcome.succeeded)
      .Add("no_slot", outcome.no_slot)
      .Add("retries", outcome.retries)
      .Add("second_timeouts", outcome.second_timeouts)
      .Add("p50_ms", outcome.p50_ms)
      .Add("p99_ms", outcome.p99_ms)
      .Add("p999_ms", outcome.p999_ms);
  std::cout << line.text() << '\n';
}

void PrintComparison(const chart::Chart& chart, std::uint64_t seed) {
  for (const Fault fault : {Fault::kNone, Fault::kHang, Fault::kRackHangs,
                            Fault::kSlow, Fault::kFailFast}) {
    for (const routing::Policy& policy :
         {routing::Policy(routing::PowerOfTwoChoices{}),
          routing::Policy(routing::LeastLoaded{}),
          routing::Policy(routing::RandomChoice{})}) {
      PrintTrial(chart, {.policy = policy, .fault = fault, .seed = seed});
    }
  }
}

/// Trying the rest of a rack last can only help when a whole rack is at fault,
/// and differs most before the health chart has learnt, so at low load.
void PrintRackLast(const chart::Chart& chart, std::uint64_t seed) {
  for (const Fault fault : {Fault::kRackHangs, Fault::kRackBlinks}) {
    for (const double load : {0.02, 0.1, 0.3}) {
      for (std::uint64_t run = seed; run < seed + kRackLastSeeds; ++run) {
        for (const bool rack_last : {false, true}) {
          PrintTrial(chart, {.fault = fault,
                             .load = load,
                             .rack_last = rack_last,
                             .seed = run});
        }
      }
    }
  }
}

}  // namespace
}  // namespace hickoryusher::bench

int main(int argc, char** argv) {
  using namespace hickoryusher;
  chart_yaml::Loader loader;
  const auto chart =
      loader.LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/endpoint_health.yaml");
  if (!chart) {
    std::cerr << loader.errors().front() << '\n';
    return EXIT_FAILURE;
  }
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  std::cout << core::LogLine("routing_bench").Add("seed", seed).text() << '\n';
  bench::PrintTimes(*chart);
  bench::PrintComparison(*chart, seed);
  bench::PrintRackLast(*chart, seed);
  return EXIT_SUCCESS;
}
