#ifndef JOBS_SLICE_LOAD_H_
#define JOBS_SLICE_LOAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hickoryusher::jobs {

/// What the owner of a slice publishes about it with each renewal.
struct SliceLoad {
  /// Thousandths of a core that open tasks wish for, those that they reserve
  /// among these, and those that workers have.
  std::int64_t demand_millis = 0;
  std::int64_t reserved_millis = 0;
  std::int64_t capacity_millis = 0;
  /// Jobs by queue for which no task has started.
  std::map<std::string, std::uint32_t, std::less<>> pending;
};

std::string EncodeSliceLoad(const SliceLoad& load);

/// @returns nothing if @p text is not of the form that EncodeSliceLoad writes.
std::optional<SliceLoad> DecodeSliceLoad(std::string_view text);

}  // namespace hickoryusher::jobs

#endif  // JOBS_SLICE_LOAD_H_
