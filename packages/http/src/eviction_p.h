#ifndef HTTP_EVICTION_P_H_
#define HTTP_EVICTION_P_H_

#include <cstddef>
#include <optional>
#include <span>

#include "core/time.h"

namespace hickoryusher::http {

/// What decides whether a connection is closed to make room.
struct EvictionCandidate {
  std::size_t bytes = 0;  ///< Held by the connection itself.
  /// What closing it, or refusing its incomplete request, frees.
  std::size_t reclaimable_bytes = 0;
  /// First byte of its incomplete request; its last complete request, or the
  /// time of the connection, if it has none.
  core::TimePoint request_began;
  /// Last complete request, or the time of the connection.
  core::TimePoint idle_since;
  bool request_in_progress = false;
  bool unsent_response = false;
  bool closing = false;  ///< Chosen before.
};

/// Chooses what to close for lack of memory: among connections without a
/// request in progress the one that holds the most bytes, and among equal ones
/// the one whose request began first. If there is none, the one with a request
/// in progress that holds most beside it.
/// @returns its index, or nothing if no choice frees memory.
std::optional<std::size_t> ChooseForMemory(
    std::span<const EvictionCandidate> candidates);

/// Chooses what to close for a new connection: the one without a request in
/// progress or unsent response that has been open longest without a complete
/// request, or else one without a request in progress as for memory.
/// @returns its index, or nothing if all have requests in progress.
std::optional<std::size_t> ChooseForConnection(
    std::span<const EvictionCandidate> candidates);

}  // namespace hickoryusher::http

#endif  // HTTP_EVICTION_P_H_
