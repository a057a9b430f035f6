#ifndef SETTINGS_KEYS_H_
#define SETTINGS_KEYS_H_

#include <optional>
#include <string>
#include <string_view>

#include "settings/tree.h"

namespace hickoryusher::settings {

/// Who a bearer key belongs to.
struct Principal {
  std::string name;     ///< A team, or `admin`.
  std::string subtree;  ///< `/teams/<team>`, or `/` for `admin`.

  /// @returns true if the key may read and change @p path.
  bool MayReach(std::string_view path) const;
};

/// A new bearer key.
struct NewKey {
  std::string bearer;  ///< `<name>.<key>.<64 hex digits>`; shown once.
  std::string path;    ///< Where its hash is kept.
  std::string hash;    ///< Value of the path.
};

/// Bearer keys. The settings hold `sha256:<salt>:<hash>` at
/// `/teams/<team>/keys/<key>` and `/admin/keys/<key>`.
///
/// @remarks The secret is 256 random bits, so that a plain salted SHA-256 is
/// enough; a slow hash such as scrypt would let a caller with a wrong key load
/// the processor.
class Keys {
 public:
  /// @param name team, or `admin`.
  /// @param key name that tells the team's keys apart.
  /// @returns nothing if a name is malformed or no random bytes can be had.
  static std::optional<NewKey> Create(std::string_view name,
                                      std::string_view key);

  /// Takes the same time for a wrong secret and for an unknown key.
  /// @returns the owner of @p bearer, or nothing.
  static std::optional<Principal> Authenticate(const Tree& tree,
                                               std::string_view bearer);
};

}  // namespace hickoryusher::settings

#endif  // SETTINGS_KEYS_H_
