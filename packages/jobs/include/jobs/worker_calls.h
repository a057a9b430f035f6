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

/// Receiver of an order: one incarnation of a worker.
struct Destination {
  std::string address;
  std::string worker;
};

struct StartRun {
  CallId call;
  Destination to;
  FencingToken token = 0;
  TaskAddress task;
  RunNumber run = 0;
  std::string payload;
  std::string checkpoint;           ///< Empty to start from the beginning.
  std::int64_t lease_until_ms = 0;  ///< On the worker's clock.
};

struct StopRun {
  CallId call;
  Destination to;
  FencingToken token = 0;
  TaskAddress task;
  RunNumber run = 0;
};

/// Extends the leases of all runs on the worker, and requests a report of the
/// runs that are active and those that have ended.
struct RenewLease {
  CallId call;
  Destination to;
  FencingToken token = 0;
  std::optional<std::int64_t> lease_until_ms;  ///< On the worker's clock.
  std::uint64_t acknowledged = 0;  ///< Ended runs up to this number are stored.
  core::Duration wait{};           ///< How long the answer may wait for an end.
};

/// Limits the CPU percentage that a best-effort task may use.
struct SetPace {
  CallId call;
  Destination to;
  FencingToken token = 0;
  TaskAddress task;
  RunNumber run = 0;
  std::uint32_t percent = 100;
};

using WorkerCommand = std::variant<StartRun, StopRun, RenewLease, SetPace>;

struct ActiveRun {
  TaskAddress task;
  RunNumber run = 0;
  std::string checkpoint;
  std::uint32_t percent = 0;  ///< Of the work; 100 for a running server.
  double usage = 0;  ///< Tail latency in ms, or used thousandths of a core.
};

enum class EndKind { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

std::string_view ToString(EndKind kind);

struct EndedRun {
  std::uint64_t number = 0;  ///< Counts the ends of an incarnation from 1.
  TaskAddress task;
  RunNumber run = 0;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

/// Content of an answer to RenewLease.
struct WorkerReport {
  std::int64_t clock_ms = 0;
  std::int64_t born_unix_ms = 0;  ///< 0 if not given.
  std::vector<ActiveRun> running;
  std::vector<EndedRun> ended;  ///< May be incomplete if there are many.
};

enum class OrderOutcome {
  kCarriedOut,
  kNoRoom,
  kSuperseded,  ///< The worker had a run with this or a higher number.
  kTooLate,
  kFenced,            ///< The worker has seen a higher token.
  kOtherIncarnation,  ///< The worker has restarted with another identity.
  kRefused,           ///< Not done, for another reason.
  kUnreachable,       ///< Not done: no connection.
  kUnanswered,        ///< May have been done, or may be done seconds later.
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
