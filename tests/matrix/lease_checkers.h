#ifndef MATRIX_LEASE_CHECKERS_H_
#define MATRIX_LEASE_CHECKERS_H_

#include <span>

#include "checkers.h"

namespace hickoryusher::matrix {

/// P2: no task runs on two workers at the same time, no two processes may claim
/// tasks of one slice at the same time, and a task that has to run does.
Check CheckOnePlace(std::span<const Entry> history);

/// P1: the tasks of a worker never use more than it has.
Check CheckCapacity(std::span<const Entry> history);

/// P3: every checkpoint of an evicted attempt is resumed by the next attempt
/// and by no other, and every resumption has a whole checkpoint.
Check CheckResumedOnce(std::span<const Entry> history);

}  // namespace hickoryusher::matrix

#endif  // MATRIX_LEASE_CHECKERS_H_
