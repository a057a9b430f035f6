#ifndef CORE_RESOURCES_H_
#define CORE_RESOURCES_H_

#include <cstdint>

namespace hickoryusher::core {

/// Amount of each resource that a worker has or a task needs.
struct Resources {
  std::int64_t cpu_millis = 0;  ///< Thousandths of a processor core.
  std::int64_t memory_bytes = 0;
  std::int32_t accelerators = 0;  ///< Whole units.

  constexpr bool operator==(const Resources&) const = default;

  constexpr Resources& operator+=(const Resources& other) {
    cpu_millis += other.cpu_millis;
    memory_bytes += other.memory_bytes;
    accelerators += other.accelerators;
    return *this;
  }

  constexpr Resources& operator-=(const Resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_bytes -= other.memory_bytes;
    accelerators -= other.accelerators;
    return *this;
  }

  friend constexpr Resources operator+(Resources a, const Resources& b) {
    return a += b;
  }
  friend constexpr Resources operator-(Resources a, const Resources& b) {
    return a -= b;
  }
};

/// @returns true if @p need fits into @p free in every dimension.
constexpr bool Fits(const Resources& need, const Resources& free) {
  return need.cpu_millis <= free.cpu_millis &&
         need.memory_bytes <= free.memory_bytes &&
         need.accelerators <= free.accelerators;
}

}  // namespace hickoryusher::core

#endif  // CORE_RESOURCES_H_
