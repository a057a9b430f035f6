#ifndef MATRIX_INJECTOR_H_
#define MATRIX_INJECTOR_H_

#include <algorithm>
#include <vector>

#include "core/time.h"
#include "steps.h"

namespace hickoryusher::matrix {

/// Active fault steps of one cell, and whether each had an effect. A step
/// without an effect leaves its cell open.
class Injector {
 public:
  /// Starts @p step. Steps without a window count as effective only when the
  /// rig says so.
  void Begin(const Step& step, core::TimePoint now) {
    steps_.push_back({.step = step, .until = now + Lasts(step)});
  }

  void MarkLastEffective() { steps_.back().effective = true; }

  /// @returns the active step of type @p T and marks it as effective, or null.
  template <typename T>
  const T* Active(core::TimePoint now) {
    for (Entry& entry : steps_) {
      const T* typed = std::get_if<T>(&entry.step);
      if (typed != nullptr && now < entry.until) {
        entry.effective = true;
        return typed;
      }
    }
    return nullptr;
  }

  /// @returns true if a message in this direction is lost.
  bool IsCut(bool in, core::TimePoint now) {
    for (Entry& entry : steps_) {
      const Cut* cut = std::get_if<Cut>(&entry.step);
      if (cut != nullptr && now < entry.until && (in ? cut->in : cut->out)) {
        entry.effective = true;
        return true;
      }
    }
    return false;
  }

  /// @returns true if this answer is lost; counts it.
  bool TakeDroppedAnswer() {
    for (Entry& entry : steps_) {
      DropAnswers* drop = std::get_if<DropAnswers>(&entry.step);
      if (drop != nullptr && drop->count > 0) {
        --drop->count;
        entry.effective = true;
        return true;
      }
    }
    return false;
  }

  /// @returns the end of the pause that is active at @p now, or @p now.
  core::TimePoint PausedUntil(core::TimePoint now) {
    core::TimePoint until = now;
    for (Entry& entry : steps_) {
      if (std::holds_alternative<Pause>(entry.step) && now < entry.until) {
        entry.effective = true;
        until = std::max(until, entry.until);
      }
    }
    return until;
  }

  /// @returns when the last window ends.
  core::TimePoint End() const {
    core::TimePoint end{};
    for (const Entry& entry : steps_) {
      end = std::max(end, entry.until);
    }
    return end;
  }

  bool AllEffective() const {
    return !steps_.empty() && std::ranges::all_of(steps_, &Entry::effective);
  }

 private:
  struct Entry {
    Step step;
    core::TimePoint until;
    bool effective = false;
  };

  static core::Duration Lasts(const Step& step) {
    return std::visit(
        [](const auto& typed) {
          if constexpr (requires { typed.lasts; }) {
            return typed.lasts;
          } else {
            return core::Duration::zero();
          }
        },
        step);
  }

  std::vector<Entry> steps_;
};

}  // namespace hickoryusher::matrix

#endif  // MATRIX_INJECTOR_H_
