#ifndef MATRIX_LEASE_WORLD_H_
#define MATRIX_LEASE_WORLD_H_

#include <array>
#include <cstdint>
#include <map>
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
#include "placement/scheduler.h"
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
    std::array<bool, kWorkers> worker_of_0{};
    bool between_processes = false;
  };

  /// What happens to store commands of process 0 while a rig holds them.
  enum class Hold : std::uint8_t { kNone, kWrites, kReads };

  /// The charts must outlive the world.
  struct Charts {
    const chart::Chart* slice = nullptr;
    const chart::Chart* worker = nullptr;
    const chart::Chart* task = nullptr;
  };

  explicit LeaseWorld(const Charts& charts);

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

  /// Makes the worker that holds kTask the one under test; else worker 0 is.
  void TestPlaceOfTask();
  core::WorkerId tested() const { return tested_; }
  /// The VM of the worker under test disappears from the VM list, or is missing
  /// again.
  void RemoveVm();
  /// Submits a job of one task and returns it.
  core::TaskId AddJob(placement::JobSpec spec,
                      core::Resources use,
                      core::Duration runs_for);
  /// Submits an urgent job that has no room until a batch task is evicted.
  void AddUrgentJob();
  void CancelJobOf(core::TaskId task);
  /// Ends the attempts of a task, running ones and later ones.
  void EndTask(core::TaskId task, placement::Phase phase);
  /// Limits what the tasks of all jobs together may use.
  void SetQuota(const core::Resources& limit);
  std::size_t LiveWorkers() const {
    return kWorkers - (workers_.at(tested_.value()).gone ? 1 : 0);
  }
  /// @returns the chart state of kTask at process 0.
  std::string_view TaskState() const;
  /// @returns true if the table holds the outcome of the task.
  bool HasEnded(core::TaskId task) const;
  core::WorkerId PlaceOf(core::TaskId task) const;

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
  static constexpr core::Resources kCapacity{.cpu_millis = 32'000,
                                             .memory_bytes = 125'000'000'000};

 private:
  struct Job {
    placement::JobSpec spec;
    core::Resources use;
    core::Duration runs_for{};
    std::optional<placement::Phase> ends_as;
    bool cancelled = false;
  };

  struct ProcessState {
    std::uint64_t incarnation = 0;
    std::optional<lease::SliceOwner> owner;
    std::optional<lease::WorkerLeases> leases;
    std::optional<placement::Scheduler> scheduler;
    std::set<core::JobId> submitted;
    std::set<core::JobId> cancelled;
    core::TimePoint next_load;
    SkewedClock clock;
    bool claims_slice = false;  ///< As recorded in the history.
  };

  /// An attempt that a worker knows.
  struct Run {
    placement::Phase phase = placement::Phase::kRunning;
    core::Resources use;
    core::TimePoint started;
    bool checkpointing = false;
  };

  struct FakeWorker {
    lease::WorkerGuard guard;
    std::map<lease::TaskAttempt, Run> runs;
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
    std::vector<placement::AttemptReport> attempts;
  };
  struct YieldDone {
    core::SliceId slice;
  };
  struct ToScheduler {
    core::Epoch epoch;
    placement::Event event;
  };
  struct TasksLoaded {
    core::Epoch epoch;
    std::map<core::TaskId, placement::TaskRow> rows;
  };
  struct BeatWorker {
    lease::Heartbeat beat;
  };
  using Order = std::variant<placement::StartTask,
                             placement::StopTask,
                             placement::CheckpointTask,
                             placement::AckEnded>;
  struct OrderWorker {
    core::WorkerId worker;
    core::Epoch epoch;
    core::TimePoint echo;
    Order order;
  };
  struct StoreWrite {
    lease::WriteRows command;
  };
  struct StoreRead {
    lease::ReadRows command;
  };
  struct WriteTasks {
    placement::WriteGroup command;
  };
  struct ReadTasks {
    core::Epoch epoch;
    placement::ReadGroup command;
  };
  struct LoadTasks {
    core::Epoch epoch;
  };
  using ToProcess =
      std::variant<ToOwner, FromWorker, YieldDone, ToScheduler, TasksLoaded>;
  using ToOther = std::variant<BeatWorker,
                               OrderWorker,
                               StoreWrite,
                               StoreRead,
                               WriteTasks,
                               ReadTasks,
                               LoadTasks>;

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
  static bool IsStoreCommand(const ToOther& payload);

  void Serve(std::size_t from, const BeatWorker& message);
  void Serve(std::size_t from, const OrderWorker& message);
  void Serve(std::size_t from, const StoreWrite& message);
  void Serve(std::size_t from, const StoreRead& message);
  void Serve(std::size_t from, const WriteTasks& message);
  void Serve(std::size_t from, const ReadTasks& message);
  void Serve(std::size_t from, const LoadTasks& message);

  void Carry(FakeWorker& worker,
             const OrderWorker& message,
             const placement::StartTask& order);
  void Carry(FakeWorker& worker,
             const OrderWorker& message,
             const placement::StopTask& order);
  void Carry(FakeWorker& worker,
             const OrderWorker& message,
             const placement::CheckpointTask& order);
  void Carry(FakeWorker& worker,
             const OrderWorker& message,
             const placement::AckEnded& order);
  void EndRun(std::size_t index,
              lease::TaskAttempt attempt,
              placement::Phase phase);
  void NoteLoad(std::size_t index);
  void TickWorker(std::size_t index);

  void GiveOwner(std::size_t index, const lease::SliceEvent& event);
  void RunCommands(std::size_t index,
                   const std::vector<lease::SliceCommand>& commands);
  void RunCommands(std::size_t index,
                   const std::vector<lease::WorkerCommand>& commands);
  void RunCommands(std::size_t index,
                   const std::vector<placement::Command>& commands);
  void GiveScheduler(std::size_t index, const placement::Event& event);
  void TickScheduler(std::size_t index);
  void SubmitJobs(std::size_t index);
  void CancelJobs(std::size_t index);
  void FillScheduler(std::size_t index, const TasksLoaded& loaded);
  const Job* JobOf(core::TaskId task) const;
  void NoteOwnership(std::size_t index);
  core::TimePoint Clock(std::size_t index) const {
    return processes_.at(index).clock.At(now_);
  }

  Charts charts_;
  core::TimePoint now_{std::chrono::seconds(100)};
  core::TimePoint next_tick_ = now_;
  std::array<ProcessState, 2> processes_;
  std::array<FakeWorker, kWorkers> workers_;
  lease::SliceRow row_{.slice = core::SliceId(0)};
  std::map<core::TaskId, placement::TaskRow> tasks_;
  std::vector<Job> jobs_;
  core::WorkerId tested_{0};
  std::optional<core::Resources> quota_;
  std::optional<placement::Outcome> outcome_;  ///< Of kTask.
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
