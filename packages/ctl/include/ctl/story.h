#ifndef CTL_STORY_H_
#define CTL_STORY_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/log_reader.h"

namespace hickoryusher::ctl {

/// Collects what the logs of several processes say of one job, task, worker,
/// request or failure domain, and what happened at the same time to the workers
/// and slices that took part in it.
class Story {
 public:
  /// @param id of a job, `job.occurrence.step.index` of a task, an id of a
  /// worker, or of a request, or the name of a failure domain.
  explicit Story(std::string id) : id_(std::move(id)) {}

  /// Takes an entry, in any order.
  void Take(LogEntry entry);

  /// Prints the entries in order of time, then what they add up to.
  /// @returns false if no entry names the id.
  bool Print(std::ostream& out) const;

 private:
  struct Totals;

  bool Names(const LogEntry& entry) const;
  std::vector<const LogEntry*> Select() const;
  Totals AddUp(const std::vector<const LogEntry*>& entries) const;
  static void PrintTotals(const Totals& totals, std::ostream& out);

  std::string id_;
  std::vector<LogEntry> own_;
  /// About workers and slices, whether or not they took part.
  std::vector<LogEntry> around_;
};

}  // namespace hickoryusher::ctl

#endif  // CTL_STORY_H_
