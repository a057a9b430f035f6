#ifndef JOBS_ROSTER_H_
#define JOBS_ROSTER_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/types.h"

namespace hickoryusher::jobs {

/// A start that the worker may carry out although its owner has given it up.
struct RosterLateStart {
  std::string job;
  std::uint32_t task = 0;  ///< Its number in the job.
  RunNumber run = 0;
  /// How often it was sent, if it is the start of the task's last run;
  /// otherwise 0.
  std::uint32_t copies = 0;
  /// It can come no more once the store's clock shows this time; 0 if unknown.
  std::int64_t until_ms = 0;

  bool operator==(const RosterLateStart&) const = default;
};

/// A worker on which tasks of a slice may run.
struct RosterEntry {
  std::string id;
  std::string address;
  /// Nothing runs there once the store's clock shows this time; 0 if a later
  /// lease may be granted.
  std::int64_t over_ms = 0;
  std::vector<RosterLateStart> late_starts;

  bool operator==(const RosterEntry&) const = default;
};

std::string EncodeRoster(std::span<const RosterEntry> entries);

/// @returns the entries, up to the first one that cannot be read.
std::vector<RosterEntry> DecodeRoster(std::string_view text);

}  // namespace hickoryusher::jobs

#endif  // JOBS_ROSTER_H_
