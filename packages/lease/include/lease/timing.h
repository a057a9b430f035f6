#ifndef LEASE_TIMING_H_
#define LEASE_TIMING_H_

#include <chrono>

#include "core/time.h"

namespace hickoryusher::lease {

inline constexpr core::Duration kSliceLease = std::chrono::seconds(6);
inline constexpr core::Duration kSliceRenewal = std::chrono::seconds(2);
inline constexpr core::Duration kWorkerLease = std::chrono::seconds(12);
inline constexpr core::Duration kHeartbeat = std::chrono::seconds(1);
inline constexpr core::Duration kHoldLimit = std::chrono::hours(2);
inline constexpr core::Duration kRowPoll = std::chrono::seconds(1);

/// A store request without an answer after this time counts as lost. Below
/// kSliceRenewal, so that a lost renewal is resolved before the lease ends.
inline constexpr core::Duration kStoreTimeout = std::chrono::milliseconds(1500);

/// A worker without a report for this time receives no new work: three
/// heartbeats, the limit of P7.
inline constexpr core::Duration kSilence = std::chrono::seconds(3);

/// Waits that decide when a lease of another process has ended.
struct Timing {
  /// Allowance for clock rates that differ, in percent of the wait.
  int clock_margin_percent = 1;
  /// Allowance for scheduling delays on top of the clock margin. With it, two
  /// clocks off by 1% in opposite directions are still covered.
  core::Duration slack = std::chrono::milliseconds(500);

  constexpr core::Duration Longer(core::Duration wait) const {
    return wait + wait * clock_margin_percent / 100;
  }
  constexpr core::Duration Shorter(core::Duration lease) const {
    return lease - lease * clock_margin_percent / 100;
  }
  constexpr core::Duration TakeoverWait() const {
    return Longer(kSliceLease) + slack;
  }
  constexpr core::Duration WorkerLostWait() const {
    return Longer(kWorkerLease) + slack;
  }
  constexpr core::Duration UnreachableWait() const {
    return Longer(kHoldLimit) + WorkerLostWait();
  }
};

}  // namespace hickoryusher::lease

#endif  // LEASE_TIMING_H_
