#ifndef MATRIX_CHECKERS_H_
#define MATRIX_CHECKERS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "history.h"

namespace hickoryusher::matrix {

struct Check {
  bool looked = false;  ///< The history holds what the guarantee is about.
  std::vector<std::string> violations;
};

/// Checks one guarantee of docs/design.md against a whole history.
struct Checker {
  std::string_view guarantee;
  std::string_view text;
  Check (*run)(std::span<const Entry> history);
};

/// @returns the checkers in order of their guarantees; `run` is null where
/// there is none yet.
std::span<const Checker> Checkers();

}  // namespace hickoryusher::matrix

#endif  // MATRIX_CHECKERS_H_
