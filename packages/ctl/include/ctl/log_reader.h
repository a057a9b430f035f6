#ifndef CTL_LOG_READER_H_
#define CTL_LOG_READER_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickoryusher::ctl {

/// Time of day, as written; UTC.
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// One line of a process's log, as core::LogLine writes it.
struct LogEntry {
  std::string source;  ///< What stands before the first pair.
  LogTime time;
  std::vector<std::pair<std::string, std::string>> pairs;

  /// @returns the first value of @p key; an empty text if there is none.
  std::string_view Find(std::string_view key) const;
  std::string_view event() const { return Find("event"); }
};

/// @returns nothing unless the line has a time and an event. Text before the
/// time, as log collectors add it, is kept in LogEntry::source.
std::optional<LogEntry> ParseLogLine(std::string_view line);

}  // namespace hickoryusher::ctl

#endif  // CTL_LOG_READER_H_
