#include <curl/curl.h>

#include <exception>
#include <iostream>
#include <vector>

#include "ctl/command.h"
#include "ctl/run.h"

namespace ctl = hickoryusher::ctl;

int main(int argc, char** argv) {
  try {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    ctl::CommandLine line;
    const std::optional<ctl::Invocation> invocation = line.Parse(arguments);
    if (!invocation) {
      const bool help = line.last_error().empty();
      (help ? std::cout : std::cerr)
          << (help ? ctl::CommandLine::Help()
                   : "hickoryctl: " + line.last_error() + "\n");
      return help ? ctl::kExitOk : ctl::kExitUsage;
    }
    return ctl::Run(*invocation, ctl::MakeHttpExchange(*invocation), std::cout,
                    std::cerr);
  } catch (const std::exception& error) {
    std::cerr << "hickoryctl: " << error.what() << '\n';
    return ctl::kExitUsage;
  }
}
