#ifndef JOBS_SLICE_LOAD_H_
#define JOBS_SLICE_LOAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/resources.h"
#include "jobs/rows.h"

namespace hickoryusher::jobs {

/// The usable workers of one service in a slice.
struct ServiceRoom {
  core::Resources largest;  ///< Of the workers, by field.
  std::set<std::string, std::less<>> labels;

  bool operator==(const ServiceRoom&) const = default;
};

/// Load of a slice, published by its owner with each renewal.
struct SliceLoad {
  std::int64_t unix_ms = 0;  ///< Time of day up to which the jobs are known.
  /// CPU in thousandths of a core: the demand of open tasks, the part of it
  /// that they reserve, and the capacity of usable workers.
  std::int64_t demand_millis = 0;
  std::int64_t reserved_millis = 0;
  std::int64_t long_running_millis = 0;  ///< Reserved by long-running tasks.
  std::int64_t capacity_millis = 0;
  /// CPU not reserved by long-running tasks, on the workers with the most of
  /// it, in descending order. Short-lived tasks there are preempted for
  /// long-running ones.
  std::vector<std::int64_t> long_running_room_millis;
  /// Version of the row that announces jobs from other slices, up to which the
  /// other fields take it into account.
  RowVersion incoming = 0;
  /// Number of jobs by queue for which no task has started.
  std::map<std::string, std::uint32_t, std::less<>> pending;
  std::map<std::string, ServiceRoom, std::less<>> services;
  /// Memory that the owner has left for further jobs; nothing if the owner, one
  /// of an earlier version, does not say.
  std::optional<std::int64_t> job_room_bytes;
};

/// Maximum number of workers whose room for long-running tasks is published.
inline constexpr std::size_t kPublishedWorkers = 12;

/// @returns false if the load is too old to act on: the slice has no owner at
/// present, or its owner does not keep up.
bool IsRecent(const SliceLoad& load, std::int64_t unix_ms);

std::string EncodeSliceLoad(const SliceLoad& load);

/// @returns nothing if @p text does not have the form that EncodeSliceLoad
/// writes.
std::optional<SliceLoad> DecodeSliceLoad(std::string_view text);

}  // namespace hickoryusher::jobs

#endif  // JOBS_SLICE_LOAD_H_
