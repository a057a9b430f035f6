#ifndef JOBS_TYPES_H_
#define JOBS_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/handle.h"
#include "core/resources.h"
#include "core/time.h"

namespace hickoryusher::jobs {

/// A command to the store or to a worker; its answer carries the same id.
using CallId = core::Handle<struct CallTag, std::uint64_t>;

/// Fencing number of a slice's owner. A worker refuses orders of older epochs.
using Epoch = std::uint64_t;

/// Number of a start of a task. Later starts have larger numbers, also across
/// owners.
using RunNumber = std::uint64_t;

/// Like tasks of one job that become ready together.
struct StepSpec {
  std::uint32_t count = 1;
  core::Resources need;
  core::Duration estimate{};         ///< Declared run time; often far off.
  std::vector<std::uint32_t> after;  ///< Steps whose tasks must be done first.
  bool saves_progress = false;
  bool gang = false;          ///< The tasks work only together.
  bool long_running = false;  ///< Restarted until the job is cancelled.
  bool best_effort = false;   ///< `need.cpu_millis` is not reserved.
  std::string required_label;
  std::string data_rack;
  std::string image;
  std::uint32_t max_per_worker = 0;   ///< 0 for no limit.
  core::Duration latency_target{};    ///< 0 for none.
  std::uint32_t max_unavailable = 0;  ///< By the scheduler's own actions.
};

struct JobSpec {
  std::string id;
  std::string queue;
  std::string payload;  ///< Handed to the worker with each start.
  std::vector<StepSpec> steps;
  std::uint32_t repeat_count = 0;  ///< 0 for a single occurrence.
  std::int64_t first_run_unix_ms = 0;
  std::int64_t interval_ms = 0;
};

/// One task of a job.
struct TaskAddress {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskAddress&) const = default;
};

/// @returns `job.occurrence.step.index`.
std::string ToText(const TaskAddress& address);

/// @returns nothing unless @p text has the form that ToText writes.
std::optional<TaskAddress> ParseTaskAddress(std::string_view text);

/// What a worker says of itself in the fleet's registry.
struct WorkerEntry {
  std::string id;
  std::string service;
  std::string address;  ///< `IP:PORT`
  std::string failure_domain;
  std::int64_t born_unix_ms = 0;  ///< Start of this lifetime; 0 if not given.
  bool draining = false;
  core::Resources capacity;
  std::vector<std::string> labels;
};

/// State of a job as callers see it.
enum class JobPhase { kQueued, kActive, kCompleted, kFailed, kCancelled };

/// @returns true if no task of the job will run again.
constexpr bool IsFinal(JobPhase phase) {
  return phase != JobPhase::kQueued && phase != JobPhase::kActive;
}

}  // namespace hickoryusher::jobs

#endif  // JOBS_TYPES_H_
