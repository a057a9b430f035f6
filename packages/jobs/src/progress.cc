#include "jobs/progress.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>
#include <utility>

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

std::string EncodeFailures(std::span<const FailedRuns> failures) {
  std::string text;
  for (const FailedRuns& runs : failures) {
    for (const RunNumber run : runs) {
      text += std::to_string(run) + ':';
    }
    text += ',';
  }
  return text;
}

std::optional<std::vector<FailedRuns>> DecodeFailures(std::string_view text) {
  std::vector<FailedRuns> failures;
  FailedRuns runs;
  while (!text.empty()) {
    if (text.front() == ',') {
      failures.push_back(std::exchange(runs, {}));
      text.remove_prefix(1);
      continue;
    }
    RunNumber run = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, run);
    if (result.ec != std::errc() || result.ptr == end || *result.ptr != ':') {
      return std::nullopt;
    }
    runs.push_back(run);
    text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()) + 1);
  }
  return runs.empty() ? std::optional(failures) : std::nullopt;
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
