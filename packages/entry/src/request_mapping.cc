#include "request_mapping_p.h"

#include <algorithm>
#include <iterator>

namespace hickoryusher::entry {

retry::ExchangeStage ToExchangeStage(http::Stage stage) {
  switch (stage) {
    case http::Stage::kBeforeConnection:
    case http::Stage::kConnecting:
      return retry::ExchangeStage::kConnecting;
    case http::Stage::kSending:
      return retry::ExchangeStage::kSending;
    case http::Stage::kAwaitingFirstByte:
      return retry::ExchangeStage::kAwaitingFirstByte;
    case http::Stage::kReceiving:
      return retry::ExchangeStage::kReceiving;
  }
  return retry::ExchangeStage::kSending;
}

retry::Reason ToReason(std::string_view reason) {
  struct Row {
    std::string_view name;
    retry::Reason reason;
  };
  static constexpr Row kRows[] = {
      {"refused", retry::Reason::kConnectRefused},
      {"connect_timeout", retry::Reason::kConnectTimeout},
      {"first_byte_timeout", retry::Reason::kFirstByteTimeout},
      {"total_timeout", retry::Reason::kDeadline},
      {"deadline_passed", retry::Reason::kDeadline},
      {"truncated", retry::Reason::kTruncated},
      {"oversized", retry::Reason::kOversized},
      {"malformed", retry::Reason::kMalformed},
      {"no_length", retry::Reason::kMalformed},
      {"cancelled", retry::Reason::kCancelled},
      {"connection_limit", retry::Reason::kNoEndpoint},
      {"exchange_limit", retry::Reason::kRingFull},
      {"shutting_down", retry::Reason::kShutdown}};
  const auto* found = std::ranges::find(kRows, reason, &Row::name);
  return found == std::end(kRows) ? retry::Reason::kConnectionBroken
                                  : found->reason;
}

retry::Reason ToReason(routing::Reason reason) {
  return reason == routing::Reason::kDeadlinePassed
             ? retry::Reason::kDeadline
             : retry::Reason::kNoEndpoint;
}

routing::AttemptResult ToResult(const retry::ReleaseEndpoint& command) {
  switch (command.result) {
    case retry::AttemptResult::kAnswered:
      return routing::Succeeded{.latency = command.elapsed};
    case retry::AttemptResult::kNotRun:
    case retry::AttemptResult::kUnconnected:
      return routing::Refused{};
    case retry::AttemptResult::kFailed:
      return routing::Failed{};
    case retry::AttemptResult::kNoFirstByte:
      return routing::TimedOut{};
    case retry::AttemptResult::kUnused:
    case retry::AttemptResult::kAbandoned:
      return routing::Abandoned{};
  }
  return routing::Abandoned{};
}

retry::Reason ToReason(admission::Refusal refusal) {
  switch (refusal) {
    case admission::Refusal::kQueueFull:
      return retry::Reason::kQueueFull;
    case admission::Refusal::kWaitTooLong:
      return retry::Reason::kAdmission;
    case admission::Refusal::kDeadlinePassed:
      return retry::Reason::kDeadline;
    case admission::Refusal::kShutdown:
      return retry::Reason::kShutdown;
  }
  return retry::Reason::kAdmission;
}

int NotRunStatus(retry::Reason reason) {
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  const bool flooded = reason == retry::Reason::kAdmission ||
                       reason == retry::Reason::kQueueFull;
  return flooded ? kTooManyRequests : kServiceUnavailable;
}

std::size_t ConnectionLimit(const routing::Slot& slot,
                            const routing::SlotEntry& entry,
                            int endpoint_connections) {
  const int limit =
      slot.loan.valid() ? endpoint_connections : entry.connections;
  return static_cast<std::size_t>(std::max(1, limit));
}

}  // namespace hickoryusher::entry
