#ifndef JOBS_ROWS_H_
#define JOBS_ROWS_H_

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "jobs/types.h"

/// Commands to the platform's transactional table store, and their answers.
namespace hickoryusher::jobs {

/// Number of the transaction that last wrote a row; 0 for an absent row.
using RowVersion = std::uint64_t;

/// A transaction may span rows of the same `part`, and of several parts only
/// with CommitRows::several_parts.
struct RowKey {
  std::string table;
  std::string part;
  std::string key;

  bool operator==(const RowKey&) const = default;
};

struct Row {
  RowKey key;
  std::string value;
  RowVersion version = 0;
  bool unreadable = false;  ///< Key or value; the value is then empty.
  bool removed = false;
};

struct RowCondition {
  RowKey key;
  RowVersion version = 0;
};

struct RowPut {
  RowKey key;
  std::string value;
};

/// Writes all puts and removals if all conditions hold, otherwise nothing.
struct CommitRows {
  CallId call;
  std::vector<RowCondition> conditions;
  std::vector<RowPut> puts;
  std::vector<RowKey> removals;
  bool several_parts = false;
};

/// Reads the rows with keys from `from` (inclusive) to `to` (exclusive; no
/// limit if empty).
struct ReadRows {
  CallId call;
  std::string table;
  std::string part;
  std::string from;
  std::string to;
  std::uint32_t limit = 500;  ///< Maximum number of rows in one answer.
};

/// Waits for changes of a table's rows after version `after`.
struct FollowRows {
  CallId call;
  std::string table;
  RowVersion after = 0;
  core::Duration wait{};
};

using StoreCommand = std::variant<CommitRows, ReadRows, FollowRows>;

struct RowsCommitted {
  CallId call;
  RowVersion version = 0;
  /// The store's steady clock when it answered; 0 if unknown.
  std::int64_t clock_ms = 0;
};

/// A condition did not hold; nothing was written.
struct RowsConflicted {
  CallId call;
  std::vector<Row> present;
};

struct RowsRead {
  CallId call;
  std::vector<Row> rows;
  bool more = false;
  RowVersion version = 0;     ///< Newest transaction that the read includes.
  std::int64_t clock_ms = 0;  ///< As in RowsCommitted.
};

struct RowsChanged {
  CallId call;
  std::vector<Row> rows;
  RowVersion version = 0;  ///< `after` of the next FollowRows.
};

/// The store has discarded the history that FollowRows requested.
struct HistoryLost {
  CallId call;
};

/// The store refused the command and did nothing.
struct StoreRefused {
  CallId call;
};

/// The store did not answer. A write may have taken effect, or may take effect
/// seconds later.
struct StoreUnanswered {
  CallId call;
};

using StoreEvent = std::variant<RowsCommitted,
                                RowsConflicted,
                                RowsRead,
                                RowsChanged,
                                HistoryLost,
                                StoreRefused,
                                StoreUnanswered>;

/// @returns the version of the row with this key, or 0 if it is not among them.
RowVersion VersionIn(std::span<const Row> rows, const RowKey& key);

inline CallId CallOf(const StoreEvent& event) {
  return std::visit([](const auto& e) { return e.call; }, event);
}

inline CallId CallOf(const StoreCommand& command) {
  return std::visit([](const auto& c) { return c.call; }, command);
}

}  // namespace hickoryusher::jobs

#endif  // JOBS_ROWS_H_
