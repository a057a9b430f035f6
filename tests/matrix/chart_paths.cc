#include "chart_paths.h"

#include <algorithm>
#include <deque>

namespace hickoryusher::matrix {

std::vector<Path> PathsTo(const chart::Chart& chart,
                          chart::StateId state,
                          std::size_t limit) {
  struct Partial {
    std::vector<chart::StateId> visited;
    Path path;
  };
  std::vector<Path> found;
  std::deque<Partial> open = {{.visited = {chart.initial()}}};
  while (!open.empty() && found.size() < limit) {
    const Partial partial = std::move(open.front());
    open.pop_front();
    const chart::StateId at = partial.visited.back();
    if (at == state) {
      found.push_back(partial.path);
      continue;
    }
    for (const chart::Transition& transition : chart.state(at).transitions) {
      if (std::ranges::find(partial.visited, transition.target) !=
          partial.visited.end()) {
        continue;
      }
      Partial longer = partial;
      longer.visited.push_back(transition.target);
      longer.path.push_back({chart.EventName(transition.event),
                             chart.StateName(transition.target)});
      open.push_back(std::move(longer));
    }
  }
  return found;
}

}  // namespace hickoryusher::matrix
