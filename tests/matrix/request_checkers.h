#ifndef MATRIX_REQUEST_CHECKERS_H_
#define MATRIX_REQUEST_CHECKERS_H_

#include <span>

#include "checkers.h"

namespace hickoryusher::matrix {

/// P4: every request ends exactly once, and an answer is its own complete
/// response.
Check CheckOwnResponse(std::span<const Entry> history);

/// P5: no request that was reported as not run has run, or runs later.
Check CheckNotRun(std::span<const Entry> history);

/// P6: no non-idempotent operation runs twice.
Check CheckAtMostOnce(std::span<const Entry> history);

/// P8: no request that was under way is ended by a graceful shutdown.
Check CheckShutdown(std::span<const Entry> history);

}  // namespace hickoryusher::matrix

#endif  // MATRIX_REQUEST_CHECKERS_H_
