#include <catch2/catch.hpp>

#include "telemetry/logger.h"
#include "telemetry/metrics.h"

namespace hickoryusher::telemetry {
namespace {

// Guards against metrics that lose their labels or are not in text format.
TEST_CASE("outcomes, refusals and gauges are collected with their labels") {
  Metrics metrics;
  metrics.CountOutcome("carnet", core::WorkClass::kBatch, "answered",
                       std::chrono::milliseconds(3));
  metrics.CountRefusal("ring_full");
  metrics.AddGauge("hickoryusher_ring_depth", "Elements waiting", "router",
                   [] { return 7.0; });
  const std::string text = metrics.Collect();
  CHECK(text.find("hickoryusher_request_seconds_count{class=\"batch\","
                  "outcome=\"answered\",service=\"carnet\"} 1") !=
        std::string::npos);
  CHECK(text.find("hickoryusher_refusals_total{reason=\"ring_full\"} 1") !=
        std::string::npos);
  CHECK(text.find("hickoryusher_ring_depth{ring=\"router\"} 7") !=
        std::string::npos);
}

// Guards against lines that are lost when the process ends in good order.
TEST_CASE("lines written before the end are not dropped") {
  Logger logger(16);
  for (int i = 0; i < 10; ++i) {
    logger.Write(core::LogLine("test").Add("i", i).Add("percent", "%d %msg"));
  }
  CHECK(logger.dropped() == 0);
}

}  // namespace
}  // namespace hickoryusher::telemetry
