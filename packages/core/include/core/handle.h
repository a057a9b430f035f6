#ifndef CORE_HANDLE_H_
#define CORE_HANDLE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>

namespace hickoryusher::core {

/// Typed index or identifier. A default-constructed handle is invalid.
///
/// @remarks Handles with different tags are different types, so an endpoint
/// cannot be passed where a VM is expected.
template <typename Tag, typename Rep = std::uint32_t>
class Handle {
 public:
  static constexpr Rep kInvalidValue = std::numeric_limits<Rep>::max();

  constexpr Handle() = default;
  constexpr explicit Handle(Rep value) : value_(value) {}

  /// @returns the index or identifier behind the handle.
  constexpr Rep value() const { return value_; }

  /// @returns true unless the handle was default-constructed.
  constexpr bool valid() const { return value_ != kInvalidValue; }

  constexpr auto operator<=>(const Handle&) const = default;

 private:
  Rep value_ = kInvalidValue;
};

}  // namespace hickoryusher::core

template <typename Tag, typename Rep>
struct std::hash<hickoryusher::core::Handle<Tag, Rep>> {
  std::size_t operator()(
      hickoryusher::core::Handle<Tag, Rep> handle) const noexcept {
    return std::hash<Rep>{}(handle.value());
  }
};

#endif  // CORE_HANDLE_H_
