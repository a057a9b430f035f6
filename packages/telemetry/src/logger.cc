#include "telemetry/logger.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

INITIALIZE_EASYLOGGINGPP

namespace hickoryusher::telemetry {
namespace {

constexpr std::chrono::milliseconds kBatchInterval{50};

// A reader that takes nothing for this long after the end gets no more lines.
constexpr std::chrono::milliseconds kLastWriteTime{300};

// How long one wait for the reader lasts before the end is looked for.
constexpr int kPollMs = 50;

// A pipe that polls as writable takes this much without blocking.
constexpr std::size_t kWriteBytes = PIPE_BUF;

void Configure() {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
}

// Formatted lines that are to be written; only the logger's thread uses it.
std::string& Pending() {
  static std::string text;
  return text;
}

// easylogging++ writes its console output to standard output, and would block
// on a reader that does not read; log lines belong on standard error, so the
// formatted line is kept for Logger::WritePending.
class StandardErrorDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    Pending() += data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), /*appendNewLine=*/true);
  }
};

}  // namespace

Logger::Logger(std::size_t capacity) : ring_(capacity) {
  Configure();
  el::Helpers::installLogDispatchCallback<StandardErrorDispatch>(
      "standard_error");
  thread_ = runtime::DutyThread("telemetry", [this] { Run(); });
}

Logger::~Logger() {
  closing_.store(true);
  ring_.Close();
  thread_.Join();
  el::Helpers::uninstallLogDispatchCallback<StandardErrorDispatch>(
      "standard_error");
}

void Logger::Write(const core::LogLine& line) {
  if (!ring_.TryPush(line.TextWithLevel())) {
    dropped_.fetch_add(1, std::memory_order_relaxed);
  }
}

void Logger::Run() {
  std::vector<std::string> lines;
  std::uint64_t reported = 0;
  while (!ring_.finished()) {
    ring_.WaitDrain(lines);
    std::ranges::for_each(lines,
                          [](const std::string& line) { LOG(INFO) << line; });
    lines.clear();
    if (const std::uint64_t total = dropped(); total != reported) {
      LOG(INFO) << core::LogLine("log_lines_dropped", core::LogLevel::kWarning)
                       .Add("lines", total - reported)
                       .Add("reason", "reader_too_slow")
                       .TextWithLevel();
      reported = total;
    }
    WritePending();
    // Lines of one batch share a wake-up and a write.
    std::this_thread::sleep_for(kBatchInterval);
  }
}

// Waits for a slow reader, but not for one that holds up the process's end.
void Logger::WritePending() {
  std::string_view rest = Pending();
  std::optional<std::chrono::steady_clock::time_point> give_up;
  while (!rest.empty()) {
    if (closing_.load() && !give_up) {
      give_up = std::chrono::steady_clock::now() + kLastWriteTime;
    }
    if (give_up && std::chrono::steady_clock::now() >= *give_up) {
      break;
    }
    pollfd reader{.fd = STDERR_FILENO, .events = POLLOUT, .revents = 0};
    if (poll(&reader, 1, kPollMs) <= 0) {
      continue;
    }
    const ssize_t written =
        write(STDERR_FILENO, rest.data(), std::min(rest.size(), kWriteBytes));
    if (written > 0) {
      rest.remove_prefix(static_cast<std::size_t>(written));
    } else if (errno != EINTR && errno != EAGAIN) {
      break;  // Nobody reads any more.
    }
  }
  Pending().clear();
}

}  // namespace hickoryusher::telemetry
