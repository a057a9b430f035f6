#ifndef STORE_HTTP_ADAPTER_H_
#define STORE_HTTP_ADAPTER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "core/time.h"
#include "store/command.h"
#include "store/event.h"

namespace hickoryusher::store {

/// Runs commands over HTTP on a thread of its own.
///
/// @remarks The thread blocks in curl_multi_poll and is woken by Send. Writes
/// use a fresh connection each, because libcurl silently resends a request
/// when a reused connection fails, and a resent transaction would report a
/// conflict with itself.
class HttpAdapter {
 public:
  struct Options {
    std::string table_url;  ///< `http://address:port` of the table service.
    std::string object_url;
    std::string vm_list_url;
    std::size_t ring_capacity = 1024;  ///< Commands waiting to be started.
    std::size_t max_in_flight = 64;    ///< Commands at the platform at once.
    core::Duration connect_timeout = std::chrono::milliseconds(500);
    core::Duration timeout = std::chrono::seconds(2);
  };

  /// Called on the adapter's thread with the event of each command.
  /// @returns false if the receiver is full; the event is then offered again.
  using Sink = std::function<bool(Event&&)>;

  HttpAdapter(Options options, Sink sink);

  /// Commands without an answer so far are abandoned without an event.
  ~HttpAdapter();

  HttpAdapter(const HttpAdapter&) = delete;
  HttpAdapter& operator=(const HttpAdapter&) = delete;

  /// Can be called from any thread; does not block.
  /// @returns false if the ring is full: the command was not run, and the
  /// issuer treats it as Refused with RefusalReason::kRingFull.
  bool Send(Command&& command);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hickoryusher::store

#endif  // STORE_HTTP_ADAPTER_H_
