#ifndef ENTRY_SRC_SERVICE_POLICY_P_H_
#define ENTRY_SRC_SERVICE_POLICY_P_H_

#include <array>
#include <vector>

#include "config/process_settings.h"
#include "core/time.h"
#include "core/work_class.h"
#include "settings/tree.h"

namespace hickoryusher::entry {

/// What the router does for one service.
struct ServicePolicy {
  /// Guaranteed share of the entry's slots per class; the sum is at most 1.
  std::array<double, core::kWorkClasses.size()> floors{};
  core::Duration first_byte_timeout{};

  bool operator==(const ServicePolicy&) const = default;
};

/// The policies that are in effect from now on, by service.
struct PoliciesChanged {
  std::vector<ServicePolicy> policies;
};

/// @returns the policy of the settings file.
ServicePolicy FilePolicy(const config::ServiceSettings& service);

/// @returns the policy of the settings, and for what they do not state that of
/// the settings file.
/// @remarks The floors come from one of the two as a whole, because a mixture
/// could exceed all slots. A class without a floor in the settings has 0 then.
ServicePolicy EffectivePolicy(const config::ServiceSettings& service,
                              const settings::Tree& tree);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_SERVICE_POLICY_P_H_
