#include <algorithm>
#include <cmath>
#include <iterator>
#include <regex>
#include <utility>

#include "reader_p.h"

namespace hickoryusher::config {
namespace {

int LineOf(const YAML::Node& node) {
  return node.IsDefined() ? node.Mark().line + 1 : 1;
}

std::string Describe(const YAML::Node& node) {
  if (!node.IsDefined() || node.IsNull()) {
    return "nothing";
  }
  if (node.IsScalar()) {
    return "'" + node.Scalar() + "'";
  }
  return node.IsMap() ? "a map" : "a list";
}

std::string RangeText(IntegerRange range) {
  return "an integer from " + std::to_string(range.least) + " to " +
         std::to_string(range.most);
}

}  // namespace

void Faults::Add(const YAML::Node& node,
                 std::string_view key,
                 std::string_view expected) {
  AddAt(LineOf(node), std::string(key) + ": expected " + std::string(expected) +
                          ", found " + Describe(node));
}

void Faults::AddAt(int line, std::string text) {
  list_.push_back({.line = line, .text = std::move(text)});
}

Section::Section(const YAML::Node& node,
                 std::string path,
                 Faults& faults,
                 std::initializer_list<std::string_view> allowed)
    : node_(node.IsDefined() && node.IsMap() ? node
                                             : YAML::Node(YAML::NodeType::Map)),
      path_(std::move(path)),
      faults_(faults) {
  if (!node.IsDefined() || !node.IsMap()) {
    faults_.Add(node, path_.empty() ? "settings" : path_, "a map");
  }
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>();
    if (std::ranges::find(allowed, key) == allowed.end()) {
      faults_.AddAt(
          LineOf(entry.first),
          PathOf(key) + ": expected a known key, found an unknown one");
    }
  }
}

std::string Section::Text(std::string_view key) {
  const YAML::Node value = Find(key);
  if (!value.IsDefined() || !value.IsScalar() || value.Scalar().empty()) {
    faults_.Add(value.IsDefined() ? value : node_, PathOf(key), "a text");
    return {};
  }
  return value.Scalar();
}

std::string Section::TextOr(std::string_view key, std::string_view fallback) {
  return Find(key).IsDefined() ? Text(key) : std::string(fallback);
}

std::int64_t Section::IntegerOr(std::string_view key,
                                std::int64_t fallback,
                                IntegerRange range) {
  return Find(key).IsDefined() ? Integer(key, range) : fallback;
}

std::int64_t Section::Integer(std::string_view key, IntegerRange range) {
  const YAML::Node value = Find(key);
  std::int64_t number = 0;
  const bool read = value.IsDefined() && value.IsScalar() &&
                    YAML::convert<std::int64_t>::decode(value, number);
  if (!read || number < range.least || number > range.most) {
    faults_.Add(value.IsDefined() ? value : node_, PathOf(key),
                RangeText(range));
    return range.least;
  }
  return number;
}

core::Duration Section::MillisOr(std::string_view key,
                                 std::int64_t fallback,
                                 IntegerRange range) {
  return std::chrono::milliseconds(IntegerOr(key, fallback, range));
}

double Section::FractionOr(std::string_view key, double fallback) {
  const YAML::Node value = Find(key);
  if (!value.IsDefined()) {
    return fallback;
  }
  double number = -1;
  const bool read =
      value.IsScalar() && YAML::convert<double>::decode(value, number);
  if (!read || !(number >= 0 && number <= 1)) {
    faults_.Add(value, PathOf(key), "a number from 0 to 1");
    return 0;
  }
  return number;
}

std::string Section::KeyHashOr(std::string_view key) {
  static const std::regex kPattern("sha256:[0-9a-f]{32}:[0-9a-f]{64}");
  const YAML::Node value = Find(key);
  if (!value.IsDefined()) {
    return {};
  }
  if (!value.IsScalar() || !std::regex_match(value.Scalar(), kPattern)) {
    faults_.Add(value, PathOf(key),
                "sha256:<32 hex digits>:<64 hex digits> in lower case");
    return {};
  }
  return value.Scalar();
}

std::string Section::Url(std::string_view key) {
  static const std::regex kPattern(R"(http://\d{1,3}(\.\d{1,3}){3}:\d{1,5})");
  const YAML::Node value = Find(key);
  if (!value.IsDefined() || !value.IsScalar() ||
      !std::regex_match(value.Scalar(), kPattern)) {
    faults_.Add(value.IsDefined() ? value : node_, PathOf(key),
                "http://IP:PORT");
    return {};
  }
  return value.Scalar();
}

std::vector<YAML::Node> Section::List(std::string_view key) {
  const YAML::Node value = Find(key);
  if (!value.IsDefined() || !value.IsSequence() || value.size() == 0) {
    faults_.Add(value.IsDefined() ? value : node_, PathOf(key),
                "a list with at least one element");
    return {};
  }
  return {value.begin(), value.end()};
}

YAML::Node Section::Child(std::string_view key) const {
  return Find(key);
}

std::string Section::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

YAML::Node Section::Find(std::string_view key) const {
  return std::as_const(node_)[std::string(key)];
}

}  // namespace hickoryusher::config
