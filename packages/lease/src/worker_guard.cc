#include "lease/worker_guard.h"

#include <algorithm>

namespace hickoryusher::lease {

Admission WorkerGuard::Accept(core::Epoch epoch) {
  if (epoch < epoch_) {
    return Admission::kOldEpoch;
  }
  epoch_ = epoch;
  return Admission::kAccepted;
}

Admission WorkerGuard::Renew(core::Epoch epoch,
                             std::optional<core::TimePoint> echo) {
  const Admission admission = Accept(epoch);
  if (admission == Admission::kAccepted && echo.has_value()) {
    lease_until_ = std::max(lease_until_, *echo + kWorkerLease);
  }
  return admission;
}

Admission WorkerGuard::Start(core::Epoch epoch,
                             core::TimePoint echo,
                             TaskAttempt attempt,
                             core::TimePoint now) {
  if (const Admission admission = Renew(epoch, echo);
      admission != Admission::kAccepted) {
    return admission;
  }
  if (echo + kWorkerLease <= now) {
    return Admission::kLate;
  }
  const auto found = known_.find(attempt.task);
  if (found != known_.end()) {
    if (found->second.attempt == attempt.attempt) {
      return Admission::kDuplicate;
    }
    if (found->second.attempt > attempt.attempt || found->second.running) {
      return Admission::kSuperseded;
    }
  }
  known_[attempt.task] = {.attempt = attempt.attempt, .running = true};
  return Admission::kAccepted;
}

Admission WorkerGuard::Stop(core::Epoch epoch,
                            TaskAttempt attempt,
                            core::TimePoint now) {
  if (const Admission admission = Accept(epoch);
      admission != Admission::kAccepted) {
    return admission;
  }
  const auto found = known_.find(attempt.task);
  if (found == known_.end() || found->second.attempt < attempt.attempt) {
    if (found != known_.end() && found->second.running) {
      return Admission::kSuperseded;
    }
    known_[attempt.task] = {.attempt = attempt.attempt, .ended_at = now};
    return Admission::kDuplicate;
  }
  if (found->second.attempt > attempt.attempt) {
    return Admission::kSuperseded;
  }
  if (!found->second.running) {
    return Admission::kDuplicate;
  }
  Ended(attempt, now);
  return Admission::kAccepted;
}

void WorkerGuard::Ended(TaskAttempt attempt, core::TimePoint now) {
  const auto found = known_.find(attempt.task);
  if (found != known_.end() && found->second.attempt == attempt.attempt) {
    found->second.running = false;
    found->second.ended_at = now;
  }
}

std::vector<TaskAttempt> WorkerGuard::TakeExpired(core::TimePoint now) {
  std::erase_if(known_, [now](const auto& entry) {
    return !entry.second.running && now - entry.second.ended_at > kWorkerLease;
  });
  std::vector<TaskAttempt> expired;
  if (now < lease_until_) {
    return expired;
  }
  for (auto& [task, known] : known_) {
    if (known.running) {
      known.running = false;
      known.ended_at = now;
      expired.push_back({.task = task, .attempt = known.attempt});
    }
  }
  return expired;
}

bool WorkerGuard::IsRunning(TaskAttempt attempt) const {
  const auto found = known_.find(attempt.task);
  return found != known_.end() && found->second.running &&
         found->second.attempt == attempt.attempt;
}

}  // namespace hickoryusher::lease
