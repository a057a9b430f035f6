#ifndef SETTINGS_RUN_H_
#define SETTINGS_RUN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chart/chart.h"
#include "settings/editor.h"
#include "settings/follower.h"
#include "settings_store/settings_store.h"
#include "store_fake/fake_platform.h"

namespace hickoryusher::settings {

/// Fault put between the decisions and the platform, which the checker must
/// find.
enum class Defect {
  kNone,
  kUnconditionalWrite,  ///< Writes lose their conditions.
  kFalseAccept,         ///< A write that was not run is reported as written.
  kForgottenId,  ///< The change id is neither required new nor found again.
  kResentWrite,  ///< A write without an answer is written again as a new one.
  kHeadBack,     ///< A process takes over what the store answers.
  kEarlyReady,   ///< A new process serves after its first answer.
};

/// What a process showed at one moment.
struct Observation {
  std::size_t process = 0;
  int incarnation = 0;
  Revision required = 0;  ///< Head that a new process must have reached.
  Tree tree;
};

struct Submission {
  Change change;
  std::optional<Outcome> outcome;  ///< The last one; nothing if none came.
};

struct History {
  std::map<ChangeId, Submission> submissions;
  std::vector<Observation> observations;
  std::vector<Entry> log;               ///< As the store holds it at the end.
  std::vector<Revision> heads;          ///< Of the processes at the end.
  std::map<std::size_t, int> outcomes;  ///< How often each kind was reported.
};

/// Several processes, their operators and one platform, from one seed.
class SettingsRun {
 public:
  SettingsRun(const chart::Chart& chart, std::uint64_t seed, Defect defect);

  History Play();

 private:
  struct Process {
    int incarnation = 0;
    std::optional<Editor> editor;
    std::optional<Follower> follower;
    std::optional<settings_store::SettingsStore> store;
    Revision required = 0;
    bool partitioned = false;
    Revision shown = 0;
    bool heard = false;
  };
  struct PeerMessage {
    std::size_t to = 0;
    int incarnation = 0;
    FollowEvent event;
  };

  void Start(std::size_t index);
  void Step();
  void ChangeFaults();
  void Operate();
  void Submit(std::size_t index, const Change& change);
  void Pump(std::size_t index);
  void AskPeer(std::size_t from, const settings::AskPeer& command);
  void Follow(std::size_t index, const FollowEvent& event);
  void Observe(std::size_t index);
  store::Command Distort(store::Command command);
  store::Event Distort(store::Event event);
  EditEvent Distort(EditEvent event) const;
  void WriteAgain(store::Transact write);
  std::vector<Entry> ReadLog();
  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }

  const chart::Chart& chart_;
  Defect defect_;
  core::Random random_;
  core::TimePoint now_{};
  store::FakePlatform platform_;
  std::vector<Process> processes_;
  std::multimap<core::TimePoint, PeerMessage> messages_;
  std::map<store::CommandId, store::Transact> writes_;
  std::uint64_t next_first_id_ = 0;
  int next_change_ = 0;
  History history_;
};

/// @returns every guarantee that @p history breaks.
std::vector<std::string> CheckHistory(const History& history);

}  // namespace hickoryusher::settings

#endif  // SETTINGS_RUN_H_
