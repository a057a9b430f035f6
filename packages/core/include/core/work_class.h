#ifndef CORE_WORK_CLASS_H_
#define CORE_WORK_CLASS_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hickoryusher::core {

/// Kind of work that a request or task belongs to.
enum class WorkClass { kLatencyCritical, kBatch, kWatcher };

inline constexpr std::array<WorkClass, 3> kWorkClasses = {
    WorkClass::kLatencyCritical, WorkClass::kBatch, WorkClass::kWatcher};

/// @returns the class's index into tables that hold one entry per class.
constexpr std::size_t Index(WorkClass work_class) {
  return static_cast<std::size_t>(work_class);
}

/// @returns `latency_critical`, `batch` or `watcher`.
std::string_view ToString(WorkClass work_class);

/// @returns the class with this name, or nothing.
std::optional<WorkClass> ParseWorkClass(std::string_view name);

}  // namespace hickoryusher::core

#endif  // CORE_WORK_CLASS_H_
