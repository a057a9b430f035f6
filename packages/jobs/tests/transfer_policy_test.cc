#include "jobs/transfer_policy.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

using Loads = std::vector<std::optional<SliceLoad>>;

constexpr std::size_t kNoLimit = 100;

/// A slice of 100 cores for service `noise`, with workers of 32 cores.
SliceLoad Load(std::int64_t demand_millis,
               std::set<std::string, std::less<>> labels = {}) {
  return {.demand_millis = demand_millis,
          .capacity_millis = 100'000,
          .services = {
              {"noise",
               {.largest = {.cpu_millis = 32'000, .memory_bytes = 64LL << 30U},
                .labels = std::move(labels)}}}};
}

WaitingJob Job(core::Duration waited = 3s) {
  return {.id = "j",
          .service = "noise",
          .needs = {{.need = {.cpu_millis = 2'000}}},
          .candidates = {0, 1, 2},
          .demand_millis = 20'000,
          .waited = waited,
          .resident = 10s};
}

// Guards against jobs that wait in a slice where nothing may start.
TEST_CASE("jobs leave an evacuated slice for the least loaded one",
          "[transfer]") {
  Loads loads = {Load(0), Load(90'000), Load(50'000)};
  const auto choices = ChooseTransfers({.slice = 0, .evacuated = true},
                                       std::vector{Job(0s)}, loads, kNoLimit);
  REQUIRE(choices.size() == 1);
  CHECK(choices[0].target == 2);
  CHECK(choices[0].reason == TransferReason::kEvacuated);
}

// Guards against a job that goes from one slice that cannot run it to another
// one, and against one that leaves while its workers only restart.
TEST_CASE("a job leaves for a slice with a worker for it", "[transfer]") {
  WaitingJob job = Job(0s);
  job.needs = {{.need = {.cpu_millis = 2'000}, .label = "ssd"},
               {.need = {.cpu_millis = 40'000}}};
  job.unfit = 2s;
  Loads loads = {Load(0), Load(0), Load(0, {"ssd"})};
  const TransferSource source{.slice = 0, .capacity_millis = 100'000};
  CHECK(ChooseTransfers(source, std::vector{job}, loads, kNoLimit).empty());
  job.needs.pop_back();
  const auto choices =
      ChooseTransfers(source, std::vector{job}, loads, kNoLimit);
  REQUIRE(choices.size() == 1);
  CHECK(choices[0].target == 2);
  CHECK(choices[0].reason == TransferReason::kNoWorkerFits);
  // Nor if it came a moment ago: two slices that each lack a worker for one of
  // its steps would pass it on for ever.
  job.resident = 3s;
  CHECK(ChooseTransfers(source, std::vector{job}, loads, kNoLimit).empty());
  job.resident = 10s;
  job.unfit = 900ms;
  CHECK(ChooseTransfers(source, std::vector{job}, loads, kNoLimit).empty());
}

// Guards against jobs that go back and forth: a transfer must leave the target
// clearly below its capacity, where no job is passed on.
TEST_CASE("a job leaves an overloaded slice only for clear room",
          "[transfer]") {
  const auto targets = [](std::int64_t here, std::int64_t there,
                          const WaitingJob& job) {
    Loads loads = {std::nullopt, Load(there), std::nullopt};
    return ChooseTransfers(
               {.slice = 0, .demand_millis = here, .capacity_millis = 100'000},
               std::vector{job}, loads, kNoLimit)
        .size();
  };
  CHECK(targets(150'000, 60'000, Job()) == 1);
  CHECK(targets(100'000, 60'000, Job()) == 0);
  CHECK(targets(150'000, 61'000, Job()) == 0);
  CHECK(targets(150'000, 60'000, Job(1s)) == 0);
  WaitingJob arrived = Job();
  arrived.resident = 3s;
  CHECK(targets(150'000, 60'000, arrived) == 0);
}

// Guards against a rush into the same room, which several owners see in the
// same published load: 40 jobs wait here, and there is room for five.
TEST_CASE("the room of a target is not given away several times",
          "[transfer]") {
  const std::vector<WaitingJob> jobs(40, Job());
  Loads loads = {std::nullopt, Load(0), std::nullopt};
  const TransferSource source{
      .slice = 0, .demand_millis = 800'000, .capacity_millis = 100'000};
  CHECK(ChooseTransfers(source, jobs, loads, kNoLimit).size() == 2);
  CHECK(ChooseTransfers(source, jobs, loads, kNoLimit).empty());
}

// Guards against a source that gives away more than its overload.
TEST_CASE("a slice that is no longer overloaded keeps its jobs", "[transfer]") {
  const std::vector<WaitingJob> jobs(5, Job());
  Loads loads = {std::nullopt, SliceLoad{.capacity_millis = 1'000'000}};
  const TransferSource source{
      .slice = 0, .demand_millis = 125'000, .capacity_millis = 100'000};
  CHECK(ChooseTransfers(source, jobs, loads, kNoLimit).size() == 2);
}

// Guards against slices of which nothing recent is known, or that are evacuated
// themselves: the caller leaves their load out.
TEST_CASE("no job goes to a slice without a load", "[transfer]") {
  Loads loads = {Load(0), std::nullopt};
  CHECK(ChooseTransfers({.slice = 0, .evacuated = true},
                        std::vector{Job(), Job()}, loads, kNoLimit)
            .empty());
}

}  // namespace
}  // namespace hickoryusher::jobs
