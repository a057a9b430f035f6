#ifndef JOBS_PROCESS_SRC_LATE_ORDER_LOG_P_H_
#define JOBS_PROCESS_SRC_LATE_ORDER_LOG_P_H_

#include <cstdint>
#include <utility>

#include "core/log_limiter.h"
#include "core/time.h"
#include "http/upstream.h"
#include "jobs_process/ports.h"

namespace hickoryusher::jobs_process {

/// Logs orders to workers that were written long after they were decided on.
/// The line follows with the end of the call.
class LateOrderLog {
 public:
  explicit LateOrderLog(LogSink log) : log_(std::move(log)) {}

  void Handle(const http::UpstreamEvent& event, core::TimePoint now);

 private:
  // All orders in progress are late after the process was suspended.
  static constexpr std::uint64_t kLinesPerSecond = 20;

  LogSink log_;
  core::LogLimiter lines_{kLinesPerSecond};
};

}  // namespace hickoryusher::jobs_process

#endif  // JOBS_PROCESS_SRC_LATE_ORDER_LOG_P_H_
