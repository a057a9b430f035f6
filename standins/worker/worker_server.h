#ifndef STANDINS_WORKER_WORKER_SERVER_H_
#define STANDINS_WORKER_WORKER_SERVER_H_

#include <cstdint>

#include "platform/fault_server.h"
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
  WorkerServer(std::uint16_t port, WorkerOptions options);

  Worker& worker() { return worker_; }
  std::uint16_t port() const { return server_.port(); }

 private:
  Reply Handle(const Request& request);

  Worker worker_;
  FaultServer server_;  ///< Last, so that no request outlives the worker.
};

}  // namespace hickoryusher::standins

#endif  // STANDINS_WORKER_WORKER_SERVER_H_
