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

Check CheckCapacity(std::span<const Entry> history) {
  Check check;
  for (const Entry& entry : history) {
    if (const auto* load = std::get_if<WorkerLoad>(&entry.record)) {
      check.looked = true;
      if (!core::Fits(load->use, load->capacity)) {
        check.violations.push_back("worker " +
                                   std::to_string(load->worker.value()) +
                                   " holds more than it can");
      }
    }
  }
  return check;
}

Check CheckResumedOnce(std::span<const Entry> history) {
  using Attempt = std::pair<core::TaskId, std::uint32_t>;
  Check check;
  std::set<Attempt> whole;
  std::map<Attempt, int> resumed;
  const auto fail = [&](const Attempt& attempt, std::string_view text) {
    check.violations.push_back("task " + std::to_string(attempt.first.value()) +
                               " attempt " + std::to_string(attempt.second) +
                               " " + std::string(text));
  };
  for (const Entry& entry : history) {
    if (const auto* kept = std::get_if<Checkpointed>(&entry.record)) {
      check.looked = true;
      whole.emplace(kept->task, kept->attempt);
    }
    const auto* start = std::get_if<TaskStarted>(&entry.record);
    if (start == nullptr) {
      continue;
    }
    const Attempt now{start->task, start->attempt};
    if (start->checkpoint_attempt == 0) {
      continue;
    }
    const Attempt source{start->task, start->checkpoint_attempt};
    if (source.second + 1 != now.second) {
      fail(now, "resumes a checkpoint that is not of the attempt before");
    }
    if (!whole.contains(source)) {
      fail(now, "resumes a checkpoint that is not whole");
    }
    if (++resumed[source] > 1) {
      fail(source, "was resumed twice");
    }
  }
  return check;
}

}  // namespace hickoryusher::matrix
