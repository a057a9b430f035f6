#ifndef CHART_CHART_H_
#define CHART_CHART_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/handle.h"
#include "core/name_table.h"

namespace hickoryusher::chart {

using StateId = core::Handle<struct StateTag, std::uint16_t>;
using EventId = core::Handle<struct EventTag, std::uint16_t>;
using GuardId = core::Handle<struct GuardTag, std::uint16_t>;
using ActionId = core::Handle<struct ActionTag, std::uint16_t>;
using DurationId = core::Handle<struct DurationTag, std::uint16_t>;

/// One way out of a state.
struct Transition {
  EventId event;
  GuardId guard;  ///< Invalid when the transition is unconditional.
  StateId target;
  std::vector<ActionId> actions;
};

/// A timer that starts when its state is entered and stops when it is left.
struct Timer {
  DurationId duration;
  EventId event;  ///< Dispatched when the duration has passed.
};

struct State {
  std::string name;
  int line = 0;  ///< Line in the chart file.
  bool final = false;
  std::vector<ActionId> entry;
  std::vector<ActionId> exit;
  std::vector<Transition> transitions;  ///< In document order.
  std::vector<EventId> ignored;
  std::vector<Timer> timers;
};

/// A checked state chart in the terms of W3C SCXML, without nesting. Immutable.
class Chart {
 public:
  std::string_view name() const { return name_; }
  StateId initial() const { return initial_; }
  std::span<const State> states() const { return states_; }
  const State& state(StateId id) const { return states_[id.value()]; }

  /// @returns the handle of the state or event with this name, or an invalid
  /// handle.
  StateId FindState(std::string_view name) const;
  EventId FindEvent(std::string_view name) const { return events_.Find(name); }

  std::string_view StateName(StateId id) const {
    return states_[id.value()].name;
  }
  std::string_view EventName(EventId id) const { return events_.Name(id); }

  const core::NameTable<EventId>& events() const { return events_; }
  const core::NameTable<GuardId>& guards() const { return guards_; }
  const core::NameTable<ActionId>& actions() const { return actions_; }
  const core::NameTable<DurationId>& durations() const { return durations_; }

 private:
  friend class ChartBuilder;

  std::string name_;
  StateId initial_;
  std::vector<State> states_;
  core::NameTable<EventId> events_;
  core::NameTable<GuardId> guards_;
  core::NameTable<ActionId> actions_;
  core::NameTable<DurationId> durations_;
};

/// A fault in a chart.
struct Problem {
  int line = 0;  ///< Line in the chart file; 0 when there is none.
  std::string text;
};

/// Transition by names, before the chart is checked.
struct TransitionSpec {
  std::string event;
  std::string guard;  ///< Empty when unconditional.
  std::string target;
  std::vector<std::string> actions;
  int line = 0;
};

struct TimerSpec {
  std::string duration;
  std::string event;
  int line = 0;
};

/// State by names, before the chart is checked.
struct StateSpec {
  std::string name;
  int line = 0;
  bool final = false;
  std::vector<std::string> entry;
  std::vector<std::string> exit;
  std::vector<TransitionSpec> transitions;
  std::vector<std::string> ignored;
  std::vector<TimerSpec> timers;
};

/// Collects the parts of a chart and checks them together.
class ChartBuilder {
 public:
  ChartBuilder& Name(std::string_view name);
  ChartBuilder& Initial(std::string_view state, int line = 0);
  ChartBuilder& Event(std::string_view event, int line = 0);
  ChartBuilder& AddState(StateSpec state);

  /// @returns the chart, or nothing if a check failed: an unknown state or
  /// event, a duplicate name, a state that cannot be reached, or an event that
  /// a non-final state neither handles without a guard nor ignores.
  std::optional<Chart> Build();

  /// @returns every fault that the last Build found, in file order.
  std::span<const Problem> problems() const { return problems_; }

 private:
  void ResolveNames(Chart& chart);
  void ResolveState(const StateSpec& spec, Chart& chart);
  EventId ResolveEvent(std::string_view name, int line, const Chart& chart);
  void CheckReachable(const Chart& chart);
  void CheckEventsCovered(const Chart& chart);
  void AddProblem(int line, std::string text);

  std::string name_;
  std::string initial_;
  int initial_line_ = 0;
  std::vector<std::pair<std::string, int>> events_;
  std::vector<StateSpec> states_;
  std::vector<Problem> problems_;
};

}  // namespace hickoryusher::chart

#endif  // CHART_CHART_H_
