#ifndef STANDINS_WORKER_WORKER_SERVER_H_
#define STANDINS_WORKER_WORKER_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "platform/fault_server.h"
#include "store/http_adapter.h"
#include "worker/worker.h"

namespace hickoryusher::standins {

/// Serves one worker over HTTP.
///
/// POST /v1/exchange `{"epoch","echo_ns","commands":[{"type",...}]}`: 200 with
///   the report. Types: start, stop, checkpoint, throttle, ack.
/// GET /runs: 200 `{"worker","runs":[...]}`.
/// POST /behaviour `{"mode"}`: normal, fail_tasks, silent, paused or dead.
class WorkerServer {
 public:
  /// @param object_url of the object store; without it, no checkpoints.
  WorkerServer(std::uint16_t port,
               WorkerOptions options,
               const std::string& object_url);

  Worker& worker() { return worker_; }
  std::uint16_t port() const { return server_.port(); }

 private:
  Reply Handle(const Request& request);

  Worker worker_;
  std::unique_ptr<store::HttpAdapter> objects_;
  FaultServer server_;  ///< Last, so that no request outlives the worker.
};

}  // namespace hickoryusher::standins

#endif  // STANDINS_WORKER_WORKER_SERVER_H_
