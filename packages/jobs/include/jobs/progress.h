#ifndef JOBS_PROGRESS_H_
#define JOBS_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/types.h"

namespace hickoryusher::jobs {

/// Failed runs of a task.
struct FailureCount {
  std::uint32_t count = 0;
  /// The last run that was counted. A worker lists its end again until it is
  /// acknowledged, perhaps to another owner, and it must not count twice.
  RunNumber last_run = 0;

  bool operator==(const FailureCount&) const = default;
};

/// What is durable about a job besides its specification.
///
/// @remarks Tasks are numbered through a job: by occurrence, then step, then
/// index.
struct Progress {
  JobPhase phase = JobPhase::kQueued;
  std::vector<bool> done;  ///< By task number; shorter if the rest is open.
  /// By task number; shorter if the rest has none.
  std::vector<FailureCount> failures;
};

std::string_view ToString(JobPhase phase);

/// @returns the text that is stored.
std::string EncodeProgress(const Progress& progress);

/// @returns nothing if @p text is not of the form that EncodeProgress writes.
std::optional<Progress> DecodeProgress(std::string_view text);

}  // namespace hickoryusher::jobs

#endif  // JOBS_PROGRESS_H_
