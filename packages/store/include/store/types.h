#ifndef STORE_TYPES_H_
#define STORE_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/handle.h"

namespace hickoryusher::store {

/// Chosen by the issuer of a command, unique within one adapter.
using CommandId = core::Handle<struct CommandTag, std::uint64_t>;

/// Number of the transaction that last wrote a row. The table counts its
/// transactions from 1, so a row that is deleted and written again never gets
/// an earlier version back.
using RowVersion = std::uint64_t;

/// Version of a row that does not exist.
inline constexpr RowVersion kAbsent = 0;

/// Row of the table service. Keys and values are UTF-8 text.
struct Row {
  std::string key;
  std::string value;
  RowVersion version = kAbsent;

  bool operator==(const Row&) const = default;
};

/// A row's key and version, as a condition or as found.
struct KeyVersion {
  std::string key;
  RowVersion version = kAbsent;

  bool operator==(const KeyVersion&) const = default;
};

enum class VmState { kLive, kLeaving };

/// Entry of the platform's VM list. A name stands for one life of a VM: a VM
/// that restarts or is replaced gets another.
struct Vm {
  std::string name;
  std::string address;
  std::string failure_domain;
  VmState state = VmState::kLive;

  bool operator==(const Vm&) const = default;
};

}  // namespace hickoryusher::store

#endif  // STORE_TYPES_H_
