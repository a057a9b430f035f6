#ifndef CHART_INTERPRETER_H_
#define CHART_INTERPRETER_H_

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chart/chart.h"
#include "core/time.h"

namespace hickoryusher::chart {

/// What a chart's context offers when the chart has timers.
template <typename Context>
concept TimerHost = requires(Context& context,
                             EventId event,
                             core::Duration duration) {
  context.StartTimer(event, duration);
  context.CancelTimer(event);
};

/// Functions behind the guard, action and duration names of a chart.
///
/// @tparam Context the data that one instance of the chart works on.
template <typename Context>
class Bindings {
 public:
  using GuardFunction = std::function<bool(const Context&)>;
  using ActionFunction = std::function<void(Context&)>;
  using DurationFunction = std::function<core::Duration(const Context&)>;

  Bindings& Guard(std::string_view name, GuardFunction function) {
    guards_.insert_or_assign(std::string(name), std::move(function));
    return *this;
  }
  Bindings& Action(std::string_view name, ActionFunction function) {
    actions_.insert_or_assign(std::string(name), std::move(function));
    return *this;
  }
  Bindings& Duration(std::string_view name, DurationFunction function) {
    durations_.insert_or_assign(std::string(name), std::move(function));
    return *this;
  }

 private:
  template <typename C>
  friend class Interpreter;

  std::map<std::string, GuardFunction, std::less<>> guards_;
  std::map<std::string, ActionFunction, std::less<>> actions_;
  std::map<std::string, DurationFunction, std::less<>> durations_;
};

/// What became of a dispatched event.
enum class Disposition {
  kTransition,  ///< A transition was taken.
  kIgnored,     ///< The state ignores the event, or is final.
};

struct Step {
  StateId state;  ///< The state after the event.
  Disposition disposition = Disposition::kIgnored;
};

/// Runs instances of one chart. An instance is a StateId and a Context, both
/// held by the caller, so that a table of thousands stays small.
template <typename Context>
class Interpreter {
 public:
  /// Binds every name in @p chart to a function.
  /// @param chart must outlive the interpreter.
  /// @param problems receives one entry for each name without a function.
  /// @returns nothing if a name is not bound.
  static std::optional<Interpreter> Bind(const Chart& chart,
                                         const Bindings<Context>& bindings,
                                         std::vector<Problem>& problems) {
    Interpreter result(chart);
    const std::size_t before = problems.size();
    Resolve(chart.guards(), bindings.guards_, "guard", result.guards_,
            problems);
    Resolve(chart.actions(), bindings.actions_, "action", result.actions_,
            problems);
    Resolve(chart.durations(), bindings.durations_, "duration",
            result.durations_, problems);
    if (!TimerHost<Context> && chart.durations().size() > 0) {
      problems.push_back(
          {.text = "the chart has timers and its context has none"});
    }
    if (problems.size() > before) {
      return std::nullopt;
    }
    return result;
  }

  /// Enters the initial state.
  StateId Start(Context& context) const {
    Enter(chart_->initial(), context);
    return chart_->initial();
  }

  /// Runs @p event in state @p current: exit actions, transition actions, then
  /// entry actions of the first transition whose guard holds.
  Step Dispatch(StateId current, EventId event, Context& context) const {
    const State& state = chart_->state(current);
    const auto taken =
        std::ranges::find_if(state.transitions, [&](const Transition& t) {
          return t.event == event &&
                 (!t.guard.valid() || guards_[t.guard.value()](context));
        });
    if (taken == state.transitions.end()) {
      return {.state = current, .disposition = Disposition::kIgnored};
    }
    Leave(state, context);
    Run(taken->actions, context);
    Enter(taken->target, context);
    return {.state = taken->target, .disposition = Disposition::kTransition};
  }

  const Chart& chart() const { return *chart_; }

 private:
  explicit Interpreter(const Chart& chart) : chart_(&chart) {}

  template <typename Id, typename Function>
  static void Resolve(const core::NameTable<Id>& names,
                      const std::map<std::string, Function, std::less<>>& bound,
                      std::string_view kind,
                      std::vector<Function>& out,
                      std::vector<Problem>& problems) {
    for (std::size_t i = 0; i < names.size(); ++i) {
      const std::string_view name =
          names.Name(Id(static_cast<std::uint16_t>(i)));
      const auto found = bound.find(name);
      if (found == bound.end()) {
        problems.push_back({.text = std::string(kind) + " '" +
                                    std::string(name) + "' is not bound"});
        continue;
      }
      out.push_back(found->second);
    }
  }

  void Run(std::span<const ActionId> actions, Context& context) const {
    std::ranges::for_each(
        actions, [&](ActionId action) { actions_[action.value()](context); });
  }

  void Enter(StateId id, Context& context) const {
    const State& state = chart_->state(id);
    if constexpr (TimerHost<Context>) {
      for (const Timer& timer : state.timers) {
        context.StartTimer(timer.event,
                           durations_[timer.duration.value()](context));
      }
    }
    Run(state.entry, context);
  }

  void Leave(const State& state, Context& context) const {
    if constexpr (TimerHost<Context>) {
      std::ranges::for_each(state.timers, [&](const Timer& timer) {
        context.CancelTimer(timer.event);
      });
    }
    Run(state.exit, context);
  }

  const Chart* chart_;
  std::vector<typename Bindings<Context>::GuardFunction> guards_;
  std::vector<typename Bindings<Context>::ActionFunction> actions_;
  std::vector<typename Bindings<Context>::DurationFunction> durations_;
};

}  // namespace hickoryusher::chart

#endif  // CHART_INTERPRETER_H_
