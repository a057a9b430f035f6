#ifndef JOBS_TABLE_FOLLOWER_H_
#define JOBS_TABLE_FOLLOWER_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "jobs/rows.h"

namespace hickoryusher::jobs {

/// Numbers the calls of one duty.
class CallIds {
 public:
  CallId Next() { return CallId(next_++); }

 private:
  std::uint64_t next_ = 1;
};

/// All rows; rows seen earlier that are not in it are gone.
struct TableSnapshot {
  std::vector<Row> rows;
};

struct TableChanges {
  std::vector<Row> rows;
};

using TableUpdate = std::variant<TableSnapshot, TableChanges>;

/// Keeps a reader up to date about one part of a table: reads it once, then
/// follows its changes, and reads it again when the history is lost.
class TableFollower {
 public:
  struct Options {
    std::string table;
    std::string part;
    core::Duration wait{};  ///< How long one call waits for a change.
  };

  TableFollower(Options options, CallIds& ids)
      : options_(std::move(options)), ids_(ids) {}

  /// @returns the command to send, if none is in flight and it is time.
  std::optional<StoreCommand> Next(core::TimePoint now);

  /// @returns what changed, if @p event answers this follower and changes
  /// something.
  std::optional<TableUpdate> Handle(const StoreEvent& event,
                                    core::TimePoint now);

  /// @returns when to call Next; max() while a call is in flight.
  core::TimePoint next_timer() const;

  /// @returns true once the table has been read as a whole.
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
  core::TimePoint not_before_;
  core::TimePoint last_answer_;
  std::vector<Row> pages_;
  std::string read_from_;
  std::optional<RowVersion> first_page_version_;
  RowVersion version_ = 0;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_TABLE_FOLLOWER_H_
