#include "chart_yaml/load.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <sstream>

namespace hickoryusher::chart_yaml {
namespace {

constexpr std::array<std::string_view, 4> kChartKeys = {"chart", "initial",
                                                        "events", "states"};
constexpr std::array<std::string_view, 6> kStateKeys = {
    "final", "entry", "exit", "on", "timers", "ignore"};
constexpr std::array<std::string_view, 3> kTransitionKeys = {"guard", "target",
                                                             "actions"};

int LineOf(const YAML::Node& node) {
  return node.Mark().line + 1;
}

/// Turns YAML nodes into the builder's specs and collects faults of form.
class Reader {
 public:
  std::vector<chart::Problem>& problems() { return problems_; }

  void ReadChart(const YAML::Node& root, chart::ChartBuilder& builder) {
    if (!CheckMap(root, kChartKeys, "a chart")) {
      return;
    }
    builder.Name(ReadText(root["chart"], "chart"));
    const YAML::Node initial = root["initial"];
    builder.Initial(ReadText(initial, "initial"),
                    initial ? LineOf(initial) : 1);
    const YAML::Node events = root["events"];
    for (const std::string& event : ReadList(events, "events")) {
      builder.Event(event, LineOf(events));
    }
    const YAML::Node states = root["states"];
    if (!states || !states.IsMap()) {
      Add(root, "states: expected a map of states");
      return;
    }
    for (const auto& entry : states) {
      builder.AddState(ReadState(entry.first, entry.second));
    }
  }

 private:
  chart::StateSpec ReadState(const YAML::Node& name, const YAML::Node& node) {
    chart::StateSpec state{.name = name.as<std::string>(),
                           .line = LineOf(name)};
    if (!CheckMap(node, kStateKeys, "state '" + state.name + "'")) {
      return state;
    }
    if (const YAML::Node final = node["final"]) {
      state.final = final.as<bool>();
    }
    state.entry = ReadList(node["entry"], "entry");
    state.exit = ReadList(node["exit"], "exit");
    state.ignored = ReadList(node["ignore"], "ignore");
    for (const auto& timer : MapOrEmpty(node["timers"], "timers")) {
      state.timers.push_back({.duration = timer.first.as<std::string>(),
                              .event = timer.second.as<std::string>(),
                              .line = LineOf(timer.first)});
    }
    for (const auto& entry : MapOrEmpty(node["on"], "on")) {
      ReadTransitions(entry.first.as<std::string>(), entry.second,
                      state.transitions);
    }
    return state;
  }

  void ReadTransitions(const std::string& event,
                       const YAML::Node& node,
                       std::vector<chart::TransitionSpec>& out) {
    if (node.IsSequence()) {
      std::ranges::for_each(node, [&](const YAML::Node& item) {
        ReadTransitions(event, item, out);
      });
      return;
    }
    chart::TransitionSpec transition{.event = event, .line = LineOf(node)};
    if (node.IsScalar()) {
      transition.target = node.as<std::string>();
    } else if (CheckMap(node, kTransitionKeys, "event '" + event + "'")) {
      transition.target = ReadText(node["target"], "target");
      if (const YAML::Node guard = node["guard"]) {
        transition.guard = ReadText(guard, "guard");
      }
      transition.actions = ReadList(node["actions"], "actions");
    }
    out.push_back(std::move(transition));
  }

  std::string ReadText(const YAML::Node& node, const std::string& key) {
    if (!node || !node.IsScalar()) {
      Add(node, key + ": expected a name");
      return {};
    }
    return node.as<std::string>();
  }

  std::vector<std::string> ReadList(const YAML::Node& node,
                                    const std::string& key) {
    std::vector<std::string> names;
    if (!node) {
      return names;
    }
    if (!node.IsSequence()) {
      Add(node, key + ": expected a list of names");
      return names;
    }
    std::ranges::transform(
        node, std::back_inserter(names),
        [&](const YAML::Node& item) { return ReadText(item, key); });
    return names;
  }

  YAML::Node MapOrEmpty(const YAML::Node& node, const std::string& key) {
    if (node && !node.IsMap()) {
      Add(node, key + ": expected a map");
    }
    return node && node.IsMap() ? node : YAML::Node(YAML::NodeType::Map);
  }

  bool CheckMap(const YAML::Node& node,
                std::span<const std::string_view> keys,
                const std::string& what) {
    if (!node || !node.IsMap()) {
      Add(node, what + ": expected a map");
      return false;
    }
    for (const auto& entry : node) {
      const auto key = entry.first.as<std::string>();
      if (std::ranges::find(keys, key) == keys.end()) {
        Add(entry.first, what + ": unknown key '" + key + "'");
      }
    }
    return true;
  }

  void Add(const YAML::Node& node, std::string text) {
    problems_.push_back(
        {.line = node ? LineOf(node) : 1, .text = std::move(text)});
  }

  std::vector<chart::Problem> problems_;
};

std::vector<std::string> Format(std::string_view path,
                                std::span<const chart::Problem> problems) {
  std::vector<std::string> errors;
  std::ranges::transform(problems, std::back_inserter(errors),
                         [path](const chart::Problem& problem) {
                           return std::string(path) + ":" +
                                  std::to_string(problem.line) + ": " +
                                  problem.text;
                         });
  return errors;
}

}  // namespace

std::optional<chart::Chart> Loader::LoadFile(std::string_view path) {
  const std::ifstream file{std::string(path)};
  if (!file) {
    errors_ = {std::string(path) + ":0: cannot be read"};
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return LoadText(text.str(), path);
}

std::optional<chart::Chart> Loader::LoadText(std::string_view text,
                                             std::string_view path) {
  errors_.clear();
  Reader reader;
  chart::ChartBuilder builder;
  try {
    reader.ReadChart(YAML::Load(std::string(text)), builder);
  } catch (const YAML::Exception& error) {
    reader.problems().push_back(
        {.line = error.mark.line + 1, .text = error.msg});
  }
  if (!reader.problems().empty()) {
    errors_ = Format(path, reader.problems());
    return std::nullopt;
  }
  std::optional<chart::Chart> chart = builder.Build();
  errors_ = Format(path, builder.problems());
  return chart;
}

}  // namespace hickoryusher::chart_yaml
