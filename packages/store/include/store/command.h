#ifndef STORE_COMMAND_H_
#define STORE_COMMAND_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "store/types.h"

namespace hickoryusher::store {

/// Writes all rows or none. Every condition must hold at the moment of the
/// write; a condition with version kAbsent requires that the row is absent.
struct Transact {
  CommandId id;
  std::vector<KeyVersion> conditions;
  std::vector<Row> puts;  ///< The version is ignored.
  std::vector<std::string> deletes;
};

struct ReadRow {
  CommandId id;
  std::string key;
};

/// Reads rows whose key starts with @c prefix, in key order.
struct ReadRange {
  CommandId id;
  std::string prefix;
  std::string after;  ///< Only keys greater than this; may be empty.
  std::uint32_t limit = 1000;
};

/// Stores an object, replacing one of the same name.
struct PutObject {
  CommandId id;
  std::string name;
  std::string content;  ///< Any bytes.
};

struct GetObject {
  CommandId id;
  std::string name;
};

struct ReadVmList {
  CommandId id;
  /// Revision that the issuer holds; the list is left out if it is unchanged.
  std::uint64_t known_revision = 0;
};

/// Everything that is asked of the platform.
using Command = std::
    variant<Transact, ReadRow, ReadRange, PutObject, GetObject, ReadVmList>;

/// @returns the id that the events of @p command carry.
inline CommandId IdOf(const Command& command) {
  return std::visit([](const auto& c) { return c.id; }, command);
}

/// @returns true if @p command changes something at the platform.
inline bool IsWrite(const Command& command) {
  return std::holds_alternative<Transact>(command) ||
         std::holds_alternative<PutObject>(command);
}

}  // namespace hickoryusher::store

#endif  // STORE_COMMAND_H_
