#ifndef JOBS_JOB_ROWS_H_
#define JOBS_JOB_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/progress.h"
#include "jobs/rows.h"
#include "jobs/types.h"

/// Keys and contents of the rows that hold a slice's jobs.
namespace hickoryusher::jobs {

/// Table and row keys of a slice's jobs.
std::string JobTableName(std::string_view slice);
RowKey JobRow(std::string_view slice, std::string_view job);
RowKey CancelRow(std::string_view slice, std::string_view job);
RowKey ProgressRow(std::string_view slice, std::string_view job);
RowKey RosterRow(std::string_view slice);

/// Where the long-running tasks of a job may run. Written with its progress.
RowKey PlacesRow(std::string_view slice, std::string_view job);

/// Row @p index of those that an owner leaves behind when it releases a slice.
RowKey HandOverRow(std::string_view slice, std::size_t index);

/// Row that another slice writes to announce a job that it transfers to this
/// slice. Of concurrent announcements, exactly one succeeds.
RowKey IncomingRow(std::string_view slice);

/// A job as its caller submitted it, with what intake knows about it.
struct StoredJob {
  std::string queue;
  std::int64_t accepted_unix_ms = 0;
  std::string document;
  /// Numbers of the tasks that belong to the slice; all if there are none.
  std::vector<std::uint32_t> tasks;
  /// Runs have higher numbers than this, which the slices that had the job
  /// before have not exceeded.
  RunNumber runs_above = 0;
  /// The job's progress when it was transferred: an owner reads job rows as
  /// they come, and progress rows only when it takes the slice over.
  std::optional<Progress> progress;
};

std::string EncodeStoredJob(const StoredJob& job);
std::optional<StoredJob> DecodeStoredJob(std::string_view text);

}  // namespace hickoryusher::jobs

#endif  // JOBS_JOB_ROWS_H_
