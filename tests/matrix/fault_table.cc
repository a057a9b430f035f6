#include "fault_table.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>

namespace hickoryusher::matrix {
namespace {

core::Duration Millis(const YAML::Node& node, const char* key) {
  return std::chrono::milliseconds(node[key].as<int>());
}

using Reader = std::function<Step(const YAML::Node&)>;

const std::map<std::string, Reader, std::less<>>& Readers() {
  static const std::map<std::string, Reader, std::less<>> kReaders = {
      {"kill", [](const YAML::Node&) { return Kill{}; }},
      {"pause", [](const YAML::Node& n) { return Pause{Millis(n, "ms")}; }},
      {"cut",
       [](const YAML::Node& n) {
         return Cut{.in = n["in"].as<bool>(false),
                    .out = n["out"].as<bool>(false),
                    .lasts = Millis(n, "ms")};
       }},
      {"drop_answers",
       [](const YAML::Node& n) {
         return DropAnswers{n["count"].as<std::size_t>(1)};
       }},
      {"delay",
       [](const YAML::Node& n) {
         return Delay{Millis(n, "by_ms"), Millis(n, "ms")};
       }},
      {"duplicate",
       [](const YAML::Node& n) {
         return Duplicate{Millis(n, "by_ms"), Millis(n, "ms")};
       }},
      {"reorder",
       [](const YAML::Node& n) {
         return Reorder{Millis(n, "by_ms"), Millis(n, "ms")};
       }},
      {"repeat_last", [](const YAML::Node&) { return RepeatLast{}; }},
      {"repeat_earlier", [](const YAML::Node&) { return RepeatEarlier{}; }},
      {"refuse_store",
       [](const YAML::Node& n) { return RefuseStore{Millis(n, "ms")}; }},
      {"slow_store",
       [](const YAML::Node& n) {
         return SlowStore{Millis(n, "by_ms"), Millis(n, "ms")};
       }},
      {"clock_rate",
       [](const YAML::Node& n) {
         return ClockRate{n["percent"].as<int>(), Millis(n, "ms")};
       }},
      {"fill_rings",
       [](const YAML::Node& n) { return FillRings{Millis(n, "ms")}; }},
      {"vm_leaving", [](const YAML::Node&) { return VmLeaving{}; }},
      {"operator_change", [](const YAML::Node&) { return OperatorChange{}; }},
      {"terminate", [](const YAML::Node&) { return Terminate{}; }},
      {"advance", [](const YAML::Node& n) { return Advance{Millis(n, "ms")}; }},
  };
  return kReaders;
}

Step ReadStep(const YAML::Node& node) {
  const bool is_map = node.IsMap();
  const auto name =
      is_map ? node.begin()->first.as<std::string>() : node.as<std::string>();
  const auto reader = Readers().find(name);
  if (reader == Readers().end()) {
    throw YAML::Exception(node.Mark(), "unknown step '" + name + "'");
  }
  return reader->second(is_map ? node.begin()->second : YAML::Node());
}

Fault ReadFault(const YAML::Node& node) {
  Fault fault{.name = node["name"].as<std::string>()};
  for (const YAML::Node& step : node["steps"]) {
    fault.steps.push_back(ReadStep(step));
  }
  for (const YAML::Node& row : node["not_applicable"]) {
    fault.exemptions.push_back(
        {.chart = row["chart"].as<std::string>(),
         .states = row["states"].as<std::vector<std::string>>(
             std::vector<std::string>{}),
         .reason = row["reason"].as<std::string>()});
  }
  for (const auto& row : node["checks"]) {
    fault.checks[row.first.as<std::string>()] =
        row.second.as<std::vector<std::string>>();
  }
  return fault;
}

Fault Pair(const YAML::Node& node, const std::vector<Fault>& faults) {
  Fault pair;
  for (const YAML::Node& item : node) {
    const auto name = item.as<std::string>();
    const auto found = std::ranges::find(faults, name, &Fault::name);
    if (found == faults.end()) {
      throw YAML::Exception(item.Mark(), "unknown fault '" + name + "'");
    }
    pair.name += (pair.name.empty() ? "" : " + ") + name;
    std::ranges::copy(found->steps, std::back_inserter(pair.steps));
    std::ranges::copy(found->exemptions, std::back_inserter(pair.exemptions));
    pair.checks.insert(found->checks.begin(), found->checks.end());
  }
  return pair;
}

/// Reads a map of lists of texts.
TextLists ReadLists(const YAML::Node& node) {
  TextLists lists;
  for (const auto& row : node) {
    lists[row.first.as<std::string>()] =
        row.second.as<std::vector<std::string>>();
  }
  return lists;
}

FaultTable Read(const YAML::Node& root) {
  FaultTable table;
  table.concerned = ReadLists(root["concerned"]);
  table.tests = ReadLists(root["tests"]);
  table.open_points = ReadLists(root["open_points"]);
  for (const YAML::Node& node : root["faults"]) {
    table.faults.push_back(ReadFault(node));
  }
  const std::vector<Fault> singles = table.faults;
  for (const YAML::Node& node : root["pairs"]) {
    table.faults.push_back(Pair(node, singles));
  }
  for (const YAML::Node& node : root["defects"]) {
    table.defects.push_back({.guarantee = node["guarantee"].as<std::string>(),
                             .chart = node["chart"].as<std::string>(),
                             .what = node["what"].as<std::string>(),
                             .from = node["from"].as<std::string>(),
                             .to = node["to"].as<std::string>()});
  }
  return table;
}

}  // namespace

std::optional<std::string> Fault::ReasonNotApplicable(
    std::string_view chart,
    std::string_view state) const {
  const auto found = std::ranges::find_if(exemptions, [&](const auto& row) {
    return row.chart == chart &&
           (row.states.empty() ||
            std::ranges::find(row.states, state) != row.states.end());
  });
  return found == exemptions.end() ? std::nullopt
                                   : std::optional(found->reason);
}

std::optional<FaultTable> LoadFaultTable(const std::string& path,
                                         std::string& error) {
  try {
    return Read(YAML::LoadFile(path));
  } catch (const YAML::Exception& failure) {
    error = path + ": " + failure.what();
    return std::nullopt;
  }
}

}  // namespace hickoryusher::matrix
