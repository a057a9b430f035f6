#include "admission/controller.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

namespace hickoryusher::admission {
namespace {

constexpr std::array<std::string_view, 4> kRefusalNames = {
    "queue_full", "wait_too_long", "deadline_passed", "shutdown"};

// Weight of the newest sample: follows a change within some 20 requests.
constexpr int kServiceTimeDivisor = 10;

// A caller that is told to come back sooner only adds to the flood.
constexpr core::Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr core::Duration kMaxRetryAfter = std::chrono::seconds(60);

}  // namespace

std::string_view ToString(Refusal refusal) {
  return kRefusalNames[static_cast<std::size_t>(refusal)];
}

std::optional<Controller> ControllerBuilder::Build() {
  const auto in_range = [](const ClassSettings& settings) {
    return settings.floor_share >= 0 && settings.floor_share <= 1;
  };
  const double sum =
      std::accumulate(classes_.begin(), classes_.end(), 0.0,
                      [](double total, const ClassSettings& settings) {
                        return total + settings.floor_share;
                      });
  // Shares such as 0.7 + 0.2 + 0.1 add up to slightly more than 1.
  constexpr double kRounding = 1e-9;
  if (!std::ranges::all_of(classes_, in_range) || sum > 1 + kRounding) {
    last_error_ = "floor shares must be from 0 to 1 and add up to at most 1";
    return std::nullopt;
  }
  if (!std::ranges::all_of(classes_, [](const ClassSettings& settings) {
        return settings.initial_service_time > core::Duration::zero() &&
               settings.queue_per_slot >= 0;
      })) {
    last_error_ = "service times must be positive and queues not negative";
    return std::nullopt;
  }
  last_error_ = {};
  return Controller(slots_, classes_);
}

Controller::Controller(
    std::size_t slots,
    const std::array<ClassSettings, core::kWorkClasses.size()>& classes)
    : slots_(slots) {
  std::ranges::transform(
      classes, classes_.begin(), [](const ClassSettings& settings) {
        return ClassState{.settings = settings,
                          .service_time = settings.initial_service_time};
      });
  SetFloors();
}

void Controller::Handle(const Event& event,
                        core::TimePoint now,
                        std::vector<Command>& out) {
  now_ = now;
  out_ = &out;
  std::visit([this](const auto& typed) { On(typed); }, event);
  StartWaiting();
  out_ = nullptr;
}

void Controller::On(const RequestQueued& event) {
  if (known_.contains(event.request)) {
    return;
  }
  ClassState& state = Of(event.work_class);
  if (const auto refusal = ReasonToRefuse(event, state)) {
    SendRefusal(event.request, state, *refusal);
    return;
  }
  known_.emplace(event.request, Known{.work_class = event.work_class});
  const auto place = std::ranges::lower_bound(
      state.queue, event.deadline, std::ranges::greater(), &Waiter::deadline);
  state.queue.insert(
      place, Waiter{.deadline = event.deadline, .request = event.request});
}

void Controller::On(const RequestFinished& event) {
  const auto found = known_.find(event.request);
  if (found == known_.end()) {
    return;
  }
  const Known known = found->second;
  known_.erase(found);
  ClassState& state = Of(known.work_class);
  if (known.running) {
    --state.in_use;
    state.service_time +=
        (now_ - known.admitted - state.service_time) / kServiceTimeDivisor;
    return;
  }
  std::erase_if(state.queue, [&event](const Waiter& waiter) {
    return waiter.request == event.request;
  });
}

void Controller::On(const SlotsChanged& event) {
  slots_ = event.slots;
  SetFloors();
}

void Controller::On(const FloorsChanged& event) {
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    classes_[i].settings.floor_share = event.floor_shares[i];
  }
  SetFloors();
}

void Controller::On(const ShutdownStarted& /*event*/) {
  shutting_down_ = true;
  for (ClassState& state : classes_) {
    while (!state.queue.empty()) {
      RefuseWaiting(state.queue.back().request, state, Refusal::kShutdown);
    }
  }
}

void Controller::SetFloors() {
  std::ranges::for_each(classes_, [this](ClassState& state) {
    state.floor = static_cast<std::size_t>(
        std::floor(state.settings.floor_share * static_cast<double>(slots_)));
  });
}

std::size_t Controller::QueueLimit(const ClassState& state) const {
  return static_cast<std::size_t>(
      std::ceil(state.settings.queue_per_slot *
                static_cast<double>(std::max<std::size_t>(state.floor, 1))));
}

bool Controller::HasSlot(const ClassState& state) const {
  return MayUseFloor(state) || MayBorrow(state);
}

bool Controller::MayUseFloor(const ClassState& state) const {
  // After the slots have shrunk, others may still run above what is left.
  const std::size_t in_use =
      std::accumulate(classes_.begin(), classes_.end(), std::size_t{0},
                      [](std::size_t total, const ClassState& other) {
                        return total + other.in_use;
                      });
  return state.in_use < state.floor && in_use < slots_;
}

bool Controller::MayBorrow(const ClassState& state) const {
  const std::size_t taken = std::accumulate(
      classes_.begin(), classes_.end(), std::size_t{0},
      [&state](std::size_t total, const ClassState& other) {
        return total + (&other == &state ? other.in_use
                                         : std::max(other.in_use, other.floor));
      });
  return taken < slots_;
}

core::Duration Controller::EstimatedWait(const ClassState& state,
                                         std::size_t ahead) const {
  const auto width = static_cast<std::int64_t>(
      std::max({state.floor, state.in_use, std::size_t{1}}));
  return state.service_time * static_cast<std::int64_t>(ahead + 1) / width;
}

std::optional<Refusal> Controller::ReasonToRefuse(
    const RequestQueued& event,
    const ClassState& state) const {
  if (shutting_down_) {
    return Refusal::kShutdown;
  }
  if (event.deadline <= now_) {
    return Refusal::kDeadlinePassed;
  }
  if (state.queue.empty() && HasSlot(state)) {
    return std::nullopt;
  }
  if (state.queue.size() >= QueueLimit(state)) {
    return Refusal::kQueueFull;
  }
  const auto ahead = static_cast<std::size_t>(
      std::ranges::count_if(state.queue, [&event](const Waiter& waiter) {
        return waiter.deadline <= event.deadline;
      }));
  if (EstimatedWait(state, ahead) > event.deadline - now_) {
    return Refusal::kWaitTooLong;
  }
  return std::nullopt;
}

void Controller::StartWaiting() {
  // Floors first, so that borrowing never takes the slot that a waiting
  // request of another class is entitled to.
  for (ClassState& state : classes_) {
    while (MayUseFloor(state) && StartNext(state)) {
    }
  }
  for (ClassState& state : classes_) {
    while (MayBorrow(state) && StartNext(state)) {
    }
  }
}

bool Controller::StartNext(ClassState& state) {
  while (!state.queue.empty() && state.queue.back().deadline <= now_) {
    RefuseWaiting(state.queue.back().request, state, Refusal::kDeadlinePassed);
  }
  if (state.queue.empty()) {
    return false;
  }
  const core::RequestId request = state.queue.back().request;
  state.queue.pop_back();
  Known& known = known_.at(request);
  known.running = true;
  known.admitted = now_;
  state.counters.borrowed += state.in_use >= state.floor ? 1 : 0;
  ++state.counters.admitted;
  ++state.in_use;
  out_->push_back(Admit{request});
  return true;
}

void Controller::RefuseWaiting(core::RequestId request,
                               ClassState& state,
                               Refusal refusal) {
  std::erase_if(state.queue, [request](const Waiter& waiter) {
    return waiter.request == request;
  });
  known_.erase(request);
  SendRefusal(request, state, refusal);
}

void Controller::SendRefusal(core::RequestId request,
                             ClassState& state,
                             Refusal refusal) {
  ++state.counters.refused;
  out_->push_back(
      Refuse{.request = request,
             .refusal = refusal,
             .retry_after = std::clamp(EstimatedWait(state, state.queue.size()),
                                       kMinRetryAfter, kMaxRetryAfter)});
}

}  // namespace hickoryusher::admission
