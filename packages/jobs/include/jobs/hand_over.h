#ifndef JOBS_HAND_OVER_H_
#define JOBS_HAND_OVER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/types.h"

namespace hickoryusher::jobs {

/// What an owner that releases its slice leaves behind about one worker.
struct HandedOverWorker {
  std::string id;
  /// Nothing that this owner or an earlier one has started runs there once the
  /// store's clock shows this time; 0 if unknown.
  std::int64_t over_ms = 0;
  /// The tasks that may run there, in the form that ToText writes.
  std::vector<std::string> tasks;

  bool operator==(const HandedOverWorker&) const = default;
};

/// The values of one or more rows with all workers that may run tasks, written
/// by the owner with the given epoch after its last order.
struct HandOver {
  Epoch epoch = 0;
  std::vector<HandedOverWorker> workers;
};

/// @returns the values of the rows, none of which exceeds the store's limit.
std::vector<std::string> EncodeHandOver(
    Epoch epoch,
    std::span<const HandedOverWorker> workers);

/// @param text the value of one row.
/// @returns nothing unless @p text has the form that EncodeHandOver writes.
std::optional<HandOver> DecodeHandOver(std::string_view text);

/// Where an owner may have started the task with this number within its job.
struct TaskPlace {
  std::uint32_t task = 0;
  std::string worker;  ///< kAnyWorker if unknown.
  /// The run has been reported, and its lease is no longer than those that
  /// owners grant. Otherwise it may be the longest that the platform permits.
  bool usual_lease = false;

  bool operator==(const TaskPlace&) const = default;
};

inline constexpr std::string_view kAnyWorker = "?";

/// The places of a job's long-running tasks. A task without one runs nowhere.
struct Places {
  Epoch epoch = 0;  ///< Of the owner that wrote them.
  std::vector<TaskPlace> tasks;
};

std::string EncodePlaces(const Places& places);

/// @returns nothing unless @p text has the form that EncodePlaces writes.
std::optional<Places> DecodePlaces(std::string_view text);

}  // namespace hickoryusher::jobs

#endif  // JOBS_HAND_OVER_H_
