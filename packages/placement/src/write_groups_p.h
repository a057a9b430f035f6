#ifndef PLACEMENT_WRITE_GROUPS_P_H_
#define PLACEMENT_WRITE_GROUPS_P_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "placement/scheduler.h"

namespace hickoryusher::placement {

/// Rows in one transaction; the table service's limit.
inline constexpr std::size_t kGroupRows = 64;
inline constexpr core::Duration kGroupInterval = std::chrono::milliseconds(100);
/// Bounds what a slow store has to hold.
inline constexpr std::size_t kGroupsInFlight = 4;
/// A store request without an answer after this time counts as lost.
inline constexpr core::Duration kGroupTimeout = std::chrono::milliseconds(1500);
inline constexpr core::Duration kReadRetry = std::chrono::milliseconds(500);

/// Collects rows and writes them in groups. A group whose answer is lost, or
/// that conflicted, is read back row by row: a row with our claim id has been
/// written, and an unchanged row is sent again under the same claim id, so that
/// only one of the two can take effect.
class WriteGroups {
 public:
  /// What became of one row.
  struct Resolved {
    TaskRow row;
    bool written = false;  ///< False if another owner has changed the row.
  };

  explicit WriteGroups(core::Epoch epoch) : epoch_(epoch) {}

  /// @param unit rows with the same nonzero unit go into one group.
  void Add(const TaskRow& row, std::uint32_t unit);

  /// Sends what is due.
  /// @param hold sends no new group.
  void Tick(core::TimePoint now, bool hold, std::vector<Command>& out);

  /// Answers of the store; each appends the rows whose fate is known.
  void Written(GroupToken token, std::vector<Resolved>& resolved);
  void Unresolved(GroupToken token, core::TimePoint now);
  void Read(GroupToken token,
            std::span<const TaskRow> rows,
            std::vector<Resolved>& resolved);

  std::uint64_t writes() const { return writes_; }

 private:
  struct Pending {
    TaskRow row;
    std::uint32_t unit = 0;
  };
  struct Group {
    GroupToken token;
    std::vector<Pending> rows;
    core::TimePoint sent;
    bool writing = true;  ///< False while the group is read back.
    core::TimePoint read_at;
  };

  Group* Find(GroupToken token);
  void Send(core::TimePoint now, std::vector<Command>& out);
  void SendRead(Group& group, core::TimePoint now, std::vector<Command>& out);
  std::size_t NextGroupSize() const;

  core::Epoch epoch_;
  std::deque<Pending> pending_;
  std::vector<Group> groups_;
  core::TimePoint last_sent_;
  std::uint64_t next_token_ = 1;
  std::uint64_t writes_ = 0;
};

}  // namespace hickoryusher::placement

#endif  // PLACEMENT_WRITE_GROUPS_P_H_
