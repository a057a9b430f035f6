#ifndef JOBS_OPEN_WRITES_H_
#define JOBS_OPEN_WRITES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "jobs/rows.h"

namespace hickoryusher::jobs {

/// Counts the copies of writes that may have been carried out, or may still be.
/// A write is known by the key of the last row that it puts; commands that
/// write nothing are not counted.
class OpenWrites {
 public:
  /// A copy is sent. Without a call for its outcome it stays open.
  void Add(const StoreCommand& command);

  /// One copy was not carried out and never will be.
  void Drop(const StoreCommand& command);

  /// The effect of the write is known, whichever copy had it.
  void Close(const StoreCommand& command);

  /// @returns true if a copy of the write of this row is open.
  bool Contains(std::string_view key) const { return counts_.contains(key); }
  bool Contains(const StoreCommand& command) const;

 private:
  std::map<std::string, std::uint32_t, std::less<>> counts_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_OPEN_WRITES_H_
