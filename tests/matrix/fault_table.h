#ifndef MATRIX_FAULT_TABLE_H_
#define MATRIX_FAULT_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "steps.h"

namespace hickoryusher::matrix {

/// Where a fault cannot occur, and why.
struct Exemption {
  std::string chart;
  std::vector<std::string> states;  ///< All states when empty.
  std::string reason;
};

struct Fault {
  std::string name;
  std::vector<Step> steps;
  std::vector<Exemption> exemptions;
  /// Guarantees concerned besides those of the chart, by chart.
  std::map<std::string, std::vector<std::string>, std::less<>> checks;

  /// @returns why the fault cannot occur in this state, or nothing.
  std::optional<std::string> ReasonNotApplicable(std::string_view chart,
                                                 std::string_view state) const;
};

/// A change to a chart file that a checker must report.
struct Defect {
  std::string guarantee;
  std::string chart;
  std::string what;  ///< For the report.
  std::string from;
  std::string to;
};

using TextLists = std::map<std::string, std::vector<std::string>, std::less<>>;

/// Content of faults.yaml.
struct FaultTable {
  /// Guarantees whose checkers look at every cell of a chart.
  TextLists concerned;
  /// Tests of other programs that show a guarantee, for the report.
  TextLists tests;
  /// What no cell shows about a guarantee, for the report.
  TextLists open_points;
  std::vector<Fault> faults;  ///< Single faults, then pairs.
  std::vector<Defect> defects;
};

/// @param error receives what is wrong when nothing is returned.
std::optional<FaultTable> LoadFaultTable(const std::string& path,
                                         std::string& error);

}  // namespace hickoryusher::matrix

#endif  // MATRIX_FAULT_TABLE_H_
