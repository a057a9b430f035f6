#include "retry/types.h"

#include "retry/key_claims.h"
#include "retry/request_events.h"
#include "retry/ticket_issuer.h"

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

constexpr std::array<std::string_view, 7> kResultNames = {
    "unused", "answered",      "not_run",  "unconnected",
    "failed", "no_first_byte", "abandoned"};

constexpr std::array<std::string_view, 5> kTicketVerdictNames = {
    "granted", "held", "void", "unknown", "invalid"};

constexpr std::array<std::string_view, 3> kKeyVerdictNames = {"granted", "held",
                                                              "unresolved"};

static_assert(kReasonNames.size() ==
              static_cast<std::size_t>(Reason::kCancelled) + 1);

}  // namespace

std::string_view ToString(Outcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

std::string_view ToString(Reason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

std::string_view ToString(AttemptResult result) {
  return kResultNames[static_cast<std::size_t>(result)];
}

std::string_view ToString(TicketVerdict verdict) {
  return kTicketVerdictNames[static_cast<std::size_t>(verdict)];
}

std::string_view ToString(KeyVerdict verdict) {
  return kKeyVerdictNames[static_cast<std::size_t>(verdict)];
}

}  // namespace hickoryusher::retry
