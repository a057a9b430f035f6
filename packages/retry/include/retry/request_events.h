#ifndef RETRY_REQUEST_EVENTS_H_
#define RETRY_REQUEST_EVENTS_H_

#include <optional>
#include <string_view>
#include <variant>

#include "core/ids.h"
#include "core/time.h"
#include "core/work_class.h"
#include "retry/types.h"

namespace hickoryusher::retry {

// Events.

struct RequestArrived {
  core::RequestId request;
  core::ServiceId service;
  core::WorkClass work_class = core::WorkClass::kBatch;
  core::TimePoint deadline;
  bool idempotent = false;
  Key key;
  core::TeamId team;
  /// For idempotent requests, instead of the policy's; zero waits until the
  /// deadline.
  std::optional<core::Duration> first_byte_timeout{};
};

struct AdmissionGranted {
  core::RequestId request;
};

/// Reasons other than kAdmission, such as kShutdown and kDeadline, must be
/// kept: they are answered with 503 instead of 429.
struct AdmissionRefused {
  core::RequestId request;
  Reason reason = Reason::kAdmission;
  core::Duration retry_after{};
};

struct KeyGranted {
  core::RequestId request;
};

/// Another request holds the key.
struct KeyHeld {
  core::RequestId request;
  std::optional<StoredOutcome> stored;  ///< Empty while it is not known.
};

struct KeyUnresolved {
  core::RequestId request;
  Reason reason = Reason::kKeyUnresolved;
  core::Duration retry_after{};
};

/// The issuer proves that the ticket was never claimed and never will be.
struct KeyVoided {
  core::RequestId request;
};

struct EndpointChosen {
  core::RequestId request;
  core::AttemptId attempt;
  core::EndpointId endpoint;
  core::RackId rack;
  core::VmId vm;
};

struct NoEndpoint {
  core::RequestId request;
  Reason reason = Reason::kNoEndpoint;
  core::Duration retry_after{};
};

/// From now on bytes of the request may be written.
struct ExchangeConnected {
  core::RequestId request;
  core::AttemptId attempt;
};

/// The whole request was written. An adapter that cannot tell may omit it.
struct ExchangeSent {
  core::RequestId request;
  core::AttemptId attempt;
};

struct ExchangeFirstByte {
  core::RequestId request;
  core::AttemptId attempt;
};

/// The endpoint's response is complete and well-formed.
struct ExchangeCompleted {
  core::RequestId request;
  core::AttemptId attempt;
  int status = 0;
  bool not_run_marker = false;  ///< `Hickoryusher-Not-Run: yes` was present.
};

/// How far an exchange had come when it failed, as its adapter knows it.
enum class ExchangeStage : std::uint8_t {
  kConnecting,  ///< Provably no byte was written.
  kSending,
  kAwaitingFirstByte,
  kReceiving,
};

struct ExchangeFailed {
  core::RequestId request;
  core::AttemptId attempt;
  ExchangeStage stage = ExchangeStage::kSending;
  Reason reason = Reason::kConnectionBroken;
};

struct TimerExpired {
  core::RequestId request;
  TimerId timer;
};

struct ShutdownStarted {};

using RequestEvent = std::variant<RequestArrived,
                                  AdmissionGranted,
                                  AdmissionRefused,
                                  KeyGranted,
                                  KeyHeld,
                                  KeyUnresolved,
                                  KeyVoided,
                                  EndpointChosen,
                                  NoEndpoint,
                                  ExchangeConnected,
                                  ExchangeSent,
                                  ExchangeFirstByte,
                                  ExchangeCompleted,
                                  ExchangeFailed,
                                  TimerExpired,
                                  ShutdownStarted>;

// Commands.

struct AskAdmission {
  core::RequestId request;
  core::WorkClass work_class = core::WorkClass::kBatch;
  core::TimePoint deadline;
};

struct ClaimKey {
  core::RequestId request;
  core::TeamId team;
  core::ServiceId service;
  Key key;
};

/// Asks the issuer to mark a ticket so that it can never be claimed. Answered
/// by KeyVoided, KeyHeld or KeyUnresolved.
struct VoidKey {
  core::RequestId request;
  Key key;
};

/// Tells the arbiter the outcome of the request that holds the key. The entry
/// adds the response when the outcome is answered.
struct StoreKeyOutcome {
  core::RequestId request;
  core::TeamId team;
  core::ServiceId service;
  Key key;
  core::AttemptId attempt;  ///< Whose response it is; valid when answered.
  StoredOutcome outcome;
};

struct ChooseEndpoint {
  core::RequestId request;
  core::ServiceId service;
  core::WorkClass work_class = core::WorkClass::kBatch;
  core::TimePoint deadline;
  AttemptList<core::EndpointId> avoid;  ///< Must not be chosen.
  AttemptList<core::RackId>
      racks_tried_last;  ///< Only if nothing else is free.
};

struct TimeLimits {
  core::Duration connect{};
  core::TimePoint deadline;
};

struct StartExchange {
  core::RequestId request;
  core::AttemptId attempt;
  core::EndpointId endpoint;
  core::VmId vm;
  /// False requires a fresh connection that is not reused, because the library
  /// would silently resend on a reused one.
  bool idempotent = false;
  TimeLimits limits;
};

/// The adapter answers with ExchangeFailed and the stage it had reached.
struct CancelExchange {
  core::RequestId request;
  core::AttemptId attempt;
};

/// The only delivery of a request. It also ends the request's admission.
struct DeliverOutcome {
  core::RequestId request;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  core::Duration retry_after{};
  core::AttemptId attempt;  ///< Whose response to deliver; valid when answered.
  int status = 0;
  std::string stored_response;  ///< Of the request that held the same key.
  int sends = 0;
};

/// How an attempt ended, for the endpoint's health and latency.
enum class AttemptResult : std::uint8_t {
  kUnused,  ///< Nothing was started.
  kAnswered,
  kNotRun,  ///< The endpoint refused the request.
  kUnconnected,
  kFailed,  ///< Broken or malformed after the first byte of the request.
  kNoFirstByte,
  kAbandoned,  ///< The deadline passed; the endpoint may still be working.
};

/// @returns the name used in log lines.
std::string_view ToString(AttemptResult result);

struct ReleaseEndpoint {
  core::RequestId request;
  core::AttemptId attempt;
  core::EndpointId endpoint;
  AttemptResult result = AttemptResult::kUnused;
  core::Duration elapsed{};  ///< Since the attempt began.
};

struct StartTimer {
  core::RequestId request;
  TimerId timer;
  core::TimePoint at;
};

struct CancelTimer {
  core::RequestId request;
  TimerId timer;
};

using RequestCommand = std::variant<AskAdmission,
                                    ClaimKey,
                                    VoidKey,
                                    StoreKeyOutcome,
                                    ChooseEndpoint,
                                    StartExchange,
                                    CancelExchange,
                                    DeliverOutcome,
                                    ReleaseEndpoint,
                                    StartTimer,
                                    CancelTimer>;

}  // namespace hickoryusher::retry

#endif  // RETRY_REQUEST_EVENTS_H_
