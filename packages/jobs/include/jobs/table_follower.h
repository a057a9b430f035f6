#ifndef JOBS_TABLE_FOLLOWER_H_
#define JOBS_TABLE_FOLLOWER_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "jobs/rows.h"

namespace hickoryusher::jobs {

/// Generates the call ids of one duty.
class CallIds {
 public:
  CallId Next() { return CallId(next_++); }

 private:
  std::uint64_t next_ = 1;
};

/// All rows. Rows that were reported earlier and are absent here have been
/// removed.
struct TableSnapshot {
  std::vector<Row> rows;
};

struct TableChanges {
  std::vector<Row> rows;
};

using TableUpdate = std::variant<TableSnapshot, TableChanges>;

/// Reports the rows of one part of a table and their changes: reads the part
/// once, then follows its changes, and reads it again if the store has
/// discarded the history.
class TableFollower {
 public:
  struct Options {
    std::string table;
    std::string part;
    core::Duration wait{};  ///< How long one call waits for a change.
    /// Reports each page but the last one as changes, and holds none, for
    /// readers that do not need to know which rows are absent.
    bool by_page = false;
  };

  TableFollower(Options options, CallIds& ids)
      : options_(std::move(options)), ids_(ids) {}

  /// @returns the command to send, if none is in flight and the next is due.
  std::optional<StoreCommand> Next(core::TimePoint now);

  /// @returns the rows or changes that @p event reports; nullopt if it answers
  /// another caller, reports no change or, unless by page, is not the last page
  /// of a read.
  std::optional<TableUpdate> Handle(const StoreEvent& event,
                                    core::TimePoint now);

  /// Reads without waiting for a change until the rows stored up to @p now are
  /// complete. A call that waits is abandoned.
  void Refresh(core::TimePoint now);

  /// @returns a time; all rows that were stored before it have been reported.
  core::TimePoint complete_until() const { return complete_until_; }

  /// @returns when to call Next; max() while a call is in flight.
  core::TimePoint next_timer() const;

  /// @returns true if all pages have been read and changes are being followed.
  bool synced() const { return phase_ == Phase::kFollowing; }

  /// @returns when the store last answered.
  core::TimePoint last_answer() const { return last_answer_; }

 private:
  enum class Phase { kReading, kFollowing };

  std::optional<TableUpdate> HandlePage(const RowsRead& page);
  void Restart();

  Options options_;
  CallIds& ids_;
  Phase phase_ = Phase::kReading;
  std::optional<CallId> call_;
  core::TimePoint call_sent_;
  bool call_waits_ = false;  ///< For a change.
  core::TimePoint complete_until_;
  core::TimePoint refresh_until_;
  core::TimePoint not_before_;
  core::TimePoint last_answer_;
  std::vector<Row> pages_;
  std::string read_from_;
  std::optional<RowVersion> first_page_version_;
  core::TimePoint first_page_sent_;
  RowVersion version_ = 0;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_TABLE_FOLLOWER_H_
