#ifndef CORE_LOG_LINE_H_
#define CORE_LOG_LINE_H_

#include <concepts>
#include <string>
#include <string_view>

namespace hickoryusher::core {

/// Builds one log line of key=value pairs, starting with `event=NAME`.
///
/// @remarks A value that is empty or contains a space, `=`, `"`, `\`, a
/// control character or a byte outside ASCII is quoted, with `\xNN` for bytes
/// that could break the line. Callers' text cannot forge a pair or a line.
class LogLine {
 public:
  /// @param event name of the event, in snake_case.
  explicit LogLine(std::string_view event);

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

  /// @returns the line so far, without a line end.
  std::string_view text() const { return text_; }

  /// @returns the line, moved out.
  std::string Take() && { return std::move(text_); }

 private:
  LogLine& Append(std::string_view key, std::string_view value);

  std::string text_;
};

}  // namespace hickoryusher::core

#endif  // CORE_LOG_LINE_H_
