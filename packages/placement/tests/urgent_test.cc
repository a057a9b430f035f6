#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "chart_yaml/load.h"
#include "placement/scheduler.h"

namespace hickoryusher::placement {
namespace {

using namespace std::chrono_literals;

constexpr core::WorkerId kWorker(0);

/// One worker of 32 cores and a store that writes everything.
class OneWorker {
 public:
  OneWorker() {
    std::vector<chart::Problem> problems;
    scheduler_ = Scheduler::Create(chart_, {.epoch = core::Epoch(1)}, problems);
    REQUIRE(scheduler_.has_value());
    const WorkerSpec spec{.worker = kWorker,
                          .rack = core::RackId(0),
                          .capacity = {.cpu_millis = 32'000}};
    Handle(SetFleet{{spec}});
    Handle(WorkerUp{spec});
  }

  void Handle(const Event& event) {
    std::vector<Command> out;
    scheduler_->Handle(event, now_, out);
    for (const Command& command : out) {
      if (const auto* write = std::get_if<WriteGroup>(&command)) {
        written_.push_back(write->token);
      }
      checkpoints_ += std::holds_alternative<CheckpointTask>(command) ? 1 : 0;
    }
  }

  void RunFor(core::Duration time) {
    for (const core::TimePoint end = now_ + time; now_ < end; now_ += 100ms) {
      Handle(Tick{});
      for (const GroupToken token : std::exchange(written_, {})) {
        Handle(GroupWritten{token});
      }
    }
  }

  void Submit(std::uint64_t id, bool urgent) {
    Handle(SubmitJob{{.job = core::JobId(id),
                      .team = core::TeamId(0),
                      .kind = KindId(static_cast<std::uint32_t>(id)),
                      .urgent = urgent,
                      .declared = {.cpu_millis = 18'000},
                      .first_task = core::TaskId(id)}});
  }

  int checkpoints() const { return checkpoints_; }

 private:
  chart::Chart chart_ = *chart_yaml::Loader().LoadFile(HICKORYUSHER_SOURCE_DIR
                                                       "/charts/task.yaml");
  core::TimePoint now_{1h};
  std::optional<Scheduler> scheduler_;
  std::vector<GroupToken> written_;
  int checkpoints_ = 0;
};

// Guards against urgent work that waits for ever because batch work fills the
// fleet, so that the urgent task does not fit beside it in the sum either.
TEST_CASE("urgent work evicts batch work that fills the fleet") {
  OneWorker bench;
  bench.Submit(1, false);
  bench.RunFor(2s);
  bench.Handle(
      WorkerReport{kWorker, {{.task = core::TaskId(1), .attempt = 1}}});
  bench.Submit(2, true);
  bench.RunFor(2s);
  CHECK(bench.checkpoints() == 1);
}

}  // namespace
}  // namespace hickoryusher::placement
