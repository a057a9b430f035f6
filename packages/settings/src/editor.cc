#include "settings/editor.h"

#include <algorithm>
#include <random>

#include "core/overloaded.h"

namespace hickoryusher::settings {

Editor::Editor(chart::Interpreter<Edit> interpreter,
               Schema schema,
               const Options& options,
               std::uint64_t seed)
    : interpreter_(std::move(interpreter)),
      schema_(std::move(schema)),
      options_(options),
      random_(seed) {}

std::optional<Editor> Editor::Create(const chart::Chart& chart,
                                     Schema schema,
                                     const Options& options,
                                     std::uint64_t seed,
                                     std::vector<chart::Problem>& problems) {
  auto interpreter =
      chart::Interpreter<Edit>::Bind(chart, MakeBindings(), problems);
  if (!interpreter) {
    return std::nullopt;
  }
  return Editor(*std::move(interpreter), std::move(schema), options, seed);
}

chart::Bindings<Editor::Edit> Editor::MakeBindings() {
  chart::Bindings<Edit> b;
  b.Guard("may_be_written", [](const Edit& e) { return e.unanswered_write; })
      .Guard("must_resolve", [](const Edit& e) { return !e.resolved; })
      .Guard("found_in_log", [](const Edit& e) { return e.found.has_value(); })
      .Guard("read_is_stale",
             [](const Edit& e) { return e.scanned < e.tree.head(); })
      .Guard("lost",
             [](const Edit& e) {
               return e.tree.PathRevision(e.change.path) > e.change.base;
             })
      .Guard("base_ahead",
             [](const Edit& e) {
               return e.tree.PathRevision(e.change.path) < e.change.base;
             })
      .Guard("has_mistakes", [](const Edit& e) { return !e.mistakes.empty(); });
  b.Action("read_outcome",
           [](Edit& e) { e.command = ReadOutcome{.change_id = e.change.id}; })
      .Action("read_changes",
              [](Edit& e) { e.command = ReadChanges{.after = e.scanned}; })
      .Action("write_change",
              [](Edit& e) {
                e.command = WriteChange{.change = e.change,
                                        .revision = e.tree.head() + 1};
              })
      .Action("note_unanswered_write", [](Edit& e) {
        e.unanswered_write = true;
        e.resolved = false;
      });
  b.Action("report_accepted",
           [](Edit& e) {
             e.outcome = Accepted{e.found.value_or(e.tree.head() + 1)};
           })
      .Action("report_conflict",
              [](Edit& e) {
                e.outcome = Conflict{e.tree.PathRevision(e.change.path)};
              })
      .Action("report_mistakes",
              [](Edit& e) { e.outcome = Invalid{e.mistakes}; })
      .Action("report_unknown", [](Edit& e) { e.outcome = Unknown{}; })
      .Action("report_not_written", [](Edit& e) { e.outcome = NotWritten{}; });
  b.Duration("remaining", [](const Edit& e) {
     return e.deadline - e.now;
   }).Duration("backoff", [](const Edit& e) { return e.backoff; });
  return b;
}

bool Editor::Submit(core::TimePoint now,
                    const Change& change,
                    const Tree& tree) {
  if (instances_.contains(change.id) ||
      instances_.size() >= options_.max_changes) {
    return false;
  }
  Instance& instance = instances_[change.id];
  instance.edit = {.change = change,
                   .tree = tree,
                   .now = now,
                   .deadline = now + options_.deadline,
                   .unanswered_write = change.resubmitted};
  // An earlier write of the same change comes after its base.
  instance.edit.scanned =
      change.resubmitted ? std::min(change.base, tree.head()) : tree.head();
  instance.state = interpreter_.Start(instance.edit);
  Collect(instance);
  return true;
}

void Editor::Handle(core::TimePoint now, const EditEvent& event) {
  const EditSerial serial =
      std::visit([](const auto& e) { return e.serial; }, event);
  const auto found = std::ranges::find_if(instances_, [serial](const auto& i) {
    return i.second.expected == serial;
  });
  if (found == instances_.end()) {
    return;
  }
  Instance& instance = found->second;
  const std::string_view name = Learn(instance.edit, event);
  Dispatch(now, instance, interpreter_.chart().FindEvent(name));
  EraseFinished();
}

std::string_view Editor::Learn(Edit& edit, const EditEvent& event) const {
  return std::visit(
      core::Overloaded{
          [&](const OutcomeRead& e) -> std::string_view {
            edit.resolved = true;
            edit.found = e.revision;
            return e.revision ? "found" : "not_found";
          },
          [&](const ChangesRead& e) -> std::string_view {
            const auto own = std::ranges::find(e.delta.entries, edit.change.id,
                                               &Entry::change_id);
            if (own != e.delta.entries.end()) {
              edit.found = own->revision;
            }
            const bool moved = e.delta.head > edit.scanned;
            edit.scanned = std::max(edit.scanned, e.delta.head);
            edit.tree.Apply(e.delta);
            if (e.delta.more && moved) {
              return "behind";
            }
            edit.mistakes = schema_.Validate(edit.tree, edit.change);
            return "caught_up";
          },
          [](const ChangeWritten&) -> std::string_view { return "written"; },
          [](const HeadMoved&) -> std::string_view { return "head_moved"; },
          [](const NotRun&) -> std::string_view { return "not_run"; },
          [](const NoAnswer&) -> std::string_view { return "timed_out"; }},
      event);
}

void Editor::Dispatch(core::TimePoint now,
                      Instance& instance,
                      chart::EventId event) {
  std::uniform_int_distribution<core::Duration::rep> jitter(
      options_.min_backoff.count(), options_.max_backoff.count());
  instance.edit.now = now;
  instance.edit.backoff = core::Duration(jitter(random_));
  instance.state =
      interpreter_.Dispatch(instance.state, event, instance.edit).state;
  Collect(instance);
}

void Editor::Collect(Instance& instance) {
  Edit& edit = instance.edit;
  if (edit.command) {
    instance.expected = ++last_serial_;
    std::visit([&](auto& command) { command.serial = instance.expected; },
               *edit.command);
    commands_.push_back(*std::exchange(edit.command, std::nullopt));
  }
  if (edit.outcome) {
    results_.push_back({.change_id = edit.change.id, .outcome = *edit.outcome});
  }
}

void Editor::Advance(core::TimePoint now) {
  for (auto& [id, instance] : instances_) {
    const auto due = std::ranges::find_if(
        instance.edit.timers,
        [now](const auto& timer) { return timer.second <= now; });
    if (due != instance.edit.timers.end()) {
      Dispatch(now, instance, due->first);
    }
  }
  EraseFinished();
}

std::optional<core::TimePoint> Editor::next_due() const {
  std::optional<core::TimePoint> next;
  for (const auto& [id, instance] : instances_) {
    for (const auto& [event, when] : instance.edit.timers) {
      next = next ? std::min(*next, when) : when;
    }
  }
  return next;
}

void Editor::EraseFinished() {
  std::erase_if(instances_, [](const auto& instance) {
    return instance.second.edit.outcome.has_value();
  });
}

}  // namespace hickoryusher::settings
