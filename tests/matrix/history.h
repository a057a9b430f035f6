#ifndef MATRIX_HISTORY_H_
#define MATRIX_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/resources.h"
#include "core/time.h"
#include "retry/types.h"

namespace hickoryusher::matrix {

// What rigs record, in true time. Checkers see nothing else.

/// A caller sent a request. Requests with the same operation carry the same
/// key.
struct Submitted {
  core::RequestId request;
  std::uint64_t operation = 0;
  bool idempotent = false;
  bool must_be_answered = false;  ///< Every part works and stays so.
};
/// An endpoint ran the request.
struct Executed {
  core::RequestId request;
  core::AttemptId attempt;
};
/// The adapter received the complete response of an attempt.
struct ResponseComplete {
  core::RequestId request;
  core::AttemptId attempt;
};
struct Delivered {
  core::RequestId request;
  retry::Outcome outcome = retry::Outcome::kUnknown;
  retry::Reason reason = retry::Reason::kNone;
  core::AttemptId attempt;
  bool stored = false;  ///< The response of another request with the key.
};
/// The caller's connection broke because the process died.
struct CallerCutOff {
  core::RequestId request;
};
struct ExchangeStarted {
  core::RequestId request;
};
/// The process closed the connection of a request that was under way.
struct ExchangeCancelled {
  core::RequestId request;
  bool by_shutdown = false;
};
struct ShutdownBegan {};

/// A worker began to run an attempt of a task.
struct TaskStarted {
  core::TaskId task;
  std::uint32_t attempt = 0;
  core::WorkerId worker;
  std::uint32_t checkpoint_attempt = 0;  ///< It resumes from; 0 for none.
};
/// The attempt no longer runs there.
struct TaskStopped {
  core::TaskId task;
  std::uint32_t attempt = 0;
  core::WorkerId worker;
};
/// A process may claim tasks of the slice (or no longer may).
struct SliceHeld {
  core::EntryId entry;
  bool owned = false;
};
/// The attempt stopped with a whole checkpoint.
struct Checkpointed {
  core::TaskId task;
  std::uint32_t attempt = 0;
};
/// What the tasks of a worker use together.
struct WorkerLoad {
  core::WorkerId worker;
  core::Resources use;
  core::Resources capacity;
};
/// A task that has to run again once every part works.
struct TaskMustRun {
  core::TaskId task;
};

/// The store's log holds a change of the settings.
struct SettingWritten {
  std::string change;
  std::uint64_t revision = 0;
};
/// The operator was told that the change is accepted.
struct SettingAccepted {
  std::string change;
  std::uint64_t revision = 0;
};
/// The operator was told that the change is not in effect and will not be.
struct SettingRefused {
  std::string change;
};
/// A run of a process serves the settings of this revision.
struct SettingsShown {
  std::size_t process = 0;
  std::uint64_t run = 0;
  std::uint64_t head = 0;
};
/// What a process serves once every part has worked for some seconds.
struct SettingsAtEnd {
  std::size_t process = 0;
  std::uint64_t head = 0;
};

using Record = std::variant<SettingWritten,
                            SettingAccepted,
                            SettingRefused,
                            SettingsShown,
                            SettingsAtEnd,
                            TaskStarted,
                            TaskStopped,
                            SliceHeld,
                            TaskMustRun,
                            Checkpointed,
                            WorkerLoad,
                            Submitted,
                            Executed,
                            ResponseComplete,
                            Delivered,
                            CallerCutOff,
                            ExchangeStarted,
                            ExchangeCancelled,
                            ShutdownBegan>;

struct Entry {
  core::TimePoint at;
  Record record;
};

using History = std::vector<Entry>;

}  // namespace hickoryusher::matrix

#endif  // MATRIX_HISTORY_H_
