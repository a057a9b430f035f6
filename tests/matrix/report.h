#ifndef MATRIX_REPORT_H_
#define MATRIX_REPORT_H_

#include <ostream>
#include <span>

#include "cells.h"
#include "defects.h"

namespace hickoryusher::matrix {

/// Writes the open cells by name and then one line of totals. Cells that are
/// not applicable are in neither total.
void WriteSummary(std::span<const Cell> cells, std::ostream& out);

/// Writes docs/PROOF.md.
void WriteProof(std::span<const Cell> cells,
                std::span<const DefectResult> defects,
                const FaultTable& table,
                std::ostream& out);

}  // namespace hickoryusher::matrix

#endif  // MATRIX_REPORT_H_
