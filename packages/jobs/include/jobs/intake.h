#ifndef JOBS_INTAKE_H_
#define JOBS_INTAKE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/log_limiter.h"
#include "core/log_line.h"
#include "core/time.h"
#include "jobs/open_writes.h"
#include "jobs/operator_state.h"
#include "jobs/queues.h"
#include "jobs/rows.h"
#include "jobs/slice_board.h"
#include "jobs/slice_scheduler.h"
#include "jobs/table_follower.h"
#include "jobs/transfer_policy.h"

namespace hickoryusher::jobs {

enum class ClientVerb { kSubmit, kQuery, kCancel };

/// CPU that a job may use at the same time, in thousandths of a core.
struct JobDemand {
  std::int64_t millis = 0;
  std::int64_t reserved_millis = 0;  ///< The reserved part.
  /// The part that is reserved until the job is cancelled.
  std::int64_t long_running_millis = 0;
  std::vector<TaskNeeds> needs;  ///< Of its tasks; each need once.
  /// Memory that the owner of its slice needs for it, with one occurrence.
  std::int64_t bytes = 0;
};

/// @returns the demand of the job: of `bytes` the sum, of each other field the
/// maximum over its steps. @param document_bytes size of its document.
JobDemand DemandOf(const JobSpec& spec, std::size_t document_bytes);

/// A caller's request. The path consists of a queue's prefix and a job id; a
/// query without a job id requests the number of waiting jobs in the queue.
struct ClientCall {
  core::RequestId request;
  ClientVerb verb = ClientVerb::kQuery;
  std::string host;
  std::string path;
  std::string document;        ///< Only with kSubmit.
  std::string document_error;  ///< Why it is invalid; else empty.
  JobDemand demand;
  core::TimePoint give_up;  ///< When the caller stops waiting for an answer.
};

enum class Refusal {
  kNotConfigured,  ///< No configuration has been read yet.
  kStoreDown,      ///< The job was not stored.
  kNoCapacity,     ///< No room for its long-running tasks, or in memory.
  kUnknownQueue,
  kBadDocument,
  kNoSuchJob,
  kUnknownOutcome,  ///< The job may have been stored.
};

inline constexpr std::size_t kRefusals = 7;

std::string_view ToString(Refusal refusal);

/// The job (kSubmit) or its cancellation (kCancel) has been stored, or the job
/// had ended before it was cancelled.
struct CallDone {};

struct JobState {
  JobPhase phase = JobPhase::kQueued;
};

struct PendingJobs {
  std::uint32_t count = 0;
};

struct CallRefused {
  Refusal refusal = Refusal::kUnknownOutcome;
  std::string detail;
  std::optional<core::Duration> retry_after;
};

using ClientResult = std::variant<CallDone, JobState, PendingJobs, CallRefused>;

struct ClientAnswer {
  core::RequestId request;
  ClientResult result;
};

/// @returns a number that is the same in every process and on every machine.
std::uint64_t HashOf(std::string_view text);

/// @returns the indices of the slices that a job may belong to. A job is stored
/// in one of them, and only if none of the others has it.
std::vector<std::size_t> CandidateSlices(std::string_view job,
                                         std::size_t slice_count);

/// Answers callers: stores jobs and cancellations, and reads the states of jobs
/// from the store. It has no job state of its own, so every process can answer
/// for every job.
class Intake {
 public:
  struct Options {
    std::vector<SliceInfo> slices;
    std::function<void(const core::LogLine&)> log;
  };

  Intake(Options options, CallIds& ids)
      : options_(std::move(options)),
        ids_(ids),
        added_(options_.slices.size()),
        job_rooms_(options_.slices.size()) {}

  void SetConfig(QueueConfigPtr config) { config_ = std::move(config); }

  /// @param domains whose slices get jobs only if no other candidate can.
  void SetEvacuated(FailureDomains domains) { evacuated_ = std::move(domains); }

  /// @param loads of all slices, by index.
  void SetLoads(std::vector<std::optional<SliceLoad>> loads);

  /// @param unix_ms time of day at @p now.
  void Take(ClientCall call, core::TimePoint now, std::int64_t unix_ms);
  void Handle(const StoreEvent& event, core::TimePoint now);

  /// Repeats the store commands that are due, and refuses the calls whose
  /// callers no longer wait.
  void Run(core::TimePoint now);

  /// Records whether the store has answered; also called for the events of
  /// other readers of the same store.
  void RecordStoreResult(const StoreEvent& event, core::TimePoint now);

  std::vector<StoreCommand> PopCommands();
  std::vector<ClientAnswer> PopAnswers();
  core::TimePoint next_timer() const;

 private:
  /// A call that waits for an answer of the store or for its next attempt.
  struct Pending {
    ClientCall call;
    std::string job;
    std::string queue;
    std::size_t slice = 0;
    /// Candidate slices in which the job has not been looked up yet.
    std::vector<std::size_t> unread_slices;
    bool read_again = false;  ///< All of them have been read once.
    StoreCommand command;
    bool in_flight = true;
    core::TimePoint send_at;
  };

  /// Memory for further jobs of a slice, as its last owner published it. The
  /// next one holds the same, and publishes nothing before it has read that.
  struct JobRoom {
    std::int64_t bytes = 0;
    std::int64_t unix_ms = 0;
    std::int64_t added = 0;  ///< JobDemand::bytes accepted here since.

    std::int64_t left() const;
  };

  /// Refused calls for what does not exist.
  struct RefusalSummary {
    core::LogSummary calls;
    std::string path;  ///< Of the last one.
    std::string host;
  };

  void Answer(const ClientCall& call, ClientResult result);
  void Refuse(const ClientCall& call, Refusal refusal, std::string detail = {});
  void LogRefusal(const ClientCall& call,
                  Refusal refusal,
                  std::string_view detail);
  void LogRefusalSummaries();
  void Submit(ClientCall call,
              const Queue& queue,
              std::string job,
              std::int64_t unix_ms);
  const SliceLoad* RecentLoad(std::size_t slice) const;
  std::int64_t LongRunningMillis(std::size_t slice,
                                 const SliceLoad& load) const;
  bool IsEvacuated(std::size_t slice) const;
  std::size_t ChooseSlice(std::span<const std::size_t> candidates,
                          const Queue& queue,
                          const JobDemand& demand);
  void ReadState(ClientCall call, const Queue& queue, std::string job);
  void ReadNextSlice(Pending pending);
  void Remember(const std::string& job, std::size_t slice);
  void CountPending(ClientCall call, const Queue& queue);
  void Send(Pending pending);
  void Finish(Pending pending, const StoreEvent& event);
  void FinishRead(Pending pending, const RowsRead& read);
  void FinishCount(const Pending& pending, const RowsRead& read);
  void SendCancel(Pending pending, bool has_parts, RowVersion version);
  void GiveUp(const Pending& pending);
  std::optional<std::string> FindCapacityShortage(
      std::span<const std::size_t> candidates,
      const JobDemand& demand) const;
  std::optional<std::string> FindMemoryShortage(
      std::span<const std::size_t> candidates,
      const JobDemand& demand) const;
  bool StoreIsDown(core::TimePoint now) const;
  std::string StoreState() const;

  // Callers that are refused may come back at once, thousands of times a
  // second.
  static constexpr std::uint64_t kRefusalLinesPerSecond = 100;

  Options options_;
  CallIds& ids_;
  core::LogLimiter refusal_lines_{kRefusalLinesPerSecond};
  std::array<RefusalSummary, kRefusals> refusal_summaries_;  ///< By Refusal.
  QueueConfigPtr config_;
  FailureDomains evacuated_;
  core::TimePoint now_;
  std::int64_t unix_ms_ = 0;  ///< Time of day of the latest call.
  core::TimePoint last_success_;
  core::TimePoint last_failure_;
  core::TimePoint last_probe_;
  std::unordered_map<CallId, Pending> pending_;
  /// Submissions and cancellations, also of callers that no longer wait.
  OpenWrites open_writes_;
  /// By slice, as published.
  std::vector<std::optional<SliceLoad>> loads_;
  std::vector<JobDemand> added_;  ///< By slice, since SetLoads.
  std::vector<std::optional<JobRoom>> job_rooms_;  ///< By slice.
  /// Cache of the slices of jobs that this process has stored or read.
  std::unordered_map<std::string, std::size_t> known_slices_;
  std::deque<std::string> known_order_;
  std::vector<StoreCommand> commands_;
  std::vector<ClientAnswer> answers_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_INTAKE_H_
