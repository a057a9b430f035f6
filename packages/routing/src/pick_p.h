#ifndef ROUTING_PICK_P_H_
#define ROUTING_PICK_P_H_

#include <array>
#include <cstdint>
#include <span>

#include "core/random.h"
#include "core/time.h"
#include "health_p.h"
#include "routing/policy.h"
#include "routing/types.h"

namespace hickoryusher::routing {

/// What a policy looks at for one request.
struct PickInput {
  std::span<const std::uint32_t> usable;  ///< Endpoints of the service.
  std::span<const EndpointSpec> specs;
  std::span<const EndpointHealth> health;
  const SlotTable* slots = nullptr;
  const RequestFacts* request = nullptr;
  bool skip_racks = false;  ///< Leave out the racks to be tried last.
  core::TimePoint now;
};

/// Applies the policy.
/// @returns the chosen endpoint first, then the one that it was compared with;
/// invalid when there was none.
std::array<Candidate, 2> Pick(const Policy& policy,
                              const PickInput& input,
                              core::Random& random);

}  // namespace hickoryusher::routing

#endif  // ROUTING_PICK_P_H_
