#include "fake_store.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::jobs {

std::optional<StoreEvent> FakeStore::Run(const StoreCommand& command) {
  const CallId call = CallOf(command);
  const auto* commit = std::get_if<CommitRows>(&command);
  const bool spared =
      several_parts_only_ && (commit == nullptr || !commit->several_parts);
  switch (spared ? Fault::kNone : fault_) {
    case Fault::kRefuse:
      return StoreRefused{.call = call};
    case Fault::kLoseAnswer:
      if (commit != nullptr) {
        Apply(*commit);
      }
      return StoreUnanswered{.call = call};
    case Fault::kPostpone:
      if (commit != nullptr) {
        postponed_.push_back(*commit);
        return StoreUnanswered{.call = call};
      }
      break;
    case Fault::kLoseHistory:
      if (std::holds_alternative<FollowRows>(command)) {
        return HistoryLost{.call = call};
      }
      break;
    case Fault::kNone:
      break;
  }
  return std::visit(
      core::Overloaded{[this](const CommitRows& c)
                           -> std::optional<StoreEvent> { return Apply(c); },
                       [this](const ReadRows& c) -> std::optional<StoreEvent> {
                         return Apply(c);
                       },
                       [this](const FollowRows& c) { return Apply(c); }},
      command);
}

void FakeStore::ApplyPostponed() {
  for (const CommitRows& commit : std::exchange(postponed_, {})) {
    Apply(commit);
  }
}

void FakeStore::Put(const RowKey& key, std::string value) {
  ++version_;
  rows_[ToKey(key)] = {
      .key = key, .value = std::move(value), .version = version_};
}

std::optional<Row> FakeStore::Find(const RowKey& key) const {
  const auto found = rows_.find(ToKey(key));
  return found == rows_.end() || found->second.removed
             ? std::nullopt
             : std::optional(found->second);
}

std::vector<Row> FakeStore::Mismatches(const CommitRows& commit) const {
  std::vector<Row> present;
  bool differs = false;
  for (const RowCondition& condition : commit.conditions) {
    const auto row = Find(condition.key);
    differs |= condition.version != (row ? row->version : 0);
    if (row) {
      present.push_back(*row);
    }
  }
  return differs ? present : std::vector<Row>();
}

StoreEvent FakeStore::Apply(const CommitRows& commit) {
  const bool differs = std::ranges::any_of(
      commit.conditions, [this](const RowCondition& condition) {
        const auto row = Find(condition.key);
        return condition.version != (row ? row->version : 0);
      });
  if (differs) {
    return RowsConflicted{.call = commit.call, .present = Mismatches(commit)};
  }
  ++version_;
  for (const RowPut& put : commit.puts) {
    rows_[ToKey(put.key)] = {
        .key = put.key, .value = put.value, .version = version_};
  }
  for (const RowKey& key : commit.removals) {
    const auto found = rows_.find(ToKey(key));
    if (found != rows_.end()) {
      found->second.removed = true;
      found->second.version = version_;
    }
  }
  return RowsCommitted{.call = commit.call,
                       .version = version_,
                       .clock_ms = core::ToMillis(now_.time_since_epoch())};
}

StoreEvent FakeStore::Apply(const ReadRows& read) {
  RowsRead result{.call = read.call,
                  .version = version_,
                  .clock_ms = core::ToMillis(now_.time_since_epoch())};
  for (const auto& [key, row] : rows_) {
    const bool matches = row.key.table == read.table &&
                         row.key.part == read.part && !row.removed &&
                         row.key.key >= read.from &&
                         (read.to.empty() || row.key.key < read.to);
    if (matches && result.rows.size() == read.limit) {
      result.more = true;
    } else if (matches) {
      result.rows.push_back(row);
    }
  }
  return result;
}

std::optional<StoreEvent> FakeStore::Apply(const FollowRows& follow) {
  RowsChanged result{.call = follow.call, .version = version_};
  for (const auto& [key, row] : rows_) {
    if (row.key.table == follow.table && row.version > follow.after) {
      result.rows.push_back(row);
    }
  }
  if (result.rows.empty()) {
    return std::nullopt;
  }
  std::ranges::sort(result.rows, {}, &Row::version);
  return result;
}

}  // namespace hickoryusher::jobs
