#include <algorithm>
#include <catch2/catch.hpp>
#include <queue>
#include <random>
#include <unordered_map>

#include "admission/controller.h"
#include "core/random.h"

namespace hickoryusher::admission {
namespace {

using core::WorkClass;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261204;
constexpr std::size_t kSlots = 64;
constexpr core::Duration kPhase = seconds(30);
constexpr core::Duration kBudget = milliseconds(500);

/// Goodput and latency of one class in one half of a run.
struct Phase {
  std::uint64_t in_time = 0;
  std::vector<core::Duration> latencies;

  core::Duration P99() {
    REQUIRE_FALSE(latencies.empty());
    const auto place = latencies.begin() +
                       static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
    std::ranges::nth_element(latencies, place);
    return *place;
  }
};

/// Drives a controller with a manual clock. Requests take 10 to 50 ms.
class Run {
 public:
  Run(double floor, std::uint64_t seed) : random_(seed) {
    auto built = ControllerBuilder()
                     .Slots(kSlots)
                     .Class(WorkClass::kLatencyCritical, {.floor_share = floor})
                     .Class(WorkClass::kBatch, {.floor_share = floor})
                     .Build();
    REQUIRE(built.has_value());
    controller_ = *std::move(built);
  }

  /// Runs two phases: both classes at 80% of their floor of 0.4, then
  /// @p flooding at 10 times what all slots can serve.
  void Flood(WorkClass flooding) {
    const double normal = 0.8 * 0.4 * kCapacityPerSecond;
    for (const WorkClass c : {WorkClass::kLatencyCritical, WorkClass::kBatch}) {
      double rate = normal;
      for (core::TimePoint at = start_; at < start_ + 2 * kPhase;) {
        rate = c == flooding && at >= start_ + kPhase ? 10 * kCapacityPerSecond
                                                      : normal;
        at += Exponential(rate);
        agenda_.push({at, c, core::RequestId(next_++), false});
      }
    }
    while (!agenda_.empty()) {
      const Item item = agenda_.top();
      agenda_.pop();
      Step(item);
    }
  }

  Phase& Before(WorkClass c) { return phases_[core::Index(c)][0]; }
  Phase& During(WorkClass c) { return phases_[core::Index(c)][1]; }
  const Controller& controller() const { return *controller_; }

 private:
  // 30 ms on average in each of the slots.
  static constexpr double kCapacityPerSecond = kSlots / 0.030;

  struct Item {
    core::TimePoint at;
    WorkClass work_class;
    core::RequestId request;
    bool finished;
    bool operator<(const Item& other) const { return at > other.at; }
  };

  core::Duration Exponential(double rate) {
    std::exponential_distribution<double> draw(rate);
    return core::Duration(static_cast<std::int64_t>(draw(random_) * 1e9));
  }

  void Step(const Item& item) {
    std::vector<Command> out;
    if (item.finished) {
      Record(item);
      controller_->Handle(RequestFinished{item.request}, item.at, out);
    } else {
      arrivals_[item.request] = {item.at, item.work_class};
      controller_->Handle(
          RequestQueued{item.request, item.work_class, item.at + kBudget},
          item.at, out);
    }
    for (const Command& command : out) {
      if (const auto* admit = std::get_if<Admit>(&command)) {
        std::uniform_int_distribution<int> draw(10, 50);
        agenda_.push({item.at + milliseconds(draw(random_)),
                      arrivals_.at(admit->request).second, admit->request,
                      true});
      }
    }
  }

  void Record(const Item& item) {
    const core::TimePoint arrived = arrivals_.at(item.request).first;
    Phase& phase = phases_[core::Index(item.work_class)]
                          [arrived < start_ + kPhase ? 0 : 1];
    phase.latencies.push_back(item.at - arrived);
    phase.in_time += item.at - arrived <= kBudget ? 1 : 0;
  }

  core::Random random_;
  std::optional<Controller> controller_;
  core::TimePoint start_{seconds(100)};
  std::uint64_t next_ = 0;
  std::priority_queue<Item> agenda_;
  std::unordered_map<core::RequestId, std::pair<core::TimePoint, WorkClass>>
      arrivals_;
  std::array<std::array<Phase, 2>, 3> phases_;
};

bool IsProtected(Run& run, WorkClass other) {
  Phase& before = run.Before(other);
  Phase& during = run.During(other);
  UNSCOPED_INFO("goodput " << before.in_time << " then " << during.in_time
                           << ", p99 ms " << core::ToMillis(before.P99())
                           << " then " << core::ToMillis(during.P99()));
  return static_cast<double>(during.in_time) >=
             0.95 * static_cast<double>(before.in_time) &&
         during.P99() * 2 <= before.P99() * 3;
}

// Guards against a flood of one class that slows or starves the other.
TEST_CASE("a flood of one class leaves the other class its floor") {
  INFO("seed " << kSeed);
  for (const auto& [flooding, other] :
       {std::pair(WorkClass::kBatch, WorkClass::kLatencyCritical),
        std::pair(WorkClass::kLatencyCritical, WorkClass::kBatch)}) {
    Run run(0.4, kSeed);
    run.Flood(flooding);
    CHECK(IsProtected(run, other));
    CHECK(run.controller().counters(flooding).borrowed > 0);
  }
}

// Guards against a flood check that passes whatever the controller does.
TEST_CASE("without floors the flood check fails") {
  INFO("seed " << kSeed);
  Run run(0, kSeed);
  run.Flood(WorkClass::kLatencyCritical);
  CHECK_FALSE(IsProtected(run, WorkClass::kBatch));
}

}  // namespace
}  // namespace hickoryusher::admission
