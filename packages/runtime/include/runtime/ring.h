#ifndef RUNTIME_RING_H_
#define RUNTIME_RING_H_

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "core/time.h"

namespace hickoryusher::runtime {

/// Bounded queue between threads: several producers, one consumer.
///
/// @remarks A full ring refuses the element instead of growing; the producer
/// decides what that means. Waiting blocks on a condition variable. A consumer
/// that blocks elsewhere (in a poll call) sets a wake-up function instead.
template <typename T>
class Ring {
 public:
  /// @param capacity largest number of elements held; at least 1.
  explicit Ring(std::size_t capacity) : slots_(capacity) {}

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  /// Sets the function called after each push, outside the ring's lock. Must
  /// be set before the first push.
  void SetWaker(std::function<void()> waker) { waker_ = std::move(waker); }

  /// @param value moved from only if the element was taken.
  /// @returns false if the ring is full or closed.
  bool TryPush(T&& value) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || size_ == slots_.size()) {
        return false;
      }
      slots_[(first_ + size_) % slots_.size()] = std::move(value);
      ++size_;
    }
    ready_.notify_one();
    if (waker_) {
      waker_();
    }
    return true;
  }

  bool TryPush(const T& value) { return TryPush(T(value)); }

  /// Moves all waiting elements to the end of @p out without blocking.
  /// @returns how many were moved.
  std::size_t Drain(std::vector<T>& out) {
    const std::lock_guard lock(mutex_);
    return DrainLocked(out);
  }

  /// Waits until an element arrives, the ring is closed or @p until is
  /// reached, then moves all waiting elements to the end of @p out.
  /// @returns how many were moved.
  std::size_t WaitDrain(std::vector<T>& out, core::TimePoint until) {
    std::unique_lock lock(mutex_);
    ready_.wait_until(lock, until, [this] { return size_ > 0 || closed_; });
    return DrainLocked(out);
  }

  /// Like WaitDrain without a time limit.
  std::size_t WaitDrain(std::vector<T>& out) {
    std::unique_lock lock(mutex_);
    ready_.wait(lock, [this] { return size_ > 0 || closed_; });
    return DrainLocked(out);
  }

  /// Refuses further elements and wakes the consumer. Elements already taken
  /// can still be drained.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
    if (waker_) {
      waker_();
    }
  }

  /// @returns true once Close was called and the ring is empty.
  bool finished() const {
    const std::lock_guard lock(mutex_);
    return closed_ && size_ == 0;
  }

  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return size_;
  }

  std::size_t capacity() const { return slots_.size(); }

 private:
  std::size_t DrainLocked(std::vector<T>& out) {
    const std::size_t count = size_;
    out.reserve(out.size() + count);
    while (size_ > 0) {
      out.push_back(std::move(*slots_[first_]));
      slots_[first_].reset();
      first_ = (first_ + 1) % slots_.size();
      --size_;
    }
    return count;
  }

  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::function<void()> waker_;
  std::vector<std::optional<T>> slots_;
  std::size_t first_ = 0;
  std::size_t size_ = 0;
  bool closed_ = false;
};

}  // namespace hickoryusher::runtime

#endif  // RUNTIME_RING_H_
