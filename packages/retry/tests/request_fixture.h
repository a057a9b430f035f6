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
  static const chart::Chart chart = LoadChart(ChartText());
  return chart;
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
