#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "telemetry/logger.h"
#include "telemetry/metrics.h"

namespace hickoryusher::telemetry {
namespace {

// Guards against metrics that lose their labels or are not in text format.
TEST_CASE("outcomes, refusals and gauges are collected with their labels") {
  Metrics metrics;
  metrics.CountOutcome("carnet", core::WorkClass::kBatch, "answered",
                       std::chrono::milliseconds(3));
  metrics.CountRefusal("ring_full");
  metrics.AddGauge("hickoryusher_ring_depth", "Elements waiting", "router",
                   [] { return 7.0; });
  const std::string text = metrics.Collect();
  CHECK(text.find("hickoryusher_request_seconds_count{class=\"batch\","
                  "outcome=\"answered\",service=\"carnet\"} 1") !=
        std::string::npos);
  CHECK(text.find("hickoryusher_refusals_total{reason=\"ring_full\"} 1") !=
        std::string::npos);
  CHECK(text.find("hickoryusher_ring_depth{ring=\"router\"} 7") !=
        std::string::npos);
}

// Guards against lines that are lost when the process ends in good order.
TEST_CASE("lines written before the end are not dropped") {
  Logger logger(16);
  for (int i = 0; i < 10; ++i) {
    logger.Write(core::LogLine("test").Add("i", i).Add("percent", "%d %msg"));
  }
  CHECK(logger.dropped() == 0);
}

/// Standard error as a pipe that takes one page.
class SmallPipe {
 public:
  SmallPipe() : saved_(dup(STDERR_FILENO)) {
    REQUIRE(pipe(ends_.data()) == 0);
    REQUIRE(fcntl(ends_[1], F_SETPIPE_SZ, 4096) >= 0);
    dup2(ends_[1], STDERR_FILENO);
    close(ends_[1]);
  }
  SmallPipe(const SmallPipe&) = delete;
  SmallPipe& operator=(const SmallPipe&) = delete;
  ~SmallPipe() {
    dup2(saved_, STDERR_FILENO);
    close(saved_);
    close(ends_[0]);
  }

  /// @returns what has come until @p text has, or nothing comes for 2 s.
  std::string ReadUntil(const std::string& text) {
    std::string all;
    std::array<char, 4096> buffer{};
    pollfd end{.fd = ends_[0], .events = POLLIN, .revents = 0};
    while (all.find(text) == std::string::npos && poll(&end, 1, 2000) > 0) {
      const ssize_t count = read(ends_[0], buffer.data(), buffer.size());
      if (count <= 0) {
        break;
      }
      all.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return all;
  }

 private:
  std::array<int, 2> ends_{};
  int saved_;
};

// A reader that hangs must hold up neither the duties nor the process's end.
TEST_CASE("a blocked reader of the log holds nothing up") {
  using Clock = std::chrono::steady_clock;
  constexpr int kLines = 20'000;
  SmallPipe pipe;
  auto logger = std::make_unique<Logger>(1'000);
  const Clock::time_point begin = Clock::now();
  for (int i = 0; i < kLines; ++i) {
    logger->Write(core::LogLine("placed").Add("number", i));
  }
  CHECK(Clock::now() - begin < std::chrono::seconds(1));
  CHECK(logger->dropped() > 0);
  const Clock::time_point end = Clock::now();
  logger.reset();
  CHECK(Clock::now() - end < std::chrono::seconds(1));
}

TEST_CASE("a reader that reads again learns how many lines were dropped") {
  SmallPipe pipe;
  Logger logger(100);
  for (int i = 0; i < 20'000; ++i) {
    logger.Write(core::LogLine("placed").Add("number", i));
  }
  REQUIRE(logger.dropped() > 0);
  const std::string read =
      pipe.ReadUntil("event=log_lines_dropped level=warning lines=");
  CHECK(read.find("event=log_lines_dropped level=warning lines=") !=
        std::string::npos);
}

}  // namespace
}  // namespace hickoryusher::telemetry
