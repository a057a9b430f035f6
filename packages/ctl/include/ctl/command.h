#ifndef CTL_COMMAND_H_
#define CTL_COMMAND_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"

namespace hickoryusher::ctl {

/// Shows the values at and below a path.
struct SettingsGet {
  std::string path;
};

/// Changes or removes the value at a path.
struct SettingsSet {
  std::string path;
  std::optional<std::string> value;   ///< JSON, or a plain text; none removes.
  std::optional<std::uint64_t> base;  ///< Read from the server when absent.
  std::string change_id;
};

/// Compares a JSON file of paths and values with the settings.
struct SettingsDiff {
  std::string file;
};

struct SettingsHistory {
  std::string path;
};

/// Checks a value without changing anything.
struct SettingsValidate {
  std::string path;
  std::string value;
};

/// Tells what the logs of several processes say of an id.
struct Why {
  std::string id;
  std::vector<std::string> files;  ///< Standard input if there are none.
};

using Command = std::variant<SettingsGet,
                             SettingsSet,
                             SettingsDiff,
                             SettingsHistory,
                             SettingsValidate,
                             Why>;

struct Invocation {
  Command command;
  std::string url;     ///< `http://address:port` of an entry process.
  std::string bearer;  ///< Bearer key.
  bool json = false;   ///< `--output json`.
  core::Duration timeout = std::chrono::seconds(15);
};

enum ExitCode : int {
  kExitOk = 0,
  kExitRefused = 1,
  kExitUsage = 2,
  kExitUnreachable = 3,
  kExitConflict = 4,
};

/// Reads the command line of hickoryctl.
class CommandLine {
 public:
  /// @param arguments without the program's name.
  /// @returns nothing after `--help` or an error.
  std::optional<Invocation> Parse(std::span<const std::string> arguments);

  /// @returns what is wrong, or an empty text after `--help`.
  const std::string& last_error() const { return last_error_; }

  static std::string Help();

 private:
  std::string last_error_;
};

}  // namespace hickoryusher::ctl

#endif  // CTL_COMMAND_H_
