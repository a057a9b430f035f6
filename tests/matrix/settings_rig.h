#ifndef MATRIX_SETTINGS_RIG_H_
#define MATRIX_SETTINGS_RIG_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "chart/chart.h"
#include "history.h"
#include "injector.h"
#include "settings/editor.h"
#include "settings/follower.h"
#include "skewed_clock.h"

namespace hickoryusher::matrix {

/// One change through the real Editor of process 0, the real Followers of two
/// processes, and a fake of the store's log. Setups: a valid change, one that
/// lost to another, and one that is invalid.
class SettingsRig {
 public:
  static constexpr std::size_t kSetups = 3;

  SettingsRig(const chart::Chart& chart, std::size_t setup);

  bool Perform(std::string_view event);
  std::string_view State() const;
  void Inject(const Step& step);
  bool Finish();

  const Injector& injector() const { return injector_; }
  const History& history() const { return history_; }

 private:
  static constexpr std::size_t kProcesses = 2;

  using ToProcess = std::variant<settings::EditEvent, settings::FollowEvent>;
  using ToStore = std::variant<settings::EditCommand, settings::FollowCommand>;

  struct Message {
    core::TimePoint due;
    std::uint64_t sequence = 0;
    std::size_t process = 0;
    std::uint64_t run = 0;
    std::variant<ToProcess, ToStore> payload;
  };

  struct ProcessState {
    std::uint64_t run = 0;
    std::optional<settings::Editor> editor;
    std::optional<settings::Follower> follower;
    SkewedClock clock;
    settings::Revision shown = 0;
  };

  void Start(std::size_t index);
  void Submit(bool again);
  void StepOnce();
  void Pump(std::size_t index);
  void Post(Message message, core::Duration after);
  void Send(std::size_t from, ToStore command);
  void Answer(const Message& command);
  void Deliver(std::size_t index, const ToProcess& event);
  ToProcess Execute(const ToStore& command);
  /// @returns the event of a command that was lost or was not run.
  static ToProcess Failure(const ToStore& command, bool not_run);
  settings::EditEvent Run(const settings::EditCommand& command);
  settings::Delta LogAfter(settings::Revision revision) const;
  void Append(const settings::Change& change);
  void OtherOperator(std::string_view path);
  void RunFor(core::Duration time);
  core::TimePoint Clock(std::size_t index) const {
    return processes_.at(index).clock.At(now_);
  }
  void Note(Record record) { history_.push_back({now_, std::move(record)}); }

  const chart::Chart* chart_;
  settings::Change change_;
  std::array<ProcessState, kProcesses> processes_;
  core::TimePoint now_{std::chrono::seconds(100)};
  core::TimePoint next_tick_ = now_;
  std::vector<settings::Entry> log_;
  std::vector<Message> queue_;
  std::vector<Message> held_;
  bool hold_ = false;
  bool refuse_ = false;
  bool drop_ = false;
  std::string final_state_;
  std::vector<ToProcess> given_;
  std::optional<core::TimePoint> skew_ends_;
  std::uint64_t next_sequence_ = 0;
  std::size_t inbound_count_ = 0;
  int next_other_ = 0;
  Injector injector_;
  History history_;
};

}  // namespace hickoryusher::matrix

#endif  // MATRIX_SETTINGS_RIG_H_
