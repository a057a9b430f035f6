#ifndef MATRIX_STEPS_H_
#define MATRIX_STEPS_H_

#include <cstddef>
#include <variant>

#include "core/time.h"

namespace hickoryusher::matrix {

// Steps that a fault is made of. A step with `lasts` starts a window and lets
// the next step begin at once, so that faults overlap.

/// The process under test ends; a new run of it starts at once.
struct Kill {};
/// The process handles nothing; its clock goes on.
struct Pause {
  core::Duration lasts{};
};
/// Messages to (in) or from (out) the process are lost.
struct Cut {
  bool in = false;
  bool out = false;
  core::Duration lasts{};
};
/// The next answers to the process are lost after their effect.
struct DropAnswers {
  std::size_t count = 1;
};
/// Messages to the process arrive late.
struct Delay {
  core::Duration by{};
  core::Duration lasts{};
};
/// Every message to the process arrives a second time, later.
struct Duplicate {
  core::Duration by{};
  core::Duration lasts{};
};
/// Every second message to the process arrives late.
struct Reorder {
  core::Duration by{};
  core::Duration lasts{};
};
/// The last event of the process arrives again.
struct RepeatLast {};
/// Every earlier event of the process arrives again, oldest first.
struct RepeatEarlier {};
/// The store refuses every command; nothing takes effect.
struct RefuseStore {
  core::Duration lasts{};
};
/// The store answers late.
struct SlowStore {
  core::Duration by{};
  core::Duration lasts{};
};
/// The clock of the process runs fast (or slow when negative).
struct ClockRate {
  int percent = 0;
  core::Duration lasts{};
};
/// Commands of the process to its other threads are refused.
struct FillRings {
  core::Duration lasts{};
};
/// The VM that the component works with is reported as leaving.
struct VmLeaving {};
/// Another operator changes the same setting.
struct OperatorChange {};
/// Graceful shutdown of the process begins.
struct Terminate {};
/// Time passes.
struct Advance {
  core::Duration by{};
};

using Step = std::variant<Kill,
                          Pause,
                          Cut,
                          DropAnswers,
                          Delay,
                          Duplicate,
                          Reorder,
                          RepeatLast,
                          RepeatEarlier,
                          RefuseStore,
                          SlowStore,
                          ClockRate,
                          FillRings,
                          VmLeaving,
                          OperatorChange,
                          Terminate,
                          Advance>;

}  // namespace hickoryusher::matrix

#endif  // MATRIX_STEPS_H_
