#ifndef RETRY_REQUEST_TABLE_H_
#define RETRY_REQUEST_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "chart/chart.h"
#include "core/ids.h"
#include "core/time.h"
#include "retry/request_events.h"
#include "retry/retry_policy.h"

namespace hickoryusher::retry {

struct RequestCounters {
  std::uint64_t arrived = 0;
  std::uint64_t delivered = 0;
  std::uint64_t sends = 0;
  std::uint64_t retries = 0;
  std::uint64_t late_dropped = 0;        ///< Events of finished requests.
  std::uint64_t stale_dropped = 0;       ///< Events of earlier attempts.
  std::uint64_t duplicate_arrivals = 0;  ///< A request id that is in use.
};

/// Runs one instance of the chart `request_attempt` for each request and
/// decides its outcome. Not thread-safe.
class RequestTable {
 public:
  RequestTable(RequestTable&&) noexcept;
  RequestTable& operator=(RequestTable&&) noexcept;
  ~RequestTable();

  /// Handles one event and appends the resulting commands to @p out.
  /// @param now must not go backwards.
  void Handle(const RequestEvent& event,
              core::TimePoint now,
              std::vector<RequestCommand>& out);

  const RequestCounters& counters() const;

  /// @returns the number of requests that are not delivered yet.
  std::size_t size() const;

  /// @returns the state of @p request, or nothing once it is delivered.
  std::optional<std::string_view> StateOf(core::RequestId request) const;

 private:
  friend class RequestTableBuilder;
  class Impl;

  explicit RequestTable(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

class RequestTableBuilder {
 public:
  /// @param chart must outlive the table.
  explicit RequestTableBuilder(const chart::Chart& chart) : chart_(&chart) {}

  RequestTableBuilder& Policy(const RetryPolicy& policy) {
    policy_ = policy;
    return *this;
  }
  /// Seeds the jitter of the backoff.
  RequestTableBuilder& Seed(std::uint64_t seed) {
    seed_ = seed;
    return *this;
  }

  /// @returns nothing if the chart uses a name that has no function; see
  /// problems().
  std::optional<RequestTable> Build();

  std::span<const chart::Problem> problems() const { return problems_; }

 private:
  const chart::Chart* chart_;
  RetryPolicy policy_;
  std::uint64_t seed_ = 1;
  std::vector<chart::Problem> problems_;
};

}  // namespace hickoryusher::retry

#endif  // RETRY_REQUEST_TABLE_H_
