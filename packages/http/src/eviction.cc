#include "eviction_p.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace hickoryusher::http {
namespace {

/// @returns the index of the first candidate in the order @p before among those
/// that are @p eligible.
template <typename Eligible, typename Before>
std::optional<std::size_t> FirstOf(
    std::span<const EvictionCandidate> candidates,
    Eligible eligible,
    Before before) {
  const auto found = std::ranges::min_element(
      candidates, [&](const EvictionCandidate& a, const EvictionCandidate& b) {
        const bool a_eligible = eligible(a);
        return a_eligible != eligible(b) ? a_eligible
                                         : a_eligible && before(a, b);
      });
  if (found == candidates.end() || !eligible(*found)) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(std::distance(candidates.begin(), found));
}

// Smaller gains are not worth the response to a request in progress.
constexpr std::size_t kSmallestGain = 1024;

bool IsFree(const EvictionCandidate& candidate) {
  return !candidate.closing && !candidate.request_in_progress;
}

bool HoldsMore(const EvictionCandidate& a, const EvictionCandidate& b) {
  return std::tie(b.bytes, a.request_began) <
         std::tie(a.bytes, b.request_began);
}

}  // namespace

std::optional<std::size_t> ChooseForMemory(
    std::span<const EvictionCandidate> candidates) {
  if (const auto free = FirstOf(candidates, IsFree, HoldsMore)) {
    return free;
  }
  return FirstOf(
      candidates,
      [](const EvictionCandidate& candidate) {
        return !candidate.closing &&
               candidate.reclaimable_bytes >= kSmallestGain;
      },
      [](const EvictionCandidate& a, const EvictionCandidate& b) {
        return std::tie(b.reclaimable_bytes, a.request_began) <
               std::tie(a.reclaimable_bytes, b.request_began);
      });
}

std::optional<std::size_t> ChooseForConnection(
    std::span<const EvictionCandidate> candidates) {
  const auto idle = FirstOf(
      candidates,
      [](const EvictionCandidate& candidate) {
        return IsFree(candidate) && !candidate.unsent_response;
      },
      [](const EvictionCandidate& a, const EvictionCandidate& b) {
        return a.idle_since < b.idle_since;
      });
  return idle ? idle : FirstOf(candidates, IsFree, HoldsMore);
}

}  // namespace hickoryusher::http
