#ifndef JOBS_PROCESS_PROCESS_H_
#define JOBS_PROCESS_PROCESS_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "jobs/slice_board.h"
#include "jobs/slice_scheduler.h"
#include "jobs_process/ports.h"

namespace hickoryusher::jobs_process {

struct Listener {
  std::string address;
  std::uint16_t port = 0;
};

struct ProcessOptions {
  std::string process;  ///< Unique among running processes.
  std::string failure_domain;
  std::int64_t cpu_millis = 0;  ///< Of this VM; 0 if unknown.
  std::int64_t memory_mb = 0;   ///< Of this VM; 0 if unknown.
  /// Descriptors this process may have open; 0 if unknown.
  std::int64_t max_fds = 0;
  std::vector<std::string> failure_domains;
  Listener callers;    ///< For requests of callers.
  Listener readiness;  ///< For readiness checks of the load balancer.
  std::string chart_folder;
  jobs::FleetLimits limits;
  core::Duration drain_time{};  ///< From the stop signal to the forced end.
};

/// One entry process: intake of jobs, and scheduling of the slices it owns.
class Process {
 public:
  class Builder;

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  /// Releases the slices, answers requests until the load balancer has taken
  /// the process out of rotation, and stops.
  void Drain();

  /// Writes a log line.
  void Log(const core::LogLine& line);

 private:
  struct Impl;
  explicit Process(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

/// Starts a Process.
class Process::Builder {
 public:
  Builder& Options(ProcessOptions options) {
    options_ = std::move(options);
    return *this;
  }
  Builder& Outside(Ports ports) {
    ports_ = std::move(ports);
    return *this;
  }

  /// @returns the running process, or nullptr with the reasons in errors().
  std::unique_ptr<Process> Start();

  std::span<const std::string> errors() const { return errors_; }

 private:
  ProcessOptions options_;
  Ports ports_;
  std::vector<std::string> errors_;
};

}  // namespace hickoryusher::jobs_process

#endif  // JOBS_PROCESS_PROCESS_H_
