#ifndef SETTINGS_EDITOR_H_
#define SETTINGS_EDITOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "chart/chart.h"
#include "chart/interpreter.h"
#include "core/random.h"
#include "core/time.h"
#include "settings/schema.h"
#include "settings/tree.h"
#include "settings/types.h"

namespace hickoryusher::settings {

/// Number of a command of an Editor; its event carries the same.
using EditSerial = std::uint64_t;

/// Asks for the revision at which a change id was accepted.
struct ReadOutcome {
  EditSerial serial = 0;
  ChangeId change_id;
};

/// Asks for every change after a revision.
struct ReadChanges {
  EditSerial serial = 0;
  Revision after = 0;
};

/// Writes @c change as @c revision, in one transaction that requires that the
/// head is still the revision before it and that the change id is new.
struct WriteChange {
  EditSerial serial = 0;
  Change change;
  Revision revision = 0;
};

using EditCommand = std::variant<ReadOutcome, ReadChanges, WriteChange>;

struct OutcomeRead {
  EditSerial serial = 0;
  std::optional<Revision> revision;  ///< Nothing if the id is not known.
};

struct ChangesRead {
  EditSerial serial = 0;
  Delta delta;
};

struct ChangeWritten {
  EditSerial serial = 0;
};

/// The write's conditions did not hold.
struct HeadMoved {
  EditSerial serial = 0;
};

/// The store did not run the command.
struct NotRun {
  EditSerial serial = 0;
};

/// No answer came; a write may have taken effect or may still do so.
struct NoAnswer {
  EditSerial serial = 0;
};

using EditEvent = std::variant<OutcomeRead,
                               ChangesRead,
                               ChangeWritten,
                               HeadMoved,
                               NotRun,
                               NoAnswer>;

/// The change is written; it takes effect everywhere.
struct Accepted {
  Revision revision = 0;
};

/// Another change of the same path came first.
struct Conflict {
  Revision lost_to = 0;
};

struct Invalid {
  std::vector<Mistake> mistakes;
};

/// The change was not written: the store did not accept it before the deadline.
struct NotWritten {};

/// The change may have been written. Submitting it again with the same id
/// resolves this and never writes it twice.
struct Unknown {};

using Outcome = std::variant<Accepted, Conflict, Invalid, NotWritten, Unknown>;

struct EditResult {
  ChangeId change_id;
  Outcome outcome;
};

/// Takes changes through the `settings_revision` chart.
class Editor {
 public:
  struct Options {
    core::Duration deadline = std::chrono::seconds(10);
    core::Duration min_backoff = std::chrono::milliseconds(20);
    core::Duration max_backoff = std::chrono::milliseconds(200);
    /// Changes under way at once; each holds a copy of the settings.
    std::size_t max_changes = 16;
  };

  /// @param chart `settings_revision`; must outlive the editor.
  /// @param seed of the jitter between attempts.
  /// @returns nothing if the chart does not fit; see @p problems.
  static std::optional<Editor> Create(const chart::Chart& chart,
                                      Schema schema,
                                      const Options& options,
                                      std::uint64_t seed,
                                      std::vector<chart::Problem>& problems);

  /// Starts a change.
  /// @param tree the settings as this process knows them; may be behind.
  /// @returns false if a change with this id or too many changes are under
  /// way; the change was then not run.
  bool Submit(core::TimePoint now, const Change& change, const Tree& tree);

  /// An event of an earlier command of a finished change is dropped.
  void Handle(core::TimePoint now, const EditEvent& event);

  /// Runs the timers that are due.
  void Advance(core::TimePoint now);

  std::optional<core::TimePoint> next_due() const;

  /// @returns the chart state of a change under way, for logs and tests.
  std::optional<std::string_view> StateOf(std::string_view id) const {
    const auto found = instances_.find(ChangeId(id));
    return found == instances_.end()
               ? std::nullopt
               : std::optional(
                     interpreter_.chart().StateName(found->second.state));
  }

  std::vector<EditCommand> TakeCommands() {
    return std::exchange(commands_, {});
  }
  std::vector<EditResult> TakeResults() { return std::exchange(results_, {}); }

 private:
  /// One change under way; the context of the chart.
  struct Edit {
    Change change;
    Tree tree;
    core::TimePoint now;
    core::TimePoint deadline;
    core::Duration backoff{};
    bool unanswered_write = false;
    bool resolved = false;  ///< The change id was read back since then.
    std::optional<Revision> found;
    Revision scanned = 0;  ///< The log was searched for the id up to here.
    std::vector<Mistake> mistakes;
    std::optional<EditCommand> command;
    std::optional<Outcome> outcome;
    std::map<chart::EventId, core::TimePoint> timers;

    void StartTimer(chart::EventId event, core::Duration duration) {
      timers[event] = now + duration;
    }
    void CancelTimer(chart::EventId event) { timers.erase(event); }
  };
  struct Instance {
    chart::StateId state;
    Edit edit;
    EditSerial expected = 0;  ///< Serial of the command without an event.
  };

  Editor(chart::Interpreter<Edit> interpreter,
         Schema schema,
         const Options& options,
         std::uint64_t seed);

  static chart::Bindings<Edit> MakeBindings();
  std::string_view Learn(Edit& edit, const EditEvent& event) const;
  void Dispatch(core::TimePoint now, Instance& instance, chart::EventId event);
  void Collect(Instance& instance);
  void EraseFinished();

  chart::Interpreter<Edit> interpreter_;
  Schema schema_;
  Options options_;
  core::Random random_;
  EditSerial last_serial_ = 0;
  std::map<ChangeId, Instance> instances_;
  std::vector<EditCommand> commands_;
  std::vector<EditResult> results_;
};

}  // namespace hickoryusher::settings

#endif  // SETTINGS_EDITOR_H_
