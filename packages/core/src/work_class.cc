#include "core/work_class.h"

#include <algorithm>

namespace hickoryusher::core {
namespace {

constexpr std::array<std::string_view, kWorkClasses.size()> kNames = {
    "latency_critical", "batch", "watcher"};

}  // namespace

std::string_view ToString(WorkClass work_class) {
  return kNames[Index(work_class)];
}

std::optional<WorkClass> ParseWorkClass(std::string_view name) {
  const auto* found = std::ranges::find(kNames, name);
  if (found == kNames.end()) {
    return std::nullopt;
  }
  return kWorkClasses[static_cast<std::size_t>(found - kNames.begin())];
}

}  // namespace hickoryusher::core
