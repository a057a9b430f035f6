#ifndef HTTP_FRONT_H_
#define HTTP_FRONT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/log_line.h"
#include "http/message.h"
#include "http/ring_sink.h"
#include "runtime/ring.h"

namespace hickoryusher::http {

/// Receives one log line. Called on the front's or upstream's own threads.
using LogSink = std::function<void(const core::LogLine&)>;

/// What a request in progress is charged beyond its own bytes, for what it
/// causes behind the front.
struct RequestCost {
  std::size_t bytes = 0;        ///< Of any request.
  std::size_t body_copies = 0;  ///< Of its body, each up to copied_body_bytes.
  std::size_t copied_body_bytes = std::numeric_limits<std::size_t>::max();
};

/// What a front holds, and what it has refused and closed since its start.
struct FrontCounters {
  std::size_t connections = 0;
  std::size_t bytes = 0;       ///< Charged to the budget.
  std::size_t bytes_peak = 0;  ///< Sum of the largest values of the threads.
  std::map<std::string, std::uint64_t, std::less<>> refused;  ///< By reason.
  std::map<std::string, std::uint64_t, std::less<>> closed;   ///< By reason.

  bool operator==(const FrontCounters&) const = default;
};

/// Settings of a Front.
struct FrontOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0 lets the system choose.
  int threads = 2;
  std::size_t max_header_bytes = 16UL * 1024;
  std::size_t max_body_bytes = 1024UL * 1024;
  std::size_t max_connections = 20'000;
  /// Closes another connection for one beyond the limit, see docs/hard-load.md.
  /// Otherwise the new one is refused.
  bool makes_room = false;
  /// Budget for what connections and requests in progress hold, divided evenly
  /// among the threads; each closes its own connections.
  std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
  RequestCost request_cost;
  /// Requests in progress per thread; further ones get `ring_full`.
  std::size_t max_in_flight_per_thread = 8192;
  /// Unanswered requests on one connection; the next one is refused and the
  /// connection is closed.
  std::size_t max_pipelined = 64;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds idle_timeout{60'000};
  /// Longest time without progress while a response is being sent.
  std::chrono::milliseconds send_timeout{30'000};
  /// Shortest time between two lines `event=front_limits`.
  std::chrono::milliseconds limits_log_interval{10'000};
  /// Put before the number in `Hickoryusher-Request-Id`.
  std::string request_id_prefix;
};

/// The caller-facing HTTP port.
///
/// @remarks Requests go out in the order in which they arrive on each
/// connection; responses may be handed back from any thread, in any order. The
/// front sends the responses of one connection in the order of its requests.
class Front {
 public:
  /// Takes one request. @returns false if there is no room for it.
  using RequestSink = std::function<bool(IncomingRequest&)>;

  class Builder;

  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// Calls Shutdown().
  ~Front();

  /// @returns the port in use.
  std::uint16_t port() const;

  /// Hands the response to a request back. Thread-safe.
  /// @returns false if the front is shut down or holds too many responses. A
  /// response to an unknown or already answered request is dropped and
  /// counted.
  bool Respond(Response response);

  /// From now on new requests are refused as not run, with reason
  /// `shutting_down`. Requests in progress are not affected.
  void StopAccepting();

  /// @returns requests handed over whose response is not yet completely sent.
  std::size_t in_flight() const;

  /// Waits until no request is in flight.
  /// @returns false if @p until was reached first.
  bool WaitIdle(core::TimePoint until) const;

  /// Closes all connections and ends the threads. Call StopAccepting() and
  /// WaitIdle() first, so that no request is cut off.
  void Shutdown();

  /// @returns responses dropped because their request was unknown, was already
  /// answered, or its caller had disconnected.
  std::uint64_t dropped_responses() const;

  /// @returns open connections.
  std::size_t connections() const;

  FrontCounters counters() const;

 private:
  struct Impl;
  explicit Front(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

/// Starts a Front.
class Front::Builder {
 public:
  Builder& options(FrontOptions options) {
    options_ = std::move(options);
    return *this;
  }
  Builder& address(std::string_view address) {
    options_.address = address;
    return *this;
  }
  Builder& port(std::uint16_t port) {
    options_.port = port;
    return *this;
  }
  Builder& threads(int threads) {
    options_.threads = threads;
    return *this;
  }
  /// @param ring of IncomingRequest, or of a std::variant with it; must
  /// outlive the front.
  template <typename Element>
  Builder& requests(runtime::Ring<Element>& ring) {
    return on_request(
        [&ring](IncomingRequest& request) { return PushInto(ring, request); });
  }
  Builder& on_request(RequestSink sink) {
    sink_ = std::move(sink);
    return *this;
  }
  Builder& log(LogSink log) {
    log_ = std::move(log);
    return *this;
  }

  /// Binds the port and starts the threads.
  /// @returns the running front, or nothing; see last_error().
  std::unique_ptr<Front> Start();

  const std::string& last_error() const { return last_error_; }

 private:
  FrontOptions options_;
  RequestSink sink_;
  LogSink log_;
  std::string last_error_;
};

}  // namespace hickoryusher::http

#endif  // HTTP_FRONT_H_
