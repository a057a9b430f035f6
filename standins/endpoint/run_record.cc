#include "standin/run_record.h"

#include <algorithm>

#include "core/log_line.h"

namespace hickoryusher::standin {

bool RunRecord::BeginRun(std::string_view key) {
  const std::lock_guard lock(mutex_);
  if (stats_.slots >= max_slots_) {
    ++stats_.slot_refusals;
    return false;
  }
  ++stats_.slots;
  stats_.slots_peak = std::max(stats_.slots_peak, stats_.slots);
  ++stats_.runs;
  ++runs_[std::string(key)];
  return true;
}

void RunRecord::EndRun() {
  const std::lock_guard lock(mutex_);
  --stats_.slots;
}

bool RunRecord::BeginConnection() {
  const std::lock_guard lock(mutex_);
  if (stats_.connections >= max_connections_) {
    ++stats_.connection_refusals;
    return false;
  }
  ++stats_.connections;
  stats_.connections_peak =
      std::max(stats_.connections_peak, stats_.connections);
  return true;
}

void RunRecord::EndConnection() {
  const std::lock_guard lock(mutex_);
  --stats_.connections;
}

std::uint64_t RunRecord::RunsOf(std::string_view key) const {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(key);
  return found == runs_.end() ? 0 : found->second;
}

std::string RunRecord::Lines() const {
  const std::lock_guard lock(mutex_);
  std::string lines;
  for (const auto& [key, runs] : runs_) {
    lines += core::LogLine("run").Add("key", key).Add("runs", runs).text();
    lines += '\n';
  }
  return lines;
}

EndpointStats RunRecord::stats() const {
  const std::lock_guard lock(mutex_);
  return stats_;
}

void RunRecord::Clear() {
  const std::lock_guard lock(mutex_);
  runs_.clear();
  stats_ = {.slots = stats_.slots,
            .slots_peak = stats_.slots,
            .connections = stats_.connections,
            .connections_peak = stats_.connections};
}

}  // namespace hickoryusher::standin
