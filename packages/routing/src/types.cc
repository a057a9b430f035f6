#include "routing/types.h"

namespace hickoryusher::routing {

std::string_view ToString(Reason reason) {
  static constexpr std::array<std::string_view, 8> kNames = {
      "best_score",          "only_candidate",  "trial",
      "rack_tried_last",     "unknown_service", "deadline_passed",
      "no_healthy_endpoint", "no_free_slot"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::string_view ToString(Health health) {
  static constexpr std::array<std::string_view, 5> kNames = {
      "healthy", "suspect", "ejected", "probing", "leaving"};
  return kNames[static_cast<std::size_t>(health)];
}

}  // namespace hickoryusher::routing
