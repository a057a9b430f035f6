#include "jobs/progress.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ranges>

namespace hickoryusher::jobs {
namespace {

constexpr std::array<std::string_view, 5> kPhaseNames = {
    "queued", "active", "completed", "failed", "cancelled"};

constexpr std::size_t kTasksPerDigit = 4;
constexpr std::string_view kHexDigits = "0123456789abcdef";

std::string EncodeDone(const std::vector<bool>& done) {
  std::string digits;
  for (std::size_t first = 0; first < done.size(); first += kTasksPerDigit) {
    std::size_t value = 0;
    for (std::size_t bit = 0; bit < kTasksPerDigit; ++bit) {
      const std::size_t task = first + bit;
      value |= std::size_t{task < done.size() && done[task]} << bit;
    }
    digits += kHexDigits[value];
  }
  return digits;
}

std::optional<std::vector<bool>> DecodeDone(std::string_view digits) {
  std::vector<bool> done;
  for (const char digit : digits) {
    const std::size_t value = kHexDigits.find(digit);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    for (std::size_t bit = 0; bit < kTasksPerDigit; ++bit) {
      done.push_back(((value >> bit) & 1U) != 0);
    }
  }
  return done;
}

std::string EncodeFailures(const std::vector<FailureCount>& failures) {
  std::string text;
  for (const FailureCount& failure : failures) {
    text += std::to_string(failure.count);
    if (failure.count > 0) {
      text += ':' + std::to_string(failure.last_run);
    }
    text += ',';
  }
  return text;
}

/// Cuts a number and the character after it off @p text.
/// @returns nothing unless the character is one of @p ends.
template <typename Number>
std::optional<char> TakeNumber(std::string_view& text,
                               Number& number,
                               std::string_view ends) {
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc() || result.ptr == text.data() + text.size() ||
      ends.find(*result.ptr) == std::string_view::npos) {
    return std::nullopt;
  }
  const char end = *result.ptr;
  text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()) + 1);
  return end;
}

std::optional<std::vector<FailureCount>> DecodeFailures(std::string_view text) {
  std::vector<FailureCount> failures;
  while (!text.empty()) {
    FailureCount failure;
    auto end = TakeNumber(text, failure.count, ":,");
    if (end == ':') {
      end = TakeNumber(text, failure.last_run, ",");
    }
    if (!end) {
      return std::nullopt;
    }
    failures.push_back(failure);
  }
  return failures;
}

}  // namespace

std::string_view ToString(JobPhase phase) {
  return kPhaseNames.at(static_cast<std::size_t>(phase));
}

std::string EncodeProgress(const Progress& progress) {
  return std::string(ToString(progress.phase)) + '/' +
         EncodeDone(progress.done) + '/' + EncodeFailures(progress.failures);
}

std::optional<Progress> DecodeProgress(std::string_view text) {
  const std::size_t first = text.find('/');
  const std::size_t second = text.find('/', first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return std::nullopt;
  }
  const auto phase = std::ranges::find(kPhaseNames, text.substr(0, first));
  auto done = DecodeDone(text.substr(first + 1, second - first - 1));
  auto failures = DecodeFailures(text.substr(second + 1));
  if (phase == kPhaseNames.end() || !done || !failures) {
    return std::nullopt;
  }
  return Progress{.phase = static_cast<JobPhase>(phase - kPhaseNames.begin()),
                  .done = *std::move(done),
                  .failures = *std::move(failures)};
}

}  // namespace hickoryusher::jobs
