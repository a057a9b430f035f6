#ifndef LEASE_SLICE_OWNER_H_
#define LEASE_SLICE_OWNER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "chart/chart.h"
#include "core/ids.h"
#include "core/time.h"
#include "lease/timing.h"

namespace hickoryusher::lease {

/// Row `slice/<domain>/<n>` of the table service.
struct SliceRow {
  core::SliceId slice;
  core::EntryId owner;  ///< Invalid when released.
  core::Incarnation incarnation;
  core::Epoch epoch;
  /// True once every worker of the slice answers to this owner alone. Until
  /// then an owner before it may still renew some worker's lease in hold mode,
  /// and its own promise to stop is not enough to move that worker's tasks.
  bool exclusive = false;
  std::uint64_t version = 0;  ///< Set by the table; 0 when there is no row.
};

/// Matches an answer of the store to its request.
using Token = core::Handle<struct SliceRequestTag, std::uint64_t>;

/// Events of SliceOwner.
struct Tick {};
struct RowsRead {
  Token token;
  std::vector<SliceRow> rows;
};
/// The conditional write took effect; @p rows carry their new versions.
struct RowsWritten {
  Token token;
  std::vector<SliceRow> rows;
};
/// A condition did not hold; nothing was written.
struct RowsConflicted {
  Token token;
};
/// No answer: a write may have taken effect, a read returned nothing.
struct AnswerLost {
  Token token;
};
/// A newer owner of @p slice asks the receiver to stop acting on it.
struct YieldAsked {
  core::SliceId slice;
  core::Epoch epoch;  ///< The asking process's epoch.
  core::EntryId from;
};
/// A worker of @p slice has seen a newer epoch.
struct Fenced {
  core::SliceId slice;
  core::Epoch epoch;
};
/// Gives up every slice, for shutdown.
struct Release {};
using SliceEvent = std::variant<Tick,
                                RowsRead,
                                RowsWritten,
                                RowsConflicted,
                                AnswerLost,
                                YieldAsked,
                                Fenced,
                                Release>;

/// Commands of SliceOwner.
struct ReadRows {
  Token token;
  std::vector<core::SliceId> slices;
};
/// Writes every row if each still has the version in `SliceRow::version`.
struct WriteRows {
  Token token;
  std::vector<SliceRow> rows;
};
/// The slice is owned under @p epoch. @p previous is the row it was taken over
/// from and @p previous_seen the time at which that row was first seen.
struct SliceBegun {
  core::SliceId slice;
  core::Epoch epoch;
  SliceRow previous;
  core::TimePoint previous_seen;
};
struct HoldBegun {
  core::SliceId slice;
};
struct HoldEnded {
  core::SliceId slice;
};
/// No command may be sent for the slice any more.
struct SliceEnded {
  core::SliceId slice;
  core::Epoch epoch;
};
/// Tells @p to that the slice is not acted on under epochs before @p epoch.
struct YieldAnswer {
  core::EntryId to;
  core::SliceId slice;
  core::Epoch epoch;
};
using SliceCommand = std::variant<ReadRows,
                                  WriteRows,
                                  SliceBegun,
                                  HoldBegun,
                                  HoldEnded,
                                  SliceEnded,
                                  YieldAnswer>;

struct SliceOwnerConfig {
  core::EntryId self;
  core::Incarnation incarnation;
  std::vector<core::SliceId> slices;  ///< Of this process's failure domain.
  Timing timing;
  /// Added to the takeover wait for each slice already owned, so that the
  /// process with the fewest slices takes over first.
  core::Duration owned_handicap = std::chrono::milliseconds(100);
};

enum class Ownership {
  kNone,
  kOwned,  ///< May claim, start and renew.
  kHold,   ///< May renew and start what is already claimed.
};

/// Claims, renews and gives up the slices of one failure domain.
///
/// @remarks Not thread-safe. The caller passes a Tick at least every 100 ms.
/// Timers that are due run before the event, so that a process that was frozen
/// first learns that its leases have ended.
class SliceOwner {
 public:
  /// @param chart `slice_lease`; must outlive the owner.
  /// @param problems receives names that the chart uses and the code lacks.
  static std::optional<SliceOwner> Create(
      const chart::Chart& chart,
      SliceOwnerConfig config,
      core::TimePoint now,
      std::vector<chart::Problem>& problems);

  SliceOwner(SliceOwner&&) noexcept;
  SliceOwner& operator=(SliceOwner&&) noexcept;
  ~SliceOwner();

  /// Handles @p event and appends the resulting commands to @p out.
  void Handle(const SliceEvent& event,
              core::TimePoint now,
              std::vector<SliceCommand>& out);

  /// Records, with the next renewal, that every worker of @p slice has
  /// reported under this epoch, is lost or is gone.
  void SetExclusive(core::SliceId slice);

  /// @returns what this process may do with the slice at @p now. The answer is
  /// right even when no Tick has run since the lease ended.
  Ownership OwnershipAt(core::SliceId slice, core::TimePoint now) const;

  /// @returns the epoch of an owned or held slice, or an invalid handle.
  core::Epoch epoch(core::SliceId slice) const;

  /// @returns the chart state of the slice, for logs and tests.
  std::string_view StateName(core::SliceId slice) const;

 private:
  struct Impl;
  explicit SliceOwner(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace hickoryusher::lease

#endif  // LEASE_SLICE_OWNER_H_
