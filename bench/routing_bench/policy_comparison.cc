#include "policy_comparison.h"

#include <algorithm>
#include <array>
#include <queue>
#include <random>
#include <vector>

#include "core/random.h"

namespace hickoryusher::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kEndpoints = 48;
constexpr std::uint32_t kPerRack = 8;
constexpr std::uint32_t kPerDomain = 16;
constexpr std::uint32_t kSeats = 3;  ///< To a domain.
constexpr std::uint32_t kEntries = kSeats * kEndpoints / kPerDomain;
constexpr std::uint32_t kFaulty = 3;
constexpr core::Duration kMeanService = 20ms;
constexpr core::Duration kFirstByteTimeout = 250ms;
constexpr core::Duration kDeadline = 2s;
constexpr core::Duration kRun = 12s;
constexpr core::Duration kFaultFrom = 3s;
constexpr core::Duration kFaultTo = 9s;
constexpr double kSlots = kEndpoints * 8;
/// A rack that blinks hangs for the first part of each period.
constexpr core::Duration kBlinkPeriod = 1s;
constexpr core::Duration kBlink = 100ms;
constexpr int kSlowFactor = 10;
constexpr std::size_t kMaxAttempts = 3;
/// Retry budget: a fraction of first attempts, and how much it can save up.
constexpr double kRetryFraction = 0.1;
constexpr double kRetrySavings = 3000;

struct Request {
  core::TimePoint arrival;
  std::uint32_t entry = 0;
  std::vector<core::EndpointId> tried;
  std::vector<core::RackId> racks_last;
  int timeouts = 0;
  bool done = false;
};

struct AttemptEnd {
  core::TimePoint time;
  std::size_t request = 0;
  routing::Slot slot;
  routing::AttemptResult result;

  bool operator>(const AttemptEnd& other) const { return time > other.time; }
};

class Comparison {
 public:
  Comparison(const Trial& trial, const chart::Chart& health)
      : trial_(trial), random_(trial.seed) {
    for (std::uint32_t entry = 0; entry < kEntries; ++entry) {
      routing::Router::Builder builder;
      builder.HealthChart(health)
          .Settings({.policy = trial.policy, .seed = trial.seed + entry})
          .Seat(core::FailureDomainId(entry / kSeats),
                routing::SeatId(entry % kSeats), kSeats)
          .StartWithOwnShare();
      for (std::uint32_t i = 0; i < kEndpoints; ++i) {
        builder.AddEndpoint({.service = core::ServiceId(0),
                             .vm = core::VmId(i),
                             .rack = core::RackId(i / kPerRack),
                             .domain = core::FailureDomainId(i / kPerDomain)});
      }
      routers_.push_back(std::move(*builder.Build()));
    }
  }

  Outcome Run() {
    std::exponential_distribution<double> gap(
        trial_.load * kSlots / static_cast<double>(kMeanService.count()));
    core::TimePoint arrival{};
    while (arrival.time_since_epoch() < kRun || !ends_.empty()) {
      if (!ends_.empty() &&
          (ends_.top().time <= arrival || arrival.time_since_epoch() >= kRun)) {
        const AttemptEnd end = ends_.top();
        ends_.pop();
        Finish(end);
        continue;
      }
      requests_.push_back(
          {.arrival = arrival,
           .entry = static_cast<std::uint32_t>(random_() % kEntries)});
      budget_ = std::min(budget_ + kRetryFraction, kRetrySavings);
      Send(requests_.size() - 1, arrival);
      arrival += core::Duration(static_cast<std::int64_t>(gap(random_)));
    }
    return Summarize();
  }

 private:
  bool IsFaulty(std::uint32_t endpoint, core::TimePoint now) const {
    const core::Duration time = now.time_since_epoch();
    if (trial_.fault == Fault::kRackBlinks && time % kBlinkPeriod >= kBlink) {
      return false;
    }
    const bool whole_rack =
        trial_.fault == Fault::kRackHangs || trial_.fault == Fault::kRackBlinks;
    // Three endpoints in three racks, or all of one rack.
    const bool concerned =
        whole_rack ? endpoint < kPerRack
                   : endpoint % kPerRack == 0 && endpoint / kPerRack < kFaulty;
    return concerned && trial_.fault != Fault::kNone && time >= kFaultFrom &&
           time < kFaultTo;
  }

  void Send(std::size_t index, core::TimePoint now) {
    Request& request = requests_[index];
    const auto decision = routers_[request.entry].Choose(
        {.service = core::ServiceId(0),
         .idempotent = true,
         .avoid = request.tried,
         .racks_last = request.racks_last,
         .deadline = request.arrival + kDeadline},
        now);
    if (!decision) {
      ++outcome_.no_slot;
      latencies_.push_back(kDeadline);
      return;
    }
    const std::uint32_t endpoint = decision->slot.endpoint.value();
    AttemptEnd end = Attempt(endpoint, now);
    end.request = index;
    end.slot = decision->slot;
    request.tried.push_back(decision->slot.endpoint);
    ends_.push(end);
  }

  AttemptEnd Attempt(std::uint32_t endpoint, core::TimePoint now) {
    std::exponential_distribution<double> service(
        1.0 / static_cast<double>(kMeanService.count()));
    core::Duration time(static_cast<std::int64_t>(service(random_)));
    if (IsFaulty(endpoint, now)) {
      switch (trial_.fault) {
        case Fault::kHang:
        case Fault::kRackHangs:
        case Fault::kRackBlinks:
          time = kDeadline;
          break;
        case Fault::kSlow:
          time *= kSlowFactor;
          break;
        case Fault::kFailFast:
          return {.time = now + 1ms, .result = routing::Failed{}};
        case Fault::kNone:
          break;
      }
    }
    if (time >= kFirstByteTimeout) {
      return {.time = now + kFirstByteTimeout, .result = routing::TimedOut{}};
    }
    return {.time = now + time, .result = routing::Succeeded{time}};
  }

  void Finish(const AttemptEnd& end) {
    Request& request = requests_[end.request];
    routers_[request.entry].Release(end.slot, end.result, end.time);
    if (std::holds_alternative<routing::Succeeded>(end.result)) {
      ++outcome_.succeeded;
      latencies_.push_back(end.time - request.arrival);
      return;
    }
    if (std::holds_alternative<routing::TimedOut>(end.result)) {
      ++request.timeouts;
      outcome_.second_timeouts += request.timeouts == 2 ? 1 : 0;
      if (trial_.rack_last) {
        request.racks_last.emplace_back(end.slot.endpoint.value() / kPerRack);
      }
    }
    if (request.tried.size() < kMaxAttempts && budget_ >= 1) {
      budget_ -= 1;
      ++outcome_.retries;
      Send(end.request, end.time);
    } else {
      latencies_.push_back(kDeadline);
    }
  }

  Outcome Summarize() {
    std::ranges::sort(latencies_);
    const auto quantile = [&](double part) {
      const auto place = static_cast<std::size_t>(
          part * static_cast<double>(latencies_.size() - 1));
      return static_cast<double>(latencies_[place].count()) / 1e6;
    };
    outcome_.requests = static_cast<int>(requests_.size());
    outcome_.p50_ms = quantile(0.5);
    outcome_.p99_ms = quantile(0.99);
    outcome_.p999_ms = quantile(0.999);
    return outcome_;
  }

  Trial trial_;
  core::Random random_;
  std::vector<routing::Router> routers_;
  std::vector<Request> requests_;
  std::priority_queue<AttemptEnd, std::vector<AttemptEnd>, std::greater<>>
      ends_;
  std::vector<core::Duration> latencies_;
  double budget_ = kRetrySavings;
  Outcome outcome_;
};

}  // namespace

std::string_view ToString(Fault fault) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "none", "hang", "rack_hangs", "rack_blinks", "slow", "fail_fast"};
  return kNames[static_cast<std::size_t>(fault)];
}

Outcome Run(const Trial& trial, const chart::Chart& health) {
  return Comparison(trial, health).Run();
}

}  // namespace hickoryusher::bench
