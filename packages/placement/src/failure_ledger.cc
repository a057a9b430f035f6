#include "placement/failure_ledger.h"

#include <algorithm>

namespace hickoryusher::placement {
namespace {

template <typename T>
void AddOnce(std::vector<T>& list, const T& value) {
  if (std::ranges::find(list, value) == list.end()) {
    list.push_back(value);
  }
}

}  // namespace

FailureLedger::Verdict FailureLedger::Failed(core::WorkerId worker,
                                             core::JobId job) {
  Verdict verdict;
  std::vector<core::WorkerId>& failed_on = jobs_[job];
  AddOnce(failed_on, worker);
  AddOnce(workers_[worker].streak, job);
  if (failed_on.size() >= kJobFailureLimit) {
    verdict.stop_job = true;
    for (const core::WorkerId id : failed_on) {
      WorkerRecord& record = workers_[id];
      std::erase(record.streak, job);
      if (record.backoff > core::Duration(0) &&
          record.streak.size() < kWorkerFailureLimit) {
        record.backoff = core::Duration(0);
        verdict.cleared.push_back(id);
      }
    }
    return verdict;
  }
  WorkerRecord& record = workers_[worker];
  if (record.streak.size() >= kWorkerFailureLimit) {
    verdict.quarantine = true;
    record.backoff = record.backoff == core::Duration(0)
                         ? kFirstBackoff
                         : std::min(record.backoff * 2, kMaxBackoff);
    verdict.backoff = record.backoff;
  }
  return verdict;
}

void FailureLedger::Succeeded(core::WorkerId worker) {
  workers_.erase(worker);
}

}  // namespace hickoryusher::placement
