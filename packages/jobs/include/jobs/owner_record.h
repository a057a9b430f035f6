#ifndef JOBS_OWNER_RECORD_H_
#define JOBS_OWNER_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jobs/types.h"

namespace hickoryusher::jobs {

/// The owner's part of a slice's row.
struct OwnerRecord {
  Epoch epoch = 0;
  std::string process;
  std::string incarnation;
  std::int64_t cpu_millis = 0;  ///< CPU of the owner's VM; 0 if unknown.
  /// When the owner's term ends unless it renews, by the store's clock; 0 if
  /// unknown.
  std::int64_t term_end_ms = 0;
  /// When the terms of all owners before have ended; 0 if there were none or
  /// they have ended, negative if unknown.
  std::int64_t earlier_term_end_ms = -1;
  /// Since this epoch, all owners have stored the places of long-running tasks;
  /// 0 if the last one has not.
  Epoch places_since = 0;
};

std::string EncodeOwnerRecord(const OwnerRecord& owner);

/// @param row the value of a slice's row, which begins with the record.
std::optional<OwnerRecord> DecodeOwnerRecord(std::string_view row);

}  // namespace hickoryusher::jobs

#endif  // JOBS_OWNER_RECORD_H_
