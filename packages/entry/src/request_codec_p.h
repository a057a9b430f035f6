#ifndef ENTRY_SRC_REQUEST_CODEC_P_H_
#define ENTRY_SRC_REQUEST_CODEC_P_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/time.h"
#include "core/work_class.h"
#include "http/message.h"
#include "retry/request_events.h"

namespace hickoryusher::entry {

/// A caller's request to a service, read from its HTTP form.
struct CallerRequest {
  std::string_view service;
  core::WorkClass work_class = core::WorkClass::kBatch;
  core::Duration time_left{};
  bool idempotent = false;
  retry::Key key;
};

/// Why a request could not be read.
struct BadRequest {
  int status = 400;
  std::string_view reason;
};

/// Reads callers' requests.
class RequestReader {
 public:
  /// @param longest_deadline requests may not ask for more.
  explicit RequestReader(core::Duration longest_deadline)
      : longest_deadline_(longest_deadline) {}

  /// @returns the request, whose views point into @p request, or nothing; see
  /// last_error().
  std::optional<CallerRequest> Read(const http::IncomingRequest& request);

  const BadRequest& last_error() const { return last_error_; }

 private:
  std::nullopt_t Refuse(int status, std::string_view reason);
  std::optional<core::Duration> ReadDeadline(
      std::span<const http::Header> headers);
  std::optional<bool> ReadIdempotent(std::span<const http::Header> headers);

  core::Duration longest_deadline_;
  BadRequest last_error_;
};

/// @returns the service's name if @p path is `/v1/services/NAME/requests`.
std::optional<std::string_view> ServiceOfPath(std::string_view path);

/// @returns the response that says that the request was not run.
http::Response NotRunResponse(core::RequestId id,
                              int status,
                              std::string_view reason,
                              core::Duration retry_after);

/// @returns the response that says that the request may have run.
http::Response UnknownResponse(core::RequestId id, std::string_view reason);

/// Marks an endpoint's complete response as answered.
http::Response AnsweredResponse(core::RequestId id,
                                int status,
                                std::span<const http::Header> headers,
                                std::string body);

/// @returns a plain text response of the entry process itself.
http::Response TextResponse(core::RequestId id,
                            int status,
                            std::string_view text);

/// @returns true if the endpoint states that it did not run the request.
bool HasNotRunMarker(int status, std::span<const http::Header> headers);

}  // namespace hickoryusher::entry

#endif  // ENTRY_SRC_REQUEST_CODEC_P_H_
