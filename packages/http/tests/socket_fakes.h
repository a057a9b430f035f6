#ifndef SOCKET_FAKES_H_
#define SOCKET_FAKES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <thread>

namespace hickoryusher::http {

/// A caller that sends bytes exactly as given.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port);
  ~RawClient();
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  /// @returns false once the peer has broken the connection.
  bool Send(std::string_view bytes);

  /// @returns the next response, head and body; empty at the end of input.
  std::string ReadResponse();

  /// @returns true if the peer ends the connection without further bytes.
  bool ReadEnd();

  void Close();

  /// Closes with a reset instead of an orderly end.
  void Reset();

 private:
  bool ReadMore();

  int fd_ = -1;
  std::string buffer_;
};

/// A server that accepts one connection, reads one request head, sends fixed
/// bytes and closes.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::string answer);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string url() const;

 private:
  void Serve();

  std::string answer_;
  int listen_fd_ = -1;
  std::thread thread_;
};

/// Binds a port on 127.0.0.1. @returns the socket.
int BindLoopback(std::uint16_t& port);

}  // namespace hickoryusher::http

#endif  // SOCKET_FAKES_H_
