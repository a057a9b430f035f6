#include <signal.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "config/process_settings.h"
#include "entry/process.h"
#include "platform/run.h"

namespace {

using hickoryusher::config::Loader;
using hickoryusher::config::ProcessSettings;
using hickoryusher::entry::Process;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

struct Arguments {
  std::string config;
  bool check_only = false;
  bool first_start = false;
  bool on_platform = false;
  std::string chart_folder;
};

std::optional<Arguments> ParseArguments(int argc, char** argv, int& exit_code) {
  namespace po = boost::program_options;
  po::options_description options("hickoryusher: entry process");
  options.add_options()("help,h", "print this text")(
      "config,c", po::value<std::string>(), "run with this settings file")(
      "first-start",
      "first start of the deployment: no earlier process can hold slots")(
      "check-config", po::value<std::string>(),
      "check this settings file and exit")(
      "platform",
      "run on the users' platform; --config and --check-config then name the "
      "platform's settings file, by default the one in HICKORYUSHER_CONFIG")(
      "charts", po::value<std::string>()->default_value("charts"),
      "folder of the state charts, with --platform")("version",
                                                     "print the version");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.contains("help")) {
      std::cout << options;
      exit_code = kExitOk;
      return std::nullopt;
    }
    if (values.contains("version")) {
      std::cout << "hickoryusher " HICKORYUSHER_VERSION "\n";
      exit_code = kExitOk;
      return std::nullopt;
    }
    Arguments arguments{.first_start = values.contains("first-start"),
                        .on_platform = values.contains("platform"),
                        .chart_folder = values["charts"].as<std::string>()};
    if (values.contains("check-config")) {
      arguments.config = values["check-config"].as<std::string>();
      arguments.check_only = true;
      return arguments;
    }
    if (values.contains("config")) {
      arguments.config = values["config"].as<std::string>();
      return arguments;
    }
    const char* path = std::getenv(hickoryusher::platform::kSettingsVariable);
    if (arguments.on_platform && path != nullptr) {
      arguments.config = path;
      return arguments;
    }
    std::cerr << "one of --config and --check-config is required\n" << options;
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n' << options;
  }
  exit_code = kExitUsage;
  return std::nullopt;
}

template <typename Lines>
void PrintErrors(const Lines& lines) {
  std::ranges::for_each(
      lines, [](const std::string& line) { std::cerr << line << '\n'; });
}

// Blocks the stop signals in this thread and in all threads started later, so
// that only sigwait receives them.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Run(ProcessSettings settings, bool first_start) {
  const sigset_t signals = BlockStopSignals();
  Process::Builder builder;
  const auto process =
      builder.Settings(std::move(settings)).FirstStart(first_start).Start();
  if (!process) {
    PrintErrors(builder.errors());
    return kExitFailed;
  }
  int received = 0;
  sigwait(&signals, &received);
  return process->Drain() ? kExitOk : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  int exit_code = kExitOk;
  const auto arguments = ParseArguments(argc, argv, exit_code);
  if (!arguments) {
    return exit_code;
  }
  if (arguments->on_platform) {
    return arguments->check_only
               ? hickoryusher::platform::CheckSettings(arguments->config)
               : hickoryusher::platform::Run(arguments->config,
                                             arguments->chart_folder);
  }
  Loader loader;
  auto settings = loader.LoadFile(arguments->config);
  if (!settings) {
    PrintErrors(loader.errors());
    return kExitUsage;
  }
  if (arguments->check_only) {
    std::cout << arguments->config << ": ok\n";
    return kExitOk;
  }
  return Run(*std::move(settings), arguments->first_start);
}
