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
#include "operator_rows_p.h"
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

/// The intake thread: answers callers, and follows the rows of the operators.
class IntakeDuty {
 public:
  struct Outputs {
    std::function<void(http::Response)> respond;
    std::function<void(http::Response)> respond_readiness;
    /// Called with each change of what operators request.
    /// @returns false if there is no room; the call is then repeated.
    std::function<bool(const jobs::OperatorState&)> publish_state;
    std::function<void(const core::LogLine&)> log;
  };

  IntakeDuty(const Ports& ports,
             const std::vector<jobs::SliceInfo>& slices,
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
  void ApplyOperatorState();
  void ReadRows();
  void ReadRowsAgainIfFeedFails(core::TimePoint now);
  void AnswerReadiness(const ReadinessRequested& check, core::TimePoint now);
  void SendCommands(core::TimePoint now);
  void Send(const jobs::StoreCommand& command, core::TimePoint now);
  core::TimePoint NextTimer() const;

  const Ports& ports_;
  Outputs outputs_;
  OutsideCodec codec_;
  jobs::CallIds ids_;
  jobs::Intake intake_;
  OperatorRows operator_rows_;
  StatePublisher publisher_;
  std::optional<jobs::TableFollower> follower_;
  core::TimePoint last_table_answer_;  ///< Also of earlier followers.
  core::TimePoint next_table_read_;
  runtime::Ring<IntakeInput> inputs_;
  std::atomic<bool> draining_ = false;
  bool was_ready_ = false;
  http::Upstream* upstream_ = nullptr;
  runtime::DutyThread thread_;
};

}  // namespace hickoryusher::jobs_process

#endif  // JOBS_PROCESS_SRC_INTAKE_DUTY_P_H_
