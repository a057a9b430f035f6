#ifndef SETTINGS_STORE_SETTINGS_STORE_H_
#define SETTINGS_STORE_SETTINGS_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "settings/editor.h"
#include "settings/follower.h"
#include "store/command.h"
#include "store/event.h"

namespace hickoryusher::settings_store {

/// Translates between the decisions of package `settings` and the table.
///
/// @remarks Rows, with JSON values: `settings/change/<20 digits>` for each
/// revision, `settings/change_id/<id>` for each change, and
/// `settings/value/<path>` for the latest entry of each path. All three are
/// written in one transaction, conditional on the absence of the first two.
/// Revisions have no gaps, so the absence of the next one means that the head
/// has not moved.
class SettingsStore {
 public:
  /// @param first_id first command id; the ids from there on belong to this
  /// object.
  explicit SettingsStore(store::CommandId first_id);

  void Send(const settings::EditCommand& command);

  /// @param command AskSnapshot or AskStore; AskPeer does not go to the store.
  void Send(const settings::FollowCommand& command);

  /// @returns false if the event answers none of this object's commands.
  bool Handle(const store::Event& event);

  std::vector<store::Command> TakeCommands() {
    return std::exchange(commands_, {});
  }
  std::vector<settings::EditEvent> TakeEditEvents() {
    return std::exchange(edit_events_, {});
  }
  std::vector<settings::FollowEvent> TakeFollowEvents() {
    return std::exchange(follow_events_, {});
  }

 private:
  struct Outcome {
    settings::EditSerial serial = 0;
  };
  struct Changes {
    settings::EditSerial serial = 0;
    settings::Revision after = 0;
  };
  struct Write {
    settings::EditSerial serial = 0;
  };
  struct FollowChanges {
    settings::Revision after = 0;
  };
  /// A snapshot is read in pages, between which the settings can change.
  struct Snapshot {
    std::vector<settings::Entry> entries;
    settings::Revision head = 0;
    store::RowVersion first_as_of = store::kAbsent;
  };
  using Pending =
      std::variant<Outcome, Changes, Write, FollowChanges, Snapshot>;

  store::CommandId Expect(Pending pending);
  void Answer(Pending& pending, const store::Event& event);
  void Fail(const Pending& pending, bool may_have_run);
  void AnswerSnapshot(Snapshot& snapshot, const store::RangeRead& page);

  std::uint64_t next_id_;
  std::map<store::CommandId, Pending> pending_;
  std::vector<store::Command> commands_;
  std::vector<settings::EditEvent> edit_events_;
  std::vector<settings::FollowEvent> follow_events_;
};

}  // namespace hickoryusher::settings_store

#endif  // SETTINGS_STORE_SETTINGS_STORE_H_
