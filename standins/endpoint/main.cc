// Runs one endpoint stand-in until SIGTERM or SIGINT.

#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <iostream>

#include "core/log_line.h"
#include "standin/endpoint_standin.h"

namespace {

namespace options = boost::program_options;
using hickoryusher::standin::EndpointOptions;
using hickoryusher::standin::EndpointStandIn;

int Run(const EndpointOptions& settings) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Blocked before any thread starts, so that only sigwait takes them.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto endpoint = EndpointStandIn::Start(settings);
  if (endpoint == nullptr) {
    std::cerr << "event=listen_failed\n";
    return 1;
  }
  std::cout << hickoryusher::core::LogLine("listening")
                   .Add("port", endpoint->port())
                   .Add("control_port", endpoint->control_port())
                   .text()
            << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    EndpointOptions settings;
    options::options_description known("endpoint_standin");
    known.add_options()("help", "show the options")(
        "port", options::value(&settings.port), "service port, 0 for any")(
        "control-port", options::value(&settings.control_port),
        "control port, 0 for any")("slots", options::value(&settings.slots),
                                   "requests run at once")(
        "connections", options::value(&settings.connections),
        "connections open at once");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
    if (values.contains("help")) {
      std::cout << known;
      return 0;
    }
    return Run(settings);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
