#ifndef JOBS_WORKER_CALLS_H_
#define JOBS_WORKER_CALLS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "jobs/types.h"

/// Commands to the workers that run tasks, and their answers.
namespace hickoryusher::jobs {

/// Where an order goes: one lifetime of a worker.
struct Destination {
  std::string address;
  std::string worker;
};

struct StartRun {
  CallId call;
  Destination to;
  Epoch epoch = 0;
  TaskAddress task;
  RunNumber run = 0;
  std::string payload;
  std::string checkpoint;           ///< Empty to start from the beginning.
  std::int64_t lease_until_ms = 0;  ///< On the worker's clock.
};

struct StopRun {
  CallId call;
  Destination to;
  Epoch epoch = 0;
  TaskAddress task;
  RunNumber run = 0;
};

/// Extends the lease of everything that runs on the worker, and asks what runs
/// and what has ended there.
struct RenewLease {
  CallId call;
  Destination to;
  Epoch epoch = 0;
  std::optional<std::int64_t> lease_until_ms;  ///< On the worker's clock.
  std::uint64_t acknowledged = 0;  ///< Ends up to this number are durable.
  core::Duration wait{};  ///< The answer may wait this long for an end.
};

/// Limits a task that uses spare processors to a share of its speed.
struct SetPace {
  CallId call;
  Destination to;
  Epoch epoch = 0;
  TaskAddress task;
  RunNumber run = 0;
  std::uint32_t percent = 100;
};

using WorkerCommand = std::variant<StartRun, StopRun, RenewLease, SetPace>;

struct ActiveRun {
  TaskAddress task;
  RunNumber run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;  ///< Of the work done; 100 when a server is up.
  double usage = 0;  ///< Tail latency in ms, or used thousandths of a core.
};

enum class EndKind { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

std::string_view ToString(EndKind kind);

struct EndedRun {
  std::uint64_t number = 0;  ///< Counts the ends of one lifetime from 1.
  TaskAddress task;
  RunNumber run = 0;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

/// Content of an answer to RenewLease.
struct WorkerReport {
  std::int64_t clock_ms = 0;
  std::int64_t born_unix_ms = 0;  ///< 0 if the answer does not say.
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;  ///< Not all, if there are many.
};

enum class OrderOutcome {
  kCarriedOut,
  kNoRoom,
  kSuperseded,  ///< A run with this or a higher number was there already.
  kTooLate,
  kFenced,            ///< A later epoch has given orders.
  kOtherIncarnation,  ///< The worker has started again under another identity.
  kRefused,           ///< Not done, for another reason.
  kUnreachable,       ///< Not done: no connection.
  kUnanswered,        ///< May have been done, or be done seconds later.
};

std::string_view ToString(OrderOutcome outcome);

/// Answer to StartRun, StopRun and SetPace.
struct OrderAnswered {
  CallId call;
  OrderOutcome outcome = OrderOutcome::kUnanswered;
  std::int64_t clock_ms = 0;  ///< 0 if there was no answer.
};

/// Answer to RenewLease.
struct LeaseAnswered {
  CallId call;
  OrderOutcome outcome = OrderOutcome::kUnanswered;
  std::optional<WorkerReport> report;  ///< If the order was carried out.
};

using WorkerEvent = std::variant<OrderAnswered, LeaseAnswered>;

inline CallId CallOf(const WorkerCommand& command) {
  return std::visit([](const auto& c) { return c.call; }, command);
}

}  // namespace hickoryusher::jobs

#endif  // JOBS_WORKER_CALLS_H_
