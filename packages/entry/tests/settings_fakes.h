#ifndef ENTRY_TESTS_SETTINGS_FAKES_H_
#define ENTRY_TESTS_SETTINGS_FAKES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/keys.h"
#include "settings_manager_p.h"
#include "store/command.h"
#include "store/event.h"
#include "store_fake/fake_platform.h"

namespace hickoryusher::entry {

/// A settings manager with the platform in memory, one peer and a manual clock.
/// Responses and log lines are kept.
class SettingsProcess {
 public:
  /// @param admin hash of the key `admin.bootstrap`.
  SettingsProcess(store::FakePlatform& platform, std::string admin);

  /// Sends a request and runs until nothing is left to do at this moment.
  void Send(std::string_view method,
            std::string_view target,
            std::string_view bearer,
            std::string_view body = "");

  /// Submits a change with @p id.
  void Submit(std::string_view id,
              std::string_view path,
              std::string_view value,
              int base,
              std::string_view bearer,
              bool resubmitted = false);

  /// Lets time pass in steps, running timers and answers.
  void Pass(core::Duration duration);

  /// Runs until nothing is left to do at this moment.
  void Settle();

  bool HasLog(std::string_view text) const;

  SettingsManager& manager() { return *manager_; }

  SettingsProcess* peer = nullptr;  ///< Unreachable if null.
  bool reaches_store = true;
  std::vector<http::Response> responses;
  std::vector<std::string> log;
  std::size_t moves = 0;

 private:
  core::TimePoint next_due() const;
  void RunCommands();
  void Run(http::Response& response);
  void Run(store::Command& command);
  void Run(const PeerCall& call);
  void Run(const TreeMoved& moved);

  store::FakePlatform& platform_;
  core::TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t next_request_ = 1;
  std::optional<SettingsManager> manager_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_TESTS_SETTINGS_FAKES_H_
