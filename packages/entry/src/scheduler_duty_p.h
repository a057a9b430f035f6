#ifndef ENTRY_SRC_SCHEDULER_DUTY_P_H_
#define ENTRY_SRC_SCHEDULER_DUTY_P_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/process_settings.h"
#include "fleet_p.h"
#include "http/message.h"
#include "http/upstream.h"
#include "job_api_p.h"
#include "rpc/codec.h"
#include "runtime/duty_thread.h"
#include "runtime/ring.h"
#include "slice_manager_p.h"
#include "store/http_adapter.h"

namespace hickoryusher::entry {

/// The slices can be given up: the process stops.
struct SliceReleaseRequested {};

using SchedulerInput = std::variant<http::IncomingRequest,
                                    store::Event,
                                    http::UpstreamEvent,
                                    SliceReleaseRequested>;

/// The scheduler thread: runs the job API and the slices, with a store adapter
/// and an upstream of its own.
class SchedulerDuty {
 public:
  struct Parts {
    const config::ProcessSettings& settings;
    const Directory& directory;
    const Charts& charts;
    core::Incarnation incarnation;
    std::function<void(const core::LogLine&)> log;
  };

  /// @returns nullptr with the reasons in @p errors.
  static std::unique_ptr<SchedulerDuty> Create(
      Parts parts,
      std::vector<std::string>& errors);

  ~SchedulerDuty();
  SchedulerDuty(const SchedulerDuty&) = delete;
  SchedulerDuty& operator=(const SchedulerDuty&) = delete;

  /// @param respond must stay valid until Stop returns.
  void Start(std::function<bool(http::Response)> respond);

  /// Gives up the slices, so that another entry need not wait for their
  /// leases. @returns false if @p until was reached first.
  bool Release(core::TimePoint until);

  void Stop();

  /// @returns true if this duty answers requests for @p path.
  static bool Answers(std::string_view path) {
    return IsJobPath(path) || path == kSliceRpcPath;
  }

  runtime::Ring<SchedulerInput>& inputs() { return inputs_; }

 private:
  explicit SchedulerDuty(const config::ProcessSettings& settings);

  bool Build(Parts parts, std::vector<std::string>& errors);
  void Run();
  void Take(SchedulerInput&& input);
  void TakeRequest(const http::IncomingRequest& request);
  void TakeStoreEvent(const store::Event& event);
  void CarryOut();
  void Send(store::Command&& command);
  void NoteReleased();

  Fleet fleet_;
  JobApi api_;
  std::unique_ptr<SliceManager> manager_;
  rpc::Dispatcher dispatcher_;
  runtime::Ring<SchedulerInput> inputs_;
  std::unique_ptr<store::HttpAdapter> store_;
  std::unique_ptr<http::Upstream> upstream_;
  std::function<bool(http::Response)> respond_;
  bool releasing_ = false;  ///< Used by the duty's thread only.
  std::mutex released_mutex_;
  std::condition_variable released_changed_;
  bool released_ = false;
  runtime::DutyThread thread_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_SCHEDULER_DUTY_P_H_
