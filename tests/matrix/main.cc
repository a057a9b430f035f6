#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cells.h"
#include "chart_yaml/load.h"
#include "defects.h"
#include "fault_table.h"
#include "report.h"

namespace hickoryusher::matrix {
namespace {

constexpr int kPassed = 0;
constexpr int kViolation = 1;
constexpr int kBadUsage = 2;

constexpr const char* kChartFolder = HICKORYUSHER_SOURCE_DIR "/charts";
constexpr const char* kFaultFile =
    HICKORYUSHER_SOURCE_DIR "/tests/matrix/faults.yaml";

struct Options {
  bool only_defects = false;
  std::string proof_file;
};

std::optional<Options> ReadOptions(int argc, char** argv) {
  Options options;
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument == "--defects") {
      options.only_defects = true;
    } else if (argument == "--write" && i + 1 < argc) {
      options.proof_file = argv[++i];
    } else {
      std::cerr << "usage: fault_matrix [--defects] [--write FILE]\n";
      return std::nullopt;
    }
  }
  return options;
}

std::vector<std::string> ChartFiles() {
  std::vector<std::string> files;
  for (const auto& file : std::filesystem::directory_iterator(kChartFolder)) {
    if (file.path().extension() == ".yaml") {
      files.push_back(file.path().string());
    }
  }
  std::ranges::sort(files);
  return files;
}

int ReportDefects(const std::vector<DefectResult>& results) {
  for (const DefectResult& result : results) {
    std::cout << (result.caught ? "caught: " : "NOT CAUGHT: ")
              << result.defect.guarantee << " " << result.defect.chart << ": "
              << result.defect.what << ": " << result.note << "\n";
  }
  return std::ranges::all_of(results, &DefectResult::caught) ? kPassed
                                                             : kViolation;
}

int Run(const Options& options) {
  std::string error;
  const std::optional<FaultTable> table = LoadFaultTable(kFaultFile, error);
  if (!table.has_value()) {
    std::cerr << error << "\n";
    return kBadUsage;
  }
  if (options.only_defects) {
    return ReportDefects(RunDefects(*table, kChartFolder));
  }
  std::vector<Cell> cells;
  for (const std::string& file : ChartFiles()) {
    chart_yaml::Loader loader;
    const auto chart = loader.LoadFile(file);
    if (!chart.has_value()) {
      std::cerr << loader.errors().front() << "\n";
      return kBadUsage;
    }
    std::ranges::move(RunChart(*chart, *table, table->faults),
                      std::back_inserter(cells));
  }
  if (!options.proof_file.empty()) {
    std::ofstream proof(options.proof_file);
    WriteProof(cells, RunDefects(*table, kChartFolder), *table, proof);
  }
  WriteSummary(cells, std::cout);
  const bool broken = std::ranges::any_of(
      cells, [](const Cell& cell) { return !cell.violations.empty(); });
  return broken ? kViolation : kPassed;
}

}  // namespace
}  // namespace hickoryusher::matrix

int main(int argc, char** argv) {
  const auto options = hickoryusher::matrix::ReadOptions(argc, argv);
  return options.has_value() ? hickoryusher::matrix::Run(*options)
                             : hickoryusher::matrix::kBadUsage;
}
