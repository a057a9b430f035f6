#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <variant>

#include "slice_world.h"

/// Orders that reach another life of their worker than the one that they were
/// sent to.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

bool IsStart(const WorkerCommand& command) {
  return std::holds_alternative<StartRun>(command);
}

bool Acknowledges(const WorkerCommand& command) {
  const auto* renewal = std::get_if<RenewLease>(&command);
  return renewal != nullptr && renewal->acknowledged > 0;
}

bool IsStartOrAcknowledges(const WorkerCommand& command) {
  return IsStart(command) || Acknowledges(command);
}

bool IsFenced(const std::optional<WorkerEvent>& answer) {
  return answer && std::visit(
                       [](const auto& event) {
                         return event.outcome == OrderOutcome::kFenced;
                       },
                       *answer);
}

/// Adds the worker w1 and submits a job, whose first start is held back.
void HoldFirstStart(SliceWorld& world) {
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.Hold(IsStart);
  world.Submit("j", "c");
  world.Advance(100ms);
  REQUIRE(world.workers.held().size() == 1);
  world.workers.Hold({});
}

// Guards against a task that runs twice: a proxy held back a start until the
// worker had begun another life. That life carried it out after the task had
// been started again there or elsewhere.
TEST_CASE("a start for an earlier life is not carried out after the next start",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.Hold(IsStart);
  world.Submit("j", "c");
  world.Advance(500ms);
  REQUIRE(world.workers.held().size() == 1);
  world.workers.Restart("w1", 2);
  world.workers.Hold({});
  if (GENERATE(true, false)) {
    world.AddWorker("w2");
  }
  world.Advance(3s);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(IsFenced(world.workers.DeliverOldest(world.now())));
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against the same where the next life carries the start out before the
// owner calls it: the owner stopped the run and started the task elsewhere,
// both before that run had ended.
TEST_CASE("a run that an earlier start began in the next life goes on",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.Hold(IsStart);
  world.Submit("j", "c");
  world.Advance(GENERATE(100ms, 2s));
  REQUIRE(!world.workers.held().empty());
  world.workers.Restart("w1", 2);
  world.workers.DeliverOldest(world.now());
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.workers.Hold({});
  world.AddWorker("w2");
  world.Advance(4s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

// Guards against the same where the start was given up and the task started
// again on the worker, in the life that ended then.
TEST_CASE("a start that was given up replaces the run that ended with its life",
          "[slice]") {
  SliceWorld world;
  HoldFirstStart(world);
  world.AddWorker("w2");
  world.Advance(3s);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.workers.Restart("w1", 2);
  world.workers.DeliverOldest(world.now());
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 2);
  world.Advance(4s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
  CHECK(world.workers.runs("w1").size() == 1);
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(500ms);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against a task that runs again after it is done: its first start,
// which had no answer, reached a life of the worker that the owner had not
// called, since the worker was idle and not in the registry yet.
TEST_CASE("a late start finds that a new life has been asked", "[slice]") {
  SliceWorld world;
  HoldFirstStart(world);
  world.Advance(2s);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(500ms);
  REQUIRE(world.PhaseOf("j") == JobPhase::kCompleted);
  world.workers.Restart("w1", 2);
  world.Advance(400ms);
  CHECK(IsFenced(world.workers.DeliverOldest(world.now())));
}

// Guards against a task that runs again after it is done: its start reached
// another life of the worker, and an acknowledgement for the earlier life, sent
// before or after the start, made that life forget the end.
TEST_CASE("an acknowledgement for an earlier life forgets no end of the next",
          "[slice]") {
  const bool start_first = GENERATE(true, false);
  SliceWorld world;
  world.StartJob("c", "done");
  world.Advance(1s);
  if (start_first) {
    world.workers.Hold(IsStartOrAcknowledges);
    world.Submit("j", "c");
    world.Advance(50ms);
    world.workers.End(SliceWorld::Task("done"), EndKind::kDone);
    world.Advance(300ms);
  } else {
    world.workers.Hold(IsStartOrAcknowledges);
    world.workers.End(SliceWorld::Task("done"), EndKind::kDone);
    world.Advance(300ms);
    world.Submit("j", "c");
    world.Advance(50ms);
  }
  REQUIRE(std::ranges::any_of(world.workers.held(), IsStart));
  world.workers.Restart("w1", 2);
  // The start comes first, and the task ends before the acknowledgement comes.
  while (world.workers.starts(SliceWorld::Task("j")) == 0) {
    REQUIRE(!world.workers.held().empty());
    if (start_first) {
      world.workers.DeliverOldest(world.now());
    } else {
      world.workers.DeliverNewest(world.now());
    }
  }
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  while (!world.workers.held().empty()) {
    world.workers.DeliverOldest(world.now());
  }
  world.workers.Hold({});
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against ends that are never acknowledged because some start on the
// worker is always on its way.
TEST_CASE("ends are acknowledged once the starts on the worker are answered",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.Hold(IsStart);
  world.Submit("k", "c");
  world.Advance(100ms);
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(500ms);
  CHECK(world.workers.HasEnds("w1"));
  world.workers.Hold({});
  world.Advance(2s);
  CHECK_FALSE(world.workers.HasEnds("w1"));
}

// Guards against an owner that ends its ownership because a worker refused one
// of its orders for the sake of a later one, which was faster.
TEST_CASE("an order that a later one has overtaken does not fence its owner",
          "[slice]") {
  SliceWorld world;
  HoldFirstStart(world);
  world.Advance(2s);
  const auto answer = world.workers.DeliverOldest(world.now());
  REQUIRE(IsFenced(answer));
  world.owner->Handle(*answer, world.now());
  CHECK_FALSE(world.owner->fenced());
}

// Guards against a report of a new life that is taken for complete although the
// life still accepts orders to the one before.
TEST_CASE("a new life is asked again before it gets a lease or a start",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.Advance(1s);
  world.workers.Restart("w1", 2);
  FencingToken first = 0;
  bool lease = false;
  world.workers.Hold([&](const WorkerCommand& command) {
    std::visit(
        [&](const auto& order) {
          first = first == 0 ? order.token : first;
          using Order = std::remove_cvref_t<decltype(order)>;
          if constexpr (std::is_same_v<Order, RenewLease>) {
            lease |= order.token > first && order.lease_until_ms.has_value();
          }
        },
        command);
    return std::visit([&](const auto& order) { return order.token > first; },
                      command);
  });
  world.Advance(3s);
  REQUIRE(!world.workers.held().empty());
  CHECK_FALSE(lease);
  CHECK(std::ranges::none_of(world.workers.held(), IsStart));
  world.workers.Hold({});
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against a task that runs again after it is done: the worker restarted
// unnoticed, and carried out a start. The acknowledgement of the ends of the
// life before, which the store had kept waiting, made it forget the end.
TEST_CASE("an acknowledgement forgets no end of a life that was not noticed",
          "[slice]") {
  SliceWorld world;
  world.StartJob("c", "done");
  world.Advance(1s);
  world.commit_delay = 300ms;
  world.workers.End(SliceWorld::Task("done"), EndKind::kDone);
  world.Advance(100ms);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", world.now().time_since_epoch() - 1s);
  world.Submit("j", "c");
  world.Advance(50ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against a task that starts after it is done, on a worker that is not
// asked again: its start was on its way when the end of an earlier run, on a
// worker that had been silent, closed the job. The answer of the start was not
// missed any more.
TEST_CASE("a start for a task that is done meanwhile is turned away",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.AddWorker("w2");
  world.Advance(500ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.workers.Hold(IsStart);
  while (world.workers.held().empty()) {
    world.Advance(10ms);
  }
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(5s);
  REQUIRE(world.PhaseOf("j") == JobPhase::kCompleted);
  REQUIRE(world.workers.held().size() == 1);
  CHECK(IsFenced(world.workers.DeliverOldest(world.now())));
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a task that runs twice: a new life of its worker has carried
// out an earlier start, and the task was stopped there, to be moved, before the
// report of that life came.
TEST_CASE("a run of an earlier start goes on if the task is being moved",
          "[slice]") {
  SliceWorld world;
  HoldFirstStart(world);
  world.AddWorker("w2");
  world.Advance(3s);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.workers.Restart("w1", 2);
  world.workers.DeliverOldest(world.now());
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 2);
  world.Register("w1", 2);
  world.Drain("w1");
  // The first stop, of the later run, is carried out; that of the other is not.
  world.workers.Hold([](const WorkerCommand& command) {
    const auto* stop = std::get_if<StopRun>(&command);
    return stop != nullptr && stop->run == 1;
  });
  world.Advance(5s);
  CHECK(world.workers.runs("w1").size() + world.workers.runs("w2").size() == 1);
}

// Guards against a long-running task whose placement is given up, and chosen
// and stored again, by each report that comes before the place is stored.
TEST_CASE("a report does not end a start that waits for the store", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.Submit("t", "t");
  world.commit_delay = 2s;
  world.Advance(4500ms);
  CHECK(world.workers.starts(SliceWorld::Task("t")) == 1);
  CHECK(std::ranges::none_of(world.log, [](const std::string& line) {
    return line.find("run_lost") != std::string::npos;
  }));
}

// Guards against a member of a gang that waits alone for the others: another
// life of its worker has carried out an earlier start.
TEST_CASE("a member of an earlier run of a gang is stopped", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.Hold(IsStart);
  world.Submit("j", "y");
  world.Advance(100ms);
  REQUIRE(world.workers.held().size() == 3);
  world.workers.Hold({});
  world.Advance(3s);
  REQUIRE(world.workers.runs("w1").size() == 3);
  world.workers.Restart("w1", 2);
  world.workers.DeliverOldest(world.now());
  REQUIRE(world.workers.runs("w1").size() == 1);
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 3);
  CHECK(world.workers.runs("w1").size() == 3);
}

// Guards against a gang of which the start of one member was lost, while the
// others wait for it until they give up.
TEST_CASE("a start of a member of a gang that was lost is sent again",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.Hold([](const WorkerCommand& command) {
    const auto* start = std::get_if<StartRun>(&command);
    return start != nullptr && start->task.index == 1;
  });
  world.Submit("j", "y");
  world.Advance(100ms);
  REQUIRE(world.workers.held().size() == 1);
  world.workers.Hold({});
  world.Advance(2s);
  CHECK(world.workers.runs("w1").size() == 3);
  CHECK(IsFenced(world.workers.DeliverOldest(world.now())));
}

}  // namespace
}  // namespace hickoryusher::jobs
