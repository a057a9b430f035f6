#include "chart/chart.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickoryusher::chart {
namespace {

template <typename Id>
std::vector<Id> InternAll(std::span<const std::string> names,
                          core::NameTable<Id>& table) {
  std::vector<Id> ids;
  std::ranges::transform(
      names, std::back_inserter(ids),
      [&](const std::string& name) { return table.Intern(name); });
  return ids;
}

bool IsCovered(const State& state, EventId event) {
  return std::ranges::find(state.ignored, event) != state.ignored.end() ||
         std::ranges::any_of(state.transitions, [event](const Transition& t) {
           return t.event == event && !t.guard.valid();
         });
}

}  // namespace

StateId Chart::FindState(std::string_view name) const {
  const auto found = std::ranges::find(states_, name, &State::name);
  return found == states_.end()
             ? StateId()
             : StateId(static_cast<std::uint16_t>(found - states_.begin()));
}

ChartBuilder& ChartBuilder::Name(std::string_view name) {
  name_ = name;
  return *this;
}

ChartBuilder& ChartBuilder::Initial(std::string_view state, int line) {
  initial_ = state;
  initial_line_ = line;
  return *this;
}

ChartBuilder& ChartBuilder::Event(std::string_view event, int line) {
  events_.emplace_back(event, line);
  return *this;
}

ChartBuilder& ChartBuilder::AddState(StateSpec state) {
  states_.push_back(std::move(state));
  return *this;
}

std::optional<Chart> ChartBuilder::Build() {
  problems_.clear();
  Chart chart;
  chart.name_ = name_;
  ResolveNames(chart);
  if (problems_.empty()) {
    CheckReachable(chart);
    CheckEventsCovered(chart);
  }
  std::ranges::stable_sort(problems_, {}, &Problem::line);
  if (!problems_.empty()) {
    return std::nullopt;
  }
  return chart;
}

void ChartBuilder::ResolveNames(Chart& chart) {
  for (const auto& [event, line] : events_) {
    if (chart.events_.Find(event).valid()) {
      AddProblem(line, "event '" + event + "' is listed twice");
    }
    chart.events_.Intern(event);
  }
  for (const StateSpec& spec : states_) {
    if (chart.FindState(spec.name).valid()) {
      AddProblem(spec.line, "state '" + spec.name + "' is defined twice");
    }
    chart.states_.push_back(State{.name = spec.name, .line = spec.line});
  }
  std::ranges::for_each(
      states_, [&](const StateSpec& spec) { ResolveState(spec, chart); });
  chart.initial_ = chart.FindState(initial_);
  if (!chart.initial_.valid()) {
    AddProblem(initial_line_,
               "initial state '" + initial_ + "' is not defined");
  }
}

void ChartBuilder::ResolveState(const StateSpec& spec, Chart& chart) {
  State& state = chart.states_[chart.FindState(spec.name).value()];
  state.final = spec.final;
  state.entry = InternAll(spec.entry, chart.actions_);
  state.exit = InternAll(spec.exit, chart.actions_);
  for (const TransitionSpec& t : spec.transitions) {
    const StateId target = chart.FindState(t.target);
    if (!target.valid()) {
      AddProblem(t.line, "state '" + spec.name + "', event '" + t.event +
                             "': target '" + t.target + "' is not defined");
    }
    state.transitions.push_back(
        {.event = ResolveEvent(t.event, t.line, chart),
         .guard = t.guard.empty() ? GuardId() : chart.guards_.Intern(t.guard),
         .target = target,
         .actions = InternAll(t.actions, chart.actions_)});
  }
  for (const std::string& event : spec.ignored) {
    state.ignored.push_back(ResolveEvent(event, spec.line, chart));
  }
  for (const TimerSpec& timer : spec.timers) {
    state.timers.push_back(
        {.duration = chart.durations_.Intern(timer.duration),
         .event = ResolveEvent(timer.event, timer.line, chart)});
  }
  if (spec.final && !spec.transitions.empty()) {
    AddProblem(spec.line, "final state '" + spec.name + "' has transitions");
  }
}

EventId ChartBuilder::ResolveEvent(std::string_view name,
                                   int line,
                                   const Chart& chart) {
  const EventId event = chart.FindEvent(name);
  if (!event.valid()) {
    AddProblem(line,
               "event '" + std::string(name) + "' is not listed under events");
  }
  return event;
}

void ChartBuilder::CheckReachable(const Chart& chart) {
  std::vector<bool> reached(chart.states_.size(), false);
  std::vector<StateId> pending = {chart.initial_};
  reached[chart.initial_.value()] = true;
  while (!pending.empty()) {
    const StateId current = pending.back();
    pending.pop_back();
    for (const Transition& t : chart.state(current).transitions) {
      if (!reached[t.target.value()]) {
        reached[t.target.value()] = true;
        pending.push_back(t.target);
      }
    }
  }
  for (std::size_t i = 0; i < reached.size(); ++i) {
    if (!reached[i]) {
      const State& state = chart.states_[i];
      AddProblem(state.line, "state '" + state.name + "' cannot be reached");
    }
  }
}

void ChartBuilder::CheckEventsCovered(const Chart& chart) {
  for (const State& state : chart.states_) {
    if (state.final) {
      continue;
    }
    for (std::size_t i = 0; i < chart.events_.size(); ++i) {
      const EventId event(static_cast<std::uint16_t>(i));
      if (!IsCovered(state, event)) {
        AddProblem(state.line,
                   "state '" + state.name + "': event '" +
                       std::string(chart.EventName(event)) +
                       "' has no unconditional transition and is not "
                       "listed under ignore");
      }
    }
  }
}

void ChartBuilder::AddProblem(int line, std::string text) {
  problems_.push_back({.line = line, .text = std::move(text)});
}

}  // namespace hickoryusher::chart
