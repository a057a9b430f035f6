#include "settings_store/settings_store.h"

#include <algorithm>
#include <optional>

#include "core/overloaded.h"
#include "rows_p.h"

namespace hickoryusher::settings_store {
namespace {

std::vector<settings::Entry> DecodeRows(std::span<const store::Row> rows) {
  std::vector<settings::Entry> entries;
  for (const store::Row& row : rows) {
    // An unreadable row leaves a gap in the revisions, which ends the delta.
    if (std::optional<settings::Entry> entry = DecodeEntry(row.value)) {
      entries.push_back(*std::move(entry));
    }
  }
  return entries;
}

store::Transact MakeWrite(store::CommandId id,
                          const settings::WriteChange& command) {
  const settings::Change& change = command.change;
  const std::string change_key = ChangeKey(command.revision);
  const std::string id_key = std::string(kChangeIdPrefix) + change.id;
  const std::string entry = EncodeEntry({.path = change.path,
                                         .value = change.value,
                                         .revision = command.revision,
                                         .change_id = change.id});
  return {.id = id,
          .conditions = {{.key = change_key}, {.key = id_key}},
          .puts = {{.key = change_key, .value = entry},
                   {.key = id_key, .value = entry},
                   {.key = std::string(kValuePrefix) + change.path,
                    .value = entry}}};
}

store::ReadRange ChangesAfter(store::CommandId id, settings::Revision after) {
  return {.id = id,
          .prefix = std::string(kChangePrefix),
          .after = ChangeKey(after)};
}

}  // namespace

SettingsStore::SettingsStore(store::CommandId first_id)
    : next_id_(first_id.value()) {}

store::CommandId SettingsStore::Expect(Pending pending) {
  const store::CommandId id(next_id_++);
  pending_.emplace(id, std::move(pending));
  return id;
}

void SettingsStore::Send(const settings::EditCommand& command) {
  std::visit(
      core::Overloaded{
          [this](const settings::ReadOutcome& c) {
            commands_.emplace_back(store::ReadRow{
                .id = Expect(Outcome{c.serial}),
                .key = std::string(kChangeIdPrefix) + c.change_id});
          },
          [this](const settings::ReadChanges& c) {
            commands_.emplace_back(ChangesAfter(
                Expect(Changes{.serial = c.serial, .after = c.after}),
                c.after));
          },
          [this](const settings::WriteChange& c) {
            commands_.emplace_back(MakeWrite(Expect(Write{c.serial}), c));
          }},
      command);
}

void SettingsStore::Send(const settings::FollowCommand& command) {
  std::visit(core::Overloaded{[this](const settings::AskSnapshot&) {
                                commands_.emplace_back(store::ReadRange{
                                    .id = Expect(Snapshot{}),
                                    .prefix = std::string(kValuePrefix)});
                              },
                              [this](const settings::AskStore& c) {
                                commands_.emplace_back(ChangesAfter(
                                    Expect(FollowChanges{c.after}), c.after));
                              },
                              [](const settings::AskPeer&) {}},
             command);
}

bool SettingsStore::Handle(const store::Event& event) {
  auto node = pending_.extract(store::IdOf(event));
  if (node.empty()) {
    return false;
  }
  Pending& pending = node.mapped();
  if (std::holds_alternative<store::Refused>(event) ||
      std::holds_alternative<store::Unavailable>(event)) {
    Fail(pending, false);
  } else if (std::holds_alternative<store::TimedOut>(event)) {
    Fail(pending, true);
  } else {
    Answer(pending, event);
  }
  return true;
}

void SettingsStore::Answer(Pending& pending, const store::Event& event) {
  std::visit(
      core::Overloaded{
          [&](const Outcome& p) {
            settings::OutcomeRead read{.serial = p.serial};
            const auto& row = std::get<store::RowRead>(event).row;
            if (const auto entry =
                    row ? DecodeEntry(row->value) : std::nullopt) {
              read.revision = entry->revision;
            }
            edit_events_.emplace_back(read);
          },
          [&](const Changes& p) {
            const auto& read = std::get<store::RangeRead>(event);
            edit_events_.emplace_back(settings::ChangesRead{
                .serial = p.serial,
                .delta = settings::MakeDelta(p.after, DecodeRows(read.rows),
                                             read.more)});
          },
          [&](const Write& p) {
            if (std::holds_alternative<store::Committed>(event)) {
              edit_events_.emplace_back(settings::ChangeWritten{p.serial});
            } else {
              edit_events_.emplace_back(settings::HeadMoved{p.serial});
            }
          },
          [&](const FollowChanges& p) {
            const auto& read = std::get<store::RangeRead>(event);
            follow_events_.emplace_back(
                settings::StoreAnswered{settings::MakeDelta(
                    p.after, DecodeRows(read.rows), read.more)});
          },
          [&](Snapshot& p) {
            AnswerSnapshot(p, std::get<store::RangeRead>(event));
          }},
      pending);
}

void SettingsStore::AnswerSnapshot(Snapshot& snapshot,
                                   const store::RangeRead& page) {
  if (snapshot.entries.empty()) {
    snapshot.first_as_of = page.as_of;
  }
  if (page.as_of < snapshot.first_as_of) {
    // A stale page lacks changes that the head counts.
    follow_events_.emplace_back(settings::StoreFailed{});
    return;
  }
  for (const store::Row& row : page.rows) {
    if (std::optional<settings::Entry> entry = DecodeEntry(row.value)) {
      // Changes after the first page may be missing in the pages before, so
      // they do not count for the head and are read again as changes.
      if (row.version <= snapshot.first_as_of) {
        snapshot.head = std::max(snapshot.head, entry->revision);
      }
      snapshot.entries.push_back(*std::move(entry));
    }
  }
  if (page.more) {
    std::string after = page.rows.back().key;
    commands_.emplace_back(store::ReadRange{.id = Expect(std::move(snapshot)),
                                            .prefix = std::string(kValuePrefix),
                                            .after = std::move(after)});
    return;
  }
  follow_events_.emplace_back(settings::StoreAnswered{
      {.head = snapshot.head, .entries = std::move(snapshot.entries)}});
}

void SettingsStore::Fail(const Pending& pending, bool may_have_run) {
  const auto fail_edit = [&](settings::EditSerial serial) {
    if (may_have_run) {
      edit_events_.emplace_back(settings::NoAnswer{serial});
    } else {
      edit_events_.emplace_back(settings::NotRun{serial});
    }
  };
  std::visit(
      core::Overloaded{[&](const Outcome& p) { fail_edit(p.serial); },
                       [&](const Changes& p) { fail_edit(p.serial); },
                       [&](const Write& p) { fail_edit(p.serial); },
                       [&](const FollowChanges&) {
                         follow_events_.emplace_back(settings::StoreFailed{});
                       },
                       [&](const Snapshot&) {
                         follow_events_.emplace_back(settings::StoreFailed{});
                       }},
      pending);
}

}  // namespace hickoryusher::settings_store
