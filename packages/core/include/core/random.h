#ifndef CORE_RANDOM_H_
#define CORE_RANDOM_H_

#include <random>

namespace hickoryusher::core {

/// Random number generator of the decision packages. Seeded by the caller, so
/// that a run can be repeated.
using Random = std::mt19937_64;

}  // namespace hickoryusher::core

#endif  // CORE_RANDOM_H_
