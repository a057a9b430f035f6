#ifndef JOBS_SLICE_BOARD_H_
#define JOBS_SLICE_BOARD_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chart/chart.h"
#include "chart/interpreter.h"
#include "core/ids.h"
#include "core/log_line.h"
#include "jobs/owner_record.h"
#include "jobs/rows.h"
#include "jobs/slice_load.h"
#include "jobs/store_clock.h"
#include "jobs/table_follower.h"

namespace hickoryusher::jobs {

/// A share of all jobs, together with the workers of one failure domain.
struct SliceInfo {
  std::string name;
  std::string failure_domain;
};

/// This process has become the owner of the slice and may schedule it.
struct SliceGained {
  core::SliceId slice;
  Epoch epoch = 0;
  /// Version of the slice's fence row. Every write for the slice is conditional
  /// on it.
  RowVersion fence_version = 0;
  /// The earlier owner has ended or released the slice, so it no longer renews
  /// leases.
  bool predecessor_ended = false;
  /// The earlier owner grants no lease that lasts longer than this.
  core::TimePoint predecessor_term_end;
  /// The same of the owners before it, which may still be in their terms.
  core::TimePoint earlier_term_end;
  /// As in OwnerRecord, of the owner before; 0 if there was none.
  Epoch places_since = 0;
  /// As in the OwnerRecord that was claimed: the owner before, or "-" if that
  /// one has released the slice.
  std::string predecessor;
  std::string predecessor_incarnation;
};

struct SliceLost {
  core::SliceId slice;
  std::string cause;  ///< Event of the chart `slice_ownership`.
};

using SliceNotice = std::variant<SliceGained, SliceLost>;

/// @returns the name of the table that has one row per slice. Its rows are in
/// the part with the empty name.
std::string SliceTableName();

/// @returns the load in a slice's row, or nothing if there is none.
std::optional<SliceLoad> LoadInSliceRow(std::string_view value);

/// @returns the key of the row whose version fences a slice's writes.
RowKey FenceRow(std::string_view slice);

/// Decides which slices this process owns. Each slice has one row, which a
/// process claims and then renews by conditional writes.
///
/// @remarks An owner that cannot renew remains the owner for kOwnerGrace,
/// because the store may be down for all processes. Workers refuse its orders
/// as soon as a successor has sent them an order. For workers that it cannot
/// reach, a successor waits until the term of the owner before has ended, which
/// the slice's row gives by the store's clock.
class SliceBoard {
 public:
  /// How long a process remains the owner without a renewal. The store's usual
  /// outages last up to 9 s.
  static constexpr core::Duration kOwnerGrace = std::chrono::seconds(12);

  /// A slice is claimed once its owner has not renewed it for this long.
  static constexpr core::Duration kOwnerTimeout =
      std::chrono::milliseconds(2800);

  struct Options {
    std::string process;      ///< Unique among running processes.
    std::string incarnation;  ///< Unique among the runs of this process.
    std::string failure_domain;
    std::int64_t cpu_millis = 0;  ///< CPU of this VM; 0 if unknown.
    std::vector<SliceInfo> slices;
    std::function<void(const core::LogLine&)> log;
  };

  /// @param chart must outlive the board.
  /// @param problems receives the mismatches between chart and bindings.
  /// @returns nullptr if the chart cannot be bound.
  static std::unique_ptr<SliceBoard> Create(
      Options options,
      const chart::Chart& chart,
      CallIds& ids,
      std::vector<chart::Problem>& problems);

  SliceBoard(const SliceBoard&) = delete;
  SliceBoard& operator=(const SliceBoard&) = delete;
  ~SliceBoard();

  /// Issues commands that are due.
  void Run(core::TimePoint now);
  void Handle(const StoreEvent& event, core::TimePoint now);

  /// Sets the load that is published with the next renewal of a slice that this
  /// process owns.
  void SetLoad(core::SliceId slice, SliceLoad load);

  /// @returns the most recently read or set loads of all slices, by index;
  /// nullopt for a slice without one.
  std::vector<std::optional<SliceLoad>> Loads() const;

  /// @returns true once after each reading of the loads.
  bool ConsumeLoadsChanged();

  /// Renews the term of a slice as soon as the pause between retries permits.
  void RenewSoon(core::SliceId slice, core::TimePoint now);

  /// Ends the ownership of a slice after a worker has refused an order of the
  /// current epoch.
  void MarkFenced(core::SliceId slice, core::TimePoint now);

  /// Releases all slices and claims none from now on.
  void ReleaseAll(core::TimePoint now);

  std::vector<StoreCommand> PopCommands();
  std::vector<SliceNotice> PopNotices();
  core::TimePoint next_timer() const;
  bool owns_any() const;

  /// @returns when this process's ownership of the slice ends if it is not
  /// renewed until then.
  core::TimePoint TermEnd(core::SliceId slice) const;

  const StoreClock& store_clock() const { return store_clock_; }

 private:
  struct Slice;
  struct Context;

  SliceBoard(Options options, const chart::Chart& chart, CallIds& ids);
  static chart::Bindings<Context> MakeBindings();
  static std::optional<OwnerRecord> OwnerRecordIn(
      const RowsConflicted& conflict);
  static core::TimePoint TermEndOf(const Slice& slice);
  std::int64_t EarlierTermEndMs(const Slice& slice) const;
  static core::TimePoint EarlierTermEnd(const Slice& slice,
                                        std::int64_t clock_ms,
                                        core::TimePoint now);
  bool IsOwn(const OwnerRecord& owner) const;
  bool ShouldTakeOver(const Slice& slice) const;
  void Dispatch(Slice& slice, std::string_view event, core::TimePoint now);
  void HandleList(const RowsRead& read, core::TimePoint now);
  void Observe(Slice& slice,
               const Row* row,
               std::int64_t clock_ms,
               core::TimePoint now);
  void HandleClock(std::int64_t clock_ms, core::TimePoint sent);
  void HandleWriteResult(Slice& slice,
                         const StoreEvent& event,
                         core::TimePoint now);
  void HandleReleaseResult(Slice& slice,
                           const StoreEvent& event,
                           core::TimePoint now);
  void HandleConflict(Slice& slice,
                      const RowsConflicted& conflict,
                      core::TimePoint now);
  bool IsVacant(const Slice& slice) const;
  bool MayClaim(const Slice& slice, core::TimePoint now) const;
  void SendWrite(Slice& slice, bool claim, bool release, core::TimePoint now);

  Options options_;
  const chart::Chart& chart_;
  CallIds& ids_;
  std::optional<chart::Interpreter<Context>> interpreter_;
  std::vector<Slice> slices_;
  std::optional<CallId> list_call_;
  core::TimePoint list_sent_;
  StoreClock store_clock_;
  core::TimePoint next_list_;
  bool releasing_ = false;
  bool loads_changed_ = false;
  std::vector<StoreCommand> commands_;
  std::vector<SliceNotice> notices_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_SLICE_BOARD_H_
