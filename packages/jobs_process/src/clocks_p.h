#ifndef JOBS_PROCESS_SRC_CLOCKS_P_H_
#define JOBS_PROCESS_SRC_CLOCKS_P_H_

#include <chrono>
#include <cstdint>

#include "core/time.h"

namespace hickoryusher::jobs_process {

inline core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

/// @returns the time of day in milliseconds since 1970.
inline std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace hickoryusher::jobs_process

#endif  // JOBS_PROCESS_SRC_CLOCKS_P_H_
