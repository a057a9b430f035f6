#include "peer_exchange_p.h"

#include <chrono>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::entry {
namespace {

constexpr std::size_t kPeerConnections = 4;

}  // namespace

http::UpstreamCommand ToExchange(PeerCall&& call, const Directory& directory) {
  const config::EntrySettings& to = directory.entry(call.to);
  const auto timeout =
      std::chrono::ceil<std::chrono::milliseconds>(call.timeout);
  return http::StartExchange{
      .id = core::AttemptId(call.id.value()),
      .url = "http://" + to.address + ":" + std::to_string(to.port) + call.path,
      .method = "POST",
      .headers = {{"Content-Type", "application/json"}},
      .body = std::move(call.text),
      .idempotent = true,
      .connect_timeout = timeout,
      .total_timeout = timeout,
      .max_connections_per_host = kPeerConnections};
}

std::optional<PeerReply> ToPeerReply(const http::UpstreamEvent& event) {
  using Result = std::optional<PeerReply>;
  return std::visit(
      core::Overloaded{
          [](const http::FirstByte&) -> Result { return std::nullopt; },
          [](const http::Completed& e) -> Result {
            return PeerReply{.id = PeerCallId(e.id.value()), .text = e.body};
          },
          [](const http::Failed& e) -> Result {
            return PeerReply{.id = PeerCallId(e.id.value()),
                             .text = std::nullopt};
          }},
      event);
}

}  // namespace hickoryusher::entry
