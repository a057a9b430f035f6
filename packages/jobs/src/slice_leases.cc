#include <algorithm>
#include <utility>

#include "jobs/slice_board.h"
#include "slice_scheduler_p.h"

/// Grants and renews the leases of workers, and tells when they are over. A
/// worker runs tasks only while it holds a lease.
namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

// While tasks run, a worker answers a renewal with its report after this time,
// so that the successor of a failed owner has over 3 s before the 6 s leases
// expire.
constexpr core::Duration kReportWait = milliseconds(1500);
// The same on a worker with serving tasks: the reaction to interference has to
// take effect well before harm_ms, 4 s at present.
constexpr core::Duration kServingReportWait = milliseconds(700);
// Interval of the requests for a report while a start may be carried out late.
// They do not wait for each other: some may be late as well.
constexpr core::Duration kLateStartInterval = milliseconds(300);
// The longest lease that is granted, whatever the platform permits. A worker
// that leaves or is lost keeps its tasks for its lease, and a long-running task
// must run again 9 s after its last run, of which finding room takes up to 2 s.
// A successor of a failed owner renews leases 4 s after the last renewal.
constexpr core::Duration kLongestLease = milliseconds(6000);

// Lease ends allow for a worker's clock that runs up to 2% slow.
constexpr double kSlowClockFactor = 1.02;
constexpr core::Duration kClockMargin = milliseconds(200);

// For at least this long after a renewal of the term, which comes each second,
// tasks start on workers that may have restarted unnoticed. Where leases of
// over 10 s are permitted, such a task may outlive the term.
constexpr core::Duration kStartWindow = milliseconds(1800);

// Returns when a lease is over that begins at @p begin and lasts for @p length
// on a worker's clock.
core::TimePoint LeaseOver(core::TimePoint begin, core::Duration length) {
  return begin +
         std::chrono::duration_cast<core::Duration>(length * kSlowClockFactor) +
         kClockMargin;
}

}  // namespace

// Returns when the leases that earlier owners have granted are over, if none of
// them is longer than this.
core::TimePoint SliceScheduler::PredecessorLeaseEnd(
    core::Duration longest) const {
  const core::TimePoint term_end = options_.predecessor_term_end + kClockMargin;
  if (!options_.predecessor_ended) {
    return term_end;
  }
  return std::max(options_.earlier_term_end + kClockMargin,
                  std::min(term_end, LeaseOver(gained_, longest)));
}

// The same for workers in the lives that earlier owners knew.
core::TimePoint SliceScheduler::PredecessorUsualLeaseEnd() const {
  return PredecessorLeaseEnd(
      std::min(options_.limits.longest_lease, kLongestLease));
}

// Returns whether the worker's lease, as of a report, is no longer than those
// that owners grant: no order on the clock of an earlier life has prolonged it,
// or may still do so. Where no longer lease is permitted, nobody needs to know:
// a place that says so is not used for another run.
bool SliceScheduler::MayNoteUsualLease(const Worker& worker) const {
  return options_.limits.longest_lease > kLongestLease &&
         worker.lease_end <= LeaseOver(now_, kLongestLease) &&
         milliseconds(worker.granted_until_ms - worker.ClockAt(now_)) <=
             kLongestLease + kClockMargin;
}

// Returns the end of a lease on the worker's clock, so that RecordLease expects
// it to be over no later than the term.
std::int64_t SliceScheduler::LeaseUntil(const Worker& worker) const {
  const auto left_at_report = std::chrono::duration_cast<core::Duration>(
      (term_end_ - kClockMargin - worker.clock_at) / kSlowClockFactor);
  return std::min(
      worker.ClockAt(now_) + core::ToMillis(std::min(
                                 options_.limits.longest_lease, kLongestLease)),
      worker.clock_ms + core::ToMillis(left_at_report));
}

void SliceScheduler::RecordLease(Worker& worker, std::int64_t until_ms) {
  worker.lease_end = std::max(
      worker.lease_end,
      LeaseOver(worker.clock_at, milliseconds(until_ms - worker.clock_ms)));
  worker.lease_end_after_restart =
      LeaseOver(now_, options_.limits.longest_lease);
  worker.granted_until_ms = std::max(worker.granted_until_ms, until_ms);
}

// Returns when nothing runs on the worker any more unless its lease is renewed.
// A start that nobody has seen carried out may have reached a life of the
// worker that the owner does not know.
core::TimePoint SliceScheduler::LeaseEnd(const Worker& worker) const {
  return worker.AllRunsSeen()
             ? worker.lease_end
             : std::max(worker.lease_end, worker.lease_end_after_restart);
}

// Returns whether no other owner had claimed the slice by @p time, since this
// one has renewed its term later. What it concludes from silence, from the end
// of a lease or from another life of a worker is not known to hold before: a
// successor may have adopted the run, renewed its lease, or acknowledged its
// end.
bool SliceScheduler::IsOwnerSince(core::TimePoint time) const {
  return term_end_ - SliceBoard::kOwnerGrace >= time;
}

bool SliceScheduler::needs_renewed_term() const {
  return !IsOwnerSince(term_needed_since_);
}

void SliceScheduler::SetTermEnd(core::TimePoint end) {
  placement_due_ |= end > term_end_ && needs_renewed_term();
  term_end_ = end;
}

// Returns whether an order that grants a lease now may give the worker one that
// outlives the term, which a successor would take for over. The worker may have
// restarted unnoticed unless all its runs have been seen: the end of the lease
// then counts on a clock that has started anew.
bool SliceScheduler::MayOutliveTerm(const Worker& worker) const {
  const bool seen = !worker.tasks.empty() && worker.AllRunsSeen();
  const core::TimePoint lease_over =
      LeaseOver(now_, options_.limits.longest_lease) - kClockMargin;
  return !seen && std::min(lease_over, now_ + SliceBoard::kOwnerGrace -
                                           kStartWindow) > term_end_;
}

bool SliceScheduler::MayGrantLease(const Worker& worker) const {
  return !worker.leases_closed && !MayOutliveTerm(worker);
}

// Returns whether an order that was granted on the clock of an earlier life of
// the worker, and has not been answered, may still give this life a lease.
bool SliceScheduler::MayGetLateLease(const Worker& worker) const {
  return milliseconds(worker.granted_until_ms - worker.ClockAt(now_)) >
         options_.limits.longest_lease;
}

// Returns whether a task that starts on the worker now may run for longer than
// the term. A worker that has restarted may have been given a longer lease by a
// renewal on the clock of the life before. A life that began since the last
// renewal does not know the token of a successor.
bool SliceScheduler::MayRunPastTerm(const Worker& worker) const {
  return MayOutliveTerm(worker) ||
         worker.lease_end - kClockMargin > term_end_ ||
         !IsOwnerSince(worker.life_since);
}

// Handles the clock that an answer shows. An order that was granted on the
// clock of an earlier life may have been carried out by this one.
void SliceScheduler::HandleClock(Worker& worker, std::int64_t clock_ms) {
  worker.SetClock(clock_ms, now_);
  const core::Duration left =
      std::min<core::Duration>(milliseconds(worker.granted_until_ms - clock_ms),
                               options_.limits.longest_lease);
  worker.lease_end = std::max(worker.lease_end, LeaseOver(now_, left));
}

// Handles the clock that the answer to an order for a task shows. The clock of
// another life starts anew. Otherwise the ends of the life before would be
// acknowledged to this one, which has carried out the order.
void SliceScheduler::HandleClock(const TaskCall& call, std::int64_t clock_ms) {
  Worker& worker = workers_.Get(call.worker);
  HandleClock(worker, clock_ms);
  if (clock_ms < call.clock_ms) {
    worker.born_unix_ms = 0;
    worker.renewal.reset();
    worker.next_renewal = now_;
    DispatchContact(worker, "other_life");
  }
}

// Returns the least that the worker's clock shows now if it has not restarted
// since its last answer.
std::int64_t SliceScheduler::LeastClockOf(const Worker& worker) const {
  const auto passed = std::chrono::duration_cast<core::Duration>(
      (now_ - worker.clock_at) * (2 - kSlowClockFactor));
  return worker.clock_ms + core::ToMillis(passed - kClockMargin);
}

// Returns whether the worker gets no task any more because it leaves or has
// left.
bool SliceScheduler::IsLeaving(const Worker& worker) {
  return worker.entry.draining || !worker.listed;
}

// Returns whether nothing runs on a leaving worker, so that a successor need
// not wait for its report. The ends that it has listed must be stored: the
// successor would start their tasks again.
bool SliceScheduler::HasLeft(const Worker& worker) const {
  const std::string_view contact =
      charts_.worker_contact.StateName(worker.contact);
  return IsLeaving(worker) && worker.tasks.empty() &&
         (contact == "lapsed" || (contact == "live" && worker.runs_nothing &&
                                  worker.last_end <= worker.acknowledged));
}

// Returns whether the stored roster does not show the worker's contact: one
// that answers may get leases, and one that does not gets none.
bool SliceScheduler::IsRosterOutdated(const Worker& worker) const {
  const std::string_view contact =
      charts_.worker_contact.StateName(worker.contact);
  const bool open = worker.in_roster && !worker.leases_closed;
  return contact == "lapsed" || (contact == "live" && !open) ||
         ((contact == "silent" || contact == "unreached") && worker.in_roster);
}

void SliceScheduler::ScheduleRosterWrite() {
  roster_due_ = true;
  commit_due_ = std::min(commit_due_, now_ + kTick);
}

void SliceScheduler::RenewLeases() {
  for (const auto& worker : workers_.all()) {
    if (now_ >= LeaseEnd(*worker)) {
      DispatchContact(*worker, "lease_over");
    } else if (now_ >= worker->lease_end) {
      LoseSeenRuns(*worker);
    }
    if (worker->in_roster && HasLeft(*worker)) {
      worker->in_roster = false;
      ScheduleRosterWrite();
    }
    const std::vector<Task*> tasks = worker->tasks;
    for (Task* task : tasks) {
      if (task->stop_unanswered && now_ >= task->not_before) {
        Dispatch(*task, "unanswered");
      }
    }
    if (worker->ExpireLateStarts(
            std::min(now_, term_end_ - SliceBoard::kOwnerGrace))) {
      placement_due_ = true;
      commit_due_ = std::min(commit_due_, now_ + kTick);
    }
    if (NeedsRenewal(*worker) &&
        (!worker->renewal || !worker->late_starts.empty()) &&
        now_ >= worker->next_renewal) {
      RenewLease(*worker);
    }
  }
}

// Gives up the runs of a silent worker that have been seen while a start there
// has not: only that one may have reached a later life, with a longer lease.
void SliceScheduler::LoseSeenRuns(Worker& worker) {
  if (charts_.worker_contact.StateName(worker.contact) != "silent") {
    return;
  }
  const std::vector<Task*> tasks = worker.tasks;
  for (Task* task : tasks) {
    if (task->run_seen) {
      LoseRun(worker, *task, "lease_over");
    }
  }
}

bool SliceScheduler::NeedsRenewal(const Worker& worker) const {
  if (!worker.tasks.empty() || worker.last_end > worker.forgotten ||
      !worker.late_starts.empty()) {
    return true;
  }
  const std::string_view contact =
      charts_.worker_contact.StateName(worker.contact);
  if (contact == "live") {
    return worker.in_roster && !worker.runs_nothing;
  }
  // A worker in the roster may run tasks although it is not listed.
  return worker.listed || (worker.in_roster && contact != "lapsed");
}

void SliceScheduler::RenewLease(Worker& worker) {
  const CallId call = ids_.Next();
  jobs::RenewLease order{
      .call = call, .to = DestinationOf(worker), .token = NextToken(worker)};
  const bool answers = Answers(worker);
  // Sent until it is confirmed, and not again: the worker may restart at any
  // time, and would forget the ends of its new life. A worker that has not
  // answered may have done so already, and has to report its life first. A
  // start on its way may reach such a life before this order does.
  if (answers && worker.acknowledged > worker.forgotten &&
      worker.AllRunsSeen()) {
    order.acknowledged = worker.acknowledged;
    worker.acknowledging = worker.generation;
  }
  calls_[call] = RenewalCall{.worker = worker.id,
                             .generation = worker.generation,
                             .sent = now_,
                             .acknowledged = order.acknowledged};
  // A renewal without an answer may still extend the lease. A silent worker is
  // therefore only queried; otherwise its lease would never expire and its
  // tasks could never be treated as ended.
  if (!worker.tasks.empty() && answers && MayGrantLease(worker)) {
    const std::int64_t until = LeaseUntil(worker);
    RecordLease(worker, until);
    order.lease_until_ms = until;
    // A worker that lists ends answers at once.
    const bool lists_ends =
        worker.last_end > std::max(worker.forgotten, order.acknowledged);
    if (!lists_ends && worker.late_starts.empty()) {
      order.wait = Serves(worker) ? kServingReportWait : kReportWait;
    }
  }
  worker.renewal = call;
  worker.next_renewal = now_ + kLateStartInterval;
  worker_commands_.push_back(std::move(order));
}

// Returns whether the worker has answered the last call with a report of its
// present life. Until it has reported all ends, it is unconfirmed.
bool SliceScheduler::Answers(const Worker& worker) const {
  const std::string_view contact =
      charts_.worker_contact.StateName(worker.contact);
  return contact == "live" || (contact == "unconfirmed" && worker.last_end > 0);
}

// Returns whether tasks of earlier owners may run on the worker. None run on a
// worker that is not in the roster.
bool SliceScheduler::IsUnconfirmed(const Worker& worker) const {
  const std::string_view contact =
      charts_.worker_contact.StateName(worker.contact);
  return worker.in_roster &&
         (contact == "unconfirmed" || contact == "unreached");
}

bool SliceScheduler::AllConfirmed() const {
  return std::ranges::none_of(workers_.all(), [this](const auto& worker) {
    return IsUnconfirmed(*worker);
  });
}

bool SliceScheduler::IsUsable(const Worker& worker) const {
  return worker.listed && worker.in_roster && !worker.leases_closed &&
         !worker.entry.draining && now_ >= worker.quarantined_until &&
         charts_.worker_contact.StateName(worker.contact) == "live";
}

}  // namespace hickoryusher::jobs
