#include "lease_checkers.h"

#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::matrix {

Check CheckOnePlace(std::span<const Entry> history) {
  using Place = std::pair<core::WorkerId, std::uint32_t>;
  Check check;
  std::map<core::TaskId, std::set<Place>> running;
  std::set<core::EntryId> owners;
  const auto name = [](core::TaskId task) {
    return "task " + std::to_string(task.value());
  };
  for (const Entry& entry : history) {
    std::visit(
        core::Overloaded{
            [&](const TaskStarted& t) {
              check.looked = true;
              running[t.task].emplace(t.worker, t.attempt);
              if (running[t.task].size() > 1) {
                check.violations.push_back(name(t.task) +
                                           " runs in two places");
              }
            },
            [&](const TaskStopped& t) {
              running[t.task].erase({t.worker, t.attempt});
            },
            [&](const SliceHeld& s) {
              if (!s.owned) {
                owners.erase(s.entry);
                return;
              }
              owners.insert(s.entry);
              if (owners.size() > 1) {
                check.violations.emplace_back("two processes own one slice");
              }
            },
            [&](const TaskMustRun& t) {
              if (running[t.task].empty()) {
                check.violations.push_back(
                    name(t.task) + " does not run although every part works");
              }
            },
            [](const auto&) {}},
        entry.record);
  }
  return check;
}

}  // namespace hickoryusher::matrix
