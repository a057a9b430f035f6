#ifndef ENTRY_SRC_PEER_EXCHANGE_P_H_
#define ENTRY_SRC_PEER_EXCHANGE_P_H_

#include <optional>

#include "directory_p.h"
#include "http/upstream.h"
#include "peer_message_p.h"

namespace hickoryusher::entry {

/// @returns the HTTP exchange that carries @p call.
http::UpstreamCommand ToExchange(PeerCall&& call, const Directory& directory);

/// @returns the end of a call, or nothing for an event in its course.
std::optional<PeerReply> ToPeerReply(const http::UpstreamEvent& event);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_PEER_EXCHANGE_P_H_
