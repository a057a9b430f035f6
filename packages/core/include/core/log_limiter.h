#ifndef CORE_LOG_LIMITER_H_
#define CORE_LOG_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/time.h"

namespace hickoryusher::core {

/// Longest text of a caller, such as a path or a host, in a log line.
inline constexpr std::size_t kMaxLoggedText = 200;

/// @returns the part of a caller's text that is logged.
constexpr std::string_view TruncateForLog(std::string_view text) {
  return text.substr(0, kMaxLoggedText);
}

/// Limits the lines of one kind that are logged in a second. Not thread-safe.
class LogLimiter {
 public:
  explicit LogLimiter(std::uint64_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /// @returns nothing if the line is to be omitted, or else how many lines
  /// were omitted since the last one that was logged.
  std::optional<std::uint64_t> Admit(TimePoint now) {
    if (now - second_began_ >= std::chrono::seconds(1)) {
      second_began_ = now;
      lines_ = 0;
    }
    if (lines_ == lines_per_second_) {
      ++suppressed_;
      return std::nullopt;
    }
    ++lines_;
    return std::exchange(suppressed_, 0);
  }

 private:
  std::uint64_t lines_per_second_;
  TimePoint second_began_{};
  std::uint64_t lines_ = 0;
  std::uint64_t suppressed_ = 0;
};

/// Sums up lines of one kind that need not be read one by one. Not thread-safe.
class LogSummary {
 public:
  /// Counts a line. The first one since the last summary begins a second.
  void Count(TimePoint now) {
    if (lines_++ == 0) {
      due_ = now + std::chrono::seconds(1);
    }
  }

  /// @returns when the next summary is due; max() if nothing was counted.
  TimePoint due() const { return due_; }

  /// @returns the lines of a second that is over, once; 0 if none is due.
  std::uint64_t Take(TimePoint now) {
    if (now < due_) {
      return 0;
    }
    due_ = TimePoint::max();
    return std::exchange(lines_, 0);
  }

 private:
  TimePoint due_ = TimePoint::max();
  std::uint64_t lines_ = 0;
};

}  // namespace hickoryusher::core

#endif  // CORE_LOG_LIMITER_H_
