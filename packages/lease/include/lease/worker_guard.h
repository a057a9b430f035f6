#ifndef LEASE_WORKER_GUARD_H_
#define LEASE_WORKER_GUARD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "lease/timing.h"

namespace hickoryusher::lease {

/// One attempt to run a task.
struct TaskAttempt {
  core::TaskId task;
  std::uint32_t attempt = 0;

  auto operator<=>(const TaskAttempt&) const = default;
};

enum class Admission {
  kAccepted,
  kDuplicate,   ///< The attempt already runs or has ended; nothing to do.
  kOldEpoch,    ///< A newer owner has been seen.
  kLate,        ///< The echoed time is too old to start work on.
  kSuperseded,  ///< A newer attempt is known, or this one was stopped.
};

/// The worker's side of the lease: which commands it accepts and when it stops
/// its tasks. Times are the worker's own.
class WorkerGuard {
 public:
  /// Handles a heartbeat. A heartbeat without echo only makes the epoch known.
  Admission Renew(core::Epoch epoch, std::optional<core::TimePoint> echo);

  /// Decides on a command to start @p attempt.
  /// @remarks A start that was delayed past the lease is refused: its sender
  /// may have started the task elsewhere since.
  Admission Start(core::Epoch epoch,
                  core::TimePoint echo,
                  TaskAttempt attempt,
                  core::TimePoint now);

  /// Decides on a command to stop @p attempt. Remembers the attempt until its
  /// start would be refused as late, so that a delayed start has no effect.
  Admission Stop(core::Epoch epoch, TaskAttempt attempt, core::TimePoint now);

  /// Decides on any other command.
  Admission Accept(core::Epoch epoch);

  /// Records that @p attempt has ended by itself.
  void Ended(TaskAttempt attempt, core::TimePoint now);

  /// @returns the attempts to stop because the lease has ended, and records
  /// that they have ended.
  std::vector<TaskAttempt> TakeExpired(core::TimePoint now);

  bool IsRunning(TaskAttempt attempt) const;
  core::Epoch newest_epoch() const { return epoch_; }
  core::TimePoint lease_until() const { return lease_until_; }

 private:
  struct Known {
    std::uint32_t attempt = 0;
    bool running = false;
    core::TimePoint ended_at;
  };

  core::Epoch epoch_{0};
  core::TimePoint lease_until_;
  std::map<core::TaskId, Known> known_;
};

}  // namespace hickoryusher::lease

#endif  // LEASE_WORKER_GUARD_H_
