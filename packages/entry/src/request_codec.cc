#include <algorithm>
#include <charconv>
#include <iterator>

#include "request_codec_p.h"

namespace hickoryusher::entry {
namespace {

constexpr std::string_view kPathPrefix = "/v1/services/";
constexpr std::string_view kPathSuffix = "/requests";
constexpr std::string_view kTicketPrefix = "t1.";
constexpr std::size_t kMaxKeyBytes = 128;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

bool IsPrintableAscii(std::string_view text) {
  return std::ranges::all_of(text,
                             [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string RetryAfterSeconds(core::Duration duration) {
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(duration).count();
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

}  // namespace

std::optional<std::string_view> ServiceOfPath(std::string_view path) {
  if (!path.starts_with(kPathPrefix) || !path.ends_with(kPathSuffix) ||
      path.size() <= kPathPrefix.size() + kPathSuffix.size()) {
    return std::nullopt;
  }
  path.remove_prefix(kPathPrefix.size());
  path.remove_suffix(kPathSuffix.size());
  if (path.find('/') != std::string_view::npos) {
    return std::nullopt;
  }
  return path;
}

std::optional<CallerRequest> RequestReader::Read(
    const http::IncomingRequest& request) {
  const auto service = ServiceOfPath(request.path);
  if (!service) {
    return Refuse(404, "unknown_path");
  }
  if (request.method != "POST") {
    return Refuse(405, "method_not_allowed");
  }
  const std::span<const http::Header> headers = request.headers;
  const auto work_class =
      core::ParseWorkClass(http::FindHeader(headers, "Hickoryusher-Class"));
  if (!work_class) {
    return Refuse(400, "bad_class");
  }
  const auto time_left = ReadDeadline(headers);
  if (!time_left) {
    return Refuse(400, "bad_deadline");
  }
  const auto idempotent = ReadIdempotent(headers);
  if (!idempotent) {
    return Refuse(400, "bad_repeatable");
  }
  CallerRequest result{.service = *service,
                       .work_class = *work_class,
                       .time_left = *time_left,
                       .idempotent = *idempotent};
  const std::string_view key =
      http::FindHeader(headers, "Hickoryusher-Request-Key");
  if (key.size() > kMaxKeyBytes || !IsPrintableAscii(key)) {
    return Refuse(400, "bad_request_key");
  }
  if (!key.empty()) {
    result.key.kind = key.starts_with(kTicketPrefix) ? retry::KeyKind::kTicket
                                                     : retry::KeyKind::kCaller;
    result.key.text = key;
  }
  return result;
}

std::nullopt_t RequestReader::Refuse(int status, std::string_view reason) {
  last_error_ = {.status = status, .reason = reason};
  return std::nullopt;
}

std::optional<core::Duration> RequestReader::ReadDeadline(
    std::span<const http::Header> headers) {
  const std::string_view text =
      http::FindHeader(headers, "Hickoryusher-Deadline-Ms");
  std::int64_t millis = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size() ||
      millis < 1) {
    return std::nullopt;
  }
  if (millis > core::ToMillis(longest_deadline_)) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(millis);
}

std::optional<bool> RequestReader::ReadIdempotent(
    std::span<const http::Header> headers) {
  const std::string_view text =
      http::FindHeader(headers, "Hickoryusher-Repeatable");
  if (text == "yes" || text == "no") {
    return text == "yes";
  }
  return std::nullopt;
}

http::Response NotRunResponse(core::RequestId id,
                              int status,
                              std::string_view reason,
                              core::Duration retry_after) {
  http::Response response = TextResponse(id, status, reason);
  response.headers.push_back({"Hickoryusher-Outcome", "not_run"});
  response.headers.push_back({"Hickoryusher-Reason", std::string(reason)});
  if (status == kServiceUnavailable || retry_after > core::Duration::zero()) {
    response.headers.push_back({"Retry-After", RetryAfterSeconds(retry_after)});
  }
  return response;
}

http::Response UnknownResponse(core::RequestId id, std::string_view reason) {
  http::Response response = TextResponse(id, kGatewayTimeout, reason);
  response.headers.push_back({"Hickoryusher-Outcome", "unknown"});
  response.headers.push_back({"Hickoryusher-Reason", std::string(reason)});
  return response;
}

http::Response AnsweredResponse(core::RequestId id,
                                int status,
                                std::span<const http::Header> headers,
                                std::string body) {
  http::Response response{.id = id, .status = status, .body = std::move(body)};
  std::ranges::copy_if(
      headers, std::back_inserter(response.headers),
      [](const http::Header& h) { return !http::IsHopByHop(h.name); });
  response.headers.push_back({"Hickoryusher-Outcome", "answered"});
  return response;
}

http::Response TextResponse(core::RequestId id,
                            int status,
                            std::string_view text) {
  return {.id = id,
          .status = status,
          .headers = {{"Content-Type", "text/plain; charset=utf-8"}},
          .body = std::string(text) + "\n"};
}

bool HasNotRunMarker(int status, std::span<const http::Header> headers) {
  return status == kServiceUnavailable &&
         http::FindHeader(headers, "Hickoryusher-Not-Run") == "yes";
}

}  // namespace hickoryusher::entry
