#ifndef TELEMETRY_LOGGER_H_
#define TELEMETRY_LOGGER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/log_line.h"
#include "runtime/duty_thread.h"
#include "runtime/ring.h"

namespace hickoryusher::telemetry {

/// Writes log lines to standard error on a thread of its own.
///
/// @remarks A full ring drops the line and counts it, so that a slow terminal
/// or collector never delays a request; `event=log_lines_dropped` says how many
/// once it reads again. One Logger exists per process.
class Logger {
 public:
  /// @param capacity lines that may wait.
  explicit Logger(std::size_t capacity);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  void Write(const core::LogLine& line);

  /// @returns lines dropped because the ring was full.
  std::uint64_t dropped() const {
    return dropped_.load(std::memory_order_relaxed);
  }

 private:
  void Run();
  void WritePending();

  runtime::Ring<std::string> ring_;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::atomic<bool> closing_ = false;
  runtime::DutyThread thread_;
};

}  // namespace hickoryusher::telemetry

#endif  // TELEMETRY_LOGGER_H_
