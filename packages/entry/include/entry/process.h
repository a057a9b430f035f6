#ifndef ENTRY_PROCESS_H_
#define ENTRY_PROCESS_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "config/process_settings.h"

namespace hickoryusher::entry {

/// One entry process: its threads, rings and decisions.
class Process {
 public:
  class Builder;

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Stops without waiting for requests in progress; see Drain().
  ~Process();

  /// Takes no new request, waits for those in progress, at most for the longest
  /// deadline, and stops all threads.
  /// @returns false if requests were still in progress at the end.
  bool Drain();

 private:
  struct Impl;
  explicit Process(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

/// Starts a Process.
class Process::Builder {
 public:
  Builder& Settings(config::ProcessSettings settings) {
    settings_ = std::move(settings);
    return *this;
  }

  /// @returns the serving process, or nothing; see errors().
  std::unique_ptr<Process> Start();

  /// @returns every fault that kept the process from starting.
  std::span<const std::string> errors() const { return errors_; }

 private:
  config::ProcessSettings settings_;
  std::vector<std::string> errors_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_PROCESS_H_
