#include "settings_run.h"

#include <algorithm>

#include "core/overloaded.h"

namespace hickoryusher::settings {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kProcesses = 5;
constexpr core::Duration kStep = milliseconds(10);
constexpr core::Duration kFaultTime = std::chrono::seconds(60);
constexpr core::Duration kQuietTime = std::chrono::seconds(25);
constexpr core::Duration kPeerTimeout = milliseconds(300);

}  // namespace

SettingsRun::SettingsRun(const chart::Chart& chart,
                         std::uint64_t seed,
                         Defect defect)
    : chart_(chart), defect_(defect), random_(seed), processes_(kProcesses) {}

History SettingsRun::Play() {
  for (std::size_t i = 0; i < kProcesses; ++i) {
    Start(i);
  }
  for (; now_.time_since_epoch() < kFaultTime + kQuietTime; now_ += kStep) {
    Step();
  }
  history_.log = ReadLog();
  for (const Process& process : processes_) {
    history_.heads.push_back(process.follower->tree().head());
  }
  return std::move(history_);
}

void SettingsRun::Start(std::size_t index) {
  Process& process = processes_[index];
  std::vector<chart::Problem> problems;
  ++process.incarnation;
  process.editor =
      Editor::Create(chart_, KnownSettings(), {}, random_(), problems);
  process.follower.emplace(Follower::Options{.peers = kProcesses});
  process.store.emplace(store::CommandId(next_first_id_));
  next_first_id_ += 1'000'000;
  process.shown = 0;
  process.heard = false;
  process.required = 0;
  for (const Process& peer : processes_) {
    if (&peer != &process && !process.partitioned && !peer.partitioned &&
        peer.follower && peer.follower->ready()) {
      process.required =
          std::max(process.required, peer.follower->tree().head());
    }
  }
}

void SettingsRun::Step() {
  const bool faults = now_.time_since_epoch() < kFaultTime;
  if (faults && Draw(100) == 0) {
    ChangeFaults();
  } else if (!faults && now_.time_since_epoch() < kFaultTime + kStep) {
    platform_.Switch({});
    std::ranges::for_each(processes_,
                          [](Process& p) { p.partitioned = false; });
  }
  if (faults && Draw(300) == 0) {
    Start(Draw(kProcesses));
  }
  if (faults && Draw(8) == 0) {
    Operate();
  }
  for (store::Event& answered : platform_.Advance(now_)) {
    const store::Event event = Distort(std::move(answered));
    std::ranges::for_each(processes_,
                          [&](Process& p) { p.store->Handle(event); });
  }
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    const PeerMessage message = messages_.extract(messages_.begin()).mapped();
    if (processes_[message.to].incarnation == message.incarnation) {
      Follow(message.to, message.event);
    }
  }
  for (std::size_t i = 0; i < kProcesses; ++i) {
    Pump(i);
  }
}

void SettingsRun::ChangeFaults() {
  platform_.Switch({.outage = Draw(5) == 0,
                    .delay = milliseconds(Draw(4) == 0 ? Draw(5000) : Draw(30)),
                    .lost_answers = static_cast<int>(Draw(4)),
                    .stale_reads = Draw(4) == 0,
                    .writes_per_second = Draw(6) == 0 ? 2U : 0});
  for (Process& process : processes_) {
    process.partitioned = Draw(5) == 0;
    process.required = 0;
  }
}

void SettingsRun::Operate() {
  const std::size_t index = Draw(kProcesses);
  const auto unknown =
      std::ranges::find_if(history_.submissions, [](const auto& submission) {
        return submission.second.outcome &&
               std::holds_alternative<Unknown>(*submission.second.outcome);
      });
  if (unknown != history_.submissions.end() && Draw(2) == 0) {
    Change again = unknown->second.change;
    again.resubmitted = true;
    Submit(index, again);
    return;
  }
  Change change{.id = "change-" + std::to_string(++next_change_)};
  if (Draw(8) == 0 || next_change_ == 1) {
    change.path = "/capacity/cpu_millis";
    change.value = static_cast<std::int64_t>(100 + Draw(100));
  } else {
    change.path = "/teams/t" + std::to_string(Draw(3)) + "/quota/cpu_millis";
    if (Draw(5) != 0) {
      change.value = static_cast<std::int64_t>(Draw(80));
    }
  }
  change.base = processes_[index].follower->tree().PathRevision(change.path);
  Submit(index, change);
}

void SettingsRun::Submit(std::size_t index, const Change& change) {
  Process& process = processes_[index];
  if (process.follower->ready() &&
      process.editor->Submit(now_, change, process.follower->tree())) {
    history_.submissions[change.id] = {.change = change};
  }
}

void SettingsRun::Pump(std::size_t index) {
  Process& process = processes_[index];
  for (EditEvent& event : process.store->TakeEditEvents()) {
    process.editor->Handle(now_, Distort(std::move(event)));
  }
  for (const FollowEvent& event : process.store->TakeFollowEvents()) {
    Follow(index, event);
  }
  process.editor->Advance(now_);
  process.follower->Advance(now_);
  for (const EditResult& result : process.editor->TakeResults()) {
    history_.submissions[result.change_id].outcome = result.outcome;
    ++history_.outcomes[result.outcome.index()];
  }
  for (const EditCommand& command : process.editor->TakeCommands()) {
    process.store->Send(command);
  }
  for (const FollowCommand& command : process.follower->TakeCommands()) {
    if (const auto* ask = std::get_if<settings::AskPeer>(&command)) {
      AskPeer(index, *ask);
    } else {
      process.store->Send(command);
    }
  }
  for (store::Command& command : process.store->TakeCommands()) {
    platform_.Send(now_, Distort(std::move(command)));
  }
  Observe(index);
}

void SettingsRun::AskPeer(std::size_t from, const settings::AskPeer& command) {
  const Process& process = processes_[from];
  const Process& peer = processes_[command.peer];
  PeerMessage message{.to = from,
                      .incarnation = process.incarnation,
                      .event = PeerFailed{command.peer}};
  core::TimePoint when = now_ + kPeerTimeout;
  if (from != command.peer && !process.partitioned && !peer.partitioned) {
    message.event =
        PeerAnswered{.peer = command.peer,
                     .ready = peer.follower->ready(),
                     .delta = peer.follower->tree().Since(command.after)};
    when = now_ + milliseconds(Draw(250));
  }
  messages_.emplace(when, std::move(message));
}

void SettingsRun::Follow(std::size_t index, const FollowEvent& event) {
  Process& process = processes_[index];
  const auto* answer = std::get_if<StoreAnswered>(&event);
  if (defect_ == Defect::kHeadBack && answer != nullptr &&
      answer->delta.after > 0 && answer->delta.entries.empty()) {
    // Trusts a store that shows nothing new, although it may be stale.
    process.follower.emplace(Follower::Options{.peers = kProcesses});
    Delta delta = answer->delta;
    delta.head = delta.after - 1;
    delta.after = 0;
    process.follower->Handle(now_, StoreAnswered{delta});
  } else {
    process.follower->Handle(now_, event);
  }
  process.heard =
      process.heard || !(std::holds_alternative<PeerFailed>(event) ||
                         std::holds_alternative<StoreFailed>(event));
}

void SettingsRun::Observe(std::size_t index) {
  Process& process = processes_[index];
  const Tree& tree = process.follower->tree();
  const bool serves = process.follower->ready() ||
                      (process.heard && (defect_ == Defect::kEarlyReady ||
                                         defect_ == Defect::kHeadBack));
  if (serves && (process.shown == 0 || tree.head() != process.shown)) {
    process.shown = tree.head();
    history_.observations.push_back({.process = index,
                                     .incarnation = process.incarnation,
                                     .required = process.required,
                                     .tree = tree});
  }
}

store::Command SettingsRun::Distort(store::Command command) {
  if (auto* write = std::get_if<store::Transact>(&command)) {
    writes_[write->id] = *write;
    if (defect_ == Defect::kUnconditionalWrite) {
      write->conditions.clear();
    } else if (defect_ == Defect::kForgottenId) {
      write->conditions.pop_back();
    }
  }
  return command;
}

store::Event SettingsRun::Distort(store::Event event) {
  const store::CommandId id = store::IdOf(event);
  if (defect_ == Defect::kFalseAccept && writes_.contains(id) &&
      std::holds_alternative<store::Unavailable>(event)) {
    return store::Committed{.id = id};
  }
  if (defect_ == Defect::kResentWrite && writes_.contains(id) &&
      std::holds_alternative<store::TimedOut>(event)) {
    WriteAgain(writes_[id]);
  }
  return event;
}

EditEvent SettingsRun::Distort(EditEvent event) const {
  if (defect_ == Defect::kForgottenId) {
    if (auto* outcome = std::get_if<OutcomeRead>(&event)) {
      outcome->revision.reset();
    } else if (auto* changes = std::get_if<ChangesRead>(&event)) {
      std::ranges::for_each(changes->delta.entries,
                            [](Entry& entry) { entry.change_id.clear(); });
    }
  }
  return event;
}

void SettingsRun::WriteAgain(store::Transact write) {
  constexpr std::size_t kDigits = 20;
  const auto key_of = [&write](Revision revision) {
    std::string digits = std::to_string(revision);
    digits.insert(0, kDigits - digits.size(), '0');
    std::string key = write.puts[0].key;
    return key.replace(key.size() - kDigits, kDigits, digits);
  };
  Revision next = 1;
  while (platform_.Find(key_of(next))) {
    ++next;
  }
  const std::string member = R"("revision":)";
  for (store::Row& row : write.puts) {
    const std::size_t begin = row.value.find(member) + member.size();
    const std::size_t end = row.value.find_first_of(",}", begin);
    row.value.replace(begin, end - begin, std::to_string(next));
  }
  write.puts[0].key = key_of(next);
  write.conditions.clear();
  platform_.Send(now_, std::move(write));
}

std::vector<Entry> SettingsRun::ReadLog() {
  settings_store::SettingsStore reader{store::CommandId(next_first_id_)};
  reader.Send(EditCommand(ReadChanges{}));
  for (store::Command& command : reader.TakeCommands()) {
    platform_.Send(now_, std::move(command));
  }
  for (const store::Event& event : platform_.Advance(now_)) {
    reader.Handle(event);
  }
  return std::get<ChangesRead>(reader.TakeEditEvents().at(0)).delta.entries;
}

}  // namespace hickoryusher::settings
