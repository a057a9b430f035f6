#include "worker/worker_server.h"

#include <chrono>
#include <utility>

#include "platform/json.h"

namespace hickoryusher::standins {

WorkerServer::WorkerServer(std::uint16_t port,
                           WorkerOptions options,
                           const std::string& object_url)
    : worker_(std::move(options),
              [this](store::Command&& command) {
                return objects_ != nullptr &&
                       objects_->Send(std::move(command));
              }),
      objects_(object_url.empty()
                   ? nullptr
                   : std::make_unique<store::HttpAdapter>(
                         store::HttpAdapter::Options{.object_url = object_url},
                         [this](store::Event&& event) {
                           worker_.TakeObject(event,
                                              std::chrono::steady_clock::now());
                           return true;
                         })),
      server_(
          port,
          [](const Request& r) { return r.path == "/v1/exchange"; },
          [this](const Request& r) { return Handle(r); }) {}

Reply WorkerServer::Handle(const Request& request) {
  if (request.path == "/runs") {
    return {.body = WriteJson(worker_.Runs())};
  }
  const std::optional<Json::Value> body = ParseJson(request.body);
  if (!body) {
    return {.status = 400};
  }
  try {
    if (request.path == "/behaviour") {
      const auto mode = ParseBehaviour((*body)["mode"].asString());
      if (!mode) {
        return {.status = 400};
      }
      worker_.SetBehaviour(*mode);
      return {};
    }
    if (request.path == "/v1/exchange") {
      const auto report =
          worker_.Exchange(*body, std::chrono::steady_clock::now());
      return report ? Reply{.body = WriteJson(*report)}
                    : Reply{.answer = false};
    }
  } catch (const Json::Exception&) {
    return {.status = 400};
  }
  return {.status = 404};
}

}  // namespace hickoryusher::standins
