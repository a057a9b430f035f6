#ifndef SETTINGS_TYPES_H_
#define SETTINGS_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickoryusher::settings {

/// Number of an accepted change. The first is 1; 0 stands for no change.
using Revision = std::uint64_t;

/// Chosen by the caller; the same change keeps its id when it is sent again.
using ChangeId = std::string;

using Value = std::
    variant<bool, std::int64_t, double, std::string, std::vector<std::string>>;

/// The last change of one path.
struct Entry {
  std::string path;
  std::optional<Value> value;  ///< Nothing after a removal.
  Revision revision = 0;
  ChangeId change_id;

  bool operator==(const Entry&) const = default;
};

/// A change that a caller asks for.
struct Change {
  ChangeId id;
  std::string path;
  std::optional<Value> value;  ///< Nothing removes the path.
  Revision base = 0;  ///< Revision of the path that was seen; 0 for none.
  /// The same change was submitted before and its outcome is not known. Its
  /// earlier write may still take effect, so it is never reported as not
  /// written.
  bool resubmitted = false;
};

/// What changed after one revision up to another.
struct Delta {
  Revision after = 0;
  Revision head = 0;
  std::vector<Entry> entries;  ///< In the order of their revisions.
  bool more = false;           ///< The source has changes after @c head.
};

/// One fault in a value.
struct Mistake {
  std::string path;
  std::string expected;
  std::string found;

  bool operator==(const Mistake&) const = default;
};

/// @returns @p value as text for messages.
std::string ToText(const Value& value);

/// @returns true for `/name/name...` with names of a-z, 0-9, `_`, `-` and `.`,
/// at most 256 bytes.
bool IsPath(std::string_view path);

/// @returns true if @p path is @p subtree or below it.
bool IsWithin(std::string_view path, std::string_view subtree);

}  // namespace hickoryusher::settings

#endif  // SETTINGS_TYPES_H_
