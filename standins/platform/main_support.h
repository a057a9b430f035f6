#ifndef STANDINS_PLATFORM_MAIN_SUPPORT_H_
#define STANDINS_PLATFORM_MAIN_SUPPORT_H_

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdint>
#include <exception>
#include <iostream>
#include <string_view>

namespace hickoryusher::standins {

/// Blocks SIGTERM and SIGINT. Must run before the first thread starts, so that
/// all threads inherit the mask and WaitForStop receives the signal.
inline void BlockStopSignals(sigset_t& signals) {
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

inline void WaitForStop(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

/// Adds the option for the port that every stand-in has.
inline void AddPortOption(
    boost::program_options::options_description& description,
    std::uint16_t& port) {
  description.add_options()(
      "port", boost::program_options::value(&port)->default_value(0),
      "port on the loopback interface; 0 for any");
}

/// Parses the options, runs a platform server until a stop signal and prints
/// its port.
/// @param start called after the options are parsed; returns an object with
/// `server().port()` that runs until it is destroyed.
/// @returns the program's exit code.
template <typename Start>
int RunStandIn(int argc,
               char** argv,
               std::string_view name,
               boost::program_options::options_description& description,
               Start start) {
  namespace po = boost::program_options;
  description.add_options()("help", "print this text");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << description;
      return 0;
    }
    sigset_t signals;
    BlockStopSignals(signals);
    const auto stand_in = start();
    std::cout << "port=" << stand_in->server().port() << std::endl;
    WaitForStop(signals);
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << '\n';
    return 2;
  }
  return 0;
}

}  // namespace hickoryusher::standins

#endif  // STANDINS_PLATFORM_MAIN_SUPPORT_H_
