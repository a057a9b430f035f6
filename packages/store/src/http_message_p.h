#ifndef STORE_HTTP_MESSAGE_P_H_
#define STORE_HTTP_MESSAGE_P_H_

#include <string>
#include <string_view>

#include "store/command.h"
#include "store/event.h"

namespace hickoryusher::store {

enum class Service { kTable, kObjects, kVmList };
enum class Method { kGet, kPost, kPut };

/// A command as an HTTP request.
struct HttpRequest {
  Service service = Service::kTable;
  Method method = Method::kPost;
  std::string path;
  std::string body;
};

HttpRequest Encode(const Command& command);

/// @param status HTTP status of a complete response.
/// @returns the event of @p command; TimedOut if the response does not say
/// whether the command took effect.
Event Decode(const Command& command, long status, std::string_view body);

}  // namespace hickoryusher::store

#endif  // STORE_HTTP_MESSAGE_P_H_
