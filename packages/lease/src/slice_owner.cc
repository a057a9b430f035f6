#include "lease/slice_owner.h"

#include <algorithm>
#include <string_view>

#include "core/overloaded.h"
#include "slice_chart_p.h"

namespace hickoryusher::lease {
namespace {

using core::Duration;
using core::TimePoint;

/// A store request without an answer yet.
struct Request {
  Token token;
  TimePoint sent;
  std::vector<core::SliceId> slices;
};

}  // namespace

struct SliceOwner::Impl {
  using Interpreter = chart::Interpreter<SliceContext>;

  Impl(Interpreter interpreter_in, SliceOwnerConfig config_in)
      : interpreter(std::move(interpreter_in)), config(std::move(config_in)) {
    const chart::Chart& chart = interpreter.chart();
    watching = chart.FindState("watching");
    claiming = chart.FindState("claiming");
    resolving = chart.FindState("resolving");
    owned = chart.FindState("owned");
    hold = chart.FindState("hold");
    row_changed = chart.FindEvent("row_changed");
    row_ours = chart.FindEvent("row_ours");
    row_other = chart.FindEvent("row_other");
    write_applied = chart.FindEvent("write_applied");
    answer_lost = chart.FindEvent("answer_lost");
    yield = chart.FindEvent("yield");
  }

  Slice* Find(core::SliceId id) {
    const auto found = std::ranges::find(slices, id, &Slice::id);
    return found == slices.end() ? nullptr : &*found;
  }
  bool Acts(const Slice& slice) const {
    return slice.state == owned || slice.state == hold;
  }
  bool IsOwn(const SliceRow& row) const {
    return row.owner == config.self && row.incarnation == config.incarnation;
  }
  Duration Handicap() const {
    return config.owned_handicap *
           std::ranges::count_if(
               slices, [this](const Slice& slice) { return Acts(slice); });
  }

  void Dispatch(Slice& slice,
                chart::EventId event,
                TimePoint now,
                std::vector<SliceCommand>& out) {
    SliceContext context{slice, config, now, Handicap(), out};
    slice.state = interpreter.Dispatch(slice.state, event, context).state;
  }

  void RunTimers(TimePoint now, std::vector<SliceCommand>& out) {
    for (Slice& slice : slices) {
      // A frozen process can have both the lease and the hold limit behind it.
      while (slice.timer_event.valid() && slice.timer_at <= now) {
        const chart::EventId event = slice.timer_event;
        slice.timer_event = chart::EventId();
        Dispatch(slice, event, now, out);
      }
    }
  }

  Token NewToken() { return Token(next_token++); }

  template <typename Predicate>
  std::vector<core::SliceId> Select(Predicate predicate) const {
    std::vector<core::SliceId> ids;
    for (const Slice& slice : slices) {
      if (predicate(slice)) {
        ids.push_back(slice.id);
      }
    }
    return ids;
  }

  /// Writes one row for each of @p ids in one transaction.
  std::optional<Request> Write(std::vector<core::SliceId> ids,
                               bool claim,
                               TimePoint now,
                               std::vector<SliceCommand>& out) {
    if (ids.empty()) {
      return std::nullopt;
    }
    WriteRows command{.token = NewToken()};
    for (const core::SliceId id : ids) {
      Slice& slice = *Find(id);
      slice.write_sent = now;
      SliceRow row = slice.row;
      row.exclusive = !claim && slice.exclusive;
      if (claim) {
        slice.exclusive = false;
        slice.previous = slice.row;
        slice.previous_seen = slice.row_seen;
        slice.claim_due = false;
        row.slice = id;
        row.owner = config.self;
        row.incarnation = config.incarnation;
        row.epoch = core::Epoch(
            slice.row.epoch.valid() ? slice.row.epoch.value() + 1 : 1);
      }
      command.rows.push_back(row);
    }
    const Token token = command.token;
    out.emplace_back(std::move(command));
    return Request{.token = token, .sent = now, .slices = std::move(ids)};
  }

  void Read(std::vector<core::SliceId> ids,
            TimePoint now,
            std::vector<SliceCommand>& out) {
    if (ids.empty() || reading.has_value()) {
      return;
    }
    reading = Request{.token = NewToken(), .sent = now, .slices = ids};
    out.emplace_back(
        ReadRows{.token = reading->token, .slices = std::move(ids)});
  }

  void Extend(Slice& slice, const SliceRow& row, TimePoint sent) {
    slice.row = row;
    slice.row_seen = sent;
    slice.uncertain_since.reset();
    slice.lease_until = sent + config.timing.Shorter(kSliceLease);
    slice.hold_until = sent + config.timing.Shorter(kHoldLimit);
  }

  void OnTick(TimePoint now, std::vector<SliceCommand>& out) {
    ExpireRequests(now, out);
    if (released) {
      return;
    }
    if (!renewing.has_value() && now >= next_renewal) {
      next_renewal = now + kSliceRenewal;
      renewing = Write(Select([this](const Slice& slice) {
                         return Acts(slice) && !NeedsRead(slice);
                       }),
                       /*claim=*/false, now, out);
    }
    if (!claim.has_value()) {
      claim = Write(Select([](const Slice& slice) { return slice.claim_due; }),
                    /*claim=*/true, now, out);
    }
    const bool unresolved = std::ranges::any_of(
        slices, [this](const Slice& s) { return NeedsRead(s); });
    if (unresolved || now >= next_poll) {
      next_poll = now + kRowPoll;
      Read(Select([this](const Slice& slice) {
             return slice.state == watching || NeedsRead(slice);
           }),
           now, out);
    }
  }

  /// A slice whose last write has an unknown outcome.
  bool NeedsRead(const Slice& slice) const {
    return slice.state == resolving ||
           std::ranges::find(unresolved_renewals, slice.id) !=
               unresolved_renewals.end();
  }

  void ExpireRequests(TimePoint now, std::vector<SliceCommand>& out) {
    const auto late = [now](const std::optional<Request>& request) {
      return request.has_value() && now - request->sent >= kStoreTimeout;
    };
    if (late(renewing)) {
      LoseRequest(renewing->token, now, out);
    }
    if (late(claim)) {
      LoseRequest(claim->token, now, out);
    }
    if (late(reading)) {
      reading.reset();
    }
  }

  void MarkUncertain(std::span<const core::SliceId> ids) {
    for (const core::SliceId id : ids) {
      Slice& slice = *Find(id);
      slice.uncertain_since = slice.uncertain_since.value_or(slice.write_sent);
    }
  }

  /// The outcome of the request is unknown: its rows are read back.
  void LoseRequest(Token token, TimePoint now, std::vector<SliceCommand>& out) {
    if (reading.has_value() && reading->token == token) {
      reading.reset();
    } else if (renewing.has_value() && renewing->token == token) {
      unresolved_renewals = renewing->slices;
      MarkUncertain(unresolved_renewals);
      renewing.reset();
    } else if (claim.has_value() && claim->token == token) {
      const std::vector<core::SliceId> ids = std::move(claim->slices);
      claim.reset();
      MarkUncertain(ids);
      for (const core::SliceId id : ids) {
        Dispatch(*Find(id), answer_lost, now, out);
      }
    }
  }

  void OnWritten(const RowsWritten& event,
                 TimePoint now,
                 std::vector<SliceCommand>& out) {
    std::optional<Request>* request = nullptr;
    if (renewing.has_value() && renewing->token == event.token) {
      request = &renewing;
    } else if (claim.has_value() && claim->token == event.token) {
      request = &claim;
    }
    // An answer after the timeout: the rows are being read back.
    if (request == nullptr) {
      return;
    }
    const TimePoint sent = (*request)->sent;
    request->reset();
    for (const SliceRow& row : event.rows) {
      if (Slice* slice = Find(row.slice)) {
        Extend(*slice, row, sent);
        Dispatch(*slice, write_applied, now, out);
      }
    }
  }

  void OnRead(const RowsRead& event,
              TimePoint now,
              std::vector<SliceCommand>& out) {
    if (!reading.has_value() || reading->token != event.token) {
      return;
    }
    const TimePoint sent = reading->sent;
    reading.reset();
    for (const SliceRow& row : event.rows) {
      if (Slice* slice = Find(row.slice)) {
        Observe(*slice, row, sent, now, out);
      }
    }
  }

  /// Compares a row that was read with what is known of its slice.
  void Observe(Slice& slice,
               const SliceRow& row,
               TimePoint sent,
               TimePoint now,
               std::vector<SliceCommand>& out) {
    if (row.version < slice.row.version) {
      return;
    }
    const bool changed = !slice.row_known || row.version != slice.row.version;
    if (slice.state == watching) {
      if (changed) {
        SeeRow(slice, row, now);
        Dispatch(slice, row_changed, now, out);
      }
      return;
    }
    // A read sent before the write says nothing about the write.
    if (sent < slice.write_sent) {
      return;
    }
    if (slice.state == claiming) {
      return;
    }
    std::erase(unresolved_renewals, slice.id);
    const bool ours = IsOwn(row) && row.epoch == ExpectedEpoch(slice);
    if (ours && changed) {
      Extend(slice, row, slice.uncertain_since.value_or(slice.write_sent));
      Dispatch(slice, row_ours, now, out);
    } else if (ours) {
      next_renewal = now;
    } else {
      if (changed) {
        SeeRow(slice, row, now);
      }
      Dispatch(slice, row_other, now, out);
    }
  }

  void SeeRow(Slice& slice, const SliceRow& row, TimePoint now) {
    slice.row = row;
    slice.row_known = true;
    slice.row_seen = now;
    slice.uncertain_since.reset();
  }

  core::Epoch ExpectedEpoch(const Slice& slice) const {
    if (slice.state != resolving) {
      return slice.row.epoch;
    }
    return core::Epoch(
        slice.previous.epoch.valid() ? slice.previous.epoch.value() + 1 : 1);
  }

  void OnConflict(Token token, TimePoint now, std::vector<SliceCommand>& out) {
    // One row of the transaction has changed; reading tells which.
    LoseRequest(token, now, out);
  }

  void OnYieldAsked(const YieldAsked& asked,
                    TimePoint now,
                    std::vector<SliceCommand>& out) {
    Slice* slice = Find(asked.slice);
    if (slice != nullptr && Acts(*slice) && slice->row.epoch < asked.epoch) {
      Dispatch(*slice, yield, now, out);
    }
    const bool stopped = slice == nullptr || !Acts(*slice);
    if (stopped) {
      out.emplace_back(YieldAnswer{
          .to = asked.from, .slice = asked.slice, .epoch = asked.epoch});
    }
  }

  void OnRelease(TimePoint now, std::vector<SliceCommand>& out) {
    released = true;
    WriteRows command{.token = NewToken()};
    for (Slice& slice : slices) {
      if (Acts(slice)) {
        SliceRow row = slice.row;
        row.owner = core::EntryId();
        row.exclusive = slice.exclusive;
        command.rows.push_back(row);
        Dispatch(slice, yield, now, out);
      }
      slice.claim_due = false;
    }
    if (!command.rows.empty()) {
      out.emplace_back(std::move(command));
    }
  }

  void OnFenced(const Fenced& fenced, TimePoint now) {
    Slice* slice = Find(fenced.slice);
    if (slice != nullptr && Acts(*slice) && slice->row.epoch < fenced.epoch) {
      unresolved_renewals.push_back(slice->id);
      next_poll = now;
    }
  }

  Interpreter interpreter;
  SliceOwnerConfig config;
  std::vector<Slice> slices;
  std::optional<Request> renewing;
  std::optional<Request> claim;
  std::optional<Request> reading;
  std::vector<core::SliceId> unresolved_renewals;
  TimePoint next_renewal;
  TimePoint next_poll;
  std::uint64_t next_token = 1;
  bool released = false;
  chart::StateId watching, claiming, resolving, owned, hold;
  chart::EventId row_changed, row_ours, row_other, write_applied, answer_lost,
      yield;
};

SliceOwner::SliceOwner(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
SliceOwner::SliceOwner(SliceOwner&&) noexcept = default;
SliceOwner& SliceOwner::operator=(SliceOwner&&) noexcept = default;
SliceOwner::~SliceOwner() = default;

std::optional<SliceOwner> SliceOwner::Create(
    const chart::Chart& chart,
    SliceOwnerConfig config,
    TimePoint now,
    std::vector<chart::Problem>& problems) {
  auto interpreter =
      chart::Interpreter<SliceContext>::Bind(chart, SliceBindings(), problems);
  if (!interpreter.has_value()) {
    return std::nullopt;
  }
  auto impl = std::make_unique<Impl>(std::move(*interpreter), config);
  std::vector<SliceCommand> none;
  for (const core::SliceId id : config.slices) {
    Slice slice{.id = id, .row = {.slice = id}, .row_seen = now};
    SliceContext context{slice, impl->config, now, Duration(0), none};
    slice.state = impl->interpreter.Start(context);
    impl->slices.push_back(slice);
  }
  impl->next_renewal = now;
  impl->next_poll = now;
  return SliceOwner(std::move(impl));
}

void SliceOwner::Handle(const SliceEvent& event,
                        TimePoint now,
                        std::vector<SliceCommand>& out) {
  Impl& impl = *impl_;
  impl.RunTimers(now, out);
  std::visit(
      core::Overloaded{
          [&](const Tick&) { impl.OnTick(now, out); },
          [&](const RowsRead& e) { impl.OnRead(e, now, out); },
          [&](const RowsWritten& e) { impl.OnWritten(e, now, out); },
          [&](const RowsConflicted& e) { impl.OnConflict(e.token, now, out); },
          [&](const AnswerLost& e) { impl.LoseRequest(e.token, now, out); },
          [&](const YieldAsked& e) { impl.OnYieldAsked(e, now, out); },
          [&](const Fenced& e) { impl.OnFenced(e, now); },
          [&](const Release&) { impl.OnRelease(now, out); },
      },
      event);
  // Re-entering a state may have left a timer that is already due.
  impl.RunTimers(now, out);
}

void SliceOwner::SetExclusive(core::SliceId id) {
  if (Slice* slice = impl_->Find(id); slice != nullptr && impl_->Acts(*slice)) {
    slice->exclusive = true;
  }
}

Ownership SliceOwner::OwnershipAt(core::SliceId id, TimePoint now) const {
  const Slice* slice = impl_->Find(id);
  if (slice == nullptr || !impl_->Acts(*slice) || now >= slice->hold_until) {
    return Ownership::kNone;
  }
  return slice->state == impl_->owned && now < slice->lease_until
             ? Ownership::kOwned
             : Ownership::kHold;
}

core::Epoch SliceOwner::epoch(core::SliceId id) const {
  const Slice* slice = impl_->Find(id);
  return slice != nullptr && impl_->Acts(*slice) ? slice->held_epoch
                                                 : core::Epoch();
}

std::string_view SliceOwner::StateName(core::SliceId id) const {
  const Slice* slice = impl_->Find(id);
  return slice == nullptr ? std::string_view("none")
                          : impl_->interpreter.chart().StateName(slice->state);
}

}  // namespace hickoryusher::lease
