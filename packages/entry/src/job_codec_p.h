#ifndef ENTRY_SRC_JOB_CODEC_P_H_
#define ENTRY_SRC_JOB_CODEC_P_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/resources.h"
#include "core/work_class.h"

namespace hickoryusher::entry {

/// What a caller submits.
struct JobRequest {
  std::string id;  ///< Chosen by the caller, unique in the failure domain.
  core::WorkClass work_class = core::WorkClass::kBatch;
  std::string team;
  std::string program;   ///< Jobs of one program share size estimates.
  core::Resources size;  ///< Of one task.
  std::int64_t expected_run_ms = 0;
  std::int64_t deadline_ms = 0;  ///< From the submission; 0 for none.
  std::uint32_t tasks = 1;
  bool urgent = false;

  bool operator==(const JobRequest&) const = default;
};

enum class JobState { kOpen, kDone, kFailed, kCancelled, kRefused };

std::string_view ToString(JobState state);

/// Row of a job.
struct JobRecord {
  JobRequest request;
  core::SliceId slice;
  /// Version of the transaction that added the row: unique, and assigned by
  /// the table. Not encoded until a later transaction rewrites the row.
  std::uint64_t number = 0;
  std::int64_t submitted_unix_ms = 0;
  bool cancelled = false;  ///< The caller asked for it.
  JobState state = JobState::kOpen;
  std::string reason;
  std::uint32_t done = 0;
  std::uint32_t failed = 0;
  std::uint32_t stopped = 0;
};

/// Tasks of a job have the numbers `number * kMaxTasks + i`.
inline constexpr std::uint32_t kMaxTasks = 65'536;

/// Tasks per job: the job is closed in one transaction that deletes their rows.
inline constexpr std::uint32_t kTaskLimit = 1000;

/// @param problems receives every fault of the request.
std::optional<JobRequest> ParseJobRequest(std::string_view body,
                                          std::vector<std::string>& problems);

/// @returns true for 1 to 64 letters, digits, dots, hyphens and underscores.
bool IsValidJobId(std::string_view id);

std::string EncodeJob(const JobRecord& job);

/// @param version of the row; the job's number unless the row carries one.
std::optional<JobRecord> DecodeJob(std::string_view text,
                                   std::uint64_t version);

core::TaskId TaskOf(std::uint64_t number, std::uint32_t index);
std::uint64_t JobNumberOf(core::TaskId task);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_JOB_CODEC_P_H_
