#include "jobs/intake.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kRetryPause = milliseconds(100);

// A store that has answered nothing for this long while calls failed is taken
// as down; two answers at its slowest (240 ms) fit into it.
constexpr core::Duration kDownAfter = milliseconds(500);
constexpr core::Duration kProbeInterval = milliseconds(200);

// Outages of the store last seconds.
constexpr core::Duration kStoreRetryAfter = milliseconds(1000);

// The job id is part of row keys of at most 200 bytes.
constexpr std::size_t kMaxJobIdBytes = 100;

bool IsJobId(std::string_view text) {
  return text.size() <= kMaxJobIdBytes &&
         std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                  (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
         });
}

}  // namespace

std::string_view ToString(Refusal refusal) {
  constexpr std::array<std::string_view, 6> kNames = {
      "not_configured", "store_down", "unknown_queue",
      "bad_document",   "no_such_job", "unknown_outcome"};
  return kNames.at(static_cast<std::size_t>(refusal));
}

std::size_t SliceOfJob(std::string_view job, std::size_t slice_count) {
  // FNV-1a: the same in every process and on every machine.
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char c : job) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  }
  return (hash >> 32U) % slice_count;
}

void Intake::Answer(const ClientCall& call, ClientResult result) {
  answers_.push_back({.request = call.request, .result = std::move(result)});
}

void Intake::Refuse(const ClientCall& call,
                    Refusal refusal,
                    std::string detail) {
  options_.log(core::LogLine("call_refused")
                   .Add("path", call.path)
                   .Add("host", call.host)
                   .Add("reason", ToString(refusal))
                   .Add("detail", detail)
                   .Add("config", config_ ? config_->version() : 0));
  CallRefused refused{.refusal = refusal, .detail = std::move(detail)};
  if (refusal == Refusal::kNotConfigured || refusal == Refusal::kStoreDown) {
    refused.retry_after = kStoreRetryAfter;
  }
  Answer(call, std::move(refused));
}

void Intake::Take(ClientCall call,
                  core::TimePoint now,
                  std::int64_t unix_ms) {
  now_ = now;
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
    Refuse(call, Refusal::kBadDocument, "the path does not name a job");
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
  if (StoreIsDown(now_) && now_ < last_probe_ + kProbeInterval) {
    Refuse(call, Refusal::kStoreDown);
    return;
  }
  last_probe_ = now_;
  const std::size_t slice = SliceOfJob(job, options_.slices.size());
  const std::string& name = options_.slices[slice].name;
  CommitRows commit{
      .conditions = {{.key = ProgressRow(name, job), .version = 0}},
      .puts = {{.key = ProgressRow(name, job),
                .value = EncodeProgress(Progress())},
               {.key = JobRow(name, job),
                .value = EncodeStoredJob(
                    {.queue = queue.name,
                     .accepted_unix_ms = unix_ms,
                     .document = std::move(call.document)})}}};
  Send({.call = std::move(call),
        .job = std::move(job),
        .queue = queue.name,
        .slice = slice,
        .command = std::move(commit)});
}

void Intake::ReadState(ClientCall call, const Queue& queue, std::string job) {
  const std::size_t slice = SliceOfJob(job, options_.slices.size());
  const RowKey row = ProgressRow(options_.slices[slice].name, job);
  ReadRows read{.table = row.table,
                .part = row.part,
                .from = row.key,
                .to = row.key + '!',
                .limit = 1};
  Send({.call = std::move(call),
        .job = std::move(job),
        .queue = queue.name,
        .slice = slice,
        .command = std::move(read)});
}

void Intake::CountPending(ClientCall call, const Queue& queue) {
  const RowKey row = LoadRow({});
  Send({.call = std::move(call),
        .queue = queue.name,
        .command = ReadRows{.table = row.table, .part = row.part}});
}

void Intake::Send(Pending pending) {
  const CallId id = ids_.Next();
  std::visit([id](auto& command) { command.call = id; }, pending.command);
  pending.in_flight = true;
  commands_.push_back(pending.command);
  pending_.emplace(id, std::move(pending));
}

void Intake::NoteStore(const StoreEvent& event, core::TimePoint now) {
  const bool failed = std::holds_alternative<StoreRefused>(event) ||
                      std::holds_alternative<StoreUnanswered>(event);
  (failed ? last_failure_ : last_success_) = now;
}

bool Intake::StoreIsDown(core::TimePoint now) const {
  return last_failure_ > last_success_ && now > last_success_ + kDownAfter;
}

void Intake::Handle(const StoreEvent& event, core::TimePoint now) {
  now_ = now;
  NoteStore(event, now);
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
            options_.log(core::LogLine(submit ? "job_stored" : "cancel_stored")
                             .Add("job", pending.job)
                             .Add("queue", pending.queue)
                             .Add("slice", options_.slices[pending.slice].name)
                             .Add("config", config_->version()));
            Answer(pending.call, CallDone());
          },
          [&](const RowsConflicted&) {
            if (submit) {
              // The job is there already, perhaps by an attempt of this call.
              Answer(pending.call, CallDone());
              return;
            }
            // The job's progress was written meanwhile; read it again.
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
            pending.unanswered |= std::is_same_v<Event, StoreUnanswered>;
            pending.in_flight = false;
            pending.send_at = now_ + kRetryPause;
            if (pending.send_at >= pending.call.give_up ||
                (submit && StoreIsDown(now_) && !pending.unanswered)) {
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
  if (read.rows.empty()) {
    Refuse(pending.call, Refusal::kNoSuchJob);
    return;
  }
  const Row& row = read.rows.front();
  const auto progress = DecodeProgress(row.value);
  if (!progress) {
    options_.log(
        core::LogLine("progress_row_unreadable").Add("job", pending.job));
    Refuse(pending.call, Refusal::kUnknownOutcome, "unreadable progress");
    return;
  }
  if (pending.call.verb == ClientVerb::kQuery) {
    Answer(pending.call, JobState{.phase = progress->phase});
  } else if (IsFinal(progress->phase)) {
    Answer(pending.call, CallDone());
  } else {
    SendCancel(std::move(pending), row.version);
  }
}

void Intake::SendCancel(Pending pending, RowVersion version) {
  const std::string& name = options_.slices[pending.slice].name;
  pending.command = CommitRows{
      .conditions = {{.key = ProgressRow(name, pending.job),
                      .version = version}},
      .puts = {{.key = CancelRow(name, pending.job), .value = "cancelled"}}};
  Send(std::move(pending));
}

void Intake::FinishCount(const Pending& pending, const RowsRead& read) {
  std::uint32_t count = 0;
  for (const Row& row : read.rows) {
    const auto counts = DecodePending(row.value);
    if (!counts) {
      options_.log(
          core::LogLine("load_row_unreadable").Add("slice", row.key.key));
      continue;
    }
    if (const auto found = counts->find(pending.queue);
        found != counts->end()) {
      count += found->second;
    }
  }
  Answer(pending.call, PendingJobs{.count = count});
}

void Intake::GiveUp(const Pending& pending) {
  const bool maybe = pending.unanswered && pending.call.verb !=
                                               ClientVerb::kQuery;
  Refuse(pending.call,
         maybe ? Refusal::kUnknownOutcome : Refusal::kStoreDown);
}

void Intake::Run(core::TimePoint now) {
  now_ = now;
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
      pending.unanswered |= pending.in_flight;
      GiveUp(pending);
    } else {
      Send(std::move(pending));
    }
  }
}

std::vector<StoreCommand> Intake::TakeCommands() {
  return std::exchange(commands_, {});
}

std::vector<ClientAnswer> Intake::TakeAnswers() {
  return std::exchange(answers_, {});
}

core::TimePoint Intake::next_timer() const {
  core::TimePoint next = core::TimePoint::max();
  for (const auto& [id, pending] : pending_) {
    next = std::min({next, pending.call.give_up,
                     pending.in_flight ? pending.call.give_up
                                       : pending.send_at});
  }
  return next;
}

}  // namespace hickoryusher::jobs
