#ifndef CORE_LOG_LINE_H_
#define CORE_LOG_LINE_H_

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>

namespace hickoryusher::core {

/// What a reader of a long log looks for first.
enum class LogLevel {
  kInfo,
  kWarning,  ///< A task may run twice, late or not at all, or be refused.
  kError,    ///< A person has to act: stored data or a chart cannot be used.
};

/// @returns `info`, `warning` or `error`.
std::string_view ToString(LogLevel level);

/// Builds one log line of key=value pairs, starting with `event=NAME`.
///
/// @remarks A value that is empty or contains a space, `=`, `"`, `\`, a
/// control character or a byte outside ASCII is quoted, with `\xNN` for bytes
/// that could break the line. Callers' text cannot forge a pair or a line.
class LogLine {
 public:
  /// @param event name of the event, in snake_case.
  explicit LogLine(std::string_view event, LogLevel level = LogLevel::kInfo);

  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, const char* value) {
    return Add(key, std::string_view(value));
  }
  LogLine& Add(std::string_view key, bool value) {
    return Add(key, std::string_view(value ? "true" : "false"));
  }
  template <std::integral Integer>
  LogLine& Add(std::string_view key, Integer value) {
    return Append(key, std::to_string(value));
  }
  LogLine& Add(std::string_view key, double value);

  LogLevel level() const { return level_; }

  /// @returns the line so far, without its level and a line end.
  std::string_view text() const { return text_; }

  /// @returns the line with `level=LEVEL` after the event.
  std::string TextWithLevel() const;

  /// @returns the line without its level, moved out.
  std::string Take() && { return std::move(text_); }

 private:
  LogLine& Append(std::string_view key, std::string_view value);

  std::string text_;
  std::size_t event_size_ = 0;  ///< Of the pair with the event.
  LogLevel level_;
};

}  // namespace hickoryusher::core

#endif  // CORE_LOG_LINE_H_
