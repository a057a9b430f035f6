#include <boost/program_options.hpp>
#include <cstdint>
#include <exception>
#include <iostream>

#include "platform/main_support.h"
#include "platform/object_server.h"

namespace po = boost::program_options;

int main(int argc, char** argv) {
  std::uint16_t port = 0;
  po::options_description description("Stand-in for the object store");
  description.add_options()("help", "print this text")(
      "port", po::value(&port)->default_value(0),
      "port on the loopback interface; 0 for any");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    sigset_t signals;
    hickoryusher::standins::BlockStopSignals(signals);
    hickoryusher::standins::ObjectServer objects(port);
    std::cout << "port=" << objects.server().port() << std::endl;
    hickoryusher::standins::WaitForStop(signals);
  } catch (const std::exception& error) {
    std::cerr << "object_standin: " << error.what() << '\n';
    return 2;
  }
  return 0;
}
