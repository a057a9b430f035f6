#ifndef JOBS_PROCESS_SRC_SCHEDULER_DUTY_P_H_
#define JOBS_PROCESS_SRC_SCHEDULER_DUTY_P_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "chart/chart.h"
#include "http/upstream.h"
#include "jobs/operator_state.h"
#include "jobs/slice_board.h"
#include "jobs/slice_scheduler.h"
#include "jobs/table_follower.h"
#include "jobs_process/ports.h"
#include "late_order_log_p.h"
#include "runtime/duty_thread.h"
#include "runtime/ring.h"

namespace hickoryusher::jobs_process {

/// All slices are to be released because the process stops.
struct SliceReleaseRequested {};

using SchedulerInput = std::
    variant<jobs::OperatorState, http::UpstreamEvent, SliceReleaseRequested>;

/// The charts of the scheduler thread.
struct SchedulerCharts {
  chart::Chart slice_ownership;
  chart::Chart task_run;
  chart::Chart worker_contact;
};

/// The scheduler thread: competes for slices, and schedules those it owns.
class SchedulerDuty {
 public:
  struct Options {
    std::string process;
    std::string incarnation;
    std::string failure_domain;
    std::int64_t cpu_millis = 0;  ///< Of this VM; 0 if unknown.
    std::vector<jobs::SliceInfo> slices;
    jobs::FleetLimits limits;
    std::size_t slice_job_bytes = 0;  ///< Memory for the jobs of each slice.
    std::function<void(std::vector<std::optional<jobs::SliceLoad>>)>
        publish_loads;
    std::function<void(const core::LogLine&)> log;
  };

  /// @returns nullptr on failure, with the reasons in @p errors.
  static std::unique_ptr<SchedulerDuty> Create(
      const Ports& ports,
      Options options,
      SchedulerCharts charts,
      std::vector<std::string>& errors);

  ~SchedulerDuty();
  SchedulerDuty(const SchedulerDuty&) = delete;
  SchedulerDuty& operator=(const SchedulerDuty&) = delete;

  /// @param upstream must outlive the duty's thread.
  void Start(http::Upstream& upstream);
  void Stop();

  runtime::Ring<SchedulerInput>& inputs() { return inputs_; }

 private:
  SchedulerDuty(const Ports& ports, Options options, SchedulerCharts charts);

  void Run();
  void HandleInput(SchedulerInput& input, core::TimePoint now);
  void HandleEvent(const http::UpstreamEvent& event, core::TimePoint now);
  void HandleRegistry(const jobs::TableUpdate& update, core::TimePoint now);
  void HandleRegistryRow(const jobs::Row& row, core::TimePoint now);
  void LogUnreadableEntry(const jobs::Row& row, core::TimePoint now);
  void RemoveMissingWorkers(const jobs::TableSnapshot& snapshot,
                            core::TimePoint now);
  void PopNotices(core::TimePoint now);
  void EndScheduler(const jobs::SliceLost& lost, core::TimePoint now);
  void PublishLoads();
  void ReleaseSlices(core::TimePoint now);
  void StartScheduler(const jobs::SliceGained& gained, core::TimePoint now);
  void SetOperatorState(jobs::SliceScheduler& scheduler, core::TimePoint now);
  void SendCommands(core::TimePoint now);
  void LogSlowIteration(core::TimePoint begun);
  template <typename Command>
  void Send(const Command& command, core::TimePoint now);
  core::TimePoint NextTimer() const;

  const Ports& ports_;
  Options options_;
  SchedulerCharts charts_;
  OutsideCodec codec_;
  LateOrderLog late_orders_;
  jobs::CallIds ids_;
  std::unique_ptr<jobs::SliceBoard> board_;
  std::map<core::SliceId, std::unique_ptr<jobs::SliceScheduler>> schedulers_;
  std::unique_ptr<jobs::TableFollower> registry_rows_;
  std::map<std::string, jobs::WorkerEntry> registry_;
  jobs::OperatorState operator_state_;
  bool releasing_ = false;  ///< Once all slices have been handed over.
  runtime::Ring<SchedulerInput> inputs_;
  core::TimePoint next_slow_iteration_log_;
  core::TimePoint next_unreadable_entry_log_;
  std::uint64_t unreadable_entries_ = 0;
  http::Upstream* upstream_ = nullptr;
  runtime::DutyThread thread_;
};

}  // namespace hickoryusher::jobs_process

#endif  // JOBS_PROCESS_SRC_SCHEDULER_DUTY_P_H_
