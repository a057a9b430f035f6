#include "retry/retry_policy.h"

#include <algorithm>
#include <random>

namespace hickoryusher::retry {
namespace {

std::int64_t SecondOf(core::TimePoint now) {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
      .count();
}

}  // namespace

core::Duration DrawBackoff(const RetryPolicy& policy,
                           std::size_t retry,
                           core::Duration remaining,
                           core::Random& random) {
  // Doubling stops early enough that the product cannot overflow.
  const std::size_t doublings = std::min<std::size_t>(retry - 1, 16);
  const core::Duration limit = std::min(
      {policy.backoff_cap, policy.backoff_base * (std::int64_t{1} << doublings),
       remaining / 2});
  std::uniform_int_distribution<std::int64_t> draw(
      0, std::max<std::int64_t>(limit.count(), 0));
  return core::Duration(draw(random));
}

void RetryBudget::CountFirstAttempt(core::TimePoint now) {
  ++BucketAt(now).first_attempts;
}

void RetryBudget::CountRetry(core::TimePoint now) {
  ++BucketAt(now).retries;
}

bool RetryBudget::Allows(core::TimePoint now) const {
  const std::int64_t second = SecondOf(now);
  std::int64_t first_attempts = 0;
  std::int64_t retries = 0;
  std::int64_t retries_this_second = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.second > second - static_cast<std::int64_t>(kSeconds)) {
      first_attempts += bucket.first_attempts;
      retries += bucket.retries;
      retries_this_second += bucket.second == second ? bucket.retries : 0;
    }
  }
  return retries_this_second < min_per_second_ ||
         static_cast<double>(retries + 1) <=
             ratio_ * static_cast<double>(first_attempts);
}

RetryBudget::Bucket& RetryBudget::BucketAt(core::TimePoint now) {
  const std::int64_t second = SecondOf(now);
  Bucket& bucket = buckets_[static_cast<std::size_t>(second) % kSeconds];
  if (bucket.second != second) {
    bucket = {.second = second};
  }
  return bucket;
}

}  // namespace hickoryusher::retry
