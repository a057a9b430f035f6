#include "service_policy_p.h"

#include <catch2/catch.hpp>

namespace hickoryusher::entry {
namespace {

using std::chrono::milliseconds;

config::ServiceSettings Carnet() {
  return {.name = "carnet",
          .team = "bruit",
          .floors = {0.5, 0.25, 0.05},
          .first_byte_timeout = milliseconds(1000)};
}

settings::Tree With(const settings::Tree& tree,
                    std::string path,
                    settings::Value value) {
  return tree.With(
      {.id = "c", .path = std::move(path), .value = std::move(value)});
}

// Guards against settings without effect, and against floors mixed from the
// settings and the settings file, whose sum could exceed all slots.
TEST_CASE("settings replace the values of the settings file") {
  settings::Tree tree;
  CHECK(EffectivePolicy(Carnet(), tree) == FilePolicy(Carnet()));
  tree = With(tree, "/teams/bruit/services/carnet/first_byte_timeout_ms",
              std::int64_t{300});
  CHECK(EffectivePolicy(Carnet(), tree).first_byte_timeout ==
        milliseconds(300));
  CHECK(EffectivePolicy(Carnet(), tree).floors == Carnet().floors);
  tree = With(tree, "/teams/bruit/services/carnet/floors/batch", 0.9);
  const ServicePolicy policy = EffectivePolicy(Carnet(), tree);
  CHECK(policy.floors[core::Index(core::WorkClass::kBatch)] == 0.9);
  CHECK(policy.floors[core::Index(core::WorkClass::kLatencyCritical)] == 0);
}

// Guards against a team that changes another team's service of the same name.
TEST_CASE("only the team that owns the service decides") {
  const settings::Tree tree =
      With({}, "/teams/other/services/carnet/floors/batch", 0.9);
  CHECK(EffectivePolicy(Carnet(), tree) == FilePolicy(Carnet()));
  config::ServiceSettings unowned = Carnet();
  unowned.team.clear();
  CHECK(EffectivePolicy(unowned, tree) == FilePolicy(unowned));
}

}  // namespace
}  // namespace hickoryusher::entry
