#include "service_policy_p.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <variant>

#include "core/overloaded.h"

namespace hickoryusher::entry {
namespace {

double ShareAt(const settings::Tree& tree, const std::string& path) {
  const settings::Value* value = tree.Find(path);
  return value == nullptr
             ? 0
             : std::visit(core::Overloaded{[](std::int64_t v) {
                                             return static_cast<double>(v);
                                           },
                                           [](double v) { return v; },
                                           [](const auto&) { return 0.0; }},
                          *value);
}

}  // namespace

ServicePolicy FilePolicy(const config::ServiceSettings& service) {
  return {.floors = service.floors,
          .first_byte_timeout = service.first_byte_timeout};
}

ServicePolicy EffectivePolicy(const config::ServiceSettings& service,
                              const settings::Tree& tree) {
  ServicePolicy policy = FilePolicy(service);
  if (service.team.empty()) {
    return policy;
  }
  const std::string root =
      "/teams/" + service.team + "/services/" + service.name;
  if (const std::string floors = root + "/floors"; tree.HasSubtree(floors)) {
    std::ranges::transform(
        core::kWorkClasses, policy.floors.begin(),
        [&](core::WorkClass work_class) {
          return ShareAt(
              tree, floors + "/" + std::string(core::ToString(work_class)));
        });
  }
  const settings::Value* timeout = tree.Find(root + "/first_byte_timeout_ms");
  if (timeout != nullptr && std::holds_alternative<std::int64_t>(*timeout)) {
    policy.first_byte_timeout =
        std::chrono::milliseconds(std::get<std::int64_t>(*timeout));
  }
  return policy;
}

}  // namespace hickoryusher::entry
