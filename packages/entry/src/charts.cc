#include <algorithm>
#include <iterator>

#include "chart_yaml/load.h"
#include "charts_p.h"

namespace hickoryusher::entry {

std::optional<Charts> LoadCharts(std::string_view folder,
                                 std::vector<std::string>& errors) {
  chart_yaml::Loader loader;
  const auto load = [&](std::string_view name) {
    auto chart = loader.LoadFile(std::string(folder) + "/" + std::string(name) +
                                 ".yaml");
    std::ranges::copy(loader.errors(), std::back_inserter(errors));
    return chart;
  };
  auto request_attempt = load("request_attempt");
  auto endpoint_health = load("endpoint_health");
  auto entry_lifecycle = load("entry_lifecycle");
  auto settings_revision = load("settings_revision");
  if (!request_attempt || !endpoint_health || !entry_lifecycle ||
      !settings_revision) {
    return std::nullopt;
  }
  return Charts{.request_attempt = *std::move(request_attempt),
                .endpoint_health = *std::move(endpoint_health),
                .entry_lifecycle = *std::move(entry_lifecycle),
                .settings_revision = *std::move(settings_revision)};
}

}  // namespace hickoryusher::entry
