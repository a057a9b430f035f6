#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <variant>

#include "jobs/roster.h"
#include "slice_world.h"

/// Starts without an answer that are the first order of a later life of their
/// worker. No order before them turns them away.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

/// A start may be carried out this long after it was sent; it counts as
/// unanswered 0.9 s after it was sent.
constexpr auto kLatest = 13s;

bool IsStart(const WorkerCommand& command) {
  return std::holds_alternative<StartRun>(command);
}

/// The worker w1 has a job, whose first start there is held back, and w2 is
/// idle.
struct HeldStart {
  explicit HeldStart(const std::string& steps = "c") {
    world.AddWorker("w1");
    world.Advance(500ms);
    world.workers.Hold(IsStart);
    world.Submit("j", steps);
    world.Advance(100ms);
    REQUIRE(world.workers.held().size() == 1);
    world.workers.Hold({});
    world.AddWorker("w2");
    world.Advance(100ms);
  }

  std::size_t starts() const { return world.workers.starts(kTask); }

  /// Begins another life of w1, the clock of which starts anew.
  void RestartFirst() {
    world.workers.Restart("w1", ++born);
    world.workers.SetBackClock("w1", world.now().time_since_epoch() - 1s);
  }

  const TaskAddress kTask = SliceWorld::Task("j");
  SliceWorld world;
  std::int64_t born = 1;
};

// Guards against a task that runs twice: its worker was silent for longer than
// a lease, the task started elsewhere, and the worker's next life carried out
// the start that had been on its way.
TEST_CASE("a task whose start may come late waits for its silent worker",
          "[slice]") {
  HeldStart held;
  held.world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  held.world.Advance(9s);
  REQUIRE(held.starts() == 0);
  held.RestartFirst();
  held.world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  held.world.workers.DeliverOldest(held.world.now());
  REQUIRE(held.starts() == 1);
  held.world.Advance(3s);
  CHECK(held.starts() == 1);
  CHECK(held.world.workers.WorkerOf(held.kTask) == "w1");
}

// Guards against a wait without an end, if the worker is gone for good.
TEST_CASE("a task whose start can come late no more starts elsewhere",
          "[slice]") {
  HeldStart held;
  held.world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  held.world.Advance(kLatest + 1s);
  CHECK(held.starts() == 1);
  CHECK(held.world.workers.WorkerOf(held.kTask) == "w2");
}

// Guards against a long-running task that is down for over 9 s because its
// start was lost with its worker.
TEST_CASE("a long-running task does not wait for a late start", "[slice]") {
  HeldStart held("t");
  held.world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  held.world.Advance(9s);
  CHECK(held.starts() == 1);
  CHECK(held.world.workers.WorkerOf(held.kTask) == "w2");
}

// Guards against a task that runs twice: its worker had answered a later order
// and got no tasks any more, the task started elsewhere, and the worker
// restarted.
TEST_CASE("a task whose start may come late waits for its unusable worker",
          "[slice]") {
  HeldStart held;
  held.world.Drain("w1");
  held.world.Advance(4s);
  REQUIRE(held.starts() == 0);
  held.RestartFirst();
  held.world.Register("w1", held.born);
  held.world.workers.DeliverOldest(held.world.now());
  held.world.Advance(3s);
  CHECK(held.starts() == 1);
  CHECK(held.world.workers.WorkerOf(held.kTask) == "w1");
}

// Guards against a task that runs again after an end as done that was
// acknowledged: its worker restarted, and carried out the first start, which
// had no answer.
TEST_CASE("an end is not acknowledged while a late start may follow",
          "[slice]") {
  HeldStart held;
  held.world.Advance(2s);
  REQUIRE(held.starts() == 1);
  REQUIRE(held.world.workers.WorkerOf(held.kTask) == "w1");
  held.world.workers.End(held.kTask, EndKind::kDone);
  held.world.Advance(2s);
  CHECK(held.world.PhaseOf("j") == JobPhase::kCompleted);
  CHECK(held.world.workers.HasEnds("w1"));
  held.world.Advance(kLatest);
  CHECK_FALSE(held.world.workers.HasEnds("w1"));
}

// Guards against a task that runs twice: its second run was seen, was lost with
// the life of its worker, and started elsewhere before the next life got the
// first start.
TEST_CASE("a task stays on its worker through further lives", "[slice]") {
  HeldStart held;
  held.world.Advance(2s);
  REQUIRE(held.starts() == 1);
  held.RestartFirst();
  held.world.Register("w1", held.born);
  held.world.Advance(2s);
  CHECK(held.starts() == 2);
  CHECK(held.world.workers.WorkerOf(held.kTask) == "w1");
  held.RestartFirst();
  held.world.workers.DeliverOldest(held.world.now());
  held.world.Advance(3s);
  CHECK(held.starts() == 3);
  CHECK(held.world.workers.WorkerOf(held.kTask) == "w1");
}

// Guards against a task that runs twice: its owner left in good order, and the
// next one did not know that a start without an answer may come late.
TEST_CASE("a late start is handed over", "[slice]") {
  const bool answer_pending = GENERATE(true, false);
  HeldStart held;
  if (!answer_pending) {
    held.world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
    held.world.Advance(1500ms);
    held.world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  }
  held.world.HandOver();
  held.world.Drain("w1");
  held.world.Advance(5s);
  held.RestartFirst();
  held.world.Register("w1", held.born);
  held.world.workers.DeliverOldest(held.world.now());
  held.world.Advance(1s);
  CHECK(held.starts() == 1);
  CHECK(held.world.workers.WorkerOf(held.kTask) == "w1");
}

// Guards against a task that runs twice on one worker: the next owner started
// it there under a new number, and another life carried out the first start,
// too.
TEST_CASE("a start that is handed over is repeated under its number",
          "[slice]") {
  HeldStart held;
  held.world.HandOver();
  held.world.workers.Hold(IsStart);
  held.world.Advance(500ms);
  REQUIRE(held.world.workers.held().size() >= 2);
  held.world.workers.Hold({});
  held.RestartFirst();
  while (held.world.workers.DeliverOldest(held.world.now())) {
  }
  CHECK(held.starts() == 1);
  held.world.Advance(3s);
  CHECK(held.starts() == 1);
}

// Guards against a task that waits after each hand-over because its start had
// not been answered yet, although it was carried out.
TEST_CASE("a start that is seen after a hand-over can come late no more",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.answer_delay = 200ms;
  world.Submit("j", GENERATE("c", "t"));
  world.AddWorker("w2");
  const TaskAddress task = SliceWorld::Task("j");
  while (world.workers.starts(task) == 0) {
    world.Advance(10ms);
  }
  world.HandOver();
  world.answer_delay = 0ms;
  world.Advance(3s);
  REQUIRE(world.workers.starts(task) == 1);
  const std::string worker = world.workers.WorkerOf(task);
  world.Drain(worker);
  world.workers.End(task, EndKind::kFailed);
  world.Advance(1s);
  CHECK(world.workers.starts(task) == 2);
  CHECK(world.workers.WorkerOf(task) != worker);
}

// Guards against a task that runs twice: its owner failed after a start had no
// answer, and the next one did not know that it may come late.
TEST_CASE("a successor waits for a start that had no answer", "[slice]") {
  const bool repeated = GENERATE(false, true);
  HeldStart held;
  if (!repeated) {
    held.world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  }
  held.world.Advance(1500ms);
  held.world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  const std::size_t before = held.starts();
  REQUIRE(before == (repeated ? 1 : 0));
  for (int i = 0; i < 2; ++i) {
    held.world.TakeOver();
    held.world.Drain("w1");
    held.world.Advance(2s);
  }
  held.RestartFirst();
  held.world.Register("w1", held.born);
  held.world.workers.DeliverOldest(held.world.now());
  held.world.Advance(1s);
  CHECK(held.starts() == before + 1);
  CHECK(held.world.workers.WorkerOf(held.kTask) == "w1");
}

// Guards against a task that waits after a change of the owner for a start that
// can come late no more.
TEST_CASE("a successor waits no longer than the start may come late",
          "[slice]") {
  HeldStart held;
  held.world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  held.world.Advance(8s);
  REQUIRE(held.starts() == 0);
  held.world.TakeOver();
  held.world.Advance(kLatest - 8s + 1s);
  CHECK(held.starts() == 1);
  CHECK(held.world.workers.WorkerOf(held.kTask) == "w2");
}

// Guards against a write for each of many starts without an answer. One more
// write says that their worker is silent.
TEST_CASE("starts without an answer are stored by one write", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  for (int i = 0; i < 20; ++i) {
    world.Submit("j" + std::to_string(i), "c");
  }
  const std::size_t before = world.commits;
  world.Advance(3s);
  CHECK(world.commits <= before + 2);
  const auto roster = world.store.Find(RosterRow(kSlice));
  REQUIRE(roster.has_value());
  CHECK(DecodeRoster(roster->value).front().late_starts.size() == 20);
}

// Guards against a task that runs twice: its owner has changed, and the new one
// does not know that a start by the earlier one may come late.
TEST_CASE("a successor waits for a late start of its predecessor", "[slice]") {
  HeldStart held;
  held.world.TakeOver();
  held.world.Drain("w1");
  held.world.Advance(5s);
  held.RestartFirst();
  held.world.Register("w1", held.born);
  held.world.workers.DeliverOldest(held.world.now());
  held.world.Advance(1s);
  CHECK(held.starts() == 1);
}

// Guards against a task that runs twice on one worker: its second start was
// held back, too, and another life of the worker carried out both.
TEST_CASE("copies of a start that come late together start one run",
          "[slice]") {
  HeldStart held(GENERATE("c", "t"));
  held.world.workers.Hold(IsStart);
  held.world.Advance(2s);
  REQUIRE(held.world.workers.held().size() >= 2);
  held.world.workers.Hold({});
  held.RestartFirst();
  while (held.world.workers.DeliverOldest(held.world.now())) {
  }
  CHECK(held.starts() == 1);
  held.world.Advance(3s);
  CHECK(held.starts() == 1);
  CHECK(held.world.workers.runs("w1").size() == 1);
}

// Guards against a wait for a start that was carried out: only its answer was
// lost.
TEST_CASE("a start that a report lists can come late no more", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLoseAnswer);
  world.Submit("j", "c");
  world.Advance(100ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(2s);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.AddWorker("w2");
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(1s);
  CHECK_FALSE(world.workers.HasEnds("w1"));
}

}  // namespace
}  // namespace hickoryusher::jobs
