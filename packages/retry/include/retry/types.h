#ifndef RETRY_TYPES_H_
#define RETRY_TYPES_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/handle.h"
#include "core/ids.h"

namespace hickoryusher::retry {

/// What a caller is told about its request.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< The endpoint's complete response follows.
  kNotRun,    ///< Proven: no endpoint ran the request.
  kUnknown,   ///< The request may have run.
};

/// Why a request has its outcome, or why an exchange failed.
enum class Reason : std::uint8_t {
  kNone,
  kAdmission,
  kQueueFull,
  kDeadline,
  kRingFull,
  kShutdown,
  kKeyHeld,
  kKeyUnresolved,
  kTicketVoid,
  kNoEndpoint,
  kConnectRefused,
  kConnectTimeout,
  kConnectionBroken,
  kEndpointRefused,
  kFirstByteTimeout,
  kTruncated,
  kOversized,
  kMalformed,
  kCancelled,
};

/// @returns the name used in `Hickoryusher-Outcome`.
std::string_view ToString(Outcome outcome);

/// @returns the name used in `Hickoryusher-Reason` and in log lines.
std::string_view ToString(Reason reason);

/// Where a key of a request comes from, and so who arbitrates it.
enum class KeyKind : std::uint8_t {
  kNone,
  kTicket,  ///< Issued by an entry process; claimed at its issuer.
  kCaller,  ///< Chosen by the caller; claimed in the table service.
};

struct Key {
  KeyKind kind = KeyKind::kNone;
  std::string text;
};

/// What an arbiter remembers of the request that holds a key.
struct StoredOutcome {
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  int status = 0;        ///< The endpoint's, when answered.
  std::string response;  ///< Opaque, complete response when answered.
};

/// Identifies one started timer, so that a late expiry cannot be taken for
/// that of a newer timer.
using TimerId = core::Handle<struct TimerTag, std::uint64_t>;

/// Largest number of times one request is sent.
inline constexpr std::size_t kMaxAttempts = 4;

/// Distinct handles, at most one for each attempt.
template <typename Id>
class AttemptList {
 public:
  /// @remarks does nothing if @p id is invalid, already listed, or the list is
  /// full.
  void Add(Id id) {
    if (id.valid() && size_ < kMaxAttempts && !Contains(id)) {
      ids_[size_++] = id;
    }
  }

  bool Contains(Id id) const {
    for (const Id known : view()) {
      if (known == id) {
        return true;
      }
    }
    return false;
  }

  std::span<const Id> view() const {
    return std::span<const Id>(ids_).first(size_);
  }

 private:
  std::array<Id, kMaxAttempts> ids_;
  std::uint8_t size_ = 0;
};

}  // namespace hickoryusher::retry

#endif  // RETRY_TYPES_H_
