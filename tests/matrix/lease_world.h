#ifndef MATRIX_LEASE_WORLD_H_
#define MATRIX_LEASE_WORLD_H_

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "chart/chart.h"
#include "history.h"
#include "injector.h"
#include "lease/slice_owner.h"
#include "lease/worker_guard.h"
#include "lease/worker_leases.h"
#include "skewed_clock.h"

namespace hickoryusher::matrix {

/// Two entry processes that compete for one slice with two workers, one task,
/// and a fake of the table service. Process 0 is under test; faults hit it.
class LeaseWorld {
 public:
  static constexpr std::size_t kWorkers = 2;

  /// Links that a rig cuts to drive a chart; true means cut.
  struct Links {
    bool store_of_0 = false;
    bool store_of_1 = false;
    bool worker_0_of_0 = false;
    bool between_processes = false;
  };

  /// What happens to store commands of process 0 while a rig holds them.
  enum class Hold : std::uint8_t { kNone, kWrites, kReads };

  LeaseWorld(const chart::Chart& slice_chart, const chart::Chart& worker_chart);

  void StartProcess(std::size_t index);
  void StopProcess(std::size_t index);
  bool IsRunning(std::size_t index) const {
    return processes_.at(index).owner.has_value();
  }

  std::string_view SliceState() const;
  std::string_view WorkerState() const;
  lease::Ownership OwnershipOf(std::size_t index) const;

  /// Runs until @p done or for @p limit.
  template <typename Predicate>
  bool RunUntil(Predicate done, core::Duration limit) {
    const core::TimePoint end = now_ + limit;
    while (now_ < end) {
      StepOnce();
      if (done()) {
        return true;
      }
    }
    return false;
  }
  void RunFor(core::Duration time) {
    RunUntil([] { return false; }, time);
  }

  /// The VM of worker 0 disappears from the VM list, or is missing again.
  void RemoveVm();
  void Inject(const Step& step);
  /// Delivers or drops the held store commands.
  void ReleaseHeld(bool drop_answers);
  void EndSkew();

  Links links;
  Hold hold = Hold::kNone;

  core::TimePoint now() const { return now_; }
  const Injector& injector() const { return injector_; }
  const History& history() const { return history_; }
  void Note(Record record) { history_.push_back({now_, std::move(record)}); }

  static constexpr core::TaskId kTask{1};

 private:
  /// What a process knows of the task.
  struct TaskView {
    bool known = false;
    std::uint32_t attempt = 0;  ///< 0 while it was never claimed.
    core::WorkerId worker;      ///< Invalid while it may be claimed.
    bool claiming = false;
    core::TimePoint claim_sent;
  };

  struct ProcessState {
    std::uint64_t incarnation = 0;
    std::optional<lease::SliceOwner> owner;
    std::optional<lease::WorkerLeases> leases;
    TaskView task;
    SkewedClock clock;
    core::TimePoint next_start;
    bool claims_slice = false;  ///< As recorded in the history.
  };

  struct FakeWorker {
    lease::WorkerGuard guard;
    std::set<std::uint32_t> ended;  ///< Attempts of the task.
    bool gone = false;
  };

  // Messages.
  struct ToOwner {
    lease::SliceEvent event;
  };
  struct FromWorker {
    core::WorkerId worker;
    core::Epoch epoch;
    core::TimePoint worker_time;
    std::set<std::uint32_t> ended;
  };
  struct YieldDone {
    core::SliceId slice;
  };
  struct ClaimAnswer {
    bool written = false;
    std::uint32_t attempt = 0;
    core::WorkerId worker;
  };
  struct BeatWorker {
    lease::Heartbeat beat;
  };
  struct StartTask {
    core::WorkerId worker;
    core::Epoch epoch;
    core::TimePoint echo;
    std::uint32_t attempt = 0;
  };
  struct StoreWrite {
    lease::WriteRows command;
  };
  struct StoreRead {
    lease::ReadRows command;
  };
  struct ClaimTask {
    core::Epoch epoch;
    std::uint32_t attempt = 0;  ///< The new one; the row must have the last.
    core::WorkerId worker;
  };
  using ToProcess = std::variant<ToOwner, FromWorker, YieldDone, ClaimAnswer>;
  using ToOther =
      std::variant<BeatWorker, StartTask, StoreWrite, StoreRead, ClaimTask>;

  struct Message {
    core::TimePoint due;
    std::uint64_t sequence = 0;
    std::size_t process = 0;  ///< Receiver, or sender of a ToOther.
    std::uint64_t incarnation = 0;
    std::variant<ToProcess, ToOther> payload;
  };

  void StepOnce();
  void TickAll();
  void Tick(std::size_t index);
  void Deliver(Message message);
  void Deliver(std::size_t index, const ToProcess& message);
  void Send(std::size_t from, ToOther payload);
  void Reply(std::size_t to, ToProcess payload);
  void Post(Message message, core::Duration after);
  bool IsLinkCut(std::size_t process, const ToOther& payload) const;
  bool IsStoreCommand(const ToOther& payload) const;

  void Serve(std::size_t from, const BeatWorker& message);
  void Serve(std::size_t from, const StartTask& message);
  void Serve(std::size_t from, const StoreWrite& message);
  void Serve(std::size_t from, const StoreRead& message);
  void Serve(std::size_t from, const ClaimTask& message);

  void GiveOwner(std::size_t index, const lease::SliceEvent& event);
  void RunCommands(std::size_t index,
                   const std::vector<lease::SliceCommand>& commands);
  void RunCommands(std::size_t index,
                   const std::vector<lease::WorkerCommand>& commands);
  void PlaceTask(std::size_t index);
  void NoteOwnership(std::size_t index);
  void ExpireWorkers();
  core::TimePoint Clock(std::size_t index) const {
    return processes_.at(index).clock.At(now_);
  }

  const chart::Chart* slice_chart_;
  const chart::Chart* worker_chart_;
  core::TimePoint now_{std::chrono::seconds(100)};
  core::TimePoint next_tick_ = now_;
  std::array<ProcessState, 2> processes_;
  std::array<FakeWorker, kWorkers> workers_;
  lease::SliceRow row_{.slice = core::SliceId(0)};
  std::uint32_t claimed_attempt_ = 0;
  core::WorkerId claimed_worker_;
  std::vector<Message> queue_;
  std::vector<Message> held_;
  std::vector<ToProcess> given_;  ///< To process 0, for repeats.
  std::uint64_t next_sequence_ = 0;
  std::size_t inbound_count_ = 0;
  std::optional<core::TimePoint> skew_ends_;
  Injector injector_;
  History history_;
};

}  // namespace hickoryusher::matrix

#endif  // MATRIX_LEASE_WORLD_H_
