#ifndef MATRIX_CHART_PATHS_H_
#define MATRIX_CHART_PATHS_H_

#include <string>
#include <string_view>
#include <vector>

#include "chart/chart.h"

namespace hickoryusher::matrix {

struct PathStep {
  std::string_view event;
  std::string_view target;  ///< State after the event.
};

using Path = std::vector<PathStep>;

/// @returns up to @p limit paths without a repeated state from the initial
/// state to @p state, shortest first. Guards are not evaluated.
std::vector<Path> PathsTo(const chart::Chart& chart,
                          chart::StateId state,
                          std::size_t limit);

}  // namespace hickoryusher::matrix

#endif  // MATRIX_CHART_PATHS_H_
