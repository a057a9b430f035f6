#ifndef RETRY_RETRY_POLICY_H_
#define RETRY_RETRY_POLICY_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "core/random.h"
#include "core/time.h"
#include "retry/types.h"

namespace hickoryusher::retry {

struct RetryPolicy {
  std::size_t max_attempts = 3;  ///< At most kMaxAttempts.
  core::Duration backoff_base = std::chrono::milliseconds(10);
  core::Duration backoff_cap = std::chrono::milliseconds(500);
  core::Duration connect_timeout = std::chrono::milliseconds(250);
  /// For idempotent requests; zero waits until the deadline.
  core::Duration first_byte_timeout = std::chrono::seconds(1);
  /// Whether a first-byte timeout puts the endpoint's rack last. Switchable so
  /// that both ways can be measured in one run.
  bool avoid_slow_racks = true;
  /// How long an adapter or issuer may take to prove that nothing ran.
  core::Duration grace = std::chrono::milliseconds(100);
  double budget_ratio = 0.1;      ///< Retries for each first attempt.
  int budget_min_per_second = 3;  ///< Allowed even without traffic.
};

/// Draws a delay with full jitter, evenly from zero to the exponential limit.
/// @param retry 1 for the first retry.
/// @param remaining until the deadline; at most half of it is spent waiting.
core::Duration DrawBackoff(const RetryPolicy& policy,
                           std::size_t retry,
                           core::Duration remaining,
                           core::Random& random);

/// Limits retries to a fraction of first attempts over the last 10 s.
class RetryBudget {
 public:
  RetryBudget(double ratio, int min_per_second)
      : ratio_(ratio), min_per_second_(min_per_second) {}

  void CountFirstAttempt(core::TimePoint now);
  void CountRetry(core::TimePoint now);
  bool Allows(core::TimePoint now) const;

 private:
  static constexpr std::size_t kSeconds = 10;

  struct Bucket {
    std::int64_t second = -1;
    std::int64_t first_attempts = 0;
    std::int64_t retries = 0;
  };

  Bucket& BucketAt(core::TimePoint now);

  double ratio_;
  int min_per_second_;
  std::array<Bucket, kSeconds> buckets_;
};

}  // namespace hickoryusher::retry

#endif  // RETRY_RETRY_POLICY_H_
