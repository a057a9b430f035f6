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

/// Identifies a command to the store or to a worker, and its answer.
using CallId = core::Handle<struct CallTag, std::uint64_t>;

/// Fencing number of a slice's owner.
using Epoch = std::uint64_t;

/// Counts the orders to a worker under one epoch in spans: a span ends when the
/// worker begins another life, or leaves an order without an answer.
using Generation = std::uint32_t;

/// Fencing number of an order to a worker. A worker does nothing for a lower
/// one than the highest that it has seen in its present life.
using FencingToken = std::uint64_t;

/// Tokens of an epoch are above those of all earlier epochs. An epoch lasts for
/// less than 10^9 generations, and tokens stay below 2^53, up to which parsers
/// that read numbers as floating point are exact, for 9 million epochs.
inline constexpr FencingToken kTokensPerEpoch = 1'000'000'000;

constexpr FencingToken TokenOf(Epoch epoch, Generation generation) {
  return epoch * kTokensPerEpoch + generation;
}

/// Number of one run of a task. Later runs have larger numbers, also after a
/// change of the slice's owner.
using RunNumber = std::uint64_t;

/// Run numbers of an owner are above those of all earlier owners of the slice:
/// each epoch has this many numbers, far more than the starts of a task under
/// one owner.
inline constexpr RunNumber kRunsPerEpoch = 10'000;

/// Identical tasks of one job that become ready at the same time.
struct StepSpec {
  std::uint32_t count = 1;
  core::Resources need;
  core::Duration estimate{};         ///< Declared run time; often far off.
  std::vector<std::uint32_t> after;  ///< Steps whose tasks must be done first.
  bool saves_progress = false;
  bool gang = false;          ///< The tasks only work when all of them run.
  bool long_running = false;  ///< Restarted until the job is cancelled.
  bool best_effort = false;   ///< `need.cpu_millis` is not reserved.
  std::string required_label;
  std::string data_rack;
  std::string image;
  std::uint32_t max_per_worker = 0;   ///< 0 for no limit.
  core::Duration latency_target{};    ///< 0 for none.
  std::uint32_t max_unavailable = 0;  ///< Through actions of the scheduler.
};

struct JobSpec {
  std::string id;
  std::string queue;
  std::string payload;  ///< Passed to the worker with each start.
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

/// A worker's entry in the fleet's registry.
struct WorkerEntry {
  std::string id;
  std::string service;
  std::string address;  ///< `IP:PORT`
  std::string failure_domain;
  std::int64_t born_unix_ms = 0;  ///< Start of the incarnation, or 0.
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
