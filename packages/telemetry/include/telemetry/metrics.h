#ifndef TELEMETRY_METRICS_H_
#define TELEMETRY_METRICS_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/time.h"
#include "core/work_class.h"

namespace hickoryusher::telemetry {

/// Metrics of one entry process, in Prometheus text format. Safe to call from
/// several threads.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts one delivered outcome and its latency.
  /// @param outcome `answered`, `not_run` or `unknown`.
  void CountOutcome(std::string_view service,
                    core::WorkClass work_class,
                    std::string_view outcome,
                    core::Duration latency);

  void CountAttempt(std::string_view service);

  /// Counts a request refused as not run.
  void CountRefusal(std::string_view reason);

  /// Registers a value that is read each time the metrics are collected.
  void AddGauge(std::string_view name,
                std::string_view help,
                std::string_view ring,
                std::function<double()> read);

  /// @returns every metric in Prometheus text format 0.0.4.
  std::string Collect() const;

 private:
  struct Registry;
  std::unique_ptr<Registry> registry_;
};

}  // namespace hickoryusher::telemetry

#endif  // TELEMETRY_METRICS_H_
