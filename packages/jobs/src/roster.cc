#include "jobs/roster.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <optional>
#include <ranges>
#include <sstream>

namespace hickoryusher::jobs {
namespace {

// Stands between an address and the time at which the last lease is over.
constexpr char kOverMark = '@';
// Before each late start. Readers that know none ignore what follows the time.
constexpr char kLateStartMark = '!';
constexpr char kFieldMark = ',';

template <typename Number>
bool ReadNumber(std::string_view text, Number& number) {
  const char* end = text.data() + text.size();
  return std::from_chars(text.data(), end, number).ptr == end && !text.empty();
}

std::string ToText(const RosterLateStart& start) {
  std::string text = kLateStartMark + start.job;
  const std::array<std::int64_t, 4> numbers = {
      start.task, static_cast<std::int64_t>(start.run), start.copies,
      start.until_ms};
  std::ranges::for_each(numbers, [&](std::int64_t number) {
    text += kFieldMark + std::to_string(number);
  });
  return text;
}

std::optional<RosterLateStart> ParseLateStart(std::string_view text) {
  std::vector<std::string_view> fields;
  std::ranges::transform(std::views::split(text, kFieldMark),
                         std::back_inserter(fields), [](const auto& field) {
                           return std::string_view(field.begin(), field.end());
                         });
  RosterLateStart start;
  if (fields.size() != 5 || !ReadNumber(fields[1], start.task) ||
      !ReadNumber(fields[2], start.run) ||
      !ReadNumber(fields[3], start.copies) ||
      !ReadNumber(fields[4], start.until_ms)) {
    return std::nullopt;
  }
  start.job = fields[0];
  return start;
}

}  // namespace

std::string EncodeRoster(std::span<const RosterEntry> entries) {
  std::string text;
  for (const RosterEntry& entry : entries) {
    text += entry.id + ' ' + entry.address;
    if (entry.over_ms != 0 || !entry.late_starts.empty()) {
      text += kOverMark + std::to_string(entry.over_ms);
    }
    for (const RosterLateStart& start : entry.late_starts) {
      text += ToText(start);
    }
    text += '\n';
  }
  return text;
}

std::vector<RosterEntry> DecodeRoster(std::string_view text) {
  std::vector<RosterEntry> entries;
  std::istringstream in{std::string(text)};
  std::string id;
  std::string word;
  while (in >> id >> word) {
    RosterEntry& entry = entries.emplace_back(id, word);
    const std::size_t mark = word.find(kOverMark);
    if (mark == std::string::npos) {
      continue;
    }
    entry.address.resize(mark);
    const std::string_view rest = std::string_view(word).substr(mark + 1);
    // An unreadable time leaves 0, which promises nothing.
    std::from_chars(rest.data(), rest.data() + rest.size(), entry.over_ms);
    for (const auto& part :
         std::views::split(rest, kLateStartMark) | std::views::drop(1)) {
      if (auto start =
              ParseLateStart(std::string_view(part.begin(), part.end()))) {
        entry.late_starts.push_back(*std::move(start));
      }
    }
  }
  return entries;
}

}  // namespace hickoryusher::jobs
