#include "jobs/slice_load.h"

#include <sstream>

namespace hickoryusher::jobs {

std::string EncodeSliceLoad(const SliceLoad& load) {
  std::string text = std::to_string(load.demand_millis) + ' ' +
                     std::to_string(load.reserved_millis) + ' ' +
                     std::to_string(load.capacity_millis) + '\n';
  for (const auto& [queue, count] : load.pending) {
    text += queue + ' ' + std::to_string(count) + '\n';
  }
  return text;
}

std::optional<SliceLoad> DecodeSliceLoad(std::string_view text) {
  SliceLoad load;
  std::istringstream in{std::string(text)};
  if (!(in >> load.demand_millis >> load.reserved_millis >>
        load.capacity_millis)) {
    return std::nullopt;
  }
  std::string queue;
  std::uint32_t count = 0;
  while (in >> queue) {
    if (!(in >> count)) {
      return std::nullopt;
    }
    load.pending[queue] = count;
  }
  return load;
}

}  // namespace hickoryusher::jobs
