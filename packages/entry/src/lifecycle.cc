#include <utility>

#include "lifecycle_p.h"

namespace hickoryusher::entry {
namespace {

// Time for the last response to be written after the longest deadline.
constexpr core::Duration kResponseMargin = std::chrono::seconds(2);

}  // namespace

std::optional<Lifecycle> Lifecycle::Create(
    const chart::Chart& chart,
    LifecycleActions actions,
    core::Duration longest_deadline,
    std::vector<chart::Problem>& problems) {
  auto interpreter =
      chart::Interpreter<Context>::Bind(chart, MakeBindings(), problems);
  if (!interpreter) {
    return std::nullopt;
  }
  return Lifecycle(*std::move(interpreter),
                   Context{.actions = std::move(actions),
                           .longest_deadline = longest_deadline});
}

Lifecycle::Lifecycle(chart::Interpreter<Context> interpreter, Context context)
    : interpreter_(std::move(interpreter)), context_(std::move(context)) {
  state_ = interpreter_.Start(context_);
}

chart::Bindings<Lifecycle::Context> Lifecycle::MakeBindings() {
  chart::Bindings<Context> bindings;
  bindings
      .Action("pass_health_check",
              [](Context& c) { c.actions.set_health(true); })
      .Action("fail_health_check",
              [](Context& c) { c.actions.set_health(false); })
      .Action("refuse_new_requests",
              [](Context& c) { c.actions.refuse_new_requests(); })
      .Duration("longest_deadline", [](const Context& c) {
        return c.longest_deadline + kResponseMargin;
      });
  return bindings;
}

void Lifecycle::Dispatch(std::string_view event) {
  const chart::EventId id = interpreter_.chart().FindEvent(event);
  state_ = interpreter_.Dispatch(state_, id, context_).state;
}

std::string_view Lifecycle::state() const {
  return interpreter_.chart().StateName(state_);
}

}  // namespace hickoryusher::entry
