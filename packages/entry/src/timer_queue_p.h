#ifndef ENTRY_SRC_TIMER_QUEUE_P_H_
#define ENTRY_SRC_TIMER_QUEUE_P_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/time.h"

namespace hickoryusher::entry {

/// Timers in the order of their time. A cancelled timer stays in the heap until
/// its time comes, so cancelling costs one hash look-up.
template <typename Key, typename Value>
class TimerQueue {
 public:
  void Start(Key key, core::TimePoint at, Value value) {
    live_.insert_or_assign(key, value);
    heap_.push_back({.at = at, .key = key});
    std::ranges::push_heap(heap_, std::greater<>(), &Entry::at);
  }

  void Cancel(Key key) { live_.erase(key); }

  /// @returns the time of the next timer, cancelled or not.
  std::optional<core::TimePoint> next() const {
    return heap_.empty() ? std::nullopt : std::optional(heap_.front().at);
  }

  /// Removes the timers that are due and appends those not cancelled to
  /// @p out.
  void TakeDue(core::TimePoint now, std::vector<Value>& out) {
    while (!heap_.empty() && heap_.front().at <= now) {
      std::ranges::pop_heap(heap_, std::greater<>(), &Entry::at);
      const auto found = live_.find(heap_.back().key);
      heap_.pop_back();
      if (found != live_.end()) {
        out.push_back(std::move(found->second));
        live_.erase(found);
      }
    }
  }

 private:
  struct Entry {
    core::TimePoint at;
    Key key;
  };

  std::vector<Entry> heap_;
  std::unordered_map<Key, Value> live_;
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_TIMER_QUEUE_P_H_
