#ifndef JOBS_ROSTER_H_
#define JOBS_ROSTER_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryusher::jobs {

/// A worker on which tasks of a slice may run.
struct RosterEntry {
  std::string id;
  std::string address;
  /// Nothing runs there once the store's clock shows this time; 0 if a later
  /// lease may be granted.
  std::int64_t over_ms = 0;

  bool operator==(const RosterEntry&) const = default;
};

std::string EncodeRoster(std::span<const RosterEntry> entries);

/// @returns the entries, up to the first one that cannot be read.
std::vector<RosterEntry> DecodeRoster(std::string_view text);

}  // namespace hickoryusher::jobs

#endif  // JOBS_ROSTER_H_
