#include "settings/schema.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::settings {
namespace {

constexpr std::array<std::string_view, 5> kTypeNames = {
    "true or false", "an integer", "a number", "a text", "a list of texts"};

constexpr std::size_t kMaxChangeIdBytes = 128;

std::string FormatNumber(double number) {
  return std::abs(number) < 1e15 && number == std::floor(number)
             ? std::to_string(static_cast<std::int64_t>(number))
             : std::to_string(number);
}

bool Matches(std::string_view pattern, std::string_view path) {
  while (!pattern.empty() && !path.empty()) {
    const std::string_view want = pattern.substr(0, pattern.find('/', 1));
    const std::string_view name = path.substr(0, path.find('/', 1));
    if (want != "/*" && want != name) {
      return false;
    }
    pattern.remove_prefix(want.size());
    path.remove_prefix(name.size());
  }
  return pattern.empty() && path.empty();
}

bool HasType(const Value& value, Type type) {
  switch (type) {
    case Type::kBool:
      return std::holds_alternative<bool>(value);
    case Type::kInteger:
      return std::holds_alternative<std::int64_t>(value);
    case Type::kNumber:
      return std::holds_alternative<std::int64_t>(value) ||
             std::holds_alternative<double>(value);
    case Type::kText:
      return std::holds_alternative<std::string>(value);
    case Type::kTextList:
      return std::holds_alternative<std::vector<std::string>>(value);
  }
  return false;
}

double NumberOf(const Value& value) {
  return std::visit(
      core::Overloaded{[](std::int64_t v) { return static_cast<double>(v); },
                       [](double v) { return v; },
                       [](const auto&) { return 0.0; }},
      value);
}

std::vector<std::string> TextsOf(const Value& value) {
  return std::visit(
      core::Overloaded{
          [](const std::string& v) { return std::vector<std::string>{v}; },
          [](const std::vector<std::string>& v) { return v; },
          [](const auto&) { return std::vector<std::string>(); }},
      value);
}

std::string Join(std::span<const std::string> texts) {
  std::string joined;
  for (const std::string& text : texts) {
    joined += (joined.empty() ? "" : ", ") + text;
  }
  return joined;
}

bool AllowsName(const Rule& rule, std::string_view path) {
  const std::string_view name = path.substr(path.rfind('/') + 1);
  return rule.names.empty() ||
         std::ranges::find(rule.names, name) != rule.names.end();
}

void CheckRange(const Rule& rule,
                std::string_view path,
                const Value& value,
                std::vector<Mistake>& mistakes) {
  const double number = NumberOf(value);
  // Written so that a value that is not a number fails.
  if (!(number >= rule.min && number <= rule.max)) {
    mistakes.push_back({.path = std::string(path),
                        .expected = "a value from " + FormatNumber(rule.min) +
                                    " to " + FormatNumber(rule.max),
                        .found = ToText(value)});
  }
}

void CheckTexts(const Rule& rule,
                std::string_view path,
                const Value& value,
                const Tree& tree,
                std::vector<Mistake>& mistakes) {
  for (const std::string& text : TextsOf(value)) {
    if (!rule.choices.empty() &&
        std::ranges::find(rule.choices, text) == rule.choices.end()) {
      mistakes.push_back({.path = std::string(path),
                          .expected = "one of " + Join(rule.choices),
                          .found = text});
    }
    if (!rule.reference.empty() &&
        !(IsPath("/" + text) && tree.HasSubtree(rule.reference + "/" + text))) {
      mistakes.push_back({.path = std::string(path),
                          .expected = "a name under " + rule.reference,
                          .found = text});
    }
  }
}

}  // namespace

Schema& Schema::Add(Rule rule) {
  rules_.push_back(std::move(rule));
  return *this;
}

std::vector<Mistake> Schema::Validate(const Tree& tree) const {
  std::vector<Mistake> mistakes;
  tree.ForEach([&](std::string_view path, const Value& value) {
    const Rule* rule = FindRule(path);
    if (rule == nullptr || !AllowsName(*rule, path)) {
      mistakes.push_back({.path = std::string(path),
                          .expected = "a known path",
                          .found = "an unknown path"});
      return;
    }
    if (!HasType(value, rule->type)) {
      mistakes.push_back({.path = std::string(path),
                          .expected = std::string(
                              kTypeNames[static_cast<std::size_t>(rule->type)]),
                          .found = ToText(value)});
      return;
    }
    if (rule->type == Type::kInteger || rule->type == Type::kNumber) {
      CheckRange(*rule, path, value, mistakes);
    }
    CheckTexts(*rule, path, value, tree, mistakes);
  });
  for (const Rule& rule : rules_) {
    CheckSum(rule, tree, mistakes);
    CheckSiblings(rule, tree, mistakes);
  }
  return mistakes;
}

std::vector<Mistake> Schema::Validate(const Tree& tree,
                                      const Change& change) const {
  std::vector<Mistake> mistakes;
  if (!IsPath(change.path)) {
    mistakes.push_back({.path = change.path,
                        .expected = "a path of names of a-z, 0-9, _, - and .",
                        .found = change.path});
  }
  if (change.id.size() > kMaxChangeIdBytes || !IsPath("/" + change.id)) {
    mistakes.push_back({.path = change.path,
                        .expected = "a change id of a-z, 0-9, _, - and .",
                        .found = change.id});
  }
  if (!mistakes.empty()) {
    return mistakes;
  }
  return Validate(tree.With(change));
}

const Rule* Schema::FindRule(std::string_view path) const {
  const auto found = std::ranges::find_if(
      rules_, [path](const Rule& rule) { return Matches(rule.pattern, path); });
  return found == rules_.end() ? nullptr : &*found;
}

void Schema::CheckSum(const Rule& rule,
                      const Tree& tree,
                      std::vector<Mistake>& mistakes) const {
  if (rule.sum_limit.empty()) {
    return;
  }
  double sum = 0;
  tree.ForEach([&](std::string_view path, const Value& value) {
    sum += Matches(rule.pattern, path) ? NumberOf(value) : 0;
  });
  const Value* limit = tree.Find(rule.sum_limit);
  const double allowed = limit == nullptr ? 0 : NumberOf(*limit);
  if (sum > allowed) {
    mistakes.push_back({.path = rule.pattern,
                        .expected = "a sum of at most " +
                                    FormatNumber(allowed) + " (" +
                                    rule.sum_limit + ")",
                        .found = FormatNumber(sum)});
  }
}

void Schema::CheckSiblings(const Rule& rule,
                           const Tree& tree,
                           std::vector<Mistake>& mistakes) const {
  if (rule.siblings_max == std::numeric_limits<double>::max()) {
    return;
  }
  std::map<std::string, double, std::less<>> sums;
  tree.ForEach([&](std::string_view path, const Value& value) {
    if (Matches(rule.pattern, path)) {
      sums[std::string(path.substr(0, path.rfind('/')))] += NumberOf(value);
    }
  });
  for (const auto& [parent, sum] : sums) {
    if (sum > rule.siblings_max) {
      mistakes.push_back(
          {.path = parent,
           .expected = "a sum of at most " + FormatNumber(rule.siblings_max),
           .found = FormatNumber(sum)});
    }
  }
}

Schema KnownSettings() {
  constexpr double kMaxTeamCpuMillis = 32'000.0 * 1000;
  constexpr double kMaxDeadlineMs = 600'000;
  Schema schema;
  schema.Add({.pattern = "/failure_domains/*/region"})
      .Add({.pattern = "/capacity/cpu_millis",
            .type = Type::kInteger,
            .min = 0,
            .max = kMaxTeamCpuMillis})
      .Add({.pattern = "/capacity/accelerators",
            .type = Type::kInteger,
            .min = 0,
            .max = 100'000})
      .Add({.pattern = "/admin/keys/*"})
      .Add({.pattern = "/teams/*/keys/*"})
      .Add({.pattern = "/teams/*/quota/cpu_millis",
            .type = Type::kInteger,
            .min = 0,
            .max = kMaxTeamCpuMillis,
            .sum_limit = "/capacity/cpu_millis"})
      .Add({.pattern = "/teams/*/quota/accelerators",
            .type = Type::kInteger,
            .min = 0,
            .max = 100'000,
            .sum_limit = "/capacity/accelerators"})
      .Add({.pattern = "/teams/*/services/*/class",
            .choices = {"latency_critical", "batch", "watcher"}})
      .Add({.pattern = "/teams/*/services/*/deadline_ms",
            .type = Type::kInteger,
            .min = 1,
            .max = kMaxDeadlineMs})
      .Add({.pattern = "/teams/*/services/*/failure_domains",
            .type = Type::kTextList,
            .reference = "/failure_domains"})
      .Add({.pattern = "/teams/*/services/*/enabled", .type = Type::kBool})
      .Add({.pattern = "/teams/*/services/*/share",
            .type = Type::kNumber,
            .min = 0,
            .max = 1})
      .Add({.pattern = "/teams/*/services/*/first_byte_timeout_ms",
            .type = Type::kInteger,
            .min = 1,
            .max = kMaxDeadlineMs})
      .Add({.pattern = "/teams/*/services/*/floors/*",
            .type = Type::kNumber,
            .min = 0,
            .max = 1,
            .names = {"latency_critical", "batch", "watcher"},
            .siblings_max = 1});
  return schema;
}

}  // namespace hickoryusher::settings
