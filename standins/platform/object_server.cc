#include "platform/object_server.h"

namespace hickoryusher::standins {

ObjectServer::ObjectServer(std::uint16_t port)
    : server_(
          port,
          [](const Request& r) { return r.method == "PUT"; },
          [this](const Request& r) { return Handle(r); }) {}

Reply ObjectServer::Handle(const Request& request) {
  if (!request.path.starts_with("/v1/objects/")) {
    return {.status = 404};
  }
  const std::lock_guard lock(mutex_);
  if (request.write) {
    objects_[request.path] = request.body;
    return {};
  }
  const auto found = objects_.find(request.path);
  return found == objects_.end() ? Reply{.status = 404}
                                 : Reply{.body = found->second};
}

}  // namespace hickoryusher::standins
