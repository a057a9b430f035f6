#include "ctl/story.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "core/log_line.h"
#include "evacuations_p.h"

namespace hickoryusher::ctl {
namespace {

using std::chrono::milliseconds;

// What is said of workers and slices, not of a job.
constexpr std::array<std::string_view, 8> kAroundEvents = {
    "worker_contact", "worker_quarantined", "worker_unlisted",
    "worker_unheard", "slice_ownership",    "slice_restored",
    "slice_lost",     "commit_not_stored"};

// A slice's load is shown from this long before until as long after the job's
// tasks wait; slices report it every 2 s.
constexpr milliseconds kLoadMargin{2000};

constexpr std::string_view kLoadEvent = "slice_load";
// Paces change several times a second, so only their sum is printed.
constexpr std::string_view kPaceEvent = "pace_changed";
// Written every 2 s during an evacuation, so that only the last one is printed,
// in the sum.
constexpr std::string_view kEvacuationStateEvent = "evacuation_state";
constexpr std::int64_t kFullPace = 100;

constexpr std::array<std::string_view, 3> kWorkerKeys = {"worker", "from",
                                                         "to"};

bool Contains(const std::set<std::string, std::less<>>& set,
              std::string_view value) {
  return set.contains(value);
}

}  // namespace

struct Story::Totals {
  explicit Totals(std::string_view id) : evacuations(id) {}

  std::optional<LogTime> stored;
  std::optional<LogTime> taken;
  std::optional<LogTime> first_start;
  std::optional<LogTime> closed;
  std::string phase;
  std::int64_t late_ms = 0;
  std::size_t starts = 0;
  std::map<std::string, std::size_t, std::less<>> ends;
  /// Why runs were stopped or refused, by event and reason.
  std::map<std::string, std::size_t, std::less<>> causes;
  /// By task: its pace, and since when.
  std::map<std::string, std::pair<std::int64_t, LogTime>, std::less<>> paces;
  double slowed_ms = 0;  ///< Work that was not done for want of pace.
  Evacuations evacuations;

  void EndPace(std::string_view task, LogTime now) {
    const auto found = paces.find(task);
    if (found != paces.end()) {
      const auto& [percent, since] = found->second;
      slowed_ms += static_cast<double>((now - since).count()) *
                   static_cast<double>(kFullPace - percent) / kFullPace;
      paces.erase(found);
    }
  }
};

// An id also names its tasks, the path that ends with it, and what leaves the
// slices of a failure domain.
bool Story::Names(const LogEntry& entry) const {
  return std::ranges::any_of(entry.pairs,
                             [this](const auto& pair) {
                               const std::string& value = pair.second;
                               return value == id_ ||
                                      value.starts_with(id_ + '.') ||
                                      value.ends_with('/' + id_);
                             }) ||
         Evacuations::Concerns(entry, id_);
}

void Story::Take(LogEntry entry) {
  if (Names(entry)) {
    own_.push_back(std::move(entry));
  } else if (entry.event() == kLoadEvent ||
             std::ranges::find(kAroundEvents, entry.event()) !=
                 kAroundEvents.end()) {
    around_.push_back(std::move(entry));
  }
}

std::vector<const LogEntry*> Story::Select() const {
  std::vector<const LogEntry*> chosen;
  std::set<std::string, std::less<>> workers;
  std::set<std::string, std::less<>> slices;
  std::optional<LogTime> last_start;
  for (const LogEntry& entry : own_) {
    chosen.push_back(&entry);
    for (const std::string_view key : kWorkerKeys) {
      workers.emplace(entry.Find(key));
    }
    slices.emplace(entry.Find("slice"));
    if (entry.event() == "task_placed") {
      last_start = std::max(last_start.value_or(entry.time), entry.time);
    }
  }
  const auto [first, last] = std::ranges::minmax_element(
      own_, {}, [](const LogEntry& entry) { return entry.time; });
  for (const LogEntry& entry : around_) {
    const bool load = entry.event() == kLoadEvent;
    const milliseconds margin = load ? kLoadMargin : milliseconds(0);
    const LogTime until = load ? last_start.value_or(last->time) : last->time;
    const std::string_view worker = entry.Find("worker");
    const bool takes_part = worker.empty()
                                ? Contains(slices, entry.Find("slice"))
                                : Contains(workers, worker);
    if (takes_part && entry.time >= first->time - margin &&
        entry.time <= until + margin) {
      chosen.push_back(&entry);
    }
  }
  std::ranges::stable_sort(chosen, {}, &LogEntry::time);
  return chosen;
}

Story::Totals Story::AddUp(const std::vector<const LogEntry*>& entries) const {
  Totals totals(id_);
  for (const LogEntry* entry : entries) {
    const std::string_view event = entry->event();
    const std::string task(entry->Find("task"));
    const auto note = [&](std::optional<LogTime>& first) {
      first = first.value_or(entry->time);
    };
    const auto cause = [&] {
      const std::string_view reason = entry->Find("reason");
      ++totals.causes[std::string(event) + (reason.empty() ? "" : " ") +
                      std::string(reason)];
    };
    if (!Names(*entry) || totals.evacuations.Take(*entry)) {
      continue;
    }
    if (event == "job_stored") {
      note(totals.stored);
    } else if (event == "job_taken") {
      note(totals.taken);
    } else if (event == "task_placed") {
      note(totals.first_start);
      ++totals.starts;
    } else if (event == "run_ended") {
      totals.EndPace(task, entry->time);
      ++totals.ends[std::string(entry->Find("how"))];
    } else if (event == kPaceEvent) {
      totals.EndPace(task, entry->time);
      totals.paces[task] = {NumberOf(*entry, "percent"), entry->time};
    } else if (event == "job_closed") {
      totals.closed = entry->time;
      totals.phase = entry->Find("phase");
      totals.late_ms = NumberOf(*entry, "late_ms");
    } else {
      cause();
    }
  }
  return totals;
}

void Story::PrintTotals(const Totals& totals, std::ostream& out) {
  if (totals.taken && totals.first_start) {
    out << "first start after: "
        << Seconds(
               *totals.first_start -
               std::min(totals.stored.value_or(*totals.taken), *totals.taken))
        << '\n';
  }
  if (totals.starts > 0) {
    out << "starts: " << totals.starts << '\n';
  }
  for (const auto& [how, count] : totals.ends) {
    out << "runs ended " << how << ": " << count << '\n';
  }
  for (const auto& [cause, count] : totals.causes) {
    out << cause << ": " << count << '\n';
  }
  if (totals.slowed_ms > 0) {
    out << "work put off by pace: "
        << Seconds(milliseconds(static_cast<std::int64_t>(totals.slowed_ms)))
        << " of all tasks together\n";
  }
  if (totals.closed) {
    out << "closed: " << totals.phase << ", "
        << Seconds(milliseconds(std::abs(totals.late_ms)))
        << (totals.late_ms > 0 ? " after" : " before") << " its objective\n";
  }
}

bool Story::Print(std::ostream& out) const {
  if (own_.empty()) {
    return false;
  }
  const std::vector<const LogEntry*> entries = Select();
  const LogTime begin = entries.front()->time;
  for (const LogEntry* entry : entries) {
    if (entry->event() == kPaceEvent ||
        entry->event() == kEvacuationStateEvent) {
      continue;
    }
    // Values are escaped again, since callers choose some of them.
    core::LogLine line(entry->event());
    for (const auto& [key, value] : entry->pairs) {
      if (key != "time" && key != "event") {
        line.Add(key, std::string_view(value));
      }
    }
    out << '+' << Seconds(entry->time - begin) << ' ' << entry->source << ' '
        << line.text() << '\n';
  }
  out << '\n';
  const Totals totals = AddUp(entries);
  PrintTotals(totals, out);
  totals.evacuations.Print(begin, out);
  return true;
}

}  // namespace hickoryusher::ctl
