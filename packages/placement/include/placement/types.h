#ifndef PLACEMENT_TYPES_H_
#define PLACEMENT_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "core/work_class.h"

namespace hickoryusher::placement {

/// Jobs that run the same program: they share size estimates and slowdowns.
using KindId = core::Handle<struct KindTag>;

struct JobSpec {
  core::JobId job;
  core::TeamId team;
  KindId kind;
  core::WorkClass work_class = core::WorkClass::kBatch;
  bool urgent = false;
  bool gang = false;         ///< All tasks start together or not at all.
  core::Resources declared;  ///< Of one task.
  core::TaskId first_task;   ///< Task i of the job is first_task + i.
  std::uint32_t tasks = 1;
  std::optional<core::TimePoint> deadline;
};

struct WorkerSpec {
  core::WorkerId worker;
  core::RackId rack;
  core::Resources capacity;
};

enum class Outcome { kDone, kFailed, kCancelled };

/// What a worker reports of one attempt. Ended attempts are reported until
/// they are acknowledged.
enum class Phase {
  kRunning,
  kDone,
  kFailed,
  kStopped,       ///< Without a usable checkpoint.
  kCheckpointed,  ///< Stopped with a whole checkpoint of this attempt.
};

struct AttemptReport {
  core::TaskId task;
  std::uint32_t attempt = 0;
  Phase phase = Phase::kRunning;
  core::Resources peak_use;  ///< Since the attempt started, delayed.
  /// Measured time per request or step relative to an idle worker; 0 when
  /// there is no measurement.
  double slowdown = 0;
};

/// Row of the table service for one task.
struct TaskRow {
  enum class State : std::uint8_t { kClaimed, kDone, kFailed, kCancelled };

  core::TaskId task;
  std::uint32_t attempt = 0;
  State state = State::kClaimed;
  core::WorkerId worker;
  /// Attempt whose checkpoint this attempt resumes from; 0 for none.
  std::uint32_t checkpoint_attempt = 0;
  core::Epoch epoch;
  std::uint64_t claim = 0;  ///< Unique within the epoch.
  /// In a write, the version that the row must still have; the table then
  /// stores version + 1. 0 when there is no row yet.
  std::uint64_t version = 0;
};

}  // namespace hickoryusher::placement

#endif  // PLACEMENT_TYPES_H_
