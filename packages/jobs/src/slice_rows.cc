#include <sstream>
#include <utility>

#include "slice_scheduler_p.h"

/// Keys and encodings of the rows that hold a slice's jobs.
namespace hickoryusher::jobs {
namespace {

constexpr std::string_view kProgressTable = "job_progress";
constexpr std::string_view kCancelSuffix = "!cancel";
// Before StoredJob::runs_above.
constexpr char kRunsMark = '+';
// Before StoredJob::progress.
constexpr char kProgressMark = '*';

}  // namespace

bool IsPlacesKey(std::string_view key) {
  return key.ends_with(kPlacesSuffix);
}

bool IsHandOverKey(std::string_view key) {
  return key.starts_with(kHandOverKey);
}

std::string JobTableName(std::string_view slice) {
  return "jobs_" + std::string(slice);
}

RowKey JobRow(std::string_view slice, std::string_view job) {
  return {.table = JobTableName(slice),
          .part = std::string(slice),
          .key = std::string(job)};
}

RowKey CancelRow(std::string_view slice, std::string_view job) {
  RowKey key = JobRow(slice, job);
  key.key += kCancelSuffix;
  return key;
}

RowKey ProgressRow(std::string_view slice, std::string_view job) {
  return {.table = std::string(kProgressTable),
          .part = std::string(slice),
          .key = std::string(job)};
}

// Sorts before all job ids, which consist of letters, digits, '-' and '_'.
RowKey RosterRow(std::string_view slice) {
  return {.table = std::string(kProgressTable),
          .part = std::string(slice),
          .key = "!roster"};
}

RowKey PlacesRow(std::string_view slice, std::string_view job) {
  RowKey key = ProgressRow(slice, job);
  key.key += kPlacesSuffix;
  return key;
}

RowKey HandOverRow(std::string_view slice, std::size_t index) {
  return {.table = std::string(kProgressTable),
          .part = std::string(slice),
          .key = std::string(kHandOverKey) + std::to_string(index)};
}

RowKey IncomingRow(std::string_view slice) {
  return JobRow(slice, "!incoming");
}

std::string EncodeStoredJob(const StoredJob& job) {
  std::string text = job.queue + '\n' + std::to_string(job.accepted_unix_ms);
  if (job.runs_above > 0) {
    text += kRunsMark + std::to_string(job.runs_above);
  }
  if (job.progress) {
    text += kProgressMark + EncodeProgress(*job.progress);
  }
  for (const std::uint32_t task : job.tasks) {
    text += ' ' + std::to_string(task);
  }
  return text + '\n' + job.document;
}

std::optional<StoredJob> DecodeStoredJob(std::string_view text) {
  const std::size_t first = text.find('\n');
  const std::size_t second = text.find('\n', first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return std::nullopt;
  }
  StoredJob job{.queue = std::string(text.substr(0, first)),
                .document = std::string(text.substr(second + 1))};
  std::istringstream numbers(
      std::string(text.substr(first + 1, second - first - 1)));
  if (!(numbers >> job.accepted_unix_ms)) {
    return std::nullopt;
  }
  if (numbers.peek() == kRunsMark) {
    numbers.get();
    if (!(numbers >> job.runs_above)) {
      return std::nullopt;
    }
  }
  if (numbers.peek() == kProgressMark) {
    numbers.get();
    std::string progress;
    numbers >> progress;
    job.progress = DecodeProgress(progress);
    if (!job.progress) {
      return std::nullopt;
    }
  }
  for (std::uint32_t task = 0; numbers >> task;) {
    job.tasks.push_back(task);
  }
  return numbers.eof() ? std::optional(std::move(job)) : std::nullopt;
}

}  // namespace hickoryusher::jobs
