#ifndef BENCH_ROUTING_BENCH_POLICY_COMPARISON_H_
#define BENCH_ROUTING_BENCH_POLICY_COMPARISON_H_

#include <cstdint>
#include <string_view>

#include "routing/router.h"

namespace hickoryusher::bench {

/// What is wrong with some of the 48 endpoints for half of the run.
enum class Fault { kNone, kHang, kRackHangs, kRackBlinks, kSlow, kFailFast };

std::string_view ToString(Fault fault);

struct Trial {
  routing::Policy policy;
  Fault fault = Fault::kNone;
  double load = 0.3;       ///< Part of the slots that is busy on average.
  bool rack_last = false;  ///< Try the rack last after a first-byte timeout.
  std::uint64_t seed = 1;
};

struct Outcome {
  int requests = 0;
  int succeeded = 0;
  int retries = 0;
  int second_timeouts = 0;  ///< Requests that timed out more than once.
  int no_slot = 0;          ///< Choices that found no endpoint.
  double p50_ms = 0;        ///< Over all requests; a failed one counts as 2 s.
  double p99_ms = 0;
  double p999_ms = 0;
};

/// Simulates three domains, each with three entry processes with static shares
/// in front of 16 endpoints in two racks.
Outcome Run(const Trial& trial, const chart::Chart& health);

}  // namespace hickoryusher::bench

#endif  // BENCH_ROUTING_BENCH_POLICY_COMPARISON_H_
