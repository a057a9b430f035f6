#ifndef ENTRY_SRC_SHARE_CODEC_P_H_
#define ENTRY_SRC_SHARE_CODEC_P_H_

#include <json/value.h>

#include <optional>

#include "directory_p.h"
#include "routing/share_types.h"
#include "vm_lives_p.h"

namespace hickoryusher::entry {

/// Writes a share message with the names behind its handles, because handles
/// differ between processes.
Json::Value EncodeEnvelope(const routing::ShareEnvelope& envelope,
                           const Directory& directory,
                           const VmLives& vms);

/// @returns nothing if the message is malformed or names something that the
/// settings do not.
std::optional<routing::ShareEnvelope> DecodeEnvelope(const Json::Value& value,
                                                     const Directory& directory,
                                                     VmLives& vms);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_SHARE_CODEC_P_H_
