#include <memory>

#include "platform/main_support.h"
#include "platform/object_server.h"

using hickoryusher::standins::ObjectServer;

int main(int argc, char** argv) {
  std::uint16_t port = 0;
  boost::program_options::options_description description(
      "Stand-in for the object store");
  hickoryusher::standins::AddPortOption(description, port);
  return hickoryusher::standins::RunStandIn(
      argc, argv, "object_standin", description,
      [&port] { return std::make_unique<ObjectServer>(port); });
}
