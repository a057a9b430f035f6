#include "jobs/intake.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/overloaded.h"
#include "jobs/worker_pool.h"

namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kRetryPause = milliseconds(100);

// The store is considered down if it has not answered for this long and a call
// has failed since. This covers two of its slowest answers (240 ms each).
constexpr core::Duration kStoreDownTimeout = milliseconds(500);
constexpr core::Duration kProbeInterval = milliseconds(200);

// The store's outages last seconds.
constexpr core::Duration kStoreRetryAfter = milliseconds(1000);

// Number of jobs whose slice is cached. Finding any other job takes up to three
// reads.
constexpr std::size_t kMaxKnownSlices = 20'000;

// Room becomes free when long-running jobs are cancelled, which happens several
// times a minute. Memory becomes free when jobs are closed.
constexpr core::Duration kCapacityRetryAfter = milliseconds(3000);

// Callers that are refused together come back over as many seconds, in another
// order each time.
constexpr std::uint64_t kCapacityRetrySpreadSeconds = 5;

// The job id is part of row keys, which have at most 200 bytes.
constexpr std::size_t kMaxJobIdBytes = 100;

bool IsJobId(std::string_view text) {
  return text.size() <= kMaxJobIdBytes && std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                  (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
         });
}

}  // namespace

std::string_view ToString(Refusal refusal) {
  constexpr std::array<std::string_view, kRefusals> kNames = {
      "not_configured", "store_down",  "no_capacity",    "unknown_queue",
      "bad_document",   "no_such_job", "unknown_outcome"};
  return kNames.at(static_cast<std::size_t>(refusal));
}

void Intake::Answer(const ClientCall& call, ClientResult result) {
  answers_.push_back({.request = call.request, .result = std::move(result)});
}

void Intake::Refuse(const ClientCall& call,
                    Refusal refusal,
                    std::string detail) {
  LogRefusal(call, refusal, detail);
  CallRefused refused{.refusal = refusal, .detail = std::move(detail)};
  if (refusal == Refusal::kNotConfigured || refusal == Refusal::kStoreDown) {
    refused.retry_after = kStoreRetryAfter;
  }
  if (refusal == Refusal::kNoCapacity) {
    const std::uint64_t turn =
        HashOf(call.path) + static_cast<std::uint64_t>(unix_ms_);
    refused.retry_after =
        kCapacityRetryAfter +
        std::chrono::seconds(turn % kCapacityRetrySpreadSeconds);
  }
  Answer(call, std::move(refused));
}

void Intake::LogRefusal(const ClientCall& call,
                        Refusal refusal,
                        std::string_view detail) {
  if (refusal == Refusal::kUnknownQueue || refusal == Refusal::kNoSuchJob) {
    RefusalSummary& summary =
        refusal_summaries_.at(static_cast<std::size_t>(refusal));
    summary.calls.Count(now_);
    summary.path = core::TruncateForLog(call.path);
    summary.host = core::TruncateForLog(call.host);
    return;
  }
  const auto suppressed = refusal_lines_.Admit(now_);
  if (!suppressed) {
    return;
  }
  core::LogLine line("call_refused", refusal == Refusal::kBadDocument
                                         ? core::LogLevel::kInfo
                                         : core::LogLevel::kWarning);
  line.Add("path", core::TruncateForLog(call.path))
      .Add("host", core::TruncateForLog(call.host))
      .Add("reason", ToString(refusal))
      .Add("detail", core::TruncateForLog(detail))
      .Add("config", config_ ? config_->version() : 0);
  if (*suppressed > 0) {
    line.Add("suppressed", *suppressed);
  }
  options_.log(line);
}

void Intake::LogRefusalSummaries() {
  for (std::size_t i = 0; i < refusal_summaries_.size(); ++i) {
    RefusalSummary& summary = refusal_summaries_[i];
    if (const std::uint64_t calls = summary.calls.Take(now_); calls > 0) {
      options_.log(core::LogLine("calls_refused")
                       .Add("reason", ToString(static_cast<Refusal>(i)))
                       .Add("calls", calls)
                       .Add("last_path", summary.path)
                       .Add("last_host", summary.host)
                       .Add("config", config_ ? config_->version() : 0));
    }
  }
}

void Intake::Take(ClientCall call, core::TimePoint now, std::int64_t unix_ms) {
  now_ = now;
  unix_ms_ = unix_ms;
  if (config_ == nullptr) {
    Refuse(call, Refusal::kNotConfigured);
    return;
  }
  const Queue* queue = config_->Match(call.host, call.path);
  if (queue == nullptr) {
    Refuse(call, Refusal::kUnknownQueue);
    return;
  }
  std::string job = call.path.substr(queue->path_prefix.size());
  if (!IsJobId(job) || (job.empty() && call.verb != ClientVerb::kQuery)) {
    Refuse(call, Refusal::kBadDocument,
           "expected a job id of at most 100 letters, digits, '-' or '_' "
           "after the queue's path prefix");
    return;
  }
  if (call.verb == ClientVerb::kSubmit) {
    Submit(std::move(call), *queue, std::move(job), unix_ms);
  } else if (job.empty()) {
    CountPending(std::move(call), *queue);
  } else {
    ReadState(std::move(call), *queue, std::move(job));
  }
}

void Intake::Submit(ClientCall call,
                    const Queue& queue,
                    std::string job,
                    std::int64_t unix_ms) {
  if (!call.document_error.empty()) {
    const std::string detail = call.document_error;
    Refuse(call, Refusal::kBadDocument, detail);
    return;
  }
  // An earlier attempt may have stored the job, or may still store it.
  const bool may_be_stored = open_writes_.Contains(job);
  if (StoreIsDown(now_) && now_ < last_probe_ + kProbeInterval) {
    Refuse(call, may_be_stored ? Refusal::kUnknownOutcome : Refusal::kStoreDown,
           StoreState());
    return;
  }
  last_probe_ = now_;
  const auto candidates = CandidateSlices(job, options_.slices.size());
  if (auto reason = FindCapacityShortage(candidates, call.demand);
      reason && !may_be_stored) {
    Refuse(call, Refusal::kNoCapacity, *std::move(reason));
    return;
  }
  if (auto reason = FindMemoryShortage(candidates, call.demand);
      reason && !may_be_stored) {
    Refuse(call, Refusal::kNoCapacity, *std::move(reason));
    return;
  }
  const std::size_t slice = ChooseSlice(candidates, queue, call.demand);
  const std::string& name = options_.slices[slice].name;
  CommitRows commit{.puts = {{.key = ProgressRow(name, job),
                              .value = EncodeProgress(Progress())},
                             {.key = JobRow(name, job),
                              .value = EncodeStoredJob(
                                  {.queue = queue.name,
                                   .accepted_unix_ms = unix_ms,
                                   .document = std::move(call.document)})}},
                    .several_parts = candidates.size() > 1};
  for (const std::size_t candidate : candidates) {
    commit.conditions.push_back(
        {.key = ProgressRow(options_.slices[candidate].name, job),
         .version = 0});
  }
  Send({.call = std::move(call),
        .job = std::move(job),
        .queue = queue.name,
        .slice = slice,
        .command = std::move(commit)});
}

void Intake::Remember(const std::string& job, std::size_t slice) {
  if (!known_slices_.insert_or_assign(job, slice).second) {
    return;
  }
  known_order_.push_back(job);
  if (known_order_.size() > kMaxKnownSlices) {
    known_slices_.erase(known_order_.front());
    known_order_.pop_front();
  }
}

void Intake::ReadState(ClientCall call, const Queue& queue, std::string job) {
  Pending pending{.call = std::move(call), .queue = queue.name};
  pending.unread_slices = CandidateSlices(job, options_.slices.size());
  if (const auto known = known_slices_.find(job);
      known != known_slices_.end()) {
    std::ranges::partition(pending.unread_slices, [&](std::size_t slice) {
      return slice == known->second;
    });
  }
  pending.job = std::move(job);
  ReadNextSlice(std::move(pending));
}

void Intake::ReadNextSlice(Pending pending) {
  pending.slice = pending.unread_slices.front();
  pending.unread_slices.erase(pending.unread_slices.begin());
  const RowKey row =
      ProgressRow(options_.slices[pending.slice].name, pending.job);
  // A cancellation needs to know, too, whether the job has a row of places.
  const bool cancel = pending.call.verb == ClientVerb::kCancel;
  pending.command = ReadRows{
      .table = row.table,
      .part = row.part,
      .from = row.key,
      .to = cancel ? PlacesRow(options_.slices[pending.slice].name, pending.job)
                             .key +
                         '!'
                   : row.key + '!',
      .limit = cancel ? 2U : 1U};
  Send(std::move(pending));
}

void Intake::CountPending(ClientCall call, const Queue& queue) {
  Send({.call = std::move(call),
        .queue = queue.name,
        .command = ReadRows{.table = SliceTableName()}});
}

void Intake::Send(Pending pending) {
  const CallId id = ids_.Next();
  std::visit([id](auto& command) { command.call = id; }, pending.command);
  pending.in_flight = true;
  open_writes_.Add(pending.command);
  commands_.push_back(pending.command);
  pending_.emplace(id, std::move(pending));
}

void Intake::RecordStoreResult(const StoreEvent& event, core::TimePoint now) {
  const bool failed = std::holds_alternative<StoreRefused>(event) ||
                      std::holds_alternative<StoreUnanswered>(event);
  (failed ? last_failure_ : last_success_) = now;
}

bool Intake::StoreIsDown(core::TimePoint now) const {
  return last_failure_ > last_success_ &&
         now > last_success_ + kStoreDownTimeout;
}

std::string Intake::StoreState() const {
  return "the store last answered " +
         std::to_string(core::ToMillis(now_ - last_success_)) + " ms ago";
}

void Intake::Handle(const StoreEvent& event, core::TimePoint now) {
  now_ = now;
  RecordStoreResult(event, now);
  const auto found = pending_.find(CallOf(event));
  if (found == pending_.end()) {
    return;
  }
  Pending pending = std::move(found->second);
  pending_.erase(found);
  Finish(std::move(pending), event);
}

void Intake::Finish(Pending pending, const StoreEvent& event) {
  const bool submit = pending.call.verb == ClientVerb::kSubmit;
  std::visit(
      core::Overloaded{
          [&](const RowsCommitted&) {
            open_writes_.Close(pending.command);
            options_.log(core::LogLine(submit ? "job_stored" : "cancel_stored")
                             .Add("job", pending.job)
                             .Add("queue", pending.queue)
                             .Add("slice", options_.slices[pending.slice].name)
                             .Add("config", config_->version()));
            Remember(pending.job, pending.slice);
            Answer(pending.call, CallDone());
          },
          [&](const RowsConflicted&) {
            if (submit) {
              // The job is already stored, perhaps by an earlier attempt.
              open_writes_.Close(pending.command);
              Answer(pending.call, CallDone());
              return;
            }
            // The job's progress has been written since it was read.
            open_writes_.Drop(pending.command);
            const Queue* queue = config_->FindQueue(pending.queue);
            if (queue == nullptr) {
              Refuse(pending.call, Refusal::kUnknownQueue);
              return;
            }
            ReadState(std::move(pending.call), *queue, std::move(pending.job));
          },
          [&](const RowsRead& read) { FinishRead(std::move(pending), read); },
          [&](const auto& other) {
            using Event = std::remove_cvref_t<decltype(other)>;
            if constexpr (std::is_same_v<Event, StoreRefused>) {
              open_writes_.Drop(pending.command);
            }
            pending.in_flight = false;
            pending.send_at = now_ + kRetryPause;
            if (pending.send_at >= pending.call.give_up ||
                (submit && StoreIsDown(now_) &&
                 !open_writes_.Contains(pending.command))) {
              GiveUp(pending);
              return;
            }
            const CallId id = ids_.Next();
            pending_.emplace(id, std::move(pending));
          }},
      event);
}

void Intake::FinishRead(Pending pending, const RowsRead& read) {
  if (pending.job.empty()) {
    FinishCount(pending, read);
    return;
  }
  if (read.rows.empty() || read.rows.front().key.key != pending.job) {
    if (!pending.unread_slices.empty()) {
      ReadNextSlice(std::move(pending));
    } else if (!pending.read_again) {
      // The job may have moved to a slice that had been read already.
      pending.read_again = true;
      pending.unread_slices =
          CandidateSlices(pending.job, options_.slices.size());
      ReadNextSlice(std::move(pending));
    } else {
      Refuse(pending.call, Refusal::kNoSuchJob);
    }
    return;
  }
  Remember(pending.job, pending.slice);
  const Row& row = read.rows.front();
  const auto progress = DecodeProgress(row.value);
  if (!progress) {
    options_.log(
        core::LogLine("progress_row_unreadable", core::LogLevel::kError)
            .Add("job", pending.job));
    Refuse(pending.call, Refusal::kUnknownOutcome,
           "the stored progress of the job cannot be decoded");
    return;
  }
  if (pending.call.verb == ClientVerb::kQuery) {
    Answer(pending.call, JobState{.phase = progress->phase});
  } else if (IsFinal(progress->phase)) {
    Answer(pending.call, CallDone());
  } else {
    const bool has_parts =
        read.rows.size() > 1 &&
        std::ranges::find(progress->done, true) != progress->done.end();
    SendCancel(std::move(pending), has_parts, row.version);
  }
}

// Cancels the job in all slices that may have a part of it.
// @param has_parts long-running tasks of the job are done in its slice, since
//     they belong to others.
void Intake::SendCancel(Pending pending, bool has_parts, RowVersion version) {
  const std::vector<std::size_t> slices =
      has_parts ? CandidateSlices(pending.job, options_.slices.size())
                : std::vector{pending.slice};
  CommitRows commit{
      .conditions = {{.key = ProgressRow(options_.slices[pending.slice].name,
                                         pending.job),
                      .version = version}},
      .several_parts = slices.size() > 1};
  for (const std::size_t slice : slices) {
    commit.puts.push_back(
        {.key = CancelRow(options_.slices[slice].name, pending.job),
         .value = "cancelled"});
  }
  pending.command = std::move(commit);
  Send(std::move(pending));
}

void Intake::FinishCount(const Pending& pending, const RowsRead& read) {
  std::uint32_t count = 0;
  for (const Row& row : read.rows) {
    const auto load = LoadInSliceRow(row.value);
    if (!load || !IsRecent(*load, unix_ms_)) {
      // The slice has no owner at present, or the owner cannot reach the store.
      Refuse(pending.call, Refusal::kStoreDown,
             "no recent count of waiting jobs in slice " + row.key.key);
      return;
    }
    if (const auto found = load->pending.find(pending.queue);
        found != load->pending.end()) {
      count += found->second;
    }
  }
  Answer(pending.call, PendingJobs{.count = count});
}

void Intake::GiveUp(const Pending& pending) {
  Refuse(pending.call,
         open_writes_.Contains(pending.command) ? Refusal::kUnknownOutcome
                                                : Refusal::kStoreDown,
         StoreState());
}

void Intake::Run(core::TimePoint now) {
  now_ = now;
  LogRefusalSummaries();
  std::vector<CallId> due;
  for (const auto& [id, pending] : pending_) {
    if (now >= pending.call.give_up ||
        (!pending.in_flight && now >= pending.send_at)) {
      due.push_back(id);
    }
  }
  for (const CallId id : due) {
    auto node = pending_.extract(id);
    Pending& pending = node.mapped();
    if (now >= pending.call.give_up) {
      GiveUp(pending);
    } else {
      Send(std::move(pending));
    }
  }
}

std::vector<StoreCommand> Intake::PopCommands() {
  return std::exchange(commands_, {});
}

std::vector<ClientAnswer> Intake::PopAnswers() {
  return std::exchange(answers_, {});
}

core::TimePoint Intake::next_timer() const {
  core::TimePoint next = core::TimePoint::max();
  for (const RefusalSummary& summary : refusal_summaries_) {
    next = std::min(next, summary.calls.due());
  }
  for (const auto& [id, pending] : pending_) {
    next =
        std::min({next, pending.call.give_up,
                  pending.in_flight ? pending.call.give_up : pending.send_at});
  }
  return next;
}

}  // namespace hickoryusher::jobs
