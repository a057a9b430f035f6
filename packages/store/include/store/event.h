#ifndef STORE_EVENT_H_
#define STORE_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "store/types.h"

namespace hickoryusher::store {

/// The transaction took effect.
struct Committed {
  CommandId id;
  RowVersion version = kAbsent;  ///< Version of every row that was put.
};

/// A condition did not hold; nothing was written.
struct Conflicted {
  CommandId id;
  std::vector<KeyVersion> present;  ///< Of every row with a failed condition.
};

struct RowRead {
  CommandId id;
  std::optional<Row> row;
  RowVersion as_of = kAbsent;  ///< Last transaction that the read includes.
};

struct RangeRead {
  CommandId id;
  std::vector<Row> rows;
  bool more = false;           ///< The limit cut the result short.
  RowVersion as_of = kAbsent;  ///< Last transaction that the read includes.
};

struct ObjectStored {
  CommandId id;
};

struct ObjectRead {
  CommandId id;
  std::optional<std::string> content;
};

/// The list lags behind, so it may be stale.
struct VmListRead {
  CommandId id;
  std::uint64_t revision = 0;  ///< Grows with each change of the list.
  bool unchanged = false;      ///< The issuer holds this revision already.
  std::vector<Vm> vms;
};

enum class RefusalReason {
  kRateLimit,
  kRingFull,
  kInvalid,  ///< The platform could not read the command.
};

/// The command was not run.
struct Refused {
  CommandId id;
  RefusalReason reason = RefusalReason::kRateLimit;
  core::Duration retry_after{};
};

/// The platform could not be reached or is out of order; the command was not
/// run.
struct Unavailable {
  CommandId id;
};

/// No answer arrived. A write may have taken effect, or may still do so.
struct TimedOut {
  CommandId id;
};

/// Everything that the platform reports. Each command gets exactly one event.
using Event = std::variant<Committed,
                           Conflicted,
                           RowRead,
                           RangeRead,
                           ObjectStored,
                           ObjectRead,
                           VmListRead,
                           Refused,
                           Unavailable,
                           TimedOut>;

/// @returns the id of the command that @p event answers.
inline CommandId IdOf(const Event& event) {
  return std::visit([](const auto& e) { return e.id; }, event);
}

}  // namespace hickoryusher::store

#endif  // STORE_EVENT_H_
