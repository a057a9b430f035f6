#ifndef JOBS_TESTS_FAKE_STORE_H_
#define JOBS_TESTS_FAKE_STORE_H_

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "jobs/rows.h"

namespace hickoryusher::jobs {

/// An in-memory substitute for the platform's table store.
class FakeStore {
 public:
  enum class Fault {
    kNone,
    kRefuse,       ///< Does not execute the command.
    kLoseAnswer,   ///< Executes the command, but loses the answer.
    kPostpone,     ///< Does not answer; executes it in ApplyPostponed.
    kLoseHistory,  ///< Answers FollowRows with HistoryLost.
  };

  /// Sets the fault of all later commands, or only of writes to several parts.
  void SetFault(Fault fault, bool several_parts_only = false) {
    fault_ = fault;
    several_parts_only_ = several_parts_only;
  }

  /// @returns the answer, or nothing while a FollowRows waits for a change.
  std::optional<StoreEvent> Run(const StoreCommand& command);

  /// Executes the postponed writes whose conditions still hold.
  void ApplyPostponed();

  void Put(const RowKey& key, std::string value);

  /// Sets the time of the clock that answers show; without, they show none.
  void SetTime(core::TimePoint now) { now_ = now; }
  std::optional<Row> Find(const RowKey& key) const;
  RowVersion version() const { return version_; }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  static Key ToKey(const RowKey& key) { return {key.table, key.part, key.key}; }
  std::vector<Row> Mismatches(const CommitRows& commit) const;
  StoreEvent Apply(const CommitRows& commit);
  StoreEvent Apply(const ReadRows& read);
  std::optional<StoreEvent> Apply(const FollowRows& follow);

  Fault fault_ = Fault::kNone;
  bool several_parts_only_ = false;
  RowVersion version_ = 0;
  core::TimePoint now_;
  std::map<Key, Row> rows_;  ///< Includes removed rows, marked as such.
  std::vector<CommitRows> postponed_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_TESTS_FAKE_STORE_H_
