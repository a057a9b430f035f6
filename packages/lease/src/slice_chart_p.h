#ifndef LEASE_SLICE_CHART_P_H_
#define LEASE_SLICE_CHART_P_H_

#include <optional>
#include <vector>

#include "chart/interpreter.h"
#include "lease/slice_owner.h"

namespace hickoryusher::lease {

/// One slice as this process knows it.
struct Slice {
  core::SliceId id;
  chart::StateId state;
  SliceRow row;  ///< Newest version seen.
  bool row_known = false;
  core::TimePoint row_seen;
  SliceRow previous;  ///< The row that the current claim replaces.
  core::TimePoint previous_seen;
  core::TimePoint lease_until;
  core::TimePoint hold_until;
  core::TimePoint write_sent;  ///< Of the last write that names this slice.
  /// When the oldest write was sent that may have taken effect unnoticed. A
  /// lease found by reading back counts from here: the row may stem from any
  /// of the writes since, and others have measured from the first.
  std::optional<core::TimePoint> uncertain_since;
  core::Epoch held_epoch;
  bool claim_due = false;
  bool exclusive = false;  ///< See SliceRow::exclusive.
  chart::EventId timer_event;
  core::TimePoint timer_at;
};

/// One dispatch: the slice and what its actions need.
struct SliceContext {
  Slice& slice;
  const SliceOwnerConfig& config;
  core::TimePoint now;
  core::Duration handicap;
  std::vector<SliceCommand>& out;

  void StartTimer(chart::EventId event, core::Duration duration) {
    slice.timer_event = event;
    slice.timer_at = now + duration;
  }
  void CancelTimer(chart::EventId /*event*/) {
    slice.timer_event = chart::EventId();
  }
};

/// @returns the functions behind the names in the `slice_lease` chart.
chart::Bindings<SliceContext> SliceBindings();

}  // namespace hickoryusher::lease

#endif  // LEASE_SLICE_CHART_P_H_
