#ifndef RETRY_CLAIM_ID_H_
#define RETRY_CLAIM_ID_H_

#include <compare>

#include "core/ids.h"

namespace hickoryusher::retry {

/// Identifies one request's claim of a key, across entry processes. A repeated
/// message carries the same id.
struct ClaimId {
  core::EntryId entry;
  core::Incarnation incarnation;
  core::RequestId request;

  auto operator<=>(const ClaimId&) const = default;
};

}  // namespace hickoryusher::retry

#endif  // RETRY_CLAIM_ID_H_
