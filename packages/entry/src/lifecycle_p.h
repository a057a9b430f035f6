#ifndef ENTRY_SRC_LIFECYCLE_P_H_
#define ENTRY_SRC_LIFECYCLE_P_H_

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "chart/chart.h"
#include "chart/interpreter.h"
#include "core/time.h"

namespace hickoryusher::entry {

/// What the lifecycle does to the rest of the process.
struct LifecycleActions {
  std::function<void(bool passing)> set_health;
  std::function<void()> refuse_new_requests;
};

/// Runs the chart `entry_lifecycle`. Used by one thread.
class Lifecycle {
 public:
  /// @param chart must outlive the lifecycle.
  /// @returns nothing if the chart uses a name that has no function.
  static std::optional<Lifecycle> Create(const chart::Chart& chart,
                                         LifecycleActions actions,
                                         core::Duration longest_deadline,
                                         std::vector<chart::Problem>& problems);

  /// Dispatches the event named @p event of the chart.
  void Dispatch(std::string_view event);

  std::string_view state() const;

  /// @returns how long the state may last before `drain_expired`, if limited.
  std::optional<core::Duration> limit() const { return context_.limit; }

 private:
  struct Context {
    LifecycleActions actions;
    core::Duration longest_deadline;
    std::optional<core::Duration> limit;

    void StartTimer(chart::EventId, core::Duration duration) {
      limit = duration;
    }
    void CancelTimer(chart::EventId) { limit.reset(); }
  };

  Lifecycle(chart::Interpreter<Context> interpreter, Context context);

  static chart::Bindings<Context> MakeBindings();

  chart::Interpreter<Context> interpreter_;
  Context context_;
  chart::StateId state_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_LIFECYCLE_P_H_
