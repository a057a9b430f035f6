#include "checkers.h"

#include <array>

#include "lease_checkers.h"
#include "request_checkers.h"
#include "settings_checkers.h"

namespace hickoryusher::matrix {

std::span<const Checker> Checkers() {
  static constexpr std::array<Checker, 9> kCheckers = {{
      {"P1", "no VM holds more work than it can", CheckCapacity},
      {"P2", "no task runs in two places", CheckOnePlace},
      {"P3", "evicted work resumes exactly once", CheckResumedOnce},
      {"P4", "every caller gets its own complete response", CheckOwnResponse},
      {"P5", "not run means not run", CheckNotRun},
      {"P6", "a non-idempotent request runs at most once", CheckAtMostOnce},
      {"P7", "a leaving VM receives no new work", nullptr},
      {"P8", "a graceful shutdown interrupts nothing", CheckShutdown},
      {"P9", "an accepted configuration takes effect and stays", CheckSettings},
  }};
  return kCheckers;
}

}  // namespace hickoryusher::matrix
