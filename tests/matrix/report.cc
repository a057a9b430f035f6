#include "report.h"

#include <algorithm>
#include <map>
#include <string>

#include "checkers.h"

namespace hickoryusher::matrix {
namespace {

struct Totals {
  std::size_t cells = 0;
  std::size_t proved = 0;
  std::size_t not_applicable = 0;

  std::size_t open() const { return cells - proved; }

  void Add(const Cell& cell) {
    if (cell.status == CellStatus::kNotApplicable) {
      ++not_applicable;
      return;
    }
    ++cells;
    proved += cell.status == CellStatus::kProved ? 1 : 0;
  }
};

Totals Count(std::span<const Cell> cells) {
  Totals totals;
  std::ranges::for_each(cells, [&](const Cell& cell) { totals.Add(cell); });
  return totals;
}

void WriteTotals(const Totals& totals, std::ostream& out) {
  out << "matrix: cells=" << totals.cells << " proved=" << totals.proved
      << " open=" << totals.open() << "\n";
}

/// Proved cells by chart that a checker has looked at.
std::map<std::string, std::size_t> ProvedBy(std::span<const Cell> cells,
                                            const std::string& guarantee) {
  std::map<std::string, std::size_t> proved;
  for (const Cell& cell : cells) {
    if (cell.status == CellStatus::kProved && cell.looked.contains(guarantee)) {
      ++proved[cell.chart];
    }
  }
  return proved;
}

/// @returns true if an open cell of @p chart leaves @p guarantee open.
bool Concerns(const FaultTable& table,
              const std::string& chart,
              const std::string& guarantee) {
  const auto row = table.concerned.find(chart);
  return row != table.concerned.end() &&
         std::ranges::find(row->second, guarantee) != row->second.end();
}

void WriteGuarantee(const Checker& checker,
                    std::span<const Cell> cells,
                    std::span<const DefectResult> defects,
                    const FaultTable& table,
                    std::ostream& out) {
  const std::string guarantee(checker.guarantee);
  out << "\n## " << guarantee << ": " << checker.text << "\n\n";
  out << "- Checker: "
      << (checker.run == nullptr ? "none yet"
                                 : "tests/matrix, run on every cell")
      << "\n- Cells:";
  const auto proved = ProvedBy(cells, guarantee);
  for (const auto& [chart, count] : proved) {
    out << " " << chart << " " << count << " proved;";
  }
  out << (proved.empty() ? " none" : "") << "\n- Tests:";
  const auto tests = table.tests.find(guarantee);
  if (tests == table.tests.end()) {
    out << " none listed";
  } else {
    for (const std::string& test : tests->second) {
      out << " `" << test << "`;";
    }
  }
  out << "\n- Seeded defects:";
  bool any = false;
  for (const DefectResult& result : defects) {
    if (result.defect.guarantee == guarantee) {
      any = true;
      out << "\n  - " << result.defect.chart << ": " << result.defect.what
          << " (" << (result.caught ? "caught in " : "NOT CAUGHT: ")
          << result.note << ")";
    }
  }
  out << (any ? "" : " none") << "\n- Open:";
  std::map<std::string, std::size_t> open;
  for (const Cell& cell : cells) {
    if (cell.status == CellStatus::kOpen &&
        Concerns(table, cell.chart, guarantee)) {
      ++open[cell.chart];
    }
  }
  for (const auto& [chart, count] : open) {
    out << " " << chart << " " << count << " cells;";
  }
  out << (open.empty() ? " no cell" : "") << "\n";
  const auto points = table.open_points.find(guarantee);
  if (points != table.open_points.end()) {
    for (const std::string& point : points->second) {
      out << "  - " << point << "\n";
    }
  }
}

/// Consecutive cells of a chart with the same fault and reason share a row.
void WriteRows(std::span<const Cell> cells,
               CellStatus status,
               std::ostream& out) {
  std::vector<std::pair<std::string, std::string>> rows;
  for (const Cell& cell : cells) {
    if (cell.status != status) {
      continue;
    }
    const std::string end = " | " + cell.fault + " | " + cell.reason + " |";
    const std::string key = cell.chart + end;
    const auto row = std::ranges::find_if(
        rows, [&](const auto& known) { return known.first == key; });
    if (row == rows.end()) {
      rows.emplace_back(key, "| " + cell.chart + " | " + cell.state);
    } else {
      row->second += ", " + cell.state;
    }
  }
  if (rows.empty()) {
    out << "None.\n";
    return;
  }
  out << "| chart | states | fault | reason |\n| --- | --- | --- | --- |\n";
  for (const auto& [key, start] : rows) {
    out << start << key.substr(key.find(" | ")) << "\n";
  }
}

}  // namespace

void WriteSummary(std::span<const Cell> cells, std::ostream& out) {
  for (const Cell& cell : cells) {
    if (cell.status == CellStatus::kOpen) {
      out << "open: " << cell.Name() << ": " << cell.reason << "\n";
    }
  }
  WriteTotals(Count(cells), out);
}

void WriteProof(std::span<const Cell> cells,
                std::span<const DefectResult> defects,
                const FaultTable& table,
                std::ostream& out) {
  out << "# Proof of the guarantees\n\n"
         "Written by `scripts/matrix --write docs/PROOF.md`; do not edit. A "
         "cell is one state of one chart under one fault of "
         "`tests/matrix/faults.yaml`. It is proved only if the real component "
         "was driven into the state, every step of the fault had an effect, "
         "and the checkers concerned looked at the whole history. The fakes "
         "around the component are part of the test; separate processes and "
         "sockets are not covered here.\n\n";
  const Totals totals = Count(cells);
  WriteTotals(totals, out);
  out << "\nNot applicable, and in no total: " << totals.not_applicable
      << " cells.\n";
  for (const Checker& checker : Checkers()) {
    WriteGuarantee(checker, cells, defects, table, out);
  }
  out << "\n## Open cells\n\n";
  WriteRows(cells, CellStatus::kOpen, out);
  out << "\n## Not applicable\n\n";
  WriteRows(cells, CellStatus::kNotApplicable, out);
}

}  // namespace hickoryusher::matrix
