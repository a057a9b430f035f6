#ifndef HTTP_UPSTREAM_H_
#define HTTP_UPSTREAM_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/time.h"
#include "http/byte_budget.h"
#include "http/message.h"
#include "http/ring_sink.h"
#include "runtime/ring.h"

namespace hickoryusher::http {

/// Sends one request to an endpoint.
struct StartExchange {
  core::AttemptId id;
  std::string url;  ///< `http://address:port/path?query`
  std::string method = "GET";
  /// Hop-by-hop headers are left out.
  std::vector<Header> headers;
  std::string body;
  /// libcurl sends an idempotent request again when a reused connection turns
  /// out to be dead. The answer is then to the last copy, and says nothing
  /// about earlier ones.
  bool idempotent = false;
  /// Lets a request that is not idempotent use an open connection. If that
  /// turns out to be dead, the exchange fails. Otherwise it gets a connection
  /// of its own.
  bool reuses_connections = false;
  std::chrono::milliseconds connect_timeout{1'000};
  /// From the start of the exchange; 0 for no limit of its own.
  std::chrono::milliseconds first_byte_timeout{0};
  std::chrono::milliseconds total_timeout{10'000};
  /// Nothing is written from this time on. Unlike the time limits, it covers
  /// the time before the exchange starts, in which the process may be frozen.
  core::TimePoint write_before = core::TimePoint::max();
  /// When the request was decided on, for `write_delay` of its end.
  core::TimePoint decided{};
  std::size_t max_connections_per_host = 8;
  std::size_t max_response_bytes = 8UL * 1024 * 1024;
};

/// Ends an exchange early. No effect if it has already finished.
struct CancelExchange {
  core::AttemptId id;
};

using UpstreamCommand = std::variant<StartExchange, CancelExchange>;

/// How far an exchange got.
enum class Stage {
  kBeforeConnection,  ///< Not yet given a connection.
  kConnecting,        ///< No byte of the request can have been written.
  kSending,           ///< A byte of the request may have been written.
  kAwaitingFirstByte,
  kReceiving,
};

/// @returns `before_connection`, `connecting`, `sending`,
/// `awaiting_first_byte` or `receiving`.
std::string_view ToString(Stage stage);

/// The endpoint began to answer.
struct FirstByte {
  core::AttemptId id;
  core::TimePoint at;
};

/// The complete answer of the endpoint, whatever its status.
struct Completed {
  core::AttemptId id;
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  core::TimePoint at;
  /// From `decided` until the last copy of the request could be written; 0 if
  /// none was, or without `decided`.
  core::Duration write_delay{};
};

/// The exchange ended without a complete answer.
struct Failed {
  core::AttemptId id;
  Stage stage = Stage::kSending;
  /// `refused`, `connect_timeout`, `first_byte_timeout`, `total_timeout`,
  /// `deadline_passed`, `connection_broken`, `truncated`, `oversized`,
  /// `malformed`, `no_length`, `cancelled`, `connection_limit`,
  /// `exchange_limit`, `memory_limit`, `invalid_request`, `shutting_down` or
  /// `internal`.
  std::string_view reason;
  std::string detail;  ///< For the log.
  core::TimePoint at;
  core::Duration write_delay{};  ///< As in Completed.
};

/// Each started exchange ends with exactly one Completed or Failed.
using UpstreamEvent = std::variant<FirstByte, Completed, Failed>;

struct UpstreamOptions {
  std::size_t command_capacity = 4096;
  /// Exchanges at once; further ones fail before the connection.
  std::size_t max_exchanges = 16'384;
  std::size_t max_idle_connections = 1024;
  std::size_t max_response_header_bytes = 64UL * 1024;
  /// Heads and bodies of responses that are received or not yet handed over. A
  /// response that does not fit fails with reason `memory_limit`.
  std::size_t response_budget_bytes = std::numeric_limits<std::size_t>::max();
};

/// Sends requests to endpoints on one thread of its own.
class Upstream {
 public:
  /// Takes one event; moves from it only if it returns true.
  /// @returns false to be offered the event again a little later; until then
  /// no further command is read.
  using EventSink = std::function<bool(UpstreamEvent&)>;

  class Builder;

  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  /// Calls Shutdown().
  ~Upstream();

  /// Thread-safe. @param command moved from only if it was taken.
  /// @returns false if the command ring is full or closed.
  bool TrySend(UpstreamCommand&& command);

  /// Thread-safe. @returns the budget for responses.
  const ByteBudget& response_budget() const;

  /// Fails all exchanges with reason `shutting_down` and ends the thread.
  void Shutdown();

 private:
  struct Impl;
  explicit Upstream(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

/// Starts an Upstream.
class Upstream::Builder {
 public:
  Builder& options(UpstreamOptions options) {
    options_ = options;
    return *this;
  }
  /// @param ring of UpstreamEvent, or of a std::variant with it; must outlive
  /// the upstream. While it is full, events wait in the upstream.
  template <typename Element>
  Builder& events(runtime::Ring<Element>& ring) {
    return on_event(
        [&ring](UpstreamEvent& event) { return PushInto(ring, event); });
  }
  Builder& on_event(EventSink sink) {
    sink_ = std::move(sink);
    return *this;
  }

  /// @returns the running upstream, or nothing; see last_error().
  std::unique_ptr<Upstream> Start();

  const std::string& last_error() const { return last_error_; }

 private:
  UpstreamOptions options_;
  EventSink sink_;
  std::string last_error_;
};

}  // namespace hickoryusher::http

#endif  // HTTP_UPSTREAM_H_
