#ifndef ENTRY_SRC_SETTINGS_DUTY_P_H_
#define ENTRY_SRC_SETTINGS_DUTY_P_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <variant>

#include "http/message.h"
#include "peer_message_p.h"
#include "runtime/duty_thread.h"
#include "runtime/ring.h"
#include "settings_manager_p.h"
#include "store/event.h"

namespace hickoryusher::entry {

using SettingsInput =
    std::variant<http::IncomingRequest, store::Event, PeerReply>;

/// The settings thread: takes inputs from its ring, runs the settings manager
/// and hands the commands to the HTTP front, the store and the other processes.
class SettingsDuty {
 public:
  struct Outputs {
    std::function<bool(http::Response)> respond;
    /// @returns false if the store's ring is full.
    std::function<bool(store::Command&&)> store;
    /// @returns false if the peers' ring is full.
    std::function<bool(PeerCall&&)> call;
    /// Puts the settings into effect. @returns false if this has to be tried
    /// again.
    std::function<bool(const settings::Tree&)> apply;
  };

  SettingsDuty(SettingsManager::Parts parts, std::size_t ring_slots);
  ~SettingsDuty();
  SettingsDuty(const SettingsDuty&) = delete;
  SettingsDuty& operator=(const SettingsDuty&) = delete;

  /// Starts the thread. @param outputs must stay valid until Stop returns.
  void Start(Outputs outputs);

  /// Ends the thread after the inputs that already wait.
  void Stop();

  runtime::Ring<SettingsInput>& inputs() { return inputs_; }

  /// Waits until the settings are known.
  /// @returns false if @p until was reached first.
  bool WaitReady(core::TimePoint until);

 private:
  void Run();
  void Take(const SettingsInput& input, core::TimePoint now);
  void CarryOut(core::TimePoint now);
  void NoteReady();
  void Run(http::Response& response, core::TimePoint now);
  void Run(store::Command& command, core::TimePoint now);
  void Run(PeerCall& call, core::TimePoint now);
  void Run(const TreeMoved& moved, core::TimePoint now);
  void Apply(core::TimePoint now);

  SettingsManager manager_;
  runtime::Ring<SettingsInput> inputs_;
  std::mutex ready_mutex_;
  std::condition_variable ready_changed_;
  bool ready_ = false;
  core::TimePoint next_apply_ = core::TimePoint::max();
  Outputs outputs_;
  runtime::DutyThread thread_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_SETTINGS_DUTY_P_H_
