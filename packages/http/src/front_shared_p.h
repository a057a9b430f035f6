#ifndef HTTP_FRONT_SHARED_P_H_
#define HTTP_FRONT_SHARED_P_H_

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/log_line.h"
#include "front_report_p.h"
#include "http/byte_budget.h"
#include "http/front.h"
#include "runtime/ring.h"
#include "unique_fd_p.h"

namespace hickoryusher::http {

/// Responses on their way to one of the front's threads. Request identifiers
/// carry the thread's index, so that each thread keeps its own table.
struct ResponseInbox {
  explicit ResponseInbox(std::size_t capacity) : responses(capacity) {}
  runtime::Ring<Response> responses;
  /// Wakes the thread; written once until the thread has read it.
  UniqueFd wake_fd;
  std::atomic<bool> woken = false;
};

/// State shared by a Front and its threads.
struct FrontShared {
  explicit FrontShared(FrontOptions options_in)
      : options(std::move(options_in)), report(options.limits_log_interval) {}

  FrontOptions options;
  Front::RequestSink sink;
  LogSink log;
  std::vector<std::unique_ptr<ResponseInbox>> inboxes;
  std::vector<std::unique_ptr<ByteBudget>> budgets;  ///< One for each thread.
  FrontReport report;
  std::atomic<std::uint16_t> port = 0;
  std::atomic<std::size_t> next_inbox = 0;
  std::atomic<bool> stopping = false;
  std::atomic<std::size_t> in_flight = 0;
  std::atomic<std::size_t> connections = 0;
  std::atomic<std::uint64_t> dropped = 0;
  std::mutex idle_mutex;
  std::condition_variable idle;

  void Log(const core::LogLine& line) const {
    if (log) {
      log(line);
    }
  }

  void Log(const std::optional<core::LogLine>& line) const {
    if (line) {
      Log(*line);
    }
  }

  FrontCounters Counters() const {
    FrontCounters counters{.connections = connections};
    for (const auto& budget : budgets) {
      counters.bytes += budget->used();
      counters.bytes_peak += budget->peak();
    }
    report.AddTotals(counters);
    return counters;
  }

  /// Counts one request as finished.
  void Finished() {
    if (in_flight.fetch_sub(1) == 1) {
      const std::lock_guard lock(idle_mutex);
      idle.notify_all();
    }
  }
};

}  // namespace hickoryusher::http

#endif  // HTTP_FRONT_SHARED_P_H_
