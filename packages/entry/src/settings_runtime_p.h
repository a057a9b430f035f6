#ifndef ENTRY_SRC_SETTINGS_RUNTIME_P_H_
#define ENTRY_SRC_SETTINGS_RUNTIME_P_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chart/chart.h"
#include "config/process_settings.h"
#include "core/log_line.h"
#include "directory_p.h"
#include "http/message.h"
#include "http/upstream.h"
#include "service_policy_p.h"
#include "settings_duty_p.h"
#include "store/http_adapter.h"

namespace hickoryusher::entry {

/// The settings thread with a store adapter and an upstream of its own, so that
/// the settings do not wait for the router nor the router for them.
class SettingsRuntime {
 public:
  /// References must stay valid for the runtime's life.
  struct Parts {
    const config::ProcessSettings& settings;
    const Directory& directory;
    const chart::Chart& chart;  ///< `settings_revision`.
    std::function<bool(http::Response)> respond;
    std::function<void(const core::LogLine&)> log;
    /// Hands the policies of the services to the router.
    /// @returns false if its ring is full.
    std::function<bool(PoliciesChanged&&)> apply;
  };

  /// @returns nothing after adding to @p errors.
  static std::unique_ptr<SettingsRuntime> Create(
      Parts parts,
      std::vector<std::string>& errors);
  ~SettingsRuntime();
  SettingsRuntime(const SettingsRuntime&) = delete;
  SettingsRuntime& operator=(const SettingsRuntime&) = delete;

  /// @returns true if the request belongs to this duty and not to the router.
  static bool Serves(const http::IncomingRequest& request);

  /// Thread-safe. @returns false if the ring is full.
  bool Take(http::IncomingRequest& request);

  void Start();

  /// Waits until the settings are known, at most for a fixed time.
  void WaitReady();

 private:
  SettingsRuntime(Parts parts, settings::Editor editor);
  bool Apply(const settings::Tree& tree) const;
  bool StartPeers(std::vector<std::string>& errors);

  Parts parts_;
  SettingsDuty duty_;
  std::unique_ptr<store::HttpAdapter> store_;
  std::unique_ptr<http::Upstream> peers_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_SETTINGS_RUNTIME_P_H_
