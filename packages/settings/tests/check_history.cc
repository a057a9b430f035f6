#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "core/overloaded.h"
#include "settings_run.h"

namespace hickoryusher::settings {
namespace {

class Checker {
 public:
  explicit Checker(const History& history) : history_(history) {}

  std::vector<std::string> Run() {
    CheckLog();
    for (const auto& [id, submission] : history_.submissions) {
      CheckOutcome(id, submission);
    }
    CheckObservations();
    for (const Revision head : history_.heads) {
      Require(head == history_.log.size(), "a process lacks the last change",
              std::to_string(head));
    }
    return std::move(broken_);
  }

 private:
  void Require(bool holds, std::string_view what, std::string_view which) {
    if (!holds) {
      broken_.push_back(std::string(what) + ": " + std::string(which));
    }
  }

  /// One winner for each revision of a path, each change once, and settings
  /// that are valid at every revision.
  void CheckLog() {
    const Schema schema = KnownSettings();
    Tree tree;
    for (const Entry& entry : history_.log) {
      const auto found = history_.submissions.find(entry.change_id);
      if (found == history_.submissions.end()) {
        Require(false, "a change that nobody submitted", entry.change_id);
        continue;
      }
      Require(revisions_.emplace(entry.change_id, entry.revision).second,
              "a change was written twice", entry.change_id);
      Require(found->second.change.base == tree.PathRevision(entry.path),
              "a change won over a later one", entry.change_id);
      Require(found->second.change.value == entry.value,
              "a change was written with another value", entry.change_id);
      tree.Apply(
          {.after = tree.head(), .head = entry.revision, .entries = {entry}});
      Require(schema.Validate(tree).empty(), "the settings are not valid at",
              entry.change_id);
    }
  }

  void CheckOutcome(const ChangeId& id, const Submission& submission) {
    if (!submission.outcome) {
      return;
    }
    const auto written = revisions_.find(id);
    const bool is_written = written != revisions_.end();
    std::visit(core::Overloaded{
                   [&](const Accepted& o) {
                     Require(is_written && written->second == o.revision,
                             "an accepted change is lost", id);
                   },
                   [](const Unknown&) {},
                   [&](const auto&) {
                     Require(!is_written, "a refused change was written", id);
                   }},
               *submission.outcome);
  }

  void CheckObservations() {
    std::map<std::pair<std::size_t, int>, Revision> heads;
    for (const Observation& seen : history_.observations) {
      const std::string which = std::to_string(seen.process) + "." +
                                std::to_string(seen.incarnation) + " at " +
                                std::to_string(seen.tree.head());
      const auto [head, is_first] =
          heads.emplace(std::pair(seen.process, seen.incarnation), 0);
      Require(seen.tree.head() >= head->second, "a head went back", which);
      head->second = seen.tree.head();
      Require(!is_first || seen.tree.head() >= seen.required,
              "a new process serves older settings than its peers", which);
      CheckTree(seen.tree, which);
    }
  }

  /// The tree shows every change up to its head, and no other value.
  void CheckTree(const Tree& tree, const std::string& which) {
    Require(tree.head() <= history_.log.size(), "a head is not in the log",
            which);
    for (const Entry& entry : tree.Since(0).entries) {
      Require(entry.revision <= history_.log.size() &&
                  history_.log[entry.revision - 1] == entry,
              "a process shows a change that is not in the log", which);
    }
    for (const Entry& entry : history_.log) {
      Require(entry.revision > tree.head() ||
                  tree.PathRevision(entry.path) >= entry.revision,
              "a process lacks a change before its head", which);
    }
  }

  const History& history_;
  std::map<ChangeId, Revision> revisions_;
  std::vector<std::string> broken_;
};

}  // namespace

std::vector<std::string> CheckHistory(const History& history) {
  return Checker(history).Run();
}

}  // namespace hickoryusher::settings
