#ifndef ENTRY_SRC_SETTINGS_API_P_H_
#define ENTRY_SRC_SETTINGS_API_P_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "http/message.h"
#include "settings/editor.h"
#include "settings/tree.h"
#include "settings/types.h"

namespace hickoryusher::entry {

struct ListSettings {
  std::string path;
};

struct ReadPathRevision {
  std::string path;
};

struct ReadHistory {
  std::string path;
};

struct ValidateChange {
  settings::Change change;
};

struct SubmitChange {
  settings::Change change;
};

/// A request of the administration API.
using SettingsRequest = std::variant<ListSettings,
                                     ReadPathRevision,
                                     ReadHistory,
                                     ValidateChange,
                                     SubmitChange>;

/// @returns the path that the request reads or changes.
std::string_view PathOf(const SettingsRequest& request);

struct SettingsApiError {
  int status = 400;
  std::string_view reason;
};

/// Reads requests of the administration API from their HTTP form.
class SettingsRequestReader {
 public:
  /// @returns nothing for a malformed request; see last_error().
  std::optional<SettingsRequest> Read(const http::IncomingRequest& request);

  const SettingsApiError& last_error() const { return last_error_; }

 private:
  std::nullopt_t Refuse(int status, std::string_view reason);
  std::optional<std::string> ReadPath(const http::IncomingRequest& request);
  std::optional<settings::Change> ReadChange(
      const http::IncomingRequest& request,
      bool is_submission);

  SettingsApiError last_error_;
};

/// @returns the bearer key of a request, or an empty view.
std::string_view BearerKey(const http::IncomingRequest& request);

http::Response SettingsError(core::RequestId id,
                             int status,
                             std::string_view reason);

/// @returns the entries with a value at and below @p path.
http::Response SettingsList(core::RequestId id,
                            const settings::Tree& tree,
                            std::string_view path);

http::Response SettingsRevision(core::RequestId id,
                                settings::Revision revision);

http::Response SettingsHistory(core::RequestId id,
                               std::span<const settings::Entry> changes);

/// @returns 200 without mistakes, 422 with them.
http::Response SettingsMistakes(core::RequestId id,
                                std::span<const settings::Mistake> mistakes);

http::Response SettingsOutcome(core::RequestId id,
                               const settings::Outcome& outcome);

/// @returns the response to a change that was not written, with the cause.
http::Response SettingsNotWritten(core::RequestId id, std::string_view reason);

/// @returns the response to a change that may have been written.
http::Response SettingsUnknown(core::RequestId id, std::string_view reason);

/// @returns the name used in log lines.
std::string_view ToString(const settings::Outcome& outcome);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_SETTINGS_API_P_H_
