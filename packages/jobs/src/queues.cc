#include "jobs/queues.h"

#include <algorithm>
#include <utility>

namespace hickoryusher::jobs {

QueueConfig::QueueConfig(std::uint64_t version, std::vector<Queue> queues)
    : version_(version), queues_(std::move(queues)) {
  // Longest prefix first, so that the first match is the longest.
  std::ranges::stable_sort(queues_, std::ranges::greater(),
                           [](const Queue& q) { return q.path_prefix.size(); });
}

const Queue* QueueConfig::Match(std::string_view host,
                                std::string_view path) const {
  const auto found = std::ranges::find_if(queues_, [&](const Queue& queue) {
    return queue.host == host && path.starts_with(queue.path_prefix);
  });
  return found == queues_.end() ? nullptr : &*found;
}

const Queue* QueueConfig::FindQueue(std::string_view name) const {
  const auto found = std::ranges::find(queues_, name, &Queue::name);
  return found == queues_.end() ? nullptr : &*found;
}

}  // namespace hickoryusher::jobs
