#include "jobs/rows.h"

#include <algorithm>

namespace hickoryusher::jobs {

RowVersion VersionIn(std::span<const Row> rows, const RowKey& key) {
  const auto row = std::ranges::find(rows, key, &Row::key);
  return row == rows.end() ? 0 : row->version;
}

}  // namespace hickoryusher::jobs
