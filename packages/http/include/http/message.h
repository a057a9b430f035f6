#ifndef HTTP_MESSAGE_H_
#define HTTP_MESSAGE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace hickoryusher::http {

struct Header {
  std::string name;
  std::string value;
};

/// @returns true if the two header names are equal without regard to case.
bool EqualNames(std::string_view a, std::string_view b);

/// @returns the value of the first header with this name, or an empty view.
/// The view is valid as long as @p headers.
std::string_view FindHeader(std::span<const Header> headers,
                            std::string_view name);

/// @returns true for headers that belong to one connection and must not be
/// forwarded, including `Content-Length` and `Host`, which each hop sets.
bool IsHopByHop(std::string_view name);

/// @returns true if the name is a token and the value has no control
/// characters, so that the header cannot add lines to a message.
bool IsValidHeader(std::string_view name, std::string_view value);

/// @returns true for a method name of RFC 9110 (a token).
bool IsToken(std::string_view text);

/// One complete request as a caller sent it.
struct IncomingRequest {
  core::RequestId id;
  std::string method;
  std::string path;   ///< As sent, not decoded.
  std::string query;  ///< As sent, without the question mark.
  std::vector<Header> headers;
  std::string body;
  core::TimePoint arrived;  ///< When the last byte of the request was read.
};

/// @returns the bytes that a text holds beside the string itself, which has
/// room for a short one.
std::size_t HeldBytes(const std::string& text);

/// @returns the bytes that a request holds, by the capacity of its buffers.
std::size_t HeldBytes(const IncomingRequest& request);

/// The response to one IncomingRequest.
struct Response {
  core::RequestId id;
  int status = 500;
  /// Hop-by-hop headers are left out when the response is sent.
  std::vector<Header> headers;
  std::string body;
};

}  // namespace hickoryusher::http

#endif  // HTTP_MESSAGE_H_
