#include "settings/tree.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickoryusher::settings {

bool Tree::Apply(const Delta& delta) {
  if (delta.after > head_ || delta.head <= head_) {
    return false;
  }
  for (const Entry& entry : delta.entries) {
    Entry& present = entries_[entry.path];
    if (entry.revision > present.revision) {
      present = entry;
    }
  }
  head_ = delta.head;
  return true;
}

Delta Tree::Since(Revision revision) const {
  Delta delta{.after = revision, .head = head_};
  for (const auto& [path, entry] : entries_) {
    if (entry.revision > revision) {
      delta.entries.push_back(entry);
    }
  }
  std::ranges::sort(delta.entries, {}, &Entry::revision);
  return delta;
}

const Entry* Tree::FindEntry(std::string_view path) const {
  const auto found = entries_.find(path);
  return found == entries_.end() ? nullptr : &found->second;
}

const Value* Tree::Find(std::string_view path) const {
  const Entry* entry = FindEntry(path);
  return entry == nullptr || !entry->value ? nullptr : &*entry->value;
}

Revision Tree::PathRevision(std::string_view path) const {
  const Entry* entry = FindEntry(path);
  return entry == nullptr ? 0 : entry->revision;
}

bool Tree::HasSubtree(std::string_view path) const {
  for (auto next = entries_.lower_bound(path);
       next != entries_.end() && next->first.starts_with(path); ++next) {
    if (next->second.value && IsWithin(next->first, path)) {
      return true;
    }
  }
  return false;
}

void Tree::ForEach(
    const std::function<void(std::string_view, const Value&)>& visit) const {
  for (const auto& [path, entry] : entries_) {
    if (entry.value) {
      visit(path, *entry.value);
    }
  }
}

Tree Tree::With(const Change& change) const {
  Tree result = *this;
  result.entries_[change.path] = {.path = change.path,
                                  .value = change.value,
                                  .revision = ++result.head_,
                                  .change_id = change.id};
  return result;
}

Delta MakeDelta(Revision after, std::vector<Entry> entries, bool more) {
  Delta delta{.after = after, .head = after, .more = more};
  for (Entry& entry : entries) {
    if (entry.revision != delta.head + 1) {
      break;
    }
    ++delta.head;
    delta.entries.push_back(std::move(entry));
  }
  return delta;
}

}  // namespace hickoryusher::settings
