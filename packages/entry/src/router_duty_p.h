#ifndef ENTRY_SRC_ROUTER_DUTY_P_H_
#define ENTRY_SRC_ROUTER_DUTY_P_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

#include "http/message.h"
#include "http/upstream.h"
#include "request_path_p.h"
#include "routing/types.h"
#include "rpc/codec.h"
#include "runtime/duty_thread.h"
#include "runtime/ring.h"

namespace hickoryusher::entry {

/// New requests are refused from here on.
struct StopRequested {};

/// No request is in progress any more: the slot shares can be given up.
struct ReleaseRequested {};

using RouterInput = std::variant<http::IncomingRequest,
                                 http::UpstreamEvent,
                                 store::Event,
                                 PeerReply,
                                 routing::MembershipEvent,
                                 PoliciesChanged,
                                 StopRequested,
                                 ReleaseRequested>;

/// The router thread: takes inputs from its ring, runs the request path and
/// hands the commands to the HTTP front and the upstream.
class RouterDuty {
 public:
  struct Outputs {
    std::function<bool(http::Response)> respond;
    /// @returns false if the upstream takes no command now.
    std::function<bool(http::UpstreamCommand&&)> send;
    /// @returns false if the store's ring is full.
    std::function<bool(store::Command&&)> store;
    /// @returns false if the peers' ring is full.
    std::function<bool(PeerCall&&)> call;
  };

  RouterDuty(std::unique_ptr<RequestPath> path,
             telemetry::Metrics& metrics,
             std::size_t ring_slots);
  ~RouterDuty();
  RouterDuty(const RouterDuty&) = delete;
  RouterDuty& operator=(const RouterDuty&) = delete;

  /// Starts the thread. @param outputs must stay valid until Stop returns.
  void Start(Outputs outputs);

  /// Ends the thread after the inputs that already wait.
  void Stop();

  runtime::Ring<RouterInput>& inputs() { return inputs_; }

  /// Waits until the slot shares are given up.
  /// @returns false if @p until was reached first.
  bool WaitReleased(core::TimePoint until);

  /// Sets what the balancer's health check says.
  void SetHealthy(bool healthy) { healthy_.store(healthy); }

 private:
  // Numbers of VM list reads start here, apart from those of key commands.
  static constexpr std::uint64_t kFirstListId = std::uint64_t{1} << 62U;

  void Run();
  void ReadVmList(core::TimePoint now);
  void TakeStoreEvent(const store::Event& event, core::TimePoint now);
  void NoteReleased();
  void Take(RouterInput&& input, core::TimePoint now);
  void TakeRequest(http::IncomingRequest&& request, core::TimePoint now);
  void IssueTickets(const http::IncomingRequest& request);
  void CarryOut(core::TimePoint now);
  void Run(http::UpstreamCommand& command, core::TimePoint now);
  void Run(store::Command& command, core::TimePoint now);
  void Run(PeerCall& call, core::TimePoint now);
  void Run(http::Response& response, core::TimePoint now);

  std::unique_ptr<RequestPath> path_;
  rpc::Dispatcher dispatcher_;
  telemetry::Metrics& metrics_;
  runtime::Ring<RouterInput> inputs_;
  std::atomic<bool> healthy_ = false;
  std::mutex released_mutex_;
  std::condition_variable released_changed_;
  bool released_ = false;
  core::TimePoint next_list_read_;
  std::optional<store::CommandId> list_read_;
  std::uint64_t next_list_id_ = kFirstListId;
  Outputs outputs_;
  runtime::DutyThread thread_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_ROUTER_DUTY_P_H_
