#ifndef SETTINGS_SCHEMA_H_
#define SETTINGS_SCHEMA_H_

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "settings/tree.h"
#include "settings/types.h"

namespace hickoryusher::settings {

enum class Type { kBool, kInteger, kNumber, kText, kTextList };

/// What a value at the paths that match @c pattern must be.
struct Rule {
  std::string pattern;  ///< A path; `*` stands for any one name.
  Type type = Type::kText;
  double min = std::numeric_limits<double>::lowest();
  double max = std::numeric_limits<double>::max();
  std::vector<std::string> choices;  ///< Allowed texts; empty for any.
  std::vector<std::string> names{};  ///< Allowed last names; empty for any.
  /// Texts must name an existing subtree: `/failure_domains` requires that
  /// `/failure_domains/<text>` has a value at it or below it.
  std::string reference;
  /// The sum over all paths of this rule must not exceed the value at this
  /// path, for quotas. Empty for no sum.
  std::string sum_limit;
  /// Largest sum of the values with the same parent path, for shares of one
  /// whole.
  double siblings_max = std::numeric_limits<double>::max();
};

/// The known paths.
class Schema {
 public:
  Schema& Add(Rule rule);

  /// @returns every mistake in @p tree, in path order; sums come last.
  std::vector<Mistake> Validate(const Tree& tree) const;

  /// @returns every mistake that @p tree has once @p change took effect, and
  /// a malformed path of the change itself.
  std::vector<Mistake> Validate(const Tree& tree, const Change& change) const;

 private:
  const Rule* FindRule(std::string_view path) const;
  void CheckSum(const Rule& rule,
                const Tree& tree,
                std::vector<Mistake>& mistakes) const;
  void CheckSiblings(const Rule& rule,
                     const Tree& tree,
                     std::vector<Mistake>& mistakes) const;

  std::vector<Rule> rules_;
};

/// @returns the rules of the settings that hickoryusher knows.
Schema KnownSettings();

}  // namespace hickoryusher::settings

#endif  // SETTINGS_SCHEMA_H_
