#ifndef MATRIX_DEFECTS_H_
#define MATRIX_DEFECTS_H_

#include <string>
#include <vector>

#include "fault_table.h"

namespace hickoryusher::matrix {

struct DefectResult {
  Defect defect;
  bool caught = false;
  std::string note;  ///< A cell that shows it, or why it could not be run.
};

/// Runs the faults of @p table against each broken chart until one reports
/// the defect.
std::vector<DefectResult> RunDefects(const FaultTable& table,
                                     const std::string& chart_folder);

}  // namespace hickoryusher::matrix

#endif  // MATRIX_DEFECTS_H_
