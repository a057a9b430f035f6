#include <memory>

#include "platform/main_support.h"
#include "platform/vm_list_server.h"

using hickoryusher::standins::VmListServer;

int main(int argc, char** argv) {
  std::uint16_t port = 0;
  boost::program_options::options_description description(
      "Stand-in for the VM list");
  hickoryusher::standins::AddPortOption(description, port);
  return hickoryusher::standins::RunStandIn(
      argc, argv, "vm_list_standin", description,
      [&port] { return std::make_unique<VmListServer>(port); });
}
