#include "jobs/slice_board.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kSliceTable = "slices";
constexpr std::string_view kFenceTable = "slice_fences";
constexpr std::string_view kReleased = "-";

// With one renewal and one read of all slices per second, every process stays
// under two store calls per second. A dead owner is detected within 4 s
// (kOwnerTimeout), before the tasks' leases of 6 s expire.
constexpr core::Duration kRenewInterval = milliseconds(1000);
constexpr core::Duration kListInterval = milliseconds(1000);
constexpr core::Duration kRetryPause = milliseconds(300);

// Additional wait of processes in other failure domains, so that processes of
// the slice's own failure domain claim it first.
constexpr core::Duration kOtherDomainDelay = milliseconds(4000);

// The same after the owner has released the slice: it is shorter because a
// successor need not wait for the owner.
constexpr core::Duration kOtherDomainReleaseDelay = milliseconds(700);

// Additional wait per slice that the process already owns, to distribute the
// slices over the processes.
constexpr core::Duration kDelayPerOwnedSlice = milliseconds(1000);

// A process takes over a slice of its failure domain if its VM has at least
// this many times the CPU of the owner's VM for each slice that it would then
// own. The owner does nearly all of the work: with 0.07 of a core, an owner of
// 117 workers fell behind and lost its slice repeatedly.
constexpr std::int64_t kTakeoverCpuFactor = 2;

}  // namespace

std::optional<OwnerRecord> SliceBoard::OwnerRecordIn(
    const RowsConflicted& conflict) {
  return conflict.present.empty()
             ? std::nullopt
             : DecodeOwnerRecord(conflict.present.front().value);
}

bool SliceBoard::IsOwn(const OwnerRecord& owner) const {
  return owner.process == options_.process &&
         owner.incarnation == options_.incarnation;
}

std::string SliceTableName() {
  return std::string(kSliceTable);
}

std::optional<SliceLoad> LoadInSliceRow(std::string_view value) {
  const std::size_t line_end = value.find('\n');
  return line_end == std::string_view::npos
             ? std::nullopt
             : DecodeSliceLoad(value.substr(line_end + 1));
}

RowKey FenceRow(std::string_view slice) {
  return {.table = std::string(kFenceTable),
          .part = std::string(slice),
          .key = "epoch"};
}

struct SliceBoard::Slice {
  core::SliceId id;
  SliceInfo info;
  chart::StateId state;
  OwnerRecord owner;
  RowVersion version = 0;  ///< Of the slice's row, as last read or written.
  RowVersion claim_version = 0;   ///< Of this process's claim.
  std::optional<SliceLoad> load;  ///< As last read, or as set by the owner.
  bool listed = false;
  core::TimePoint unchanged_since;   ///< In every read since then.
  core::TimePoint owner_term_end;    ///< Of the owner in the row.
  core::TimePoint earlier_term_end;  ///< Of the owners before that one.
  std::optional<CallId> write;
  core::TimePoint write_sent;
  std::int64_t write_term_end_ms = 0;  ///< In the owner record of the write.
  std::int64_t answer_clock_ms = 0;  ///< The store's clock in the last answer.
  core::TimePoint term_end;          ///< Of this process as the owner.
  core::TimePoint next_write;
  Epoch claim_epoch = 0;
  std::int64_t claim_earlier_ms = 0;  ///< In the owner record of the claim.
  Epoch claim_places_since = 0;       ///< In the owner record of the claim.
  bool vacant = false;     ///< The slice was vacant when it was claimed.
  Epoch places_since = 0;  ///< Of the owner before this process's claim.
  OwnerRecord claimed;     ///< The owner record that was claimed.
  bool claim_unanswered = false;
  bool release_due = false;
  bool write_releases = false;  ///< The write in flight is a release.
};

struct SliceBoard::Context {
  SliceBoard& board;
  Slice& slice;
  std::string_view event;
  core::TimePoint now;
};

SliceBoard::SliceBoard(Options options, const chart::Chart& chart, CallIds& ids)
    : options_(std::move(options)), chart_(chart), ids_(ids) {}

SliceBoard::~SliceBoard() = default;

chart::Bindings<SliceBoard::Context> SliceBoard::MakeBindings() {
  chart::Bindings<Context> bindings;
  bindings
      .Action(
          "send_claim",
          [](Context& c) { c.board.SendWrite(c.slice, true, false, c.now); })
      .Action("send_release",
              [](Context& c) {
                c.slice.release_due = true;
                c.slice.next_write = c.now;
              })
      .Action("note_renewal",
              [](Context& c) { c.slice.term_end = TermEndOf(c.slice); })
      .Action("announce_gain",
              [](Context& c) {
                c.slice.term_end = TermEndOf(c.slice);
                c.slice.next_write = c.now + kRenewInterval;
                c.board.notices_.push_back(SliceGained{
                    .slice = c.slice.id,
                    .epoch = c.slice.owner.epoch,
                    .fence_version = c.slice.claim_version,
                    .predecessor_ended = c.slice.vacant,
                    .predecessor_term_end = c.slice.owner_term_end,
                    .earlier_term_end = c.slice.earlier_term_end,
                    .places_since = c.slice.places_since,
                    .predecessor = c.slice.claimed.process,
                    .predecessor_incarnation = c.slice.claimed.incarnation});
              })
      .Action("announce_loss", [](Context& c) {
        c.slice.unchanged_since = c.now;
        c.board.notices_.push_back(
            SliceLost{.slice = c.slice.id, .cause = std::string(c.event)});
      });
  return bindings;
}

std::unique_ptr<SliceBoard> SliceBoard::Create(
    Options options,
    const chart::Chart& chart,
    CallIds& ids,
    std::vector<chart::Problem>& problems) {
  std::unique_ptr<SliceBoard> board(
      new SliceBoard(std::move(options), chart, ids));
  board->interpreter_ =
      chart::Interpreter<Context>::Bind(chart, MakeBindings(), problems);
  if (!board->interpreter_) {
    return nullptr;
  }
  for (const SliceInfo& info : board->options_.slices) {
    Slice slice;
    slice.id = core::SliceId(static_cast<std::uint32_t>(board->slices_.size()));
    slice.info = info;
    slice.state = chart.initial();
    board->slices_.push_back(std::move(slice));
  }
  return board;
}

void SliceBoard::Dispatch(Slice& slice,
                          std::string_view event,
                          core::TimePoint now) {
  Context context{*this, slice, event, now};
  const chart::StateId before = slice.state;
  slice.state =
      interpreter_->Dispatch(before, chart_.FindEvent(event), context).state;
  if (slice.state != before) {
    const bool lost = event == "deposed" || event == "expired";
    options_.log(core::LogLine("slice_ownership", lost
                                                      ? core::LogLevel::kWarning
                                                      : core::LogLevel::kInfo)
                     .Add("slice", slice.info.name)
                     .Add("cause", event)
                     .Add("state", chart_.StateName(slice.state))
                     .Add("epoch", slice.owner.epoch)
                     .Add("holder", slice.owner.process)
                     .Add("holder_incarnation", slice.owner.incarnation)
                     .Add("incarnation", options_.incarnation));
  }
}

bool SliceBoard::owns_any() const {
  return std::ranges::any_of(slices_, [this](const Slice& slice) {
    return chart_.StateName(slice.state) == "owning";
  });
}

core::TimePoint SliceBoard::TermEnd(core::SliceId slice) const {
  return slices_.at(slice.value()).term_end;
}

// Returns the end of the term that the last write has begun. It is over by the
// time in the row even if this process was suspended before the write.
core::TimePoint SliceBoard::TermEndOf(const Slice& slice) {
  if (slice.write_term_end_ms == 0 || slice.answer_clock_ms == 0) {
    return slice.write_sent + kOwnerGrace;
  }
  return slice.write_sent +
         std::min<core::Duration>(
             kOwnerGrace,
             milliseconds(slice.write_term_end_ms - slice.answer_clock_ms));
}

// Returns what a claim writes as the end of the terms of earlier owners.
std::int64_t SliceBoard::EarlierTermEndMs(const Slice& slice) const {
  if (slice.version == 0) {
    return 0;
  }
  if (IsVacant(slice)) {
    return slice.owner.earlier_term_end_ms;
  }
  return slice.owner.term_end_ms == 0 ? -1 : slice.owner.term_end_ms;
}

// Returns when the terms of the owners before the one in the row have ended.
core::TimePoint SliceBoard::EarlierTermEnd(const Slice& slice,
                                           std::int64_t clock_ms,
                                           core::TimePoint now) {
  const std::int64_t end_ms = slice.owner.earlier_term_end_ms;
  if (slice.version == 0 || end_ms == 0) {
    return {};
  }
  return end_ms < 0 || clock_ms == 0 ? slice.owner_term_end
                                     : now + milliseconds(end_ms - clock_ms);
}

void SliceBoard::HandleClock(std::int64_t clock_ms, core::TimePoint sent) {
  if (clock_ms != 0) {
    store_clock_ = {.shown_ms = clock_ms, .sent = sent};
  }
}

bool SliceBoard::IsVacant(const Slice& slice) const {
  return slice.version == 0 || slice.owner.process == kReleased ||
         slice.owner.process == options_.process;
}

bool SliceBoard::ShouldTakeOver(const Slice& slice) const {
  const std::int64_t slices =
      1 + std::ranges::count_if(slices_, [this](const Slice& other) {
        return chart_.StateName(other.state) == "owning";
      });
  return slice.info.failure_domain == options_.failure_domain &&
         slice.owner.cpu_millis > 0 && !IsVacant(slice) &&
         options_.cpu_millis >=
             kTakeoverCpuFactor * slices * slice.owner.cpu_millis;
}

bool SliceBoard::MayClaim(const Slice& slice, core::TimePoint now) const {
  if (releasing_ || !slice.listed || slice.write) {
    return false;
  }
  if (ShouldTakeOver(slice)) {
    options_.log(core::LogLine("slice_outbid")
                     .Add("slice", slice.info.name)
                     .Add("holder", slice.owner.process)
                     .Add("holder_cpu_millis", slice.owner.cpu_millis)
                     .Add("cpu_millis", options_.cpu_millis));
    return true;
  }
  core::Duration wait{};
  if (slice.info.failure_domain != options_.failure_domain) {
    wait = slice.owner.process == kReleased ? kOtherDomainReleaseDelay
                                            : kOtherDomainDelay;
  }
  wait += kDelayPerOwnedSlice *
          std::ranges::count_if(slices_, [this](const Slice& other) {
            return chart_.StateName(other.state) == "owning";
          });
  if (!IsVacant(slice)) {
    wait += kOwnerTimeout;
  }
  return now >= slice.unchanged_since + wait;
}

void SliceBoard::Run(core::TimePoint now) {
  if (!list_call_ && now >= next_list_) {
    list_call_ = ids_.Next();
    list_sent_ = now;
    next_list_ = now + kListInterval;
    commands_.push_back(
        ReadRows{.call = *list_call_, .table = std::string(kSliceTable)});
  }
  for (Slice& slice : slices_) {
    // A release is conditional on the row's version, which is known only once
    // the earlier write has been answered.
    if (slice.release_due && !slice.write && now >= slice.next_write) {
      SendWrite(slice, false, true, now);
    }
    if (chart_.StateName(slice.state) != "owning") {
      continue;
    }
    if (now >= TermEnd(slice.id)) {
      Dispatch(slice, "expired", now);
    } else if (!slice.write && now >= slice.next_write) {
      SendWrite(slice, false, false, now);
    }
  }
}

void SliceBoard::SendWrite(Slice& slice,
                           bool claim,
                           bool release,
                           core::TimePoint now) {
  OwnerRecord owner = {
      .epoch = slice.owner.epoch + (claim ? 1 : 0),
      .process = release ? std::string(kReleased) : options_.process,
      .incarnation = options_.incarnation,
      .cpu_millis = options_.cpu_millis,
      .term_end_ms =
          store_clock_.known() ? store_clock_.LatestAt(now + kOwnerGrace) : 0,
      .earlier_term_end_ms =
          claim ? EarlierTermEndMs(slice) : slice.owner.earlier_term_end_ms,
      .places_since = slice.owner.places_since};
  const RowKey key = {
      .table = std::string(kSliceTable), .part = {}, .key = slice.info.name};
  CommitRows commit{.call = ids_.Next(),
                    .conditions = {{.key = key, .version = slice.version}},
                    .puts = {{.key = key, .value = EncodeOwnerRecord(owner)}},
                    .several_parts = claim};
  if (!claim && slice.load) {
    commit.puts.front().value += '\n' + EncodeSliceLoad(*slice.load);
  }
  if (claim) {
    if (owner.places_since == 0) {
      owner.places_since = owner.epoch;
    }
    slice.places_since = slice.owner.places_since;
    slice.claimed = slice.owner;
    slice.claim_places_since = owner.places_since;
    slice.vacant = IsVacant(slice);
    slice.claim_earlier_ms = owner.earlier_term_end_ms;
    slice.claim_unanswered = false;
    commit.puts.push_back({.key = FenceRow(slice.info.name),
                           .value = std::to_string(owner.epoch)});
    slice.claim_epoch = owner.epoch;
  }
  slice.write = commit.call;
  slice.write_sent = now;
  slice.write_term_end_ms = owner.term_end_ms;
  slice.write_releases = release;
  slice.next_write = now + kRenewInterval;
  commands_.push_back(std::move(commit));
}

void SliceBoard::Handle(const StoreEvent& event, core::TimePoint now) {
  const CallId call = CallOf(event);
  if (list_call_ == call) {
    list_call_.reset();
    if (const auto* read = std::get_if<RowsRead>(&event)) {
      HandleList(*read, now);
    } else {
      // Renewals may have been missed, so each owner's timeout starts again
      // with the next successful read.
      std::ranges::for_each(slices_, [](Slice& s) { s.listed = false; });
      next_list_ = now + kRetryPause;
    }
    return;
  }
  const auto slice = std::ranges::find_if(
      slices_, [call](const Slice& s) { return s.write == call; });
  if (slice != slices_.end()) {
    slice->write.reset();
    HandleWriteResult(*slice, event, now);
  }
}

void SliceBoard::HandleList(const RowsRead& read, core::TimePoint now) {
  HandleClock(read.clock_ms, list_sent_);
  for (Slice& slice : slices_) {
    const auto row = std::ranges::find_if(
        read.rows, [&](const Row& r) { return r.key.key == slice.info.name; });
    if (row != read.rows.end() && chart_.StateName(slice.state) != "owning") {
      slice.load = LoadInSliceRow(row->value);
    }
    Observe(slice, row == read.rows.end() ? nullptr : &*row, read.clock_ms,
            now);
  }
  loads_changed_ = true;
}

void SliceBoard::Observe(Slice& slice,
                         const Row* row,
                         std::int64_t clock_ms,
                         core::TimePoint now) {
  if (row != nullptr && chart_.StateName(slice.state) == "owning") {
    // The read may be older than this process's claim.
    const auto owner = DecodeOwnerRecord(row->value);
    if (owner && owner->epoch > slice.owner.epoch) {
      Dispatch(slice, "deposed", now);
    }
    return;
  }
  if (slice.write || chart_.StateName(slice.state) != "watching") {
    return;
  }
  const RowVersion version = row == nullptr ? 0 : row->version;
  if (!slice.listed || version != slice.version) {
    slice.unchanged_since = now;
  }
  slice.listed = true;
  slice.version = version;
  if (row != nullptr) {
    const auto owner = DecodeOwnerRecord(row->value);
    if (!owner) {
      options_.log(core::LogLine("slice_row_unreadable", core::LogLevel::kError)
                       .Add("slice", slice.info.name)
                       .Add("value", row->value));
    }
    slice.owner = owner.value_or(OwnerRecord{.process = "?"});
  }
  slice.owner_term_end =
      slice.owner.term_end_ms == 0 || clock_ms == 0
          ? slice.unchanged_since + kOwnerGrace
          : now + milliseconds(slice.owner.term_end_ms - clock_ms);
  slice.earlier_term_end = EarlierTermEnd(slice, clock_ms, now);
  slice.answer_clock_ms = clock_ms;
  // The row shows whether an unanswered claim has succeeded. The claim wrote
  // this row and the fence row in one transaction, and no renewal has followed,
  // so both have the same version.
  if (slice.claim_unanswered && slice.owner.epoch == slice.claim_epoch &&
      IsOwn(slice.owner) && !releasing_) {
    slice.claim_version = version;
    slice.claim_unanswered = false;
    if (clock_ms != 0) {
      // The clock was read in this call, not when the claim was written.
      slice.write_sent = list_sent_;
    }
    Dispatch(slice, "found_own_claim", now);
  } else if (MayClaim(slice, now)) {
    Dispatch(slice, "holder_silent", now);
  }
}

void SliceBoard::HandleWriteResult(Slice& slice,
                                   const StoreEvent& event,
                                   core::TimePoint now) {
  const bool claiming = chart_.StateName(slice.state) == "claiming";
  if (slice.release_due) {
    HandleReleaseResult(slice, event, now);
    return;
  }
  std::visit(core::Overloaded{
                 [&](const RowsCommitted& done) {
                   slice.version = done.version;
                   slice.answer_clock_ms = done.clock_ms;
                   HandleClock(done.clock_ms, slice.write_sent);
                   slice.owner.process = options_.process;
                   slice.owner.incarnation = options_.incarnation;
                   if (claiming) {
                     slice.owner.epoch = slice.claim_epoch;
                     slice.owner.earlier_term_end_ms = slice.claim_earlier_ms;
                     slice.owner.places_since = slice.claim_places_since;
                     slice.claim_version = done.version;
                   }
                   Dispatch(slice, claiming ? "claim_won" : "renewed", now);
                 },
                 [&](const RowsConflicted& conflict) {
                   HandleConflict(slice, conflict, now);
                 },
                 [&](const auto&) {
                   slice.claim_unanswered |= claiming;
                   slice.next_write = now + kRetryPause;
                   Dispatch(slice, "claim_unanswered", now);
                 }},
             event);
}

// Handles the answer to a release, or to a renewal that was in flight before
// it.
void SliceBoard::HandleReleaseResult(Slice& slice,
                                     const StoreEvent& event,
                                     core::TimePoint now) {
  const bool release = slice.write_releases;
  slice.next_write = now;
  if (const auto* done = std::get_if<RowsCommitted>(&event)) {
    slice.version = done->version;
    slice.release_due = !release;
  } else if (const auto* conflict = std::get_if<RowsConflicted>(&event)) {
    const auto owner = OwnerRecordIn(*conflict);
    const bool own = owner && IsOwn(*owner);
    slice.release_due = own;
    slice.version = own ? conflict->present.front().version : 0;
  } else {
    slice.next_write = now + kRetryPause;
  }
}

void SliceBoard::HandleConflict(Slice& slice,
                                const RowsConflicted& conflict,
                                core::TimePoint now) {
  if (chart_.StateName(slice.state) != "owning") {
    // Read again soon: with the usual interval, a renewal by the owner could
    // come between every read and the claim that follows it.
    next_list_ = std::min(next_list_, now + kRetryPause);
    Dispatch(slice, "claim_lost", now);
    return;
  }
  const auto owner = OwnerRecordIn(conflict);
  if (owner && IsOwn(*owner) && owner->epoch == slice.owner.epoch) {
    // An earlier renewal took effect although it was not answered.
    slice.version = conflict.present.front().version;
    slice.next_write = now;
  } else {
    Dispatch(slice, "deposed", now);
  }
}

void SliceBoard::SetLoad(core::SliceId slice, SliceLoad load) {
  slices_.at(slice.value()).load = std::move(load);
}

std::vector<std::optional<SliceLoad>> SliceBoard::Loads() const {
  std::vector<std::optional<SliceLoad>> loads;
  std::ranges::transform(slices_, std::back_inserter(loads), &Slice::load);
  return loads;
}

bool SliceBoard::ConsumeLoadsChanged() {
  return std::exchange(loads_changed_, false);
}

void SliceBoard::RenewSoon(core::SliceId id, core::TimePoint now) {
  Slice& slice = slices_.at(id.value());
  slice.next_write =
      std::min(slice.next_write, std::max(now, slice.write_sent + kRetryPause));
}

void SliceBoard::MarkFenced(core::SliceId slice, core::TimePoint now) {
  Dispatch(slices_.at(slice.value()), "deposed", now);
}

void SliceBoard::ReleaseAll(core::TimePoint now) {
  releasing_ = true;
  std::ranges::for_each(slices_,
                        [&](Slice& slice) { Dispatch(slice, "release", now); });
}

std::vector<StoreCommand> SliceBoard::PopCommands() {
  return std::exchange(commands_, {});
}

std::vector<SliceNotice> SliceBoard::PopNotices() {
  return std::exchange(notices_, {});
}

core::TimePoint SliceBoard::next_timer() const {
  core::TimePoint next = list_call_ ? core::TimePoint::max() : next_list_;
  for (const Slice& slice : slices_) {
    if (slice.release_due && !slice.write) {
      next = std::min(next, slice.next_write);
    }
    if (chart_.StateName(slice.state) == "owning") {
      next = std::min(next, slice.write ? TermEnd(slice.id) : slice.next_write);
    }
  }
  return next;
}

}  // namespace hickoryusher::jobs
