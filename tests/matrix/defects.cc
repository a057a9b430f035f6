#include "defects.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <span>
#include <sstream>

#include "cells.h"
#include "chart_yaml/load.h"

namespace hickoryusher::matrix {
namespace {

DefectResult RunDefect(const Defect& defect,
                       const FaultTable& table,
                       const std::string& chart_folder) {
  DefectResult result{.defect = defect};
  const std::ifstream file(chart_folder + "/" + defect.chart + ".yaml");
  std::ostringstream content;
  content << file.rdbuf();
  std::string text = content.str();
  const std::size_t at = text.find(defect.from);
  if (at == std::string::npos) {
    result.note = "the text to replace is not in the chart";
    return result;
  }
  text.replace(at, defect.from.size(), defect.to);
  chart_yaml::Loader loader;
  const auto chart = loader.LoadText(text, defect.chart);
  if (!chart.has_value()) {
    result.note = loader.errors().front();
    return result;
  }
  result.note = "no cell reports it";
  for (const Fault& fault : table.faults) {
    const std::vector<Cell> cells =
        RunChart(*chart, table, std::span(&fault, 1));
    const auto found = std::ranges::find_if(cells, [&](const Cell& cell) {
      return cell.violated.contains(defect.guarantee);
    });
    if (found != cells.end()) {
      result.caught = true;
      result.note = found->Name();
      break;
    }
  }
  return result;
}

}  // namespace

std::vector<DefectResult> RunDefects(const FaultTable& table,
                                     const std::string& chart_folder) {
  std::vector<DefectResult> results;
  results.reserve(table.defects.size());
  for (const Defect& defect : table.defects) {
    results.push_back(RunDefect(defect, table, chart_folder));
  }
  return results;
}

}  // namespace hickoryusher::matrix
