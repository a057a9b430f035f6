#include "telemetry/logger.h"

#include <easylogging++.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>
#include <utility>
#include <vector>

INITIALIZE_EASYLOGGINGPP

namespace hickoryusher::telemetry {
namespace {

constexpr std::chrono::milliseconds kBatchInterval{50};

// Larger than the lines of one batch at a full load.
constexpr std::size_t kErrorBufferBytes = 64UL * 1024;

void Configure() {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
}

// easylogging++ writes its console output to standard output; log lines belong
// on standard error, so the formatted line is written by this callback.
class StandardErrorDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    const std::string line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), /*appendNewLine=*/true);
    std::fwrite(line.data(), 1, line.size(), stderr);
  }
};

}  // namespace

Logger::Logger(std::size_t capacity) : ring_(capacity) {
  Configure();
  std::setvbuf(stderr, nullptr, _IOFBF, kErrorBufferBytes);
  el::Helpers::installLogDispatchCallback<StandardErrorDispatch>(
      "standard_error");
  thread_ = runtime::DutyThread("telemetry", [this] { Run(); });
}

Logger::~Logger() {
  ring_.Close();
  thread_.Join();
  el::Helpers::uninstallLogDispatchCallback<StandardErrorDispatch>(
      "standard_error");
}

void Logger::WriteText(std::string line) {
  if (!ring_.TryPush(std::move(line))) {
    dropped_.fetch_add(1, std::memory_order_relaxed);
  }
}

void Logger::Run() {
  std::vector<std::string> lines;
  while (!ring_.finished()) {
    ring_.WaitDrain(lines);
    std::ranges::for_each(lines,
                          [](const std::string& line) { LOG(INFO) << line; });
    std::fflush(stderr);
    lines.clear();
    // Lines of one batch share a wake-up and a write.
    std::this_thread::sleep_for(kBatchInterval);
  }
}

}  // namespace hickoryusher::telemetry
