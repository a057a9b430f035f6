#include "settings_rig.h"

#include <algorithm>
#include <chrono>

#include "core/overloaded.h"
#include "settings/schema.h"

namespace hickoryusher::matrix {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kTick = milliseconds(10);
constexpr core::Duration kHop = milliseconds(1);
constexpr core::Duration kStoreTimeout = seconds(2);
constexpr std::string_view kPath = "/teams/t0/quota/cpu_millis";
constexpr std::string_view kOtherPath = "/teams/t1/quota/cpu_millis";
constexpr std::string_view kCapacityPath = "/capacity/cpu_millis";

constexpr std::size_t kLostSetup = 1;
constexpr std::size_t kInvalidSetup = 2;

}  // namespace

SettingsRig::SettingsRig(const chart::Chart& chart, std::size_t setup)
    : chart_(&chart),
      change_{.id = "change",
              .path = std::string(kPath),
              .value = std::int64_t{setup == kInvalidSetup ? 5000 : 50}} {
  Append({.id = "capacity",
          .path = std::string(kCapacityPath),
          .value = std::int64_t{1000}});
  Start(0);
  Start(1);
  RunFor(seconds(3));
  if (setup == kLostSetup) {
    OtherOperator(kPath);
  }
  Submit(false);
}

void SettingsRig::Start(std::size_t index) {
  ProcessState& process = processes_.at(index);
  std::vector<chart::Problem> problems;
  ++process.run;
  process.shown = 0;
  process.editor = settings::Editor::Create(*chart_, settings::KnownSettings(),
                                            {}, process.run, problems);
  process.follower.emplace(settings::Follower::Options{.peers = kProcesses});
}

void SettingsRig::Submit(bool again) {
  ProcessState& process = processes_[0];
  change_.resubmitted = again;
  final_state_.clear();
  process.editor->Submit(Clock(0), change_, process.follower->tree());
  Pump(0);
}

std::string_view SettingsRig::State() const {
  return final_state_.empty()
             ? processes_[0].editor->StateOf(change_.id).value_or("none")
             : final_state_;
}

void SettingsRig::Append(const settings::Change& change) {
  log_.push_back({.path = change.path,
                  .value = change.value,
                  .revision = log_.size() + 1,
                  .change_id = change.id});
  Note(SettingWritten{change.id, log_.size()});
}

void SettingsRig::OtherOperator(std::string_view path) {
  Append({.id = "other" + std::to_string(++next_other_),
          .path = std::string(path),
          .value = std::int64_t{10 + next_other_}});
}

void SettingsRig::Post(Message message, core::Duration after) {
  message.due = now_ + after;
  message.sequence = next_sequence_++;
  queue_.push_back(std::move(message));
}

SettingsRig::ToProcess SettingsRig::Failure(const ToStore& command,
                                            bool not_run) {
  if (const auto* edit = std::get_if<settings::EditCommand>(&command)) {
    const auto serial =
        std::visit([](const auto& c) { return c.serial; }, *edit);
    return not_run ? settings::EditEvent(settings::NotRun{serial})
                   : settings::EditEvent(settings::NoAnswer{serial});
  }
  const auto& follow = std::get<settings::FollowCommand>(command);
  if (const auto* peer = std::get_if<settings::AskPeer>(&follow)) {
    return settings::FollowEvent(settings::PeerFailed{peer->peer});
  }
  return settings::FollowEvent(settings::StoreFailed{});
}

void SettingsRig::Send(std::size_t from, ToStore command) {
  Message message{.process = from, .run = processes_.at(from).run};
  const auto* follow = std::get_if<settings::FollowCommand>(&command);
  const bool to_peer =
      follow != nullptr && std::holds_alternative<settings::AskPeer>(*follow);
  const bool is_edit = follow == nullptr;
  const bool refused =
      !to_peer &&
      ((is_edit && refuse_) || injector_.Active<RefuseStore>(now_) != nullptr);
  if (refused || (from == 0 && injector_.Active<FillRings>(now_) != nullptr)) {
    message.payload = Failure(command, true);
    Post(std::move(message), kHop);
    return;
  }
  if (from == 0 && injector_.IsCut(false, now_)) {
    message.payload = Failure(command, false);
    Post(std::move(message), kStoreTimeout);
    return;
  }
  message.payload = std::move(command);
  if (is_edit && hold_) {
    held_.push_back(std::move(message));
    return;
  }
  Post(std::move(message), kHop);
}

void SettingsRig::Answer(const Message& command) {
  const ToStore& asked = std::get<ToStore>(command.payload);
  const std::size_t to = command.process;
  Message answer{.process = to, .run = command.run, .payload = Execute(asked)};
  core::Duration after = kHop;
  if (to == 0) {
    const bool is_edit = std::holds_alternative<settings::EditCommand>(asked);
    if (injector_.IsCut(true, now_) || (is_edit && drop_) ||
        injector_.TakeDroppedAnswer()) {
      answer.payload = Failure(asked, false);
      Post(std::move(answer), kStoreTimeout);
      return;
    }
    if (const SlowStore* slow = injector_.Active<SlowStore>(now_)) {
      after += slow->by;
    }
    if (const Delay* delay = injector_.Active<Delay>(now_)) {
      after += delay->by;
    }
    if (const Reorder* reorder = injector_.Active<Reorder>(now_);
        reorder != nullptr && inbound_count_++ % 2 == 0) {
      after += reorder->by;
    }
    if (const Duplicate* twice = injector_.Active<Duplicate>(now_)) {
      Post(answer, after + twice->by);
    }
  }
  Post(std::move(answer), after);
}

settings::Delta SettingsRig::LogAfter(settings::Revision revision) const {
  const std::size_t skip = std::min<std::size_t>(revision, log_.size());
  return settings::MakeDelta(
      revision, {log_.begin() + static_cast<std::ptrdiff_t>(skip), log_.end()},
      false);
}

settings::EditEvent SettingsRig::Run(const settings::EditCommand& command) {
  const auto find = [this](const settings::ChangeId& id) {
    return std::ranges::find(log_, id, &settings::Entry::change_id);
  };
  return std::visit(
      core::Overloaded{
          [&](const settings::ReadOutcome& c) -> settings::EditEvent {
            const auto found = find(c.change_id);
            return settings::OutcomeRead{
                c.serial, found == log_.end() ? std::nullopt
                                              : std::optional(found->revision)};
          },
          [&](const settings::ReadChanges& c) -> settings::EditEvent {
            return settings::ChangesRead{c.serial, LogAfter(c.after)};
          },
          [&](const settings::WriteChange& c) -> settings::EditEvent {
            if (c.revision != log_.size() + 1 ||
                find(c.change.id) != log_.end()) {
              return settings::HeadMoved{c.serial};
            }
            Append(c.change);
            return settings::ChangeWritten{c.serial};
          }},
      command);
}

SettingsRig::ToProcess SettingsRig::Execute(const ToStore& command) {
  if (const auto* edit = std::get_if<settings::EditCommand>(&command)) {
    return Run(*edit);
  }
  return std::visit(
      core::Overloaded{
          [&](const settings::AskSnapshot&) -> settings::FollowEvent {
            return settings::StoreAnswered{LogAfter(0)};
          },
          [&](const settings::AskStore& c) -> settings::FollowEvent {
            return settings::StoreAnswered{LogAfter(c.after)};
          },
          [&](const settings::AskPeer& c) -> settings::FollowEvent {
            const settings::Follower& peer = *processes_.at(c.peer).follower;
            return settings::PeerAnswered{.peer = c.peer,
                                          .ready = peer.ready(),
                                          .delta = peer.tree().Since(c.after)};
          }},
      std::get<settings::FollowCommand>(command));
}

void SettingsRig::Deliver(std::size_t index, const ToProcess& event) {
  ProcessState& process = processes_.at(index);
  if (index == 0) {
    given_.push_back(event);
  }
  std::visit(core::Overloaded{[&](const settings::EditEvent& e) {
                                process.editor->Handle(Clock(index), e);
                              },
                              [&](const settings::FollowEvent& e) {
                                process.follower->Handle(Clock(index), e);
                              }},
             event);
  Pump(index);
}

void SettingsRig::Pump(std::size_t index) {
  ProcessState& process = processes_.at(index);
  process.editor->Advance(Clock(index));
  process.follower->Advance(Clock(index));
  for (const settings::EditResult& result : process.editor->TakeResults()) {
    const auto refused = [&](const char* state) {
      final_state_ = state;
      Note(SettingRefused{result.change_id});
    };
    std::visit(core::Overloaded{
                   [&](const settings::Accepted& a) {
                     final_state_ = "accepted";
                     Note(SettingAccepted{result.change_id, a.revision});
                   },
                   [&](const settings::Conflict&) { refused("conflicted"); },
                   [&](const settings::Invalid&) { refused("invalid"); },
                   [&](const settings::NotWritten&) { refused("not_written"); },
                   [&](const settings::Unknown&) { final_state_ = "unknown"; }},
               result.outcome);
  }
  for (settings::EditCommand& command : process.editor->TakeCommands()) {
    Send(index, std::move(command));
  }
  for (const settings::FollowCommand& command :
       process.follower->TakeCommands()) {
    Send(index, command);
  }
  const settings::Revision head = process.follower->tree().head();
  if (process.follower->ready() && head != process.shown) {
    process.shown = head;
    Note(SettingsShown{index, process.run, head});
  }
}

void SettingsRig::StepOnce() {
  if (skew_ends_.has_value() && now_ >= *skew_ends_) {
    skew_ends_.reset();
    processes_[0].clock.SetRate(0, now_);
  }
  const auto next = std::ranges::min_element(queue_, {}, [](const Message& m) {
    return std::pair(m.due, m.sequence);
  });
  if (next == queue_.end() || next->due > next_tick_) {
    now_ = next_tick_;
    next_tick_ += kTick;
    for (const std::size_t index : {0U, 1U}) {
      if (index != 0 || injector_.PausedUntil(now_) == now_) {
        Pump(index);
      }
    }
    return;
  }
  Message message = std::move(*next);
  queue_.erase(next);
  now_ = std::max(now_, message.due);
  if (std::holds_alternative<ToStore>(message.payload)) {
    Answer(message);
    return;
  }
  if (message.run != processes_.at(message.process).run) {
    return;
  }
  if (const core::TimePoint until = injector_.PausedUntil(now_);
      message.process == 0 && until > now_) {
    message.due = until;
    queue_.push_back(std::move(message));
    return;
  }
  Deliver(message.process, std::get<ToProcess>(message.payload));
}

void SettingsRig::RunFor(core::Duration time) {
  for (const core::TimePoint end = now_ + time; now_ < end;) {
    StepOnce();
  }
}

bool SettingsRig::Perform(std::string_view event) {
  const std::string before(State());
  if (event == "found" || event == "behind") {
    return false;
  }
  refuse_ = event == "not_run";
  drop_ = event == "timed_out";
  if (event == "deadline") {
    // Nothing is answered from here on.
    std::erase_if(queue_, [this](const Message& m) {
      const auto* command = std::get_if<ToStore>(&m.payload);
      const bool is_edit =
          command != nullptr &&
          std::holds_alternative<settings::EditCommand>(*command);
      if (is_edit) {
        held_.push_back(m);
      }
      return is_edit;
    });
    hold_ = true;
  } else if (event == "not_run") {
    for (Message& m : queue_) {
      if (const auto* command = std::get_if<ToStore>(&m.payload);
          command != nullptr &&
          std::holds_alternative<settings::EditCommand>(*command)) {
        m.payload = Failure(*command, true);
      }
    }
  } else if (event == "head_moved") {
    OtherOperator(kOtherPath);
  }
  for (const core::TimePoint end = now_ + seconds(15);
       now_ < end && State() == before;) {
    StepOnce();
  }
  return State() != before;
}

void SettingsRig::Inject(const Step& step) {
  injector_.Begin(step, now_);
  const auto repeat = [this](std::size_t count) {
    const std::size_t skip = given_.size() - std::min(count, given_.size());
    const std::vector<ToProcess> again(
        given_.begin() + static_cast<std::ptrdiff_t>(skip), given_.end());
    std::ranges::for_each(again, [this](const auto& e) { Deliver(0, e); });
    injector_.MarkLastEffective();
  };
  std::visit(
      core::Overloaded{[&](const Kill&) {
                         Start(0);
                         given_.clear();
                         if (final_state_.empty()) {
                           final_state_ = "cut_off";
                         }
                         injector_.MarkLastEffective();
                       },
                       [&](const RepeatLast&) { repeat(1); },
                       [&](const RepeatEarlier&) { repeat(given_.size()); },
                       [&](const ClockRate& rate) {
                         processes_[0].clock.SetRate(rate.percent, now_);
                         skew_ends_ = now_ + rate.lasts;
                         injector_.MarkLastEffective();
                       },
                       [&](const OperatorChange&) {
                         OtherOperator(kOtherPath);
                         OtherOperator(kPath);
                         injector_.MarkLastEffective();
                       },
                       [&](const Advance& advance) {
                         RunFor(advance.by);
                         injector_.MarkLastEffective();
                       },
                       [](const auto&) {}},
      step);
}

bool SettingsRig::Finish() {
  const core::Duration windows =
      std::max(core::Duration(0), injector_.End() - now_);
  RunFor(windows);
  hold_ = refuse_ = drop_ = false;
  for (Message& message : std::exchange(held_, {})) {
    Post(std::move(message), kHop);
  }
  RunFor(seconds(12));
  if (final_state_ == "cut_off" || final_state_ == "unknown") {
    // The operator sends the change again after an outcome it cannot know.
    Submit(true);
    RunFor(seconds(12));
  }
  for (std::size_t i = 0; i < kProcesses; ++i) {
    Note(SettingsAtEnd{i, processes_.at(i).follower->tree().head()});
  }
  return true;
}

}  // namespace hickoryusher::matrix
