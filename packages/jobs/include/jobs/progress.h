#ifndef JOBS_PROGRESS_H_
#define JOBS_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/types.h"

namespace hickoryusher::jobs {

/// The runs of a task that have failed. Each counts once, although workers list
/// its end until it is acknowledged, perhaps to several owners and in any
/// order.
using FailedRuns = std::vector<RunNumber>;

/// What is durable about a job besides its specification.
///
/// @remarks Tasks are numbered through a job: by occurrence, then step, then
/// index.
struct Progress {
  JobPhase phase = JobPhase::kQueued;
  std::vector<bool> done;  ///< By task number; shorter if the rest is open.
  /// By task number; shorter if the rest has none.
  std::vector<FailedRuns> failures;
};

std::string_view ToString(JobPhase phase);

/// @returns the text that is stored.
std::string EncodeProgress(const Progress& progress);

/// @returns nothing if @p text is not of the form that EncodeProgress writes.
std::optional<Progress> DecodeProgress(std::string_view text);

}  // namespace hickoryusher::jobs

#endif  // JOBS_PROGRESS_H_
