#ifndef ENTRY_SRC_SETTINGS_MANAGER_P_H_
#define ENTRY_SRC_SETTINGS_MANAGER_P_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/log_line.h"
#include "core/time.h"
#include "http/message.h"
#include "peer_message_p.h"
#include "rpc/codec.h"
#include "settings/editor.h"
#include "settings/follower.h"
#include "settings/keys.h"
#include "settings/schema.h"
#include "settings_api_p.h"
#include "settings_store/settings_store.h"
#include "store/command.h"
#include "store/event.h"

namespace hickoryusher::entry {

/// The settings in effect have changed.
struct TreeMoved {};

/// What the settings manager asks its threads to do.
using SettingsCommand =
    std::variant<http::Response, store::Command, PeerCall, TreeMoved>;

/// Answers the administration API and the calls of other processes, and keeps
/// this process's settings up to date. Runs on the settings thread; its
/// commands are carried out by the caller.
class SettingsManager {
 public:
  struct Parts {
    settings::Editor editor;
    std::vector<core::EntryId> peers;
    /// Hash of the key `admin.bootstrap`; empty for none.
    std::string admin_key_hash;
    std::function<void(const core::LogLine&)> log;
  };

  explicit SettingsManager(Parts parts);

  /// Takes a request of the administration API.
  void Take(const http::IncomingRequest& request, core::TimePoint now);

  /// Takes a call of another process.
  void TakeCall(const http::IncomingRequest& request);

  void Handle(const store::Event& event, core::TimePoint now);
  void Handle(const PeerReply& reply, core::TimePoint now);

  /// Runs the timers that are due.
  void Advance(core::TimePoint now);

  /// @returns when Advance has to be called again.
  core::TimePoint next_timer() const;

  std::vector<SettingsCommand> TakeCommands() {
    return std::exchange(commands_, {});
  }

  bool ready() const { return follower_.ready(); }
  const settings::Tree& tree() const { return follower_.tree(); }

 private:
  struct HistoryRead {
    core::RequestId request;
    std::string path;
    std::vector<settings::Entry> changes;
  };
  struct Submission {
    core::RequestId request;
    std::string path;
    std::string by;
  };

  std::optional<settings::Principal> Authenticate(
      std::string_view bearer) const;
  void Refuse(const http::IncomingRequest& request,
              int status,
              std::string_view reason);
  void Run(const ListSettings& request, const http::IncomingRequest& from);
  void Run(const ReadPathRevision& request, const http::IncomingRequest& from);
  void Run(const ReadHistory& request, const http::IncomingRequest& from);
  void Run(const ValidateChange& request, const http::IncomingRequest& from);
  void Run(const SubmitChange& request, const http::IncomingRequest& from);
  void RefuseSubmission(const SubmitChange& request,
                        const http::IncomingRequest& from,
                        bool may_be_written,
                        std::string_view reason);
  void AskHistory(HistoryRead read, settings::Revision after);
  void TakeHistory(const settings::EditEvent& event);
  void Respond(http::Response response);
  void Collect();
  void CollectStore();
  void CollectResults();
  void NoteHead();

  Parts parts_;
  settings::Schema schema_ = settings::KnownSettings();
  settings::Follower follower_;
  settings_store::SettingsStore store_;
  settings_store::SettingsStore history_store_;
  settings::Tree bootstrap_;
  rpc::Dispatcher dispatcher_;
  SettingsRequestReader reader_;
  std::string principal_;  ///< Of the request that is being run.
  core::TimePoint now_;
  settings::Revision logged_head_ = 0;
  std::unordered_map<settings::ChangeId, Submission> submissions_;
  std::map<settings::EditSerial, HistoryRead> histories_;
  settings::EditSerial last_history_ = 0;
  std::map<PeerCallId, std::size_t> calls_;
  std::uint64_t next_call_ = 1;
  std::vector<SettingsCommand> commands_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_SETTINGS_MANAGER_P_H_
