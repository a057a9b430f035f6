#ifndef MATRIX_SETTINGS_CHECKERS_H_
#define MATRIX_SETTINGS_CHECKERS_H_

#include <span>

#include "checkers.h"

namespace hickoryusher::matrix {

/// P9: an accepted change is written and stays, a refused one is not written,
/// no change is written twice, no head moves back, and in the end every process
/// shows the last change.
Check CheckSettings(std::span<const Entry> history);

}  // namespace hickoryusher::matrix

#endif  // MATRIX_SETTINGS_CHECKERS_H_
