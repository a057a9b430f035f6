#ifndef CORE_TIME_H_
#define CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace hickoryusher::core {

using Duration = std::chrono::nanoseconds;

/// A point on the monotonic clock of one process. Points of different
/// processes cannot be compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::nanoseconds>;

/// @returns @p duration in whole milliseconds, rounded towards zero.
constexpr std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace hickoryusher::core

#endif  // CORE_TIME_H_
