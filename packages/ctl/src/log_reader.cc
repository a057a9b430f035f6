#include "ctl/log_reader.h"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace hickoryusher::ctl {
namespace {

constexpr std::string_view kTimeKey = "time=";

/// Takes an escape of a quoted value apart.
/// @param text begins after the backslash; what was read is removed.
std::optional<char> ReadEscape(std::string_view& text) {
  if (text.empty()) {
    return std::nullopt;
  }
  const char first = text.front();
  text.remove_prefix(1);
  if (first != 'x') {
    return first;
  }
  unsigned value = 0;
  const auto result = std::from_chars(
      text.data(), text.data() + std::min<std::size_t>(text.size(), 2), value,
      16);
  if (result.ptr != text.data() + 2) {
    return std::nullopt;
  }
  text.remove_prefix(2);
  return static_cast<char>(value);
}

std::optional<std::string> ReadValue(std::string_view& text) {
  std::string value;
  if (!text.starts_with('"')) {
    const std::size_t end = std::min(text.find(' '), text.size());
    value = text.substr(0, end);
    text.remove_prefix(end);
    return value;
  }
  text.remove_prefix(1);
  while (!text.empty()) {
    const char c = text.front();
    text.remove_prefix(1);
    if (c == '"') {
      return value;
    }
    if (c != '\\') {
      value += c;
      continue;
    }
    const std::optional<char> escaped = ReadEscape(text);
    if (!escaped) {
      return std::nullopt;
    }
    value += *escaped;
  }
  return std::nullopt;
}

/// Reads `2026-05-21T12:59:57.931`.
std::optional<LogTime> ReadTime(std::string_view text) {
  constexpr std::size_t kLength = 23;
  if (text.size() != kLength) {
    return std::nullopt;
  }
  bool valid = true;
  const auto number = [&](std::size_t first, std::size_t count) {
    int value = 0;
    const char* const begin = text.data() + first;
    const auto result = std::from_chars(begin, begin + count, value);
    valid &= result.ec == std::errc() && result.ptr == begin + count;
    return value;
  };
  const std::chrono::year_month_day day(
      std::chrono::year(number(0, 4)),
      std::chrono::month(static_cast<unsigned>(number(5, 2))),
      std::chrono::day(static_cast<unsigned>(number(8, 2))));
  const auto since_midnight = std::chrono::hours(number(11, 2)) +
                              std::chrono::minutes(number(14, 2)) +
                              std::chrono::seconds(number(17, 2)) +
                              std::chrono::milliseconds(number(20, 3));
  if (!valid || !day.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(day) + since_midnight;
}

}  // namespace

std::string_view LogEntry::Find(std::string_view key) const {
  const auto found = std::ranges::find(pairs, key, [](const auto& pair) {
    return std::string_view(pair.first);
  });
  return found == pairs.end() ? std::string_view() : found->second;
}

std::optional<LogEntry> ParseLogLine(std::string_view line) {
  const std::size_t start =
      line.starts_with(kTimeKey) ? 0 : line.find(" time=");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  LogEntry entry{.source = std::string(line.substr(0, start))};
  line.remove_prefix(start);
  while (true) {
    line.remove_prefix(std::min(line.find_first_not_of(" \r"), line.size()));
    if (line.empty()) {
      break;
    }
    const std::size_t mark = line.find('=');
    if (mark == std::string_view::npos) {
      return std::nullopt;
    }
    std::string key(line.substr(0, mark));
    line.remove_prefix(mark + 1);
    std::optional<std::string> value = ReadValue(line);
    if (!value) {
      return std::nullopt;
    }
    entry.pairs.emplace_back(std::move(key), *std::move(value));
  }
  const std::optional<LogTime> time = ReadTime(entry.Find("time"));
  if (!time || entry.event().empty()) {
    return std::nullopt;
  }
  entry.time = *time;
  return entry;
}

}  // namespace hickoryusher::ctl
