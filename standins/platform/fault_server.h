#ifndef STANDINS_PLATFORM_FAULT_SERVER_H_
#define STANDINS_PLATFORM_FAULT_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hickoryusher::standins {

struct Request {
  bool write = false;  ///< Set by the classifier.
  std::string method;
  std::string path;
  std::string body;
};

struct Reply {
  int status = 200;
  std::string body;
  bool answer = true;  ///< False leaves the connection open without a reply.
};

/// Faults of a platform service; POST /faults sets the ones it names.
struct Faults {
  bool outage = false;            ///< Every request is answered with 503.
  std::int64_t slow_ms = 0;       ///< Requests run that much later.
  std::int64_t lost_answers = 0;  ///< That many writes get no answer.
  std::int64_t lag_ms = 0;        ///< Age of the VM list that is shown.
};

/// HTTP server on the loopback interface with faults that can be switched
/// while it runs.
class FaultServer {
 public:
  /// Runs one request. Called from several threads.
  using Handler = std::function<Reply(const Request&)>;
  /// Tells whether a request changes something.
  using IsWrite = std::function<bool(const Request&)>;

  /// @param port 0 for any free port.
  FaultServer(std::uint16_t port, IsWrite is_write, Handler handler);
  ~FaultServer();

  FaultServer(const FaultServer&) = delete;
  FaultServer& operator=(const FaultServer&) = delete;

  std::uint16_t port() const;
  std::string url() const;
  Faults faults() const;
  void SetFaults(const Faults& faults);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hickoryusher::standins

#endif  // STANDINS_PLATFORM_FAULT_SERVER_H_
