#ifndef JOBS_PROGRESS_H_
#define JOBS_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/types.h"

namespace hickoryusher::jobs {

/// The failed runs of a task. Each is listed once, although workers report an
/// end until it is acknowledged, possibly to several owners and in any order.
using FailedRuns = std::vector<RunNumber>;

/// The stored state of a job, apart from its specification.
///
/// @remarks Task numbers are consecutive within a job, in the order of
/// occurrence, step and index.
struct Progress {
  JobPhase phase = JobPhase::kQueued;
  std::vector<bool> done;  ///< By task number; missing ones are false.
  /// By task number; missing ones have no failures.
  std::vector<FailedRuns> failures;
};

std::string_view ToString(JobPhase phase);

/// @returns the text that is stored: phase, done tasks and failures, separated
/// by slashes.
std::string EncodeProgress(const Progress& progress);

/// @returns nullopt unless @p text has the form that EncodeProgress writes.
std::optional<Progress> DecodeProgress(std::string_view text);

}  // namespace hickoryusher::jobs

#endif  // JOBS_PROGRESS_H_
