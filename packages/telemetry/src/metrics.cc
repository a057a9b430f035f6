#include "telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace hickoryusher::telemetry {
namespace {

const prometheus::Histogram::BucketBoundaries kLatencySeconds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60};

struct ReadGauge {
  prometheus::Gauge* gauge;
  std::function<double()> read;
};

}  // namespace

struct Metrics::Registry {
  prometheus::Registry registry;
  prometheus::Family<prometheus::Histogram>& latency =
      prometheus::BuildHistogram()
          .Name("hickoryusher_request_seconds")
          .Help("Time from a request's arrival to its response")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& attempts =
      prometheus::BuildCounter()
          .Name("hickoryusher_attempts_total")
          .Help("Requests sent to endpoints, retries included")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& refusals =
      prometheus::BuildCounter()
          .Name("hickoryusher_refusals_total")
          .Help("Requests refused as not run, by reason")
          .Register(registry);
  std::vector<ReadGauge> gauges;
};

Metrics::Metrics() : registry_(std::make_unique<Registry>()) {}
Metrics::~Metrics() = default;

void Metrics::CountOutcome(std::string_view service,
                           core::WorkClass work_class,
                           std::string_view outcome,
                           core::Duration latency) {
  registry_->latency
      .Add({{"service", std::string(service)},
            {"class", std::string(core::ToString(work_class))},
            {"outcome", std::string(outcome)}},
           kLatencySeconds)
      .Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::CountAttempt(std::string_view service) {
  registry_->attempts.Add({{"service", std::string(service)}}).Increment();
}

void Metrics::CountRefusal(std::string_view reason) {
  registry_->refusals.Add({{"reason", std::string(reason)}}).Increment();
}

void Metrics::AddGauge(std::string_view name,
                       std::string_view help,
                       std::string_view ring,
                       std::function<double()> read) {
  auto& family = prometheus::BuildGauge()
                     .Name(std::string(name))
                     .Help(std::string(help))
                     .Register(registry_->registry);
  registry_->gauges.push_back(
      {.gauge = &family.Add({{"ring", std::string(ring)}}),
       .read = std::move(read)});
}

std::string Metrics::Collect() const {
  std::ranges::for_each(registry_->gauges, [](const ReadGauge& entry) {
    entry.gauge->Set(entry.read());
  });
  return prometheus::TextSerializer().Serialize(registry_->registry.Collect());
}

}  // namespace hickoryusher::telemetry
