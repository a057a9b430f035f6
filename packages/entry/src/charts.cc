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
  auto slice_lease = load("slice_lease");
  auto worker_lease = load("worker_lease");
  auto task = load("task");
  if (!errors.empty()) {
    return std::nullopt;
  }
  return Charts{.request_attempt = *std::move(request_attempt),
                .endpoint_health = *std::move(endpoint_health),
                .entry_lifecycle = *std::move(entry_lifecycle),
                .settings_revision = *std::move(settings_revision),
                .slice_lease = *std::move(slice_lease),
                .worker_lease = *std::move(worker_lease),
                .task = *std::move(task)};
}

}  // namespace hickoryusher::entry
