#ifndef STANDINS_WORKER_WORKER_H_
#define STANDINS_WORKER_WORKER_H_

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/resources.h"
#include "lease/worker_guard.h"
#include "store/command.h"
#include "store/event.h"

namespace hickoryusher::standins {

/// How a worker deviates from normal operation.
enum class Behaviour {
  kNormal,
  kFailTasks,  ///< Every task fails shortly after its start.
  kSilent,     ///< Runs its tasks and leases but does not answer.
  kPaused,     ///< Does nothing at all, as if its process were frozen.
  kDead,       ///< Its tasks end with the VM; it does not answer.
};

/// @returns the behaviour of this name, or nothing.
std::optional<Behaviour> ParseBehaviour(std::string_view name);

struct WorkerOptions {
  std::string name;
  std::string rack;
  std::string failure_domain;
  core::Resources capacity;
  core::Duration usage_delay = std::chrono::seconds(2);
};

/// One worker: runs each task as a timer of its run time.
///
/// @remarks Thread-safe. While the worker is paused, callers get no reply. A
/// checkpoint is the object `checkpoint/<task>/<attempt>`.
class Worker {
 public:
  /// Hands a command to the object store. @returns false if it was not taken.
  using ObjectSink = std::function<bool(store::Command&&)>;

  /// @param objects may be empty: then no checkpoint is written or found.
  Worker(WorkerOptions options, ObjectSink objects);

  /// Takes the answer to a command of the object sink.
  void TakeObject(const store::Event& event, core::TimePoint now);

  /// Runs the timers that are due.
  void Tick(core::TimePoint now);

  /// @returns the report, or nothing when the worker does not answer.
  std::optional<Json::Value> Exchange(const Json::Value& request,
                                      core::TimePoint now);

  /// @returns every run of every attempt, in the order of the starts.
  Json::Value Runs() const;

  void SetBehaviour(Behaviour behaviour);

 private:
  struct Run {
    lease::TaskAttempt attempt;
    core::Resources size;
    core::TimePoint started;
    /// Nothing for a watcher, and until a checkpoint was read.
    std::optional<core::TimePoint> due;
    std::optional<std::int64_t> run_ms;  ///< Nothing for a watcher.
    std::int64_t resumed_ms = 0;         ///< Work done by earlier attempts.
    bool checkpointing = false;
    std::string phase = "running";
  };
  struct Record {
    lease::TaskAttempt attempt;
    std::uint64_t epoch = 0;
    std::int64_t started_ms = 0;
    std::int64_t ended_ms = 0;  ///< 0 while the task runs.
    std::int64_t resumed_ms = 0;
    std::string end = "running";
  };
  /// A command to the object store without an answer.
  struct ObjectCall {
    lease::TaskAttempt attempt;
  };

  bool Answers() const;
  void RunTimers(core::TimePoint now);
  void Command(const Json::Value& command,
               core::Epoch epoch,
               std::optional<core::TimePoint> echo,
               core::TimePoint now);
  void Start(const Json::Value& command,
             core::Epoch epoch,
             core::TimePoint echo,
             core::TimePoint now);
  void End(Run& run, std::string_view phase, core::TimePoint now);
  void Checkpoint(Run& run, core::TimePoint now);
  void Resume(Run& run, std::uint32_t checkpoint_attempt, core::TimePoint now);
  void TakeCheckpoint(Run& run, const store::Event& event, core::TimePoint now);
  Run* Find(lease::TaskAttempt attempt);
  Json::Value Report(core::TimePoint now) const;

  mutable std::mutex mutex_;
  WorkerOptions options_;
  std::uint64_t run_;  ///< Differs between processes of the same worker.
  Behaviour behaviour_ = Behaviour::kNormal;
  lease::WorkerGuard guard_;
  std::map<lease::TaskAttempt, Run> runs_;
  std::vector<Record> records_;
  int throttle_ = 0;
  ObjectSink objects_;
  std::uint64_t next_object_ = 0;
  std::map<store::CommandId, ObjectCall> object_calls_;
  /// While the worker is frozen its tasks do not run, so they count as ended
  /// when it was frozen if their lease is over when it resumes.
  std::optional<std::int64_t> paused_ms_;
};

}  // namespace hickoryusher::standins

#endif  // STANDINS_WORKER_WORKER_H_
