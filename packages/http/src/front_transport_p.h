#ifndef HTTP_FRONT_TRANSPORT_P_H_
#define HTTP_FRONT_TRANSPORT_P_H_

#include <pistache/listener.h>
#include <pistache/peer.h>
#include <pistache/tcp.h>
#include <pistache/transport.h>

#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "connection_p.h"
#include "eviction_p.h"
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

  /// Marks the connection as closing and ends the socket in both directions.
  void ShutDown(Connection& connection);

  /// Charges what the connection holds now.
  void Charge(Connection& connection);

  /// Like Charge(), and closes connections while the budget is exceeded.
  void ChargeAndMakeRoom(Connection& connection);

  /// Charges a request that is about to be handed over.
  /// @returns false, with nothing charged, if there is no room for it.
  bool ChargeRequest(const Connection& connection, std::size_t bytes);
  void ReleaseRequest(std::size_t bytes);
  std::size_t CostOf(const IncomingRequest& request) const;
  /// @param except is not closed.
  void MakeRoomForBytes(const Connection* except);

  /// @returns false if every other connection has a request in progress.
  bool MakeRoomForConnection(const Connection& added);

  /// Frees what the connection holds beside requests in progress. An incomplete
  /// request is refused if the response can be written.
  void Evict(Connection& connection, std::string_view reason, bool lingers);

  /// Frees all buffers of a connection whose responses cannot be sent. Its
  /// requests in progress stay charged.
  void Drop(Connection& connection);

  /// Detaches requests in progress from a connection that goes.
  void Forget(Connection& connection);
  void LogDueLimits();

  /// The connections, and what decides which of them is closed.
  struct Candidates {
    std::vector<Connection*> connections;
    std::vector<EvictionCandidate> facts;  ///< In the same order.
  };
  Candidates ListCandidates(const Connection* except) const;

  struct PendingRequest {
    Connection* connection = nullptr;  ///< Null if the caller has left.
    std::size_t bytes = 0;             ///< Charged to the budget.
  };

  std::shared_ptr<Pistache::Tcp::Handler> prototype_;
  std::shared_ptr<FrontShared> shared_;
  ResponseInbox* inbox_ = nullptr;
  std::uint64_t index_ = 0;
  std::uint64_t sequence_ = 0;
  UniqueFd timer_fd_;
  std::unordered_map<int, std::unique_ptr<Connection>> connections_;
  std::unordered_map<core::RequestId, PendingRequest> pending_;
  ByteBudget* budget_ = nullptr;
  std::size_t pending_bytes_ = 0;  ///< Sum of the charges of pending_.
  bool tick_armed_ = false;
  std::size_t shut_down_ = 0;  ///< Connections that are about to end.
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
