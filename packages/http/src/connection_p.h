#ifndef HTTP_CONNECTION_P_H_
#define HTTP_CONNECTION_P_H_

#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/time.h"
#include "http/request_parser.h"

namespace hickoryusher::http {

/// One request of a connection, in the order of arrival, until its response is
/// sent.
struct ResponseSlot {
  core::RequestId id;
  bool handed_over = false;  ///< Counted in FrontShared::in_flight.
  bool head = false;         ///< The response has no body.
  bool close_after = false;
  bool ready = false;
  std::string bytes;
  std::size_t sent = 0;
};

/// One caller's connection, used by one thread only.
struct Connection {
  Connection(int fd, ParseLimits limits, core::TimePoint now)
      : fd(fd), parser(limits), request_began(now), idle_since(now) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Pistache closes the socket of a caller that leaves, but leaves the others
  /// open when it shuts down.
  ~Connection() {
    if (!closed_by_pistache) {
      close(fd);
    }
  }

  bool request_in_progress() const;

  /// @returns true if a response waits for the caller to read.
  bool has_unsent_response() const;

  /// @returns the bytes that closing the connection frees.
  std::size_t reclaimable_bytes() const;

  int fd;
  RequestParser parser;
  std::deque<ResponseSlot> slots;
  /// No further request is read; input is discarded until the peer closes.
  bool input_closed = false;
  bool output_closed = false;
  bool write_blocked = false;
  bool closed_by_pistache = false;
  bool shut_down = false;  ///< Pistache is about to report the end.
  std::uint64_t discarded_bytes = 0;
  std::size_t charged_bytes = 0;
  core::TimePoint request_began;  ///< Of the incomplete request, if any.
  core::TimePoint idle_since;     ///< Last complete request, or the start.
  core::TimePoint deadline = core::TimePoint::max();
};

/// @returns the bytes of a response on the wire.
std::string EncodeResponse(const Response& response,
                           std::string_view request_id,
                           bool head,
                           bool close);

/// @returns a refusal: the request was not run, for this reason.
Response MakeRefusal(core::RequestId id, int status, std::string_view reason);

}  // namespace hickoryusher::http

#endif  // HTTP_CONNECTION_P_H_
