#ifndef ENTRY_SRC_SLICE_MANAGER_P_H_
#define ENTRY_SRC_SLICE_MANAGER_P_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "charts_p.h"
#include "core/log_line.h"
#include "fleet_codec_p.h"
#include "fleet_p.h"
#include "fleet_store_p.h"
#include "http/upstream.h"
#include "lease/slice_owner.h"
#include "lease/worker_leases.h"
#include "placement/scheduler.h"
#include "rpc/codec.h"

namespace hickoryusher::entry {

/// Calls between scheduler threads. The router thread answers `/rpc`.
inline constexpr std::string_view kSliceRpcPath = "/rpc/slices";

/// Joins slice ownership, worker leases and placement for the slices of the
/// own failure domain, and turns their commands into messages.
///
/// @remarks Not thread-safe. Tick every 100 ms.
class SliceManager {
 public:
  struct Parts {
    Fleet& fleet;
    const Directory& directory;
    const Charts& charts;
    core::Incarnation incarnation;
    std::function<void(const core::LogLine&)> log;
    core::TimePoint now;
    std::int64_t unix_ms = 0;  ///< Wall clock at `now`, for deadlines.
  };

  static std::unique_ptr<SliceManager> Create(Parts parts,
                                              std::vector<std::string>& errors);

  void Tick(core::TimePoint now);
  void Handle(const store::Event& event, core::TimePoint now);
  void Handle(const http::UpstreamEvent& event, core::TimePoint now);

  /// Gives up every slice, for shutdown.
  void Release(core::TimePoint now);
  /// Adds method `slice.yield`, which a newer owner of a slice calls.
  void AddMethods(rpc::Dispatcher& dispatcher,
                  std::function<core::TimePoint()> clock);
  /// @returns true if no slice is owned or held and the table says so.
  bool IsIdle(core::TimePoint now) const;

  std::vector<store::Command> TakeCommands() { return store_.TakeCommands(); }
  std::vector<http::StartExchange> TakeExchanges();

 private:
  struct OpenJob {
    JobRecord record;
    std::uint32_t left = 0;  ///< Tasks without a final state.
    bool cancel_sent = false;
    bool closed = false;
    /// When to write the final state, again if the last write was lost.
    std::optional<core::TimePoint> close_at;
  };
  struct Term {
    TermKey key;
    std::optional<placement::Scheduler> scheduler;
    /// By number. Closed jobs stay, because a list of open jobs that was read
    /// before the closing may arrive after it.
    std::map<std::uint64_t, OpenJob> jobs;
    core::TimePoint next_load;
    core::TimePoint next_list;
  };
  /// What the manager keeps of a worker.
  struct WorkerState {
    std::vector<WorkerOrder> orders;  ///< Sent with the next heartbeat.
    std::optional<placement::ThrottleWorker> throttle;
    bool in_flight = false;
    std::optional<std::uint64_t> run;  ///< The worker's process.
    bool listed = false;               ///< Seen on the VM list.
    bool gone = false;                 ///< Seen there, then not.
    bool leaving = false;
  };

  /// A call in flight: to a worker or to the previous owner of a slice.
  struct YieldCall {
    TermKey term;
  };
  using Call = std::variant<core::WorkerId, YieldCall>;

  SliceManager(Parts parts,
               lease::SliceOwner owner,
               lease::WorkerLeases leases);

  // slice_manager.cc
  void TickWorkers(core::TimePoint now);
  void TickTerms(core::TimePoint now);
  void RunOwner(const lease::SliceEvent& event, core::TimePoint now);
  void Execute(std::span<const lease::SliceCommand> commands,
               core::TimePoint now);
  void Execute(std::span<const lease::WorkerCommand> commands,
               core::TimePoint now);
  void Begin(const lease::SliceBegun& begun, core::TimePoint now);
  void End(const lease::SliceEnded& ended);
  void SendHeartbeat(const lease::Heartbeat& heartbeat);
  void AskYield(const lease::AskYield& ask);
  bool AnswerYield(const Json::Value& params, core::TimePoint now);
  void Finish(core::WorkerId worker,
              const http::Completed* reply,
              core::TimePoint now);
  void Finish(const YieldCall& call,
              const http::Completed* reply,
              core::TimePoint now);
  void TakeReply(core::WorkerId worker,
                 const ExchangeReply& reply,
                 core::TimePoint now);
  bool IsSameRun(core::WorkerId worker, const ExchangeReply& reply);
  void TakeVms(const VmsListed& list);
  void DropOrders(core::WorkerId worker);

  // slice_manager_jobs.cc
  void RunScheduler(Term& term,
                    const placement::Event& event,
                    core::TimePoint now);
  void Execute(Term& term,
               std::span<const placement::Command> commands,
               core::TimePoint now);
  void SendStart(Term& term, const placement::StartTask& start);
  template <typename Order>
  void Send(const Order& order);
  void Fill(const TermLoaded& loaded, core::TimePoint now);
  void FillWorkers(Term& term, core::TimePoint now);
  void TakeJobs(Term& term,
                std::span<const JobRecord> jobs,
                core::TimePoint now);
  void Cancel(Term& term, OpenJob& job, core::TimePoint now);
  void FinishTask(Term& term,
                  const placement::TaskFinished& finished,
                  core::TimePoint now);
  void CloseJobs(Term& term, core::TimePoint now);
  placement::JobSpec SpecOf(const JobRecord& job);
  Term* FindTerm(TermKey key);
  Term* TermOfWorker(core::WorkerId worker);

  Parts parts_;
  Fleet& fleet_;
  FleetStore store_;
  lease::SliceOwner owner_;
  lease::WorkerLeases leases_;
  std::map<core::SliceId, Term> terms_;
  std::map<core::WorkerId, WorkerState> workers_;
  std::uint64_t vm_revision_ = 0;
  core::TimePoint next_vm_read_;
  std::uint64_t next_exchange_ = 0;
  std::map<core::AttemptId, Call> in_flight_;
  /// Set by the command that answers a YieldAsked.
  bool yield_answered_ = false;
  std::vector<http::StartExchange> exchanges_;
  core::NameTable<core::TeamId> teams_;
  core::NameTable<placement::KindId> kinds_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_SLICE_MANAGER_P_H_
