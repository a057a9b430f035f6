#ifndef STANDINS_PLATFORM_OBJECT_SERVER_H_
#define STANDINS_PLATFORM_OBJECT_SERVER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "platform/fault_server.h"

namespace hickoryusher::standins {

/// Stand-in for the object store: PUT and GET /v1/objects/NAME with the content
/// as the body; 404 for an unknown name.
class ObjectServer {
 public:
  explicit ObjectServer(std::uint16_t port = 0);

  FaultServer& server() { return server_; }

 private:
  Reply Handle(const Request& request);

  std::mutex mutex_;
  std::map<std::string, std::string> objects_;  ///< By request path.
  FaultServer server_;  ///< Last, so that no request outlives the objects.
};

}  // namespace hickoryusher::standins

#endif  // STANDINS_PLATFORM_OBJECT_SERVER_H_
