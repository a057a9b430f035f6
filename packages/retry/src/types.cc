#include "retry/types.h"

namespace hickoryusher::retry {
namespace {

constexpr std::array<std::string_view, 3> kOutcomeNames = {
    "answered", "not_run", "unknown"};

constexpr std::array<std::string_view, 19> kReasonNames = {"none",
                                                           "admission",
                                                           "queue_full",
                                                           "deadline",
                                                           "ring_full",
                                                           "shutdown",
                                                           "key_held",
                                                           "key_unresolved",
                                                           "ticket_void",
                                                           "no_endpoint",
                                                           "connect_refused",
                                                           "connect_timeout",
                                                           "connection_broken",
                                                           "endpoint_refused",
                                                           "first_byte_timeout",
                                                           "truncated",
                                                           "oversized",
                                                           "malformed",
                                                           "cancelled"};

static_assert(kReasonNames.size() ==
              static_cast<std::size_t>(Reason::kCancelled) + 1);

}  // namespace

std::string_view ToString(Outcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

std::string_view ToString(Reason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

}  // namespace hickoryusher::retry
