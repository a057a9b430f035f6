#ifndef RETRY_REQUEST_FIXTURE_H_
#define RETRY_REQUEST_FIXTURE_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "chart_yaml/load.h"
#include "retry/request_table.h"

namespace hickoryusher::retry {

inline std::string ChartText() {
  const std::ifstream file(HICKORYUSHER_SOURCE_DIR
                           "/charts/request_attempt.yaml");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline chart::Chart LoadChart(const std::string& text) {
  chart_yaml::Loader loader;
  std::optional<chart::Chart> chart = loader.LoadText(text, "request_attempt");
  for (const std::string& error : loader.errors()) {
    UNSCOPED_INFO(error);
  }
  REQUIRE(chart.has_value());
  return *std::move(chart);
}

/// @returns the chart as it ships, loaded once.
inline const chart::Chart& ShippedChart() {
  static const chart::Chart kChart = LoadChart(ChartText());
  return kChart;
}

/// A change that breaks the chart, and the fault that the walk must report.
struct Defect {
  std::string_view from;
  std::string_view to;
  std::string_view fault;
  bool needs_two_attempts = false;
};

inline constexpr Defect kDefects[] = {
    {"&failed_after_send\n        - {guard: may_resend, target",
     "&failed_after_send\n        - {target",
     "non-idempotent request ran twice"},
    {"&deadline_after_send\n        - {target: done, actions: "
     "[cancel_exchange, release_endpoint, deliver_unknown]}",
     "&deadline_after_send\n        - {target: done, actions: "
     "[cancel_exchange, release_endpoint, deliver_failed]}",
     "not_run although it ran"},
    {"&failed_after_send\n        - {guard: may_resend, target: backing_off, "
     "actions: [keep_reason, note_may_have_run,",
     "&failed_after_send\n        - {guard: may_resend, target: backing_off, "
     "actions: [keep_reason,",
     "not_run although it ran", true},
    {"key_unresolved: {target: done, actions: [deliver_unknown]}",
     "key_unresolved: {target: done, actions: [deliver_unknown, "
     "deliver_unknown]}",
     "delivered twice"},
    {"no_endpoint: {target: done, actions: [deliver_failed]}",
     "no_endpoint: {target: done}", "not delivered exactly once"},
    {"- {guard: unconnected, target: done, actions: [release_endpoint, "
     "deliver_failed]}",
     "- {guard: unconnected, target: done, actions: [deliver_failed]}",
     "endpoint not released"},
    {"- {target: done, actions: [release_endpoint, deliver_answered]}",
     "- {target: done, actions: [deliver_answered]}", "endpoint not released"},
};

inline chart::Chart BrokenChart(const Defect& defect) {
  std::string text = ChartText();
  const std::size_t at = text.find(defect.from);
  REQUIRE(at != std::string::npos);
  return LoadChart(text.replace(at, defect.from.size(), defect.to));
}

/// A request table with a manual clock that keeps every command.
class Fixture {
 public:
  explicit Fixture(const chart::Chart& chart = ShippedChart(),
                   const RetryPolicy& policy = {},
                   std::uint64_t seed = 1) {
    table = RequestTableBuilder(chart).Policy(policy).Seed(seed).Build();
    REQUIRE(table.has_value());
  }

  void Send(const RequestEvent& event) {
    fresh.clear();
    table->Handle(event, now, fresh);
    all.insert(all.end(), fresh.begin(), fresh.end());
  }

  void ExpireLastTimer() {
    const StartTimer timer = All<StartTimer>().back();
    now = timer.at;
    Send(TimerExpired{timer.request, timer.timer});
  }

  /// @returns commands of one type among those of the last event.
  template <typename Command>
  std::vector<Command> Fresh() const {
    return Select<Command>(fresh);
  }

  template <typename Command>
  std::vector<Command> All() const {
    return Select<Command>(all);
  }

  std::optional<RequestTable> table;
  core::TimePoint now{std::chrono::seconds(100)};
  std::vector<RequestCommand> fresh;
  std::vector<RequestCommand> all;

 private:
  template <typename Command>
  static std::vector<Command> Select(const std::vector<RequestCommand>& from) {
    std::vector<Command> result;
    for (const RequestCommand& command : from) {
      if (const auto* typed = std::get_if<Command>(&command)) {
        result.push_back(*typed);
      }
    }
    return result;
  }
};

}  // namespace hickoryusher::retry

#endif  // RETRY_REQUEST_FIXTURE_H_
