#include "write_groups_p.h"

#include <algorithm>
#include <iterator>

namespace hickoryusher::placement {

void WriteGroups::Add(const TaskRow& row, std::uint32_t unit) {
  pending_.push_back({.row = row, .unit = unit});
}

void WriteGroups::Tick(core::TimePoint now,
                       bool hold,
                       std::vector<Command>& out) {
  for (Group& group : groups_) {
    if (group.writing && now - group.sent >= kGroupTimeout) {
      Unresolved(group.token, now);
    }
    if (!group.writing && now >= group.read_at) {
      SendRead(group, now, out);
    }
  }
  if (hold) {
    return;
  }
  while (
      groups_.size() < kGroupsInFlight && !pending_.empty() &&
      (pending_.size() >= kGroupRows || now - last_sent_ >= kGroupInterval)) {
    Send(now, out);
  }
}

std::size_t WriteGroups::NextGroupSize() const {
  std::size_t size = std::min(pending_.size(), kGroupRows);
  // A unit that does not fit whole waits for the next group.
  if (size < pending_.size() && pending_[size].unit != 0) {
    const std::uint32_t unit = pending_[size].unit;
    while (size > 0 && pending_[size - 1].unit == unit) {
      --size;
    }
  }
  return size;
}

void WriteGroups::Send(core::TimePoint now, std::vector<Command>& out) {
  const auto end = pending_.begin() + static_cast<long>(NextGroupSize());
  Group group{.token = GroupToken(next_token_++), .sent = now};
  group.rows.assign(pending_.begin(), end);
  pending_.erase(pending_.begin(), end);
  last_sent_ = now;
  ++writes_;
  WriteGroup command{.token = group.token, .epoch = epoch_};
  std::ranges::transform(group.rows, std::back_inserter(command.rows),
                         &Pending::row);
  out.emplace_back(std::move(command));
  groups_.push_back(std::move(group));
}

void WriteGroups::SendRead(Group& group,
                           core::TimePoint now,
                           std::vector<Command>& out) {
  // A new token: the answer to an earlier read may be older than the write.
  group.token = GroupToken(next_token_++);
  group.read_at = now + kReadRetry;
  ReadGroup command{.token = group.token};
  std::ranges::transform(
      group.rows, std::back_inserter(command.tasks),
      [](const Pending& pending) { return pending.row.task; });
  out.emplace_back(std::move(command));
}

WriteGroups::Group* WriteGroups::Find(GroupToken token) {
  const auto found = std::ranges::find(groups_, token, &Group::token);
  return found == groups_.end() ? nullptr : &*found;
}

void WriteGroups::Written(GroupToken token, std::vector<Resolved>& resolved) {
  const Group* group = Find(token);
  // An answer after the timeout: the rows are being read back.
  if (group == nullptr || !group->writing) {
    return;
  }
  for (const Pending& pending : group->rows) {
    resolved.push_back({.row = pending.row, .written = true});
  }
  groups_.erase(groups_.begin() + (group - groups_.data()));
}

void WriteGroups::Unresolved(GroupToken token, core::TimePoint now) {
  if (Group* group = Find(token); group != nullptr && group->writing) {
    group->writing = false;
    group->read_at = now;
  }
}

void WriteGroups::Read(GroupToken token,
                       std::span<const TaskRow> rows,
                       std::vector<Resolved>& resolved) {
  const Group* group = Find(token);
  if (group == nullptr || group->writing) {
    return;
  }
  for (const Pending& pending : group->rows) {
    const TaskRow& wanted = pending.row;
    const auto row = std::ranges::find(rows, wanted.task, &TaskRow::task);
    const std::uint64_t version = row == rows.end() ? 0 : row->version;
    if (version == wanted.version) {
      pending_.push_back(pending);
    } else {
      const bool ours = row != rows.end() && row->epoch == wanted.epoch &&
                        row->claim == wanted.claim;
      resolved.push_back({.row = wanted, .written = ours});
    }
  }
  groups_.erase(groups_.begin() + (group - groups_.data()));
}

}  // namespace hickoryusher::placement
