#ifndef HTTP_RING_SINK_H_
#define HTTP_RING_SINK_H_

#include <type_traits>
#include <utility>
#include <variant>

#include "runtime/ring.h"

namespace hickoryusher::http {

/// Pushes a value into a ring of the same type, or of a std::variant with it.
/// @param value moved from only if it was taken.
/// @returns false if the ring is full or closed.
template <typename Element, typename Value>
bool PushInto(runtime::Ring<Element>& ring, Value& value) {
  if constexpr (std::is_same_v<Element, Value>) {
    return ring.TryPush(std::move(value));
  } else {
    Element element(std::in_place_type<Value>, std::move(value));
    if (ring.TryPush(std::move(element))) {
      return true;
    }
    // A ring leaves an element that it refuses untouched.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    value = std::move(std::get<Value>(element));
    return false;
  }
}

}  // namespace hickoryusher::http

#endif  // HTTP_RING_SINK_H_
