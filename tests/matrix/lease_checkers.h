#ifndef MATRIX_LEASE_CHECKERS_H_
#define MATRIX_LEASE_CHECKERS_H_

#include <span>

#include "checkers.h"

namespace hickoryusher::matrix {

/// P2: no task runs on two workers at the same time, no two processes may claim
/// tasks of one slice at the same time, and a task that has to run does.
Check CheckOnePlace(std::span<const Entry> history);

}  // namespace hickoryusher::matrix

#endif  // MATRIX_LEASE_CHECKERS_H_
