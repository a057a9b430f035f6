#include "jobs/types.h"

#include <array>
#include <charconv>

#include "jobs/worker_calls.h"

namespace hickoryusher::jobs {
namespace {

std::optional<std::uint32_t> ParseNumber(std::string_view text) {
  std::uint32_t value = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || result.ec != std::errc() ||
      result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/// Removes the last dot and the number that follows it from @p text.
/// @returns the number; nullopt if there is none.
std::optional<std::uint32_t> RemoveLastNumber(std::string_view& text) {
  const std::size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto number = ParseNumber(text.substr(dot + 1));
  text = text.substr(0, dot);
  return number;
}

}  // namespace

std::string ToText(const TaskAddress& address) {
  return address.job + '.' + std::to_string(address.occurrence) + '.' +
         std::to_string(address.step) + '.' + std::to_string(address.index);
}

std::optional<TaskAddress> ParseTaskAddress(std::string_view text) {
  const auto index = RemoveLastNumber(text);
  const auto step = RemoveLastNumber(text);
  const auto occurrence = RemoveLastNumber(text);
  if (!index || !step || !occurrence || text.empty()) {
    return std::nullopt;
  }
  return TaskAddress{.job = std::string(text),
                     .occurrence = *occurrence,
                     .step = *step,
                     .index = *index};
}

std::string_view ToString(EndKind kind) {
  constexpr std::array<std::string_view, 6> kNames = {
      "done", "failed", "stopped", "lapsed", "broken", "alone"};
  return kNames.at(static_cast<std::size_t>(kind));
}

std::string_view ToString(OrderOutcome outcome) {
  constexpr std::array<std::string_view, 9> kNames = {
      "carried_out", "no_room", "superseded",  "too_late",  "fenced",
      "other_life",  "refused", "unreachable", "unanswered"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace hickoryusher::jobs
