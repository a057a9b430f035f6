#ifndef ADMISSION_CONTROLLER_H_
#define ADMISSION_CONTROLLER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/work_class.h"

namespace hickoryusher::admission {

enum class Refusal : std::uint8_t {
  kQueueFull,
  kWaitTooLong,  ///< The estimated wait exceeds the remaining time.
  kDeadlinePassed,
  kShutdown,
};

/// @returns the name used in log lines.
std::string_view ToString(Refusal refusal);

// Events.

struct RequestQueued {
  core::RequestId request;
  core::WorkClass work_class = core::WorkClass::kBatch;
  core::TimePoint deadline;
};

/// The request was delivered, whether it waited, ran or was refused.
struct RequestFinished {
  core::RequestId request;
};

/// The number of slots that this entry may use has changed. Running requests
/// keep their slots when it shrinks.
struct SlotsChanged {
  std::size_t slots = 0;
};

/// The classes' floors have changed. Running requests keep their slots.
struct FloorsChanged {
  /// From 0 to 1 per class; the sum is at most 1.
  std::array<double, core::kWorkClasses.size()> floor_shares{};
};

/// Refuses what waits and what arrives; running requests go on.
struct ShutdownStarted {};

using Event = std::variant<RequestQueued,
                           RequestFinished,
                           SlotsChanged,
                           FloorsChanged,
                           ShutdownStarted>;

// Commands.

struct Admit {
  core::RequestId request;
};

struct Refuse {
  core::RequestId request;
  Refusal refusal = Refusal::kQueueFull;
  core::Duration retry_after{};
};

using Command = std::variant<Admit, Refuse>;

struct ClassSettings {
  /// Guaranteed share of the slots, from 0 to 1.
  double floor_share = 0;
  /// Waiting requests allowed for each slot of the floor.
  double queue_per_slot = 2;
  /// Expected time in a slot until the first requests have finished.
  core::Duration initial_service_time = std::chrono::milliseconds(50);
};

struct ClassCounters {
  std::uint64_t admitted = 0;
  std::uint64_t borrowed = 0;  ///< Admitted above the floor.
  std::uint64_t refused = 0;
};

/// Decides which request gets a slot of this entry, which waits and which is
/// refused. Not thread-safe.
///
/// @remarks Slots of a floor that is not in use stay free: a class above its
/// floor takes only slots that are left when every other class has its floor.
/// Slots cannot be taken back from a running request, so a lent floor would be
/// missing for one service time when its owner needs it.
class Controller {
 public:
  /// Handles one event and appends the resulting commands to @p out.
  /// @param now must not go backwards.
  void Handle(const Event& event,
              core::TimePoint now,
              std::vector<Command>& out);

  std::size_t InUse(core::WorkClass work_class) const {
    return Of(work_class).in_use;
  }
  std::size_t Waiting(core::WorkClass work_class) const {
    return Of(work_class).queue.size();
  }
  std::size_t Floor(core::WorkClass work_class) const {
    return Of(work_class).floor;
  }
  const ClassCounters& counters(core::WorkClass work_class) const {
    return Of(work_class).counters;
  }

 private:
  friend class ControllerBuilder;

  struct Waiter {
    core::TimePoint deadline;
    core::RequestId request;
  };

  struct ClassState {
    ClassSettings settings;
    std::size_t floor = 0;
    std::size_t in_use = 0;
    core::Duration service_time{};  ///< Moving average.
    std::vector<Waiter> queue;      ///< Latest deadline first.
    ClassCounters counters;
  };

  struct Known {
    core::WorkClass work_class = core::WorkClass::kBatch;
    core::TimePoint admitted;
    bool running = false;
  };

  Controller(
      std::size_t slots,
      const std::array<ClassSettings, core::kWorkClasses.size()>& classes);

  void On(const RequestQueued& event);
  void On(const RequestFinished& event);
  void On(const SlotsChanged& event);
  void On(const FloorsChanged& event);
  void On(const ShutdownStarted& event);

  ClassState& Of(core::WorkClass work_class) {
    return classes_[core::Index(work_class)];
  }
  const ClassState& Of(core::WorkClass work_class) const {
    return classes_[core::Index(work_class)];
  }

  void SetFloors();
  std::size_t QueueLimit(const ClassState& state) const;
  bool HasSlot(const ClassState& state) const;
  bool MayUseFloor(const ClassState& state) const;
  bool MayBorrow(const ClassState& state) const;
  core::Duration EstimatedWait(const ClassState& state,
                               std::size_t ahead) const;
  std::optional<Refusal> ReasonToRefuse(const RequestQueued& event,
                                        const ClassState& state) const;
  void StartWaiting();
  bool StartNext(ClassState& state);
  void RefuseWaiting(core::RequestId request,
                     ClassState& state,
                     Refusal refusal);
  void SendRefusal(core::RequestId request, ClassState& state, Refusal refusal);

  std::size_t slots_;
  std::array<ClassState, core::kWorkClasses.size()> classes_;
  std::unordered_map<core::RequestId, Known> known_;
  bool shutting_down_ = false;
  core::TimePoint now_;
  std::vector<Command>* out_ = nullptr;
};

/// Collects the settings of a controller and checks them together.
class ControllerBuilder {
 public:
  /// @param slots requests that may be in flight at once through this entry.
  ControllerBuilder& Slots(std::size_t slots) {
    slots_ = slots;
    return *this;
  }
  ControllerBuilder& Class(core::WorkClass work_class,
                           const ClassSettings& settings) {
    classes_[core::Index(work_class)] = settings;
    return *this;
  }

  /// @returns nothing if a share is outside 0 to 1, the floors exceed all
  /// slots, or a service time is not positive; see last_error().
  std::optional<Controller> Build();

  std::string_view last_error() const { return last_error_; }

 private:
  std::size_t slots_ = 0;
  std::array<ClassSettings, core::kWorkClasses.size()> classes_;
  std::string_view last_error_;
};

}  // namespace hickoryusher::admission

#endif  // ADMISSION_CONTROLLER_H_
