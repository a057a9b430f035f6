#include "evacuations_p.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <iterator>

namespace hickoryusher::ctl {
namespace {

/// @returns whether @p slice is one of @p domain: its name is followed by the
/// number of the slice.
bool IsSliceOf(std::string_view slice, std::string_view domain) {
  if (slice == domain) {
    return true;
  }
  const bool begins = slice.size() > domain.size() + 1 &&
                      slice.starts_with(domain) && slice[domain.size()] == '-';
  return begins && slice.find_first_not_of("0123456789", domain.size() + 1) ==
                       std::string_view::npos;
}

}  // namespace

std::int64_t NumberOf(const LogEntry& entry, std::string_view key) {
  const std::string_view text = entry.Find(key);
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string Seconds(std::chrono::milliseconds duration) {
  const auto ms = duration.count();
  std::string fraction = std::to_string(1000 + std::abs(ms) % 1000).substr(1);
  return (ms < 0 ? "-" : "") + std::to_string(std::abs(ms) / 1000) + '.' +
         fraction + " s";
}

bool Evacuations::Concerns(const LogEntry& entry, std::string_view domain) {
  return (entry.event() == "jobs_transferred" &&
          IsSliceOf(entry.Find("from"), domain)) ||
         (entry.event() == "slice_evacuation" &&
          IsSliceOf(entry.Find("slice"), domain));
}

bool Evacuations::Take(const LogEntry& entry) {
  const std::string_view event = entry.event();
  const auto version =
      static_cast<std::uint64_t>(NumberOf(entry, "row_version"));
  if (event == "evacuation_requested") {
    requests_.emplace_back(version, entry.time);
  } else if (event == "evacuation_ended") {
    ends_.emplace_back(version, entry.time);
  } else if (event == "evacuation_state") {
    states_.push_back(&entry);
  } else if (event == "jobs_transferred") {
    if (entry.Find("reason") == "evacuated") {
      transfers_.push_back(&entry);
    } else {
      other_jobs_[{std::string(entry.Find("reason")),
                   std::string(entry.Find("to"))}] +=
          static_cast<std::uint64_t>(NumberOf(entry, "jobs"));
    }
  } else {
    return event == "slice_evacuation";
  }
  return true;
}

// Versions tell evacuations apart, as processes read the rows at different
// times: a removal has a higher version than the rows that it ends, or the same
// one if a process has found the row gone.
std::vector<Evacuations::Evacuation> Evacuations::Group() const {
  std::vector<Evacuation> groups;
  auto requests = requests_;
  std::ranges::sort(requests);
  std::uint64_t last = 0;
  for (const auto& request : requests) {
    const auto [version, time] = request;
    const bool ended_before = std::ranges::any_of(ends_, [&](const auto& end) {
      return end.first >= last && end.first < request.first;
    });
    if (groups.empty() || ended_before) {
      groups.push_back({.version = version, .requested = time});
    }
    groups.back().requested = std::min(groups.back().requested, time);
    last = version;
  }
  const auto of_version = [&](std::uint64_t version) {
    const auto next =
        std::ranges::upper_bound(groups, version, {}, &Evacuation::version);
    return next == groups.begin() ? groups.end() : std::prev(next);
  };
  for (const auto& [version, time] : ends_) {
    if (const auto group = of_version(version); group != groups.end()) {
      group->ended = std::min(group->ended.value_or(time), time);
    }
  }
  const auto of_time = [&](LogTime time) {
    const auto next =
        std::ranges::upper_bound(groups, time, {}, &Evacuation::requested);
    return next == groups.begin() ? next : std::prev(next);
  };
  if (!groups.empty()) {
    for (const LogEntry* entry : transfers_) {
      of_time(entry->time)->jobs[std::string(entry->Find("to"))] +=
          static_cast<std::uint64_t>(NumberOf(*entry, "jobs"));
    }
    for (const LogEntry* entry : states_) {
      of_time(entry->time)->last_state = entry;
    }
  }
  return groups;
}

void Evacuations::Print(LogTime begin, std::ostream& out) const {
  const auto at = [&](LogTime time) { return '+' + Seconds(time - begin); };
  for (const Evacuation& evacuation : Group()) {
    out << "evacuation requested at " << at(evacuation.requested) << ", "
        << (evacuation.ended ? "ended at " + at(*evacuation.ended)
                             : "not ended")
        << '\n';
    for (const auto& [target, jobs] : evacuation.jobs) {
      out << "  jobs transferred to " << target << ": " << jobs << '\n';
    }
    if (evacuation.last_state != nullptr) {
      const LogEntry& state = *evacuation.last_state;
      out << "  left at " << at(state.time) << ": "
          << NumberOf(state, "waiting_jobs") << " waiting jobs, "
          << NumberOf(state, "running_tasks") << " running tasks, "
          << NumberOf(state, "running_long_running")
          << " of them long-running\n";
    }
  }
  for (const auto& [key, jobs] : other_jobs_) {
    out << "jobs transferred to " << key.second << ", " << key.first << ": "
        << jobs << '\n';
  }
}

}  // namespace hickoryusher::ctl
