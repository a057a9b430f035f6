#ifndef SETTINGS_TREE_H_
#define SETTINGS_TREE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "settings/types.h"

namespace hickoryusher::settings {

/// All paths with their values and revisions.
///
/// @remarks Each path keeps its latest entry by revision, also after a
/// removal. Deltas can therefore be applied twice or out of order, and the
/// entries after a revision are the whole difference to that revision.
class Tree {
 public:
  /// Applies @p delta if it continues from this tree's head or before it.
  /// @returns true if the head moved forward.
  bool Apply(const Delta& delta);

  /// @returns what changed after @p revision.
  Delta Since(Revision revision) const;

  /// @returns the last change of @p path, also a removal, or null.
  const Entry* FindEntry(std::string_view path) const;

  /// @returns the value at @p path, or null if there is none.
  const Value* Find(std::string_view path) const;

  /// @returns the revision of the last change of @p path, also of a removal.
  Revision PathRevision(std::string_view path) const;

  Revision head() const { return head_; }

  /// @returns true if a value exists at @p path or below it.
  bool HasSubtree(std::string_view path) const;

  /// Calls @p visit for each path that has a value, in path order.
  void ForEach(
      const std::function<void(std::string_view, const Value&)>& visit) const;

  /// @returns a copy in which @p change took effect as the next revision.
  Tree With(const Change& change) const;

 private:
  Revision head_ = 0;
  std::map<std::string, Entry, std::less<>> entries_;
};

/// Turns entries of consecutive changes into a delta.
/// @param entries in revision order; the delta ends before the first gap, so
/// that a read that misses a change cannot move a head beyond it.
Delta MakeDelta(Revision after, std::vector<Entry> entries, bool more);

}  // namespace hickoryusher::settings

#endif  // SETTINGS_TREE_H_
