#ifndef HTTP_FRONT_TRANSPORT_P_H_
#define HTTP_FRONT_TRANSPORT_P_H_

#include <pistache/listener.h>
#include <pistache/peer.h>
#include <pistache/tcp.h>
#include <pistache/transport.h>

#include <memory>
#include <unordered_map>
#include <vector>

#include "connection_p.h"
#include "front_shared_p.h"

namespace hickoryusher::http {

/// One of the front's threads: Pistache accepts and reads, this class frames
/// requests and sends responses.
///
/// @remarks Pistache's own HTTP handler sends responses in the order in which
/// they finish and loses a second request in the same segment. Its write queue
/// names sockets by number, so a late response could go to the next caller
/// with that number. Responses are therefore written here, on the thread that
/// owns the connection.
class FrontTransport : public Pistache::Tcp::Transport {
 public:
  FrontTransport(const std::shared_ptr<Pistache::Tcp::Handler>& handler,
                 std::shared_ptr<FrontShared> shared);

  void registerPoller(Pistache::Polling::Epoll& poller) override;
  void onReady(const Pistache::Aio::FdSet& fds) override;
  std::shared_ptr<Pistache::Aio::Handler> clone() const override;

  void Connected(int fd);
  void Disconnected(int fd);
  void Received(int fd, std::string_view input);

 private:
  void HandleRequest(Connection& connection, ParsedRequest&& parsed);
  void Refuse(Connection& connection,
              int status,
              std::string_view reason,
              bool close);
  void SendContinue(Connection& connection);
  void DeliverResponses();
  void DeliverResponse(Response&& response);
  void WriteReady(Connection& connection);
  bool WriteSlot(Connection& connection, ResponseSlot& slot);
  void CloseOutput(Connection& connection);
  void UpdateDeadline(Connection& connection);
  void HandleTick();
  void Expire(Connection& connection);
  void ArmTick(bool armed);
  core::RequestId NextId();

  std::shared_ptr<Pistache::Tcp::Handler> prototype_;
  std::shared_ptr<FrontShared> shared_;
  ResponseInbox* inbox_ = nullptr;
  std::uint64_t index_ = 0;
  std::uint64_t sequence_ = 0;
  UniqueFd timer_fd_;
  std::unordered_map<int, std::unique_ptr<Connection>> connections_;
  std::unordered_map<core::RequestId, Connection*> pending_;
  std::vector<Response> drained_;
};

/// Passes Pistache's callbacks to the transport of the same thread.
class FrontHandler : public Pistache::Tcp::Handler {
 public:
  PROTOTYPE_OF(Pistache::Tcp::Handler, FrontHandler)

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override;
  void onDisconnection(
      const std::shared_ptr<Pistache::Tcp::Peer>& peer) override;
  void onInput(const char* buffer,
               std::size_t length,
               const std::shared_ptr<Pistache::Tcp::Peer>& peer) override;

 private:
  FrontTransport& front() { return *static_cast<FrontTransport*>(transport()); }
};

}  // namespace hickoryusher::http

#endif  // HTTP_FRONT_TRANSPORT_P_H_
