#ifndef PLACEMENT_FAILURE_LEDGER_H_
#define PLACEMENT_FAILURE_LEDGER_H_

#include <chrono>
#include <unordered_map>
#include <vector>

#include "placement/types.h"

namespace hickoryusher::placement {

/// Failures of different jobs in a row after which a worker is quarantined.
inline constexpr std::size_t kWorkerFailureLimit = 3;
/// Different workers on which a job may fail before it is stopped.
inline constexpr std::size_t kJobFailureLimit = 3;
inline constexpr core::Duration kFirstBackoff = std::chrono::seconds(30);
inline constexpr core::Duration kMaxBackoff = std::chrono::hours(1);

/// Tells failing workers from failing jobs.
class FailureLedger {
 public:
  /// What a failure leads to.
  struct Verdict {
    bool stop_job = false;
    bool quarantine = false;
    core::Duration backoff{};
    /// Workers to take out of quarantine: only the stopped job had put them
    /// there.
    std::vector<core::WorkerId> cleared;
  };

  Verdict Failed(core::WorkerId worker, core::JobId job);
  /// A task has ended well on @p worker.
  void Succeeded(core::WorkerId worker);
  void Forget(core::JobId job) { jobs_.erase(job); }

 private:
  struct WorkerRecord {
    std::vector<core::JobId> streak;  ///< Different jobs, failed in a row.
    core::Duration backoff{};         ///< Of the present quarantine.
  };

  std::unordered_map<core::WorkerId, WorkerRecord> workers_;
  std::unordered_map<core::JobId, std::vector<core::WorkerId>> jobs_;
};

}  // namespace hickoryusher::placement

#endif  // PLACEMENT_FAILURE_LEDGER_H_
