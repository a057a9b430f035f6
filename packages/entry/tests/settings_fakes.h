#ifndef ENTRY_TESTS_SETTINGS_FAKES_H_
#define ENTRY_TESTS_SETTINGS_FAKES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/keys.h"
#include "settings_desk_p.h"
#include "store/command.h"
#include "store/event.h"

namespace hickoryusher::entry {

/// The table service in memory.
struct FakeTable {
  bool outage = false;
  bool loses_answers = false;  ///< Transactions take effect without an answer.
  bool outage_after_write = false;
  std::map<std::string, store::Row> rows;
  store::RowVersion last = 0;

  store::Event Run(const store::Command& command);

 private:
  store::Event Read(const store::ReadRange& command) const;
  store::Event Write(const store::Transact& command);
};

/// A settings desk with its table, one peer and a manual clock. Responses and
/// log lines are kept.
class SettingsProcess {
 public:
  /// @param admin hash of the key `admin.bootstrap`.
  SettingsProcess(FakeTable& table, std::string admin);

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

  SettingsDesk& desk() { return *desk_; }

  SettingsProcess* peer = nullptr;  ///< Unreachable if null.
  bool reaches_store = true;
  bool holds_store = false;  ///< Keeps the commands unanswered.
  std::vector<http::Response> responses;
  std::vector<std::string> log;
  std::size_t moves = 0;

 private:
  void Run(http::Response& response);
  void Run(const store::Command& command);
  void Run(const PeerCall& call);
  void Run(const TreeMoved& moved);

  FakeTable& table_;
  core::TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t next_request_ = 1;
  std::optional<SettingsDesk> desk_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_TESTS_SETTINGS_FAKES_H_
