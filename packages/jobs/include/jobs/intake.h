#ifndef JOBS_INTAKE_H_
#define JOBS_INTAKE_H_

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
#include "core/log_line.h"
#include "core/time.h"
#include "jobs/queues.h"
#include "jobs/rows.h"
#include "jobs/slice_board.h"
#include "jobs/slice_scheduler.h"
#include "jobs/table_follower.h"

namespace hickoryusher::jobs {

enum class ClientVerb { kSubmit, kQuery, kCancel };

/// Thousandths of a core that a job may use at once.
struct JobDemand {
  std::int64_t millis = 0;
  std::int64_t reserved_millis = 0;      ///< The part that it reserves.
  std::int64_t long_running_millis = 0;  ///< The part that it never gives back.
};

/// @returns the demand of the job's widest step.
JobDemand DemandOf(const JobSpec& spec);

/// What a caller asks for. The path names a queue, and a job behind it; a
/// query without a job asks for the number of waiting jobs.
struct ClientCall {
  core::RequestId request;
  ClientVerb verb = ClientVerb::kQuery;
  std::string host;
  std::string path;
  std::string document;        ///< Of kSubmit.
  std::string document_error;  ///< Why the document cannot be read, if so.
  JobDemand demand;
  core::TimePoint give_up;  ///< When the caller stops waiting for an answer.
};

enum class Refusal {
  kNotConfigured,  ///< No configuration has been read yet.
  kStoreDown,      ///< The job was not stored.
  kNoCapacity,     ///< The fleet has no lasting room for the job's tasks.
  kUnknownQueue,
  kBadDocument,
  kNoSuchJob,
  kUnknownOutcome,  ///< The job may have been stored.
};

std::string_view ToString(Refusal refusal);

/// The job is stored (kSubmit) or its cancellation is (kCancel).
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

/// @returns the indices of the slices that a job may belong to. A job is stored
/// in one of them, and only if none of the others has it.
std::vector<std::size_t> CandidateSlices(std::string_view job,
                                         std::size_t slice_count);

/// Answers callers: stores jobs and cancellations, reads states. Keeps no
/// state of jobs itself, so that every process can answer for every job.
class Intake {
 public:
  struct Options {
    std::vector<SliceInfo> slices;
    std::function<void(const core::LogLine&)> log;
  };

  Intake(Options options, CallIds& ids)
      : options_(std::move(options)),
        ids_(ids),
        added_(options_.slices.size()) {}

  void SetConfig(QueueConfigPtr config) { config_ = std::move(config); }

  /// @param loads of all slices, by index.
  void SetLoads(std::vector<std::optional<SliceLoad>> loads);

  /// @param unix_ms time of day at @p now.
  void Take(ClientCall call, core::TimePoint now, std::int64_t unix_ms);
  void Handle(const StoreEvent& event, core::TimePoint now);

  /// Sends again what is due, and gives up on what has no time left.
  void Run(core::TimePoint now);

  /// Notes an answer, or its absence, to another reader of the same store.
  void RecordStoreResult(const StoreEvent& event, core::TimePoint now);

  std::vector<StoreCommand> PopCommands();
  std::vector<ClientAnswer> PopAnswers();
  core::TimePoint next_timer() const;

 private:
  /// A call that waits for the store.
  struct Pending {
    ClientCall call;
    std::string job;
    std::string queue;
    std::size_t slice = 0;
    /// Slices in which a read has yet to look for the job.
    std::vector<std::size_t> unread;
    StoreCommand command;
    /// An attempt was not answered, so it may have taken effect.
    bool unanswered = false;
    bool in_flight = true;
    core::TimePoint send_at;
  };

  void Answer(const ClientCall& call, ClientResult result);
  void Refuse(const ClientCall& call, Refusal refusal, std::string detail = {});
  void Submit(ClientCall call,
              const Queue& queue,
              std::string job,
              std::int64_t unix_ms);
  const SliceLoad* RecentLoad(std::size_t slice) const;
  std::int64_t LongRunningMillis(std::size_t slice,
                                 const SliceLoad& load) const;
  std::size_t ChooseSlice(std::span<const std::size_t> candidates,
                          const JobDemand& demand);
  void ReadState(ClientCall call, const Queue& queue, std::string job);
  void ReadNextSlice(Pending pending);
  void Remember(const std::string& job, std::size_t slice);
  void CountPending(ClientCall call, const Queue& queue);
  void Send(Pending pending);
  void Finish(Pending pending, const StoreEvent& event);
  void FinishRead(Pending pending, const RowsRead& read);
  void FinishCount(const Pending& pending, const RowsRead& read);
  void SendCancel(Pending pending, RowVersion version);
  void GiveUp(const Pending& pending);
  std::optional<std::string> FindCapacityShortage(
      std::span<const std::size_t> candidates,
      const JobDemand& demand) const;
  bool StoreIsDown(core::TimePoint now) const;
  std::string StoreState() const;

  Options options_;
  CallIds& ids_;
  QueueConfigPtr config_;
  core::TimePoint now_;
  std::int64_t unix_ms_ = 0;  ///< Of the last call that came in.
  core::TimePoint last_success_;
  core::TimePoint last_failure_;
  core::TimePoint last_probe_;
  std::unordered_map<CallId, Pending> pending_;
  /// Load of each slice as published, and what this process has added since.
  std::vector<std::optional<SliceLoad>> loads_;
  std::vector<JobDemand> added_;  ///< By slice, since the loads were set.
  /// Slices of jobs that callers of this process have asked for.
  std::unordered_map<std::string, std::size_t> known_slices_;
  std::deque<std::string> known_order_;
  std::vector<StoreCommand> commands_;
  std::vector<ClientAnswer> answers_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_INTAKE_H_
