#ifndef JOBS_STORE_CLOCK_H_
#define JOBS_STORE_CLOCK_H_

#include <cstdint>

#include "core/time.h"

namespace hickoryusher::jobs {

/// The store's steady clock, as its last answer showed it.
struct StoreClock {
  std::int64_t shown_ms = 0;  ///< 0 if it is unknown.
  core::TimePoint sent;       ///< When the answered call was sent.

  bool known() const { return shown_ms != 0; }

  /// @returns a time that the store's clock does not show before @p at.
  std::int64_t LatestAt(core::TimePoint at) const {
    return shown_ms + core::ToMillis(at - sent);
  }
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_STORE_CLOCK_H_
