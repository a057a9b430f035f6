#ifndef LEASE_WORKER_LEASES_H_
#define LEASE_WORKER_LEASES_H_

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "chart/chart.h"
#include "core/ids.h"
#include "core/time.h"
#include "lease/slice_owner.h"
#include "lease/timing.h"

namespace hickoryusher::lease {

/// Commands of WorkerLeases.

/// Sent to the worker once a second. The worker keeps its tasks until @p echo
/// plus kWorkerLease on its own clock.
struct Heartbeat {
  core::WorkerId worker;
  core::Epoch epoch;
  /// The worker's own time from its last report; nothing before the first.
  std::optional<core::TimePoint> echo;
};
/// Asks the previous owner to stop acting on the slice.
struct AskYield {
  core::EntryId previous;
  core::SliceId slice;
  core::Epoch epoch;
};
/// The worker reports under this owner's epoch and takes new work.
struct WorkerLive {
  core::WorkerId worker;
};
/// The worker takes no new work; its tasks are still its own.
struct WorkerSilent {
  core::WorkerId worker;
};
/// The worker no longer runs tasks; they may start elsewhere.
struct WorkerLost {
  core::WorkerId worker;
};
using WorkerCommand =
    std::variant<Heartbeat, AskYield, WorkerLive, WorkerSilent, WorkerLost>;

/// Slice ownership as WorkerLeases needs it.
struct SliceTerm {
  core::SliceId slice;
  core::Epoch epoch;
  core::EntryId previous;  ///< Invalid when the slice was free.
  /// Whether the row before this term was exclusive, or there was none.
  bool previous_exclusive = false;
  /// When the previous owner's last renewal was first seen.
  core::TimePoint previous_seen;
};

/// @returns the term that @p begun starts.
SliceTerm TermOf(const SliceBegun& begun);

/// Leases of the workers of the slices that this process owns or holds.
///
/// @remarks Not thread-safe. Tick at least every 100 ms.
class WorkerLeases {
 public:
  /// @param chart `worker_lease`; must outlive the object.
  static std::optional<WorkerLeases> Create(
      const chart::Chart& chart,
      Timing timing,
      std::vector<chart::Problem>& problems);

  WorkerLeases(WorkerLeases&&) noexcept;
  WorkerLeases& operator=(WorkerLeases&&) noexcept;
  ~WorkerLeases();

  void BeginSlice(const SliceTerm& term);
  /// Forgets the slice and its workers without releasing their tasks.
  void EndSlice(core::SliceId slice);

  /// Adds a worker of an owned slice, unconfirmed until it reports.
  void AddWorker(core::WorkerId worker,
                 core::SliceId slice,
                 core::TimePoint now,
                 std::vector<WorkerCommand>& out);

  /// Handles a report.
  /// @param epoch newest epoch that the worker has seen.
  /// @param worker_time the worker's own clock when it made the report.
  /// @returns false if the report is not under this owner's epoch and must
  /// not be used.
  bool Report(core::WorkerId worker,
              core::Epoch epoch,
              core::TimePoint worker_time,
              core::TimePoint now,
              std::vector<WorkerCommand>& out);

  /// The previous owner of @p slice has answered that it stopped.
  void Yielded(core::SliceId slice,
               core::TimePoint now,
               std::vector<WorkerCommand>& out);

  /// The worker's VM was on the VM list and has disappeared from it.
  void VmGone(core::WorkerId worker,
              core::TimePoint now,
              std::vector<WorkerCommand>& out);

  void Tick(core::TimePoint now, std::vector<WorkerCommand>& out);

  /// @returns the worker time that a command sent now has to carry, or nothing
  /// if the worker takes no commands. Counts as a reply to the last report.
  std::optional<core::TimePoint> EchoForCommand(core::WorkerId worker);

  /// @returns true if new work may be placed on the worker.
  bool IsLive(core::WorkerId worker) const;

  /// @returns true if no worker of the slice can still have a lease from an
  /// owner before this one; see SliceRow::exclusive.
  bool IsExclusive(core::SliceId slice) const;

  /// @returns the chart state, for logs and tests.
  std::string_view StateName(core::WorkerId worker) const;

 private:
  struct Impl;
  explicit WorkerLeases(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace hickoryusher::lease

#endif  // LEASE_WORKER_LEASES_H_
