#include "jobs/slice_load.h"

#include <sstream>

namespace hickoryusher::jobs {
namespace {

// A load may be 2 s old when it is read. The remainder allows for clock
// differences between processes.
constexpr std::int64_t kOldestLoadMs = 4000;

}  // namespace

bool IsRecent(const SliceLoad& load, std::int64_t unix_ms) {
  return unix_ms <= load.unix_ms + kOldestLoadMs;
}

std::string EncodeSliceLoad(const SliceLoad& load) {
  std::string text = std::to_string(load.unix_ms) + ' ' +
                     std::to_string(load.demand_millis) + ' ' +
                     std::to_string(load.reserved_millis) + ' ' +
                     std::to_string(load.long_running_millis) + ' ' +
                     std::to_string(load.capacity_millis) + ' ' +
                     std::to_string(load.incoming) + ' ' +
                     std::to_string(load.long_running_room_millis.size());
  for (const std::int64_t free : load.long_running_room_millis) {
    text += ' ' + std::to_string(free);
  }
  text += '\n';
  for (const auto& [queue, count] : load.pending) {
    text += queue + ' ' + std::to_string(count) + '\n';
  }
  return text;
}

std::optional<SliceLoad> DecodeSliceLoad(std::string_view text) {
  SliceLoad load;
  std::istringstream in{std::string(text)};
  std::uint32_t count = 0;
  if (!(in >> load.unix_ms >> load.demand_millis >> load.reserved_millis >>
        load.long_running_millis >> load.capacity_millis >> load.incoming >>
        count) ||
      count > kPublishedWorkers) {
    return std::nullopt;
  }
  load.long_running_room_millis.resize(count);
  for (std::int64_t& free : load.long_running_room_millis) {
    if (!(in >> free)) {
      return std::nullopt;
    }
  }
  std::string queue;
  while (in >> queue) {
    if (!(in >> count)) {
      return std::nullopt;
    }
    load.pending[queue] = count;
  }
  return load;
}

}  // namespace hickoryusher::jobs
