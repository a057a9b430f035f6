#ifndef ENTRY_SRC_SHARE_CODEC_P_H_
#define ENTRY_SRC_SHARE_CODEC_P_H_

#include <json/value.h>

#include <optional>

#include "core/ids.h"
#include "core/name_table.h"
#include "directory_p.h"
#include "routing/share_types.h"

namespace hickoryusher::entry {

/// VMs of entry processes and of the VM list. A name stands for one life of a
/// VM.
using VmTable = core::NameTable<core::VmId>;

/// Writes a share message with the names behind its handles, because handles
/// differ between processes.
Json::Value EncodeEnvelope(const routing::ShareEnvelope& envelope,
                           const Directory& directory,
                           const VmTable& vms);

/// @returns nothing if the message is malformed or names something that the
/// settings do not.
std::optional<routing::ShareEnvelope> DecodeEnvelope(const Json::Value& value,
                                                     const Directory& directory,
                                                     VmTable& vms);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_SHARE_CODEC_P_H_
