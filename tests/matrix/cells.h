#ifndef MATRIX_CELLS_H_
#define MATRIX_CELLS_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "chart/chart.h"
#include "fault_table.h"

namespace hickoryusher::matrix {

enum class CellStatus : std::uint8_t { kProved, kOpen, kNotApplicable };

/// One state of one chart under one fault.
struct Cell {
  std::string chart;
  std::string state;
  std::string fault;
  CellStatus status = CellStatus::kOpen;
  std::string reason;              ///< Why it is open or not applicable.
  std::set<std::string> looked;    ///< Guarantees whose checkers looked.
  std::set<std::string> violated;  ///< Guarantees that were broken.
  std::vector<std::string> violations;

  std::string Name() const { return chart + "/" + state + " x " + fault; }
};

/// Runs every state of @p chart against @p faults.
/// @returns one cell for each pair, in the order of the files.
std::vector<Cell> RunChart(const chart::Chart& chart,
                           const FaultTable& table,
                           std::span<const Fault> faults);

}  // namespace hickoryusher::matrix

#endif  // MATRIX_CELLS_H_
