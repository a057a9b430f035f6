#ifndef ENTRY_SRC_CHARTS_P_H_
#define ENTRY_SRC_CHARTS_P_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chart/chart.h"

namespace hickoryusher::entry {

/// Charts that an entry process interprets.
struct Charts {
  chart::Chart request_attempt;
  chart::Chart endpoint_health;
  chart::Chart entry_lifecycle;
  chart::Chart settings_revision;
  chart::Chart slice_lease;
  chart::Chart worker_lease;
  chart::Chart task;
};

/// Loads `NAME.yaml` for every chart from @p folder.
/// @param errors receives every fault in every file.
std::optional<Charts> LoadCharts(std::string_view folder,
                                 std::vector<std::string>& errors);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_CHARTS_P_H_
