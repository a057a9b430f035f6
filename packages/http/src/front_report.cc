#include "front_report_p.h"

#include <utility>

namespace hickoryusher::http {
namespace {

using Totals = std::map<std::string, std::uint64_t, std::less<>>;

/// @returns true for the first one of its reason.
bool Count(Totals& totals, std::string_view reason) {
  const auto found = totals.find(reason);
  if (found != totals.end()) {
    ++found->second;
    return false;
  }
  totals.emplace(reason, 1);
  return true;
}

/// @param first always logged: a flood of others must not hide a new reason.
std::optional<core::LogLine> Limit(core::LogLine&& line,
                                   core::LogLimiter& limiter,
                                   bool first,
                                   core::TimePoint now) {
  if (first) {
    return std::move(line);
  }
  const auto suppressed = limiter.Admit(now);
  if (!suppressed) {
    return std::nullopt;
  }
  if (*suppressed > 0) {
    line.Add("suppressed", *suppressed);
  }
  return std::move(line);
}

}  // namespace

std::optional<core::LogLine> FrontReport::Refused(core::LogLine line,
                                                  std::string_view reason,
                                                  core::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const bool first = Count(refused_, reason);
  return Limit(std::move(line), refused_lines_, first, now);
}

std::optional<core::LogLine> FrontReport::Closed(core::LogLine line,
                                                 std::string_view reason,
                                                 core::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const bool first = Count(closed_, reason);
  return Limit(std::move(line), closed_lines_, first, now);
}

std::optional<core::LogLine> FrontReport::Dropped(core::LogLine line,
                                                  core::TimePoint now) {
  const std::lock_guard lock(mutex_);
  return Limit(std::move(line), dropped_lines_, false, now);
}

void FrontReport::AddTotals(FrontCounters& counters) const {
  const std::lock_guard lock(mutex_);
  counters.refused = refused_;
  counters.closed = closed_;
}

std::optional<core::LogLine> FrontReport::DueLine(std::uint16_t port,
                                                  const FrontCounters& counters,
                                                  core::TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (counters == logged_ || (logged_at_ && now - *logged_at_ < interval_)) {
    return std::nullopt;
  }
  logged_ = counters;
  logged_at_ = now;
  core::LogLine line("front_limits");
  line.Add("port", port)
      .Add("connections", counters.connections)
      .Add("bytes", counters.bytes)
      .Add("bytes_peak", counters.bytes_peak);
  for (const auto& [reason, count] : counters.refused) {
    line.Add("refused_" + reason, count);
  }
  for (const auto& [reason, count] : counters.closed) {
    line.Add("closed_" + reason, count);
  }
  return line;
}

bool FrontReport::IsBehind(const FrontCounters& counters) const {
  const std::lock_guard lock(mutex_);
  return counters != logged_;
}

}  // namespace hickoryusher::http
