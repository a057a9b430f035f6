#ifndef JOBS_PROCESS_SRC_INTAKE_DUTY_P_H_
#define JOBS_PROCESS_SRC_INTAKE_DUTY_P_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "http/message.h"
#include "http/upstream.h"
#include "jobs/intake.h"
#include "jobs/table_follower.h"
#include "jobs_process/ports.h"
#include "runtime/duty_thread.h"
#include "runtime/ring.h"

namespace hickoryusher::jobs_process {

/// A check by the load balancer whether this process accepts requests.
struct ReadinessRequested {
  core::RequestId request;
};

/// Loads of all slices, by index.
struct LoadsRead {
  std::vector<std::optional<jobs::SliceLoad>> loads;
};

using IntakeInput = std::variant<http::IncomingRequest,
                                 ReadinessRequested,
                                 http::UpstreamEvent,
                                 LoadsRead>;

/// The intake thread: answers callers, and follows the configuration.
class IntakeDuty {
 public:
  struct Outputs {
    std::function<void(http::Response)> respond;
    std::function<void(http::Response)> respond_readiness;
    /// Called when a newer configuration is in force.
    std::function<void(jobs::QueueConfigPtr)> publish_config;
    std::function<void(const core::LogLine&)> log;
  };

  IntakeDuty(const Ports& ports,
             std::vector<jobs::SliceInfo> slices,
             Outputs outputs);
  ~IntakeDuty();
  IntakeDuty(const IntakeDuty&) = delete;
  IntakeDuty& operator=(const IntakeDuty&) = delete;

  /// @param upstream must outlive the duty's thread.
  void Start(http::Upstream& upstream);
  void Stop();

  /// Makes readiness checks fail, so that the load balancer sends callers to
  /// other processes.
  void StartDraining() { draining_.store(true); }

  runtime::Ring<IntakeInput>& inputs() { return inputs_; }

 private:
  void Run();
  void HandleInput(IntakeInput&& input, core::TimePoint now);
  void HandleEvent(const http::UpstreamEvent& event, core::TimePoint now);
  void HandleConfigRows(const jobs::TableUpdate& update);
  void AnswerReadiness(const ReadinessRequested& check, core::TimePoint now);
  void SendCommands(core::TimePoint now);
  void Send(const jobs::StoreCommand& command, core::TimePoint now);
  core::TimePoint NextTimer() const;

  const Ports& ports_;
  Outputs outputs_;
  OutsideCodec codec_;
  jobs::CallIds ids_;
  jobs::Intake intake_;
  jobs::TableFollower config_rows_;
  jobs::QueueConfigPtr config_;
  core::TimePoint next_unreadable_log_;
  std::uint64_t unreadable_configs_ = 0;
  runtime::Ring<IntakeInput> inputs_;
  std::atomic<bool> draining_ = false;
  bool was_ready_ = false;
  http::Upstream* upstream_ = nullptr;
  runtime::DutyThread thread_;
};

}  // namespace hickoryusher::jobs_process

#endif  // JOBS_PROCESS_SRC_INTAKE_DUTY_P_H_
