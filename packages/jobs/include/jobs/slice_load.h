#ifndef JOBS_SLICE_LOAD_H_
#define JOBS_SLICE_LOAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/rows.h"

namespace hickoryusher::jobs {

/// What the owner of a slice publishes about it with each renewal.
struct SliceLoad {
  std::int64_t unix_ms = 0;  ///< Time of day up to which the jobs are known.
  /// Thousandths of a core that open tasks wish for, those that they reserve
  /// among these, and those that workers have.
  std::int64_t demand_millis = 0;
  std::int64_t reserved_millis = 0;
  std::int64_t long_running_millis = 0;  ///< The part of tasks that do not end.
  std::int64_t capacity_millis = 0;
  /// What is not reserved by lasting tasks on the workers with the most of it,
  /// in descending order. Short tasks there make way for lasting ones.
  std::vector<std::int64_t> long_running_room_millis;
  /// Version of the row that announces jobs from other slices, as far as the
  /// rest takes it into account.
  RowVersion incoming = 0;
  /// Jobs by queue for which no task has started.
  std::map<std::string, std::uint32_t, std::less<>> pending;
};

/// Workers whose room for lasting tasks is published.
inline constexpr std::size_t kPublishedWorkers = 12;

/// @returns false if the load is too old to act on: the slice is between two
/// owners, or its owner does not keep up.
bool IsRecent(const SliceLoad& load, std::int64_t unix_ms);

std::string EncodeSliceLoad(const SliceLoad& load);

/// @returns nothing if @p text is not of the form that EncodeSliceLoad writes.
std::optional<SliceLoad> DecodeSliceLoad(std::string_view text);

}  // namespace hickoryusher::jobs

#endif  // JOBS_SLICE_LOAD_H_
