#ifndef PLACEMENT_TESTS_SIM_NET_H_
#define PLACEMENT_TESTS_SIM_NET_H_

#include <functional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "core/random.h"
#include "core/time.h"

namespace hickoryusher::placement::sim {

using core::Duration;
using core::TimePoint;

/// A process with its own clock. Frozen: messages and ticks wait. Dead:
/// messages are dropped; a restart raises the generation.
struct Node {
  int address = 0;
  double rate = 1.0;
  int generation = 0;
  bool alive = true;
  bool frozen = false;
  std::vector<std::function<void()>> inbox;
};

struct Faults {
  double lose = 0.01;
  double twice = 0.01;
  double late = 0.01;  ///< Delayed by up to 20 s.
  double answer_lost = 0.03;
};

/// Event queue and network of a run. Deterministic for a seed.
class Net {
 public:
  explicit Net(std::uint64_t seed) : random_(seed) {}

  TimePoint now() const { return now_; }
  /// @returns the time on the node's own clock.
  TimePoint Local(const Node& node) const {
    const double nanos =
        static_cast<double>(now_.time_since_epoch().count()) * node.rate;
    return TimePoint(Duration(static_cast<std::int64_t>(nanos))) +
           std::chrono::hours(node.address + 1);
  }
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  bool Chance(double probability) { return Uniform(0, 1) < probability; }
  int Pick(int count) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(count));
  }
  Duration Seconds(double low, double high) {
    return Duration(static_cast<std::int64_t>(Uniform(low, high) * 1e9));
  }

  void After(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, next_++, std::move(action)});
  }
  /// Runs @p action in the node's process, once it is not frozen.
  void Run(Node& node, int generation, const std::function<void()>& action) {
    if (!node.alive || node.generation != generation) {
      return;
    }
    if (node.frozen) {
      node.inbox.push_back(action);
    } else {
      action();
    }
  }
  void Send(const Node& from, Node& to, std::function<void()> deliver);
  void Resume(Node& node);

  /// Calls @p tick in the node's process every @p period while it lives.
  void Every(Node& node, Duration period, std::function<void()> tick);

  void RunUntil(TimePoint end);

  Faults faults;
  std::set<std::pair<int, int>> cuts;  ///< One-way, by address.

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  core::Random random_;
  TimePoint now_;
  std::uint64_t next_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace hickoryusher::placement::sim

#endif  // PLACEMENT_TESTS_SIM_NET_H_
