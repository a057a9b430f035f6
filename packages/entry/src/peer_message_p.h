#ifndef ENTRY_SRC_PEER_MESSAGE_P_H_
#define ENTRY_SRC_PEER_MESSAGE_P_H_

#include <optional>
#include <string>

#include "core/handle.h"
#include "core/ids.h"
#include "core/time.h"

namespace hickoryusher::entry {

using PeerCallId = core::Handle<struct PeerCallTag, std::uint64_t>;

/// A JSON-RPC call to another entry process.
struct PeerCall {
  PeerCallId id;
  core::EntryId to;
  std::string text;
  core::Duration timeout{};
  std::string path = "/rpc";
};

/// The end of a PeerCall.
struct PeerReply {
  PeerCallId id;
  std::optional<std::string> text;  ///< Empty when no reply was received.
};

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_PEER_MESSAGE_P_H_
