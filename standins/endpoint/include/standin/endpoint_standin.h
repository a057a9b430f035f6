#ifndef STANDIN_ENDPOINT_STANDIN_H_
#define STANDIN_ENDPOINT_STANDIN_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "http/message.h"
#include "standin/run_record.h"

namespace hickoryusher::standin {

/// What the stand-in does with a request.
enum class Mode {
  kNormal,          ///< Answers 200 with the request's body.
  kHang,            ///< Runs the request and never answers.
  kFailFast,        ///< Runs the request and answers 500 at once.
  kDieMidAnswer,    ///< Runs the request and breaks off half the answer.
  kCloseAfterRead,  ///< Runs the request and closes without an answer.
  kNotRun,          ///< Answers 503 with `Hickoryusher-Not-Run: yes`.
};

/// @returns the mode called `normal`, `hang`, `fail_fast`, `die_mid_answer`,
/// `close_after_read` or `not_run`.
std::optional<Mode> ParseMode(std::string_view name);

struct Behaviour {
  Mode mode = Mode::kNormal;
  std::chrono::milliseconds delay{0};  ///< Before the answer, in each mode.
};

struct EndpointOptions {
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;
  std::size_t slots = 8;
  std::size_t connections = 64;
};

/// A service endpoint as the design page describes it, for tests.
///
/// @remarks Control port: `PUT /behaviour?mode=M&delay_ms=N`, `GET /runs`,
/// `DELETE /runs`, `GET /stats`. Answers are lines of key=value pairs. A run is
/// recorded under the request's `Run-Name` or `Hickoryusher-Request-Key`
/// header, or its path. Uses one thread per connection.
class EndpointStandIn {
 public:
  /// Listens on 127.0.0.1. @returns nothing if a port cannot be bound.
  static std::unique_ptr<EndpointStandIn> Start(const EndpointOptions& options);

  EndpointStandIn(const EndpointStandIn&) = delete;
  EndpointStandIn& operator=(const EndpointStandIn&) = delete;

  /// Breaks all connections and ends the threads.
  ~EndpointStandIn();

  std::uint16_t port() const { return port_; }
  std::uint16_t control_port() const { return control_port_; }

  void SetBehaviour(Behaviour behaviour);
  RunRecord& record() { return record_; }

 private:
  struct Worker {
    int fd = -1;
    bool done = false;
    std::thread thread;
  };
  using Handler = bool (EndpointStandIn::*)(int, const http::IncomingRequest&);

  explicit EndpointStandIn(const EndpointOptions& options);

  void Accept(int listen_fd, Handler handler, bool counted);
  void AddWorker(int fd, Handler handler, bool counted);
  void Serve(int fd, Handler handler);
  bool HandleService(int fd, const http::IncomingRequest& request);
  bool HandleControl(int fd, const http::IncomingRequest& request);
  bool Run(int fd, const http::IncomingRequest& request, Behaviour behaviour);
  bool ChangeBehaviour(std::string_view query);
  Behaviour behaviour() const;

  /// Waits until @p time has passed, the peer closes or the stand-in stops.
  /// @returns true if the whole time has passed.
  bool Wait(int fd, std::optional<std::chrono::milliseconds> time) const;

  RunRecord record_;
  int listen_fd_ = -1;
  int control_fd_ = -1;
  int stop_fd_ = -1;
  std::uint16_t port_ = 0;
  std::uint16_t control_port_ = 0;
  mutable std::mutex mutex_;
  Behaviour behaviour_;
  bool stopping_ = false;
  std::list<Worker> workers_;
  std::thread accept_service_;
  std::thread accept_control_;
};

}  // namespace hickoryusher::standin

#endif  // STANDIN_ENDPOINT_STANDIN_H_
