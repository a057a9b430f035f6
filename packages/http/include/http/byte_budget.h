#ifndef HTTP_BYTE_BUDGET_H_
#define HTTP_BYTE_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <utility>

namespace hickoryusher::http {

/// Counts the bytes that several owners hold together, up to a capacity.
/// Thread-safe.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t capacity) : capacity_(capacity) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  /// @returns false, and takes nothing, if the bytes do not fit.
  bool TryTake(std::size_t bytes) {
    std::size_t used = used_.load(std::memory_order_relaxed);
    do {
      if (bytes > capacity_ || used > capacity_ - bytes) {
        return false;
      }
    } while (!used_.compare_exchange_weak(used, used + bytes,
                                          std::memory_order_relaxed));
    RaisePeak(used + bytes);
    return true;
  }

  /// Takes bytes that are held already, also beyond the capacity.
  void Take(std::size_t bytes) {
    RaisePeak(used_.fetch_add(bytes, std::memory_order_relaxed) + bytes);
  }

  void Release(std::size_t bytes) {
    used_.fetch_sub(bytes, std::memory_order_relaxed);
  }

  std::size_t capacity() const { return capacity_; }
  std::size_t used() const { return used_.load(std::memory_order_relaxed); }

  /// @returns the most bytes that were in use at once.
  std::size_t peak() const { return peak_.load(std::memory_order_relaxed); }

 private:
  void RaisePeak(std::size_t used) {
    std::size_t peak = peak_.load(std::memory_order_relaxed);
    while (peak < used && !peak_.compare_exchange_weak(
                              peak, used, std::memory_order_relaxed)) {
    }
  }

  const std::size_t capacity_;
  std::atomic<std::size_t> used_ = 0;
  std::atomic<std::size_t> peak_ = 0;
};

/// Bytes that one owner holds of a budget; released with it.
class ByteCharge {
 public:
  ByteCharge() = default;
  /// @param budget must outlive the charge.
  explicit ByteCharge(ByteBudget& budget) : budget_(&budget) {}
  ByteCharge(ByteCharge&& other) noexcept
      : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}
  ByteCharge& operator=(ByteCharge&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~ByteCharge() {
    if (budget_ != nullptr) {
      budget_->Release(bytes_);
    }
  }

  /// @returns false, and takes nothing, if the bytes do not fit.
  bool TryAdd(std::size_t bytes) {
    if (budget_ == nullptr || !budget_->TryTake(bytes)) {
      return false;
    }
    bytes_ += bytes;
    return true;
  }

  std::size_t bytes() const { return bytes_; }

 private:
  ByteBudget* budget_ = nullptr;
  std::size_t bytes_ = 0;
};

}  // namespace hickoryusher::http

#endif  // HTTP_BYTE_BUDGET_H_
