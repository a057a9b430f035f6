#include "settings/keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <span>

namespace hickoryusher::settings {
namespace {

constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kSaltBytes = 16;
constexpr std::size_t kHashBytes = 32;
constexpr std::string_view kScheme = "sha256:";
constexpr std::string_view kAdmin = "admin";

std::string ToHex(std::span<const unsigned char> bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes) {
    text += {kDigits[byte >> 4U], kDigits[byte & 15U]};
  }
  return text;
}

template <std::size_t kBytes>
std::optional<std::string> RandomHex() {
  std::array<unsigned char, kBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return std::nullopt;
  }
  return ToHex(bytes);
}

/// @returns the value that the settings hold for a secret.
std::string HashOf(std::string_view salt, std::string_view secret) {
  const std::string input = std::string(salt) + ":" + std::string(secret);
  std::array<unsigned char, kHashBytes> hash{};
  unsigned int size = 0;
  if (EVP_Digest(input.data(), input.size(), hash.data(), &size, EVP_sha256(),
                 nullptr) != 1) {
    return {};
  }
  return std::string(kScheme) + std::string(salt) + ":" + ToHex(hash);
}

bool IsName(std::string_view name) {
  return name.find_first_of("/.") == std::string_view::npos &&
         IsPath("/" + std::string(name));
}

std::string SubtreeOf(std::string_view name) {
  return name == kAdmin ? "/" : "/teams/" + std::string(name);
}

std::string PathOf(std::string_view name, std::string_view key) {
  return (name == kAdmin ? std::string("/admin") : SubtreeOf(name)) + "/keys/" +
         std::string(key);
}

struct Parts {
  std::string_view name;
  std::string_view key;
  std::string_view secret;
};

std::optional<Parts> Split(std::string_view bearer) {
  const std::size_t first = bearer.find('.');
  const std::size_t second = bearer.find('.', first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return std::nullopt;
  }
  const Parts parts{.name = bearer.substr(0, first),
                    .key = bearer.substr(first + 1, second - first - 1),
                    .secret = bearer.substr(second + 1)};
  if (!IsName(parts.name) || !IsName(parts.key) ||
      parts.secret.size() != 2 * kSecretBytes) {
    return std::nullopt;
  }
  return parts;
}

/// @returns the stored hash of the key, or one that no secret has.
std::string StoredHash(const Tree& tree, const Parts& parts) {
  const std::string none(kScheme.size() + 2 * kSaltBytes + 1 + 2 * kHashBytes,
                         '-');
  const Value* value = tree.Find(PathOf(parts.name, parts.key));
  const auto* text =
      value == nullptr ? nullptr : std::get_if<std::string>(value);
  return text == nullptr || text->size() != none.size() ? none : *text;
}

}  // namespace

bool Principal::MayReach(std::string_view path) const {
  return IsWithin(path, subtree);
}

std::optional<NewKey> Keys::Create(std::string_view name,
                                   std::string_view key) {
  const std::optional<std::string> secret = RandomHex<kSecretBytes>();
  const std::optional<std::string> salt = RandomHex<kSaltBytes>();
  if (!IsName(name) || !IsName(key) || !secret || !salt) {
    return std::nullopt;
  }
  return NewKey{
      .bearer = std::string(name) + "." + std::string(key) + "." + *secret,
      .path = PathOf(name, key),
      .hash = HashOf(*salt, *secret)};
}

std::optional<Principal> Keys::Authenticate(const Tree& tree,
                                            std::string_view bearer) {
  const std::optional<Parts> parts = Split(bearer);
  if (!parts) {
    return std::nullopt;
  }
  const std::string stored = StoredHash(tree, *parts);
  const std::string salt = stored.substr(kScheme.size(), 2 * kSaltBytes);
  const std::string given = HashOf(salt, parts->secret);
  if (given.size() != stored.size() ||
      CRYPTO_memcmp(given.data(), stored.data(), stored.size()) != 0) {
    return std::nullopt;
  }
  return Principal{.name = std::string(parts->name),
                   .subtree = SubtreeOf(parts->name)};
}

}  // namespace hickoryusher::settings
