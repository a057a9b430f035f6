#ifndef STANDIN_RUN_RECORD_H_
#define STANDIN_RUN_RECORD_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace hickoryusher::standin {

/// Counts of an endpoint stand-in since the last Clear().
struct EndpointStats {
  std::uint64_t runs = 0;
  std::size_t slots = 0;
  std::size_t slots_peak = 0;
  std::uint64_t slot_refusals = 0;  ///< Requests over the slot limit.
  std::size_t connections = 0;
  std::size_t connections_peak = 0;
  std::uint64_t connection_refusals = 0;  ///< Connections over the limit.
};

/// Thread-safe record of what an endpoint stand-in did.
class RunRecord {
 public:
  RunRecord(std::size_t max_slots, std::size_t max_connections)
      : max_slots_(max_slots), max_connections_(max_connections) {}

  /// Takes a slot and records a run of @p key.
  /// @returns false if all slots are taken; nothing is run then.
  bool BeginRun(std::string_view key);
  void EndRun();

  /// @returns false if the connection limit is reached.
  bool BeginConnection();
  void EndConnection();

  /// @returns how often a request with this key was run.
  std::uint64_t RunsOf(std::string_view key) const;

  /// @returns one line `key=K runs=N` for each key.
  std::string Lines() const;

  EndpointStats stats() const;

  /// Forgets runs and refusals; peaks restart from the current values.
  void Clear();

 private:
  const std::size_t max_slots_;
  const std::size_t max_connections_;
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t, std::less<>> runs_;
  EndpointStats stats_;
};

}  // namespace hickoryusher::standin

#endif  // STANDIN_RUN_RECORD_H_
