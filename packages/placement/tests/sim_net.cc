#include "sim_net.h"

namespace hickoryusher::placement::sim {

void Net::Send(const Node& from, Node& to, std::function<void()> deliver) {
  if (Chance(faults.lose)) {
    return;
  }
  const int copies = Chance(faults.twice) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Duration delay =
        Chance(faults.late) ? Seconds(0.1, 20) : Seconds(0.0005, 0.02);
    After(delay, [this, &to, source = from.address, deliver,
                  generation = to.generation] {
      if (!cuts.contains({source, to.address})) {
        Run(to, generation, deliver);
      }
    });
  }
}

void Net::Resume(Node& node) {
  node.frozen = false;
  const auto waiting = std::exchange(node.inbox, {});
  for (const auto& action : waiting) {
    if (node.alive) {
      action();
    }
  }
}

void Net::Every(Node& node, Duration period, std::function<void()> tick) {
  After(period, [this, &node, period, tick = std::move(tick),
                 generation = node.generation] {
    if (node.generation != generation || !node.alive) {
      return;
    }
    if (!node.frozen) {
      tick();
    }
    Every(node, period, tick);
  });
}

void Net::RunUntil(TimePoint end) {
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = end;
}

}  // namespace hickoryusher::placement::sim
