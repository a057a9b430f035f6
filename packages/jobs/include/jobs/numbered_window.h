#ifndef JOBS_NUMBERED_WINDOW_H_
#define JOBS_NUMBERED_WINDOW_H_

#include <cstddef>
#include <deque>
#include <ranges>
#include <utility>

namespace hickoryusher::jobs {

/// The present part of a list whose elements keep their numbers: later ones are
/// appended, and the first ones are removed. An element keeps its address.
template <typename T>
class NumberedWindow {
 public:
  /// Number of the first element that is present; end_number() if there is
  /// none.
  std::size_t first_number() const { return first_; }
  std::size_t end_number() const { return first_ + items_.size(); }

  /// Number of elements that are present.
  std::size_t size() const { return items_.size(); }

  bool Contains(std::size_t number) const {
    return number >= first_number() && number < end_number();
  }

  /// @param number of an element that is present.
  T& operator[](std::size_t number) { return items_[number - first_]; }
  const T& operator[](std::size_t number) const {
    return items_[number - first_];
  }

  /// Skips elements in front of the first one, before any is appended.
  void StartAt(std::size_t number) { first_ = number; }
  void Append(T item) { items_.push_back(std::move(item)); }
  void RemoveFirst(std::size_t count) {
    first_ += count;
    items_.erase(items_.begin(),
                 items_.begin() + static_cast<std::ptrdiff_t>(count));
  }

  /// @returns @p count elements that are present, from @p number on.
  auto View(std::size_t number, std::size_t count) {
    return ViewOf(items_, number - first_, count);
  }
  auto View(std::size_t number, std::size_t count) const {
    return ViewOf(items_, number - first_, count);
  }

  auto begin() { return items_.begin(); }
  auto end() { return items_.end(); }
  auto begin() const { return items_.begin(); }
  auto end() const { return items_.end(); }

 private:
  template <typename Items>
  static auto ViewOf(Items& items, std::size_t index, std::size_t count) {
    const auto first = items.begin() + static_cast<std::ptrdiff_t>(index);
    return std::ranges::subrange(first,
                                 first + static_cast<std::ptrdiff_t>(count));
  }

  std::size_t first_ = 0;
  std::deque<T> items_;
};

}  // namespace hickoryusher::jobs

#endif  // JOBS_NUMBERED_WINDOW_H_
