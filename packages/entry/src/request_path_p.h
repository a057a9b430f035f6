#ifndef ENTRY_SRC_REQUEST_PATH_P_H_
#define ENTRY_SRC_REQUEST_PATH_P_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "admission/controller.h"
#include "core/ids.h"
#include "core/log_line.h"
#include "core/time.h"
#include "directory_p.h"
#include "http/message.h"
#include "http/upstream.h"
#include "key_arbiter_p.h"
#include "peer_message_p.h"
#include "request_codec_p.h"
#include "retry/request_table.h"
#include "routing/router.h"
#include "rpc/codec.h"
#include "service_policy_p.h"
#include "share_manager_p.h"
#include "telemetry/metrics.h"
#include "timer_queue_p.h"

namespace hickoryusher::entry {

/// What the request path asks its threads to do.
using PathCommand = std::
    variant<http::Response, http::UpstreamCommand, store::Command, PeerCall>;

/// Joins admission, retry and routing into the path of a request. Runs on the
/// router thread; its outputs are carried out by the caller.
class RequestPath {
 public:
  struct Parts {
    const Directory& directory;
    retry::RequestTable requests;
    std::vector<admission::Controller> admission;  ///< By service.
    routing::Router router;
    KeyArbiter keys;
    ShareManager shares;
    telemetry::Metrics& metrics;
    std::function<void(const core::LogLine&)> log;
    core::Duration longest_deadline;
    std::size_t max_response_bytes;
    std::vector<ServicePolicy> policies;  ///< By service.
  };

  explicit RequestPath(Parts parts);

  /// Takes one request of a caller to a service.
  void Arrive(http::IncomingRequest&& request, core::TimePoint now);

  /// Takes the progress of an exchange with an endpoint.
  void Handle(http::UpstreamEvent&& event, core::TimePoint now);

  /// Takes the end of a store command or of a call to another entry process.
  void Handle(const store::Event& event, core::TimePoint now);
  void Handle(const PeerReply& reply, core::TimePoint now);

  /// Applies a change of the fleet.
  void Handle(const routing::MembershipEvent& event, core::TimePoint now);

  /// Takes a complete read of the VM list.
  void TakeVmList(const store::VmListRead& list, core::TimePoint now);

  /// @returns the newest revision of the VM list taken, 0 before the first.
  std::uint64_t vm_list_revision() const { return vm_list_revision_; }

  /// Puts changed policies into effect for the requests that arrive from now
  /// on.
  void Handle(const PoliciesChanged& change, core::TimePoint now);

  /// Adds the methods that other entry processes call.
  /// @param clock gives the time of a call.
  void AddMethods(rpc::Dispatcher& dispatcher,
                  std::function<core::TimePoint()> clock);

  /// Gives every slot share up; called once no request is in progress.
  void ReleaseShares(core::TimePoint now);

  /// @returns true once the other processes have been told of the release.
  bool shares_released() const { return shares_released_; }

  /// Runs the timers that are due.
  void RunTimers(core::TimePoint now);

  /// Refuses what waits; requests in progress go on.
  void StartShutdown(core::TimePoint now);

  /// @returns when RunTimers has to be called again.
  core::TimePoint next_timer() const;

  /// Moves the commands collected so far to @p out.
  void TakeCommands(std::vector<PathCommand>& out);

  KeyArbiter& keys() { return parts_.keys; }

  /// @returns requests without an outcome.
  std::size_t in_progress() const { return callers_.size(); }

 private:
  struct Caller {
    http::IncomingRequest request;
    core::ServiceId service;
    core::WorkClass work_class = core::WorkClass::kBatch;
    core::TimePoint deadline;
    bool idempotent = false;
    std::optional<http::Completed> answer;  ///< Of the latest attempt.
  };

  struct Attempt {
    core::RequestId request;
    routing::Slot slot;
  };

  void Dispatch(const retry::RequestEvent& event, core::TimePoint now);
  void DispatchQueued(core::TimePoint now);
  void TakeKeyOutputs();
  void TakeShareOutput(ShareOutput&& output, core::TimePoint now);
  void TellSlots(core::TimePoint now);
  void RunAdmission(core::ServiceId service,
                    const admission::Event& event,
                    core::TimePoint now);

  void On(const retry::AskAdmission& command, core::TimePoint now);
  void On(const retry::ClaimKey& command, core::TimePoint now);
  void On(const retry::VoidKey& command, core::TimePoint now);
  void On(const retry::StoreKeyOutcome& command, core::TimePoint now);
  void On(const retry::ChooseEndpoint& command, core::TimePoint now);
  void On(const retry::StartExchange& command, core::TimePoint now);
  void On(const retry::CancelExchange& command, core::TimePoint now);
  void On(const retry::DeliverOutcome& command, core::TimePoint now);
  void On(const retry::ReleaseEndpoint& command, core::TimePoint now);
  void On(const retry::StartTimer& command, core::TimePoint now);
  void On(const retry::CancelTimer& command, core::TimePoint now);

  void On(http::FirstByte&& event);
  void On(http::Completed&& event);
  void On(http::Failed&& event);

  http::Response MakeResponse(const retry::DeliverOutcome& command,
                              Caller& caller) const;
  void Reject(const http::IncomingRequest& request, const BadRequest& error);
  void LogChoice(const retry::ChooseEndpoint& command,
                 const std::optional<routing::Decision>& decision,
                 core::AttemptId attempt) const;

  Parts parts_;
  RequestReader reader_;
  std::unordered_map<core::RequestId, Caller> callers_;
  std::unordered_map<core::AttemptId, Attempt> attempts_;
  TimerQueue<retry::TimerId, retry::TimerExpired> timers_;
  std::deque<retry::RequestEvent> events_;
  std::vector<PathCommand> commands_;
  std::uint64_t next_attempt_ = 1;
  std::unordered_map<core::VmId, store::VmState> vm_states_;
  std::uint64_t vm_list_revision_ = 0;
  bool shares_released_ = false;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_REQUEST_PATH_P_H_
