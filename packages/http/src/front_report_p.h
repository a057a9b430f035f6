#ifndef HTTP_FRONT_REPORT_P_H_
#define HTTP_FRONT_REPORT_P_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/log_limiter.h"
#include "core/log_line.h"
#include "core/time.h"
#include "http/front.h"

namespace hickoryusher::http {

/// Counts what a front refuses and closes, and limits its log lines.
/// Thread-safe.
class FrontReport {
 public:
  explicit FrontReport(core::Duration interval) : interval_(interval) {}

  /// Counts a refusal.
  /// @returns the line, with the number of omitted ones, unless it is omitted
  /// itself.
  std::optional<core::LogLine> Refused(core::LogLine line,
                                       std::string_view reason,
                                       core::TimePoint now);

  /// Counts a connection that the front closed, like Refused().
  std::optional<core::LogLine> Closed(core::LogLine line,
                                      std::string_view reason,
                                      core::TimePoint now);

  /// Like Refused(), for a response that reached nobody.
  std::optional<core::LogLine> Dropped(core::LogLine line, core::TimePoint now);

  void AddTotals(FrontCounters& counters) const;

  /// @returns `event=front_limits` if its values changed since the last one
  /// and that is an interval ago.
  std::optional<core::LogLine> DueLine(std::uint16_t port,
                                       const FrontCounters& counters,
                                       core::TimePoint now);

  /// @returns true if a change has not been logged yet.
  bool IsBehind(const FrontCounters& counters) const;

 private:
  // A crowd can cause thousands of lines a second, and the log takes 4,096 in
  // 50 ms for the whole process.
  static constexpr std::uint64_t kLinesPerSecond = 20;

  const core::Duration interval_;
  mutable std::mutex mutex_;
  core::LogLimiter refused_lines_{kLinesPerSecond};
  core::LogLimiter closed_lines_{kLinesPerSecond};
  core::LogLimiter dropped_lines_{kLinesPerSecond};
  std::map<std::string, std::uint64_t, std::less<>> refused_;
  std::map<std::string, std::uint64_t, std::less<>> closed_;
  FrontCounters logged_;
  std::optional<core::TimePoint> logged_at_;
};

}  // namespace hickoryusher::http

#endif  // HTTP_FRONT_REPORT_P_H_
