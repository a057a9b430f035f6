#ifndef ROUTING_TYPES_H_
#define ROUTING_TYPES_H_

#include <array>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

#include "core/ids.h"
#include "core/time.h"
#include "routing/slot_table.h"

namespace hickoryusher::routing {

/// Position of an entry process in its failure domain, from its settings.
using SeatId = core::Handle<struct SeatTag>;

/// One endpoint of the settings. Its EndpointId is its position in the order
/// in which the endpoints are added.
struct EndpointSpec {
  core::ServiceId service;
  core::VmId vm;
  core::RackId rack;
  core::FailureDomainId domain;
  int slots = 8;         ///< Requests that it serves at a time.
  int connections = 64;  ///< Connections that it accepts.
};

/// What the router has to know about a request.
struct RequestFacts {
  core::ServiceId service;
  bool idempotent = false;
  std::span<const core::EndpointId> avoid;  ///< Never chosen.
  /// Chosen only when no other rack has an endpoint with a free slot.
  std::span<const core::RackId> racks_last;
  core::TimePoint deadline;
};

/// Complete response of the endpoint.
struct Succeeded {
  core::Duration latency;
};
/// The endpoint responded with an error, or the connection broke.
struct Failed {};
/// The endpoint stated that it did not run the request, or could not be
/// connected to.
struct Refused {};
/// No first byte, or no complete response, in time.
struct TimedOut {};
/// The caller went away; says nothing about the endpoint.
struct Abandoned {};
using AttemptResult =
    std::variant<Succeeded, Failed, Refused, TimedOut, Abandoned>;

/// The VM list or a drain signal says that the VM is leaving.
struct VmLeaving {
  core::VmId vm;
};
/// The VM list shows the VM as live again.
struct VmReturned {
  core::VmId vm;
};
/// The endpoint itself stated that it is leaving.
struct EndpointLeaving {
  core::EndpointId endpoint;
};
using MembershipEvent = std::variant<VmLeaving, VmReturned, EndpointLeaving>;

enum class Health : std::uint8_t {
  kHealthy,
  kSuspect,  ///< Failing or slow; rarely chosen.
  kEjected,  ///< Not chosen.
  kProbing,  ///< Ejected until one trial request has succeeded.
  kLeaving,
};

/// Why an endpoint was chosen, or why none was.
enum class Reason : std::uint8_t {
  kBestScore,       ///< The policy preferred it to the other candidate.
  kOnlyCandidate,   ///< No other endpoint was eligible.
  kTrial,           ///< Shows whether a poor endpoint has recovered.
  kRackTriedLast,   ///< No endpoint outside `racks_last` was eligible.
  kUnknownService,  ///< The settings name no endpoint of the service.
  kDeadlinePassed,
  kNoHealthyEndpoint,  ///< All are ejected, leaving or to be avoided.
  kNoFreeSlot,
};

/// @returns the reason in snake_case, for log lines and response headers.
std::string_view ToString(Reason reason);
std::string_view ToString(Health health);

struct Candidate {
  core::EndpointId endpoint;  ///< Invalid when there was none.
  double score = 0;           ///< Lower is better.
};

/// A choice and what it was based on. The caller logs one line for each.
struct Decision {
  Slot slot;
  Reason reason = Reason::kBestScore;
  Health health = Health::kHealthy;
  std::array<Candidate, 2> candidates;  ///< The chosen one comes first.
};

/// Why the last Choose gave nothing.
struct ChooseError {
  Reason reason = Reason::kNoFreeSlot;
  core::Duration retry_after{};
};

}  // namespace hickoryusher::routing

#endif  // ROUTING_TYPES_H_
