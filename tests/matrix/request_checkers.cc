#include "request_checkers.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "core/overloaded.h"

namespace hickoryusher::matrix {
namespace {

std::string Name(core::RequestId request) {
  return "request " + std::to_string(request.value());
}

template <typename T>
std::vector<T> Select(std::span<const Entry> history) {
  std::vector<T> selected;
  for (const Entry& entry : history) {
    if (const T* typed = std::get_if<T>(&entry.record)) {
      selected.push_back(*typed);
    }
  }
  return selected;
}

std::map<core::RequestId, Submitted> Submissions(
    std::span<const Entry> history) {
  std::map<core::RequestId, Submitted> result;
  for (const Submitted& submitted : Select<Submitted>(history)) {
    result[submitted.request] = submitted;
  }
  return result;
}

}  // namespace

Check CheckOwnResponse(std::span<const Entry> history) {
  Check check;
  std::set<std::pair<core::RequestId, core::AttemptId>> complete;
  std::map<core::RequestId, int> ends;
  std::map<core::RequestId, retry::Outcome> outcomes;
  const auto fail = [&](core::RequestId request, std::string_view text) {
    check.violations.push_back(Name(request) + " " + std::string(text));
  };
  for (const Entry& entry : history) {
    std::visit(core::Overloaded{
                   [&](const ResponseComplete& r) {
                     complete.emplace(r.request, r.attempt);
                   },
                   [&](const CallerCutOff& c) { ++ends[c.request]; },
                   [&](const Delivered& d) {
                     check.looked = true;
                     if (++ends[d.request] > 1) {
                       fail(d.request, "was delivered twice");
                     }
                     outcomes[d.request] = d.outcome;
                     if (d.outcome == retry::Outcome::kAnswered && !d.stored &&
                         !complete.contains({d.request, d.attempt})) {
                       fail(d.request,
                            "was answered without its complete response");
                     }
                   },
                   [](const auto&) {}},
               entry.record);
  }
  for (const auto& [request, submitted] : Submissions(history)) {
    if (ends[request] == 0) {
      fail(request, "was never delivered");
    }
    if (submitted.must_be_answered &&
        outcomes[request] != retry::Outcome::kAnswered) {
      fail(request, "was not answered although every part worked");
    }
  }
  return check;
}

Check CheckNotRun(std::span<const Entry> history) {
  Check check;
  const auto submissions = Submissions(history);
  std::set<core::RequestId> told;
  std::set<std::uint64_t> ran;
  for (const Entry& entry : history) {
    std::visit(
        core::Overloaded{
            [&](const Executed& e) {
              ran.insert(submissions.at(e.request).operation);
              if (told.contains(e.request)) {
                check.violations.push_back(Name(e.request) +
                                           " ran after not_run was reported");
              }
            },
            [&](const Delivered& d) {
              check.looked = true;
              if (d.outcome != retry::Outcome::kNotRun) {
                return;
              }
              told.insert(d.request);
              if (ran.contains(submissions.at(d.request).operation)) {
                check.violations.push_back(
                    Name(d.request) + " had run when not_run was reported");
              }
            },
            [](const auto&) {}},
        entry.record);
  }
  return check;
}

Check CheckAtMostOnce(std::span<const Entry> history) {
  Check check;
  const auto submissions = Submissions(history);
  std::map<std::uint64_t, int> runs;
  for (const Executed& executed : Select<Executed>(history)) {
    const Submitted& submitted = submissions.at(executed.request);
    check.looked = check.looked || !submitted.idempotent;
    if (!submitted.idempotent && ++runs[submitted.operation] == 2) {
      check.violations.push_back(
          "operation " + std::to_string(submitted.operation) + " ran twice");
    }
  }
  // A non-idempotent request that never ran is also evidence.
  check.looked =
      check.looked || std::ranges::any_of(submissions, [](const auto& item) {
        return !item.second.idempotent;
      });
  return check;
}

Check CheckShutdown(std::span<const Entry> history) {
  Check check;
  std::set<core::RequestId> in_flight;
  std::set<core::RequestId> at_shutdown;
  for (const Entry& entry : history) {
    std::visit(
        core::Overloaded{
            [&](const ExchangeStarted& e) { in_flight.insert(e.request); },
            [&](const ShutdownBegan&) {
              check.looked = true;
              at_shutdown = in_flight;
            },
            [&](const ExchangeCancelled& c) {
              if (c.by_shutdown) {
                check.violations.push_back(Name(c.request) +
                                           " was interrupted by the shutdown");
              }
            },
            [&](const Delivered& d) {
              if (at_shutdown.contains(d.request) &&
                  d.reason == retry::Reason::kShutdown) {
                check.violations.push_back(Name(d.request) +
                                           " was given up by the shutdown");
              }
              in_flight.erase(d.request);
            },
            [](const auto&) {}},
        entry.record);
  }
  return check;
}

}  // namespace hickoryusher::matrix
