#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "slice_world.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against a task that runs twice: an unanswered write of progress took
// effect after a newer one.
TEST_CASE("a late write of progress does not undo a newer one", "[slice]") {
  SliceWorld world;
  world.StartJob("ccc");
  world.store.SetFault(FakeStore::Fault::kPostpone);
  world.workers.End(SliceWorld::Task("j", 0), EndKind::kDone);
  world.Advance(100ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(500ms);
  world.workers.End(SliceWorld::Task("j", 1), EndKind::kDone);
  world.Advance(500ms);
  world.store.ApplyPostponed();
  world.TakeOver();
  world.Advance(10s);
  CHECK(world.workers.starts(SliceWorld::Task("j", 0)) == 1);
  CHECK(world.workers.starts(SliceWorld::Task("j", 1)) == 1);
}

TEST_CASE("a write whose answer was lost does not fence the owner", "[slice]") {
  SliceWorld world;
  world.StartJob("cc");
  world.store.SetFault(FakeStore::Fault::kLoseAnswer);
  world.workers.End(SliceWorld::Task("j", 0), EndKind::kDone);
  world.Advance(300ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  CHECK_FALSE(world.owner->fenced());
  CHECK(world.workers.acknowledged("w1") == 1);
}

// Guards against a run that goes on after its job was cancelled: a new owner
// has closed the job, the order to stop is lost, and the worker runs nothing
// else, so that its report is not requested again.
TEST_CASE("an unknown run is stopped although an order was lost", "[slice]") {
  SliceWorld world;
  world.StartJob("w");
  world.Advance(1s);
  world.Cancel("j");
  world.answer_delay = 100ms;
  world.TakeOver();
  world.Advance(60ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(100ms);
  REQUIRE(std::ranges::any_of(world.log, [](const std::string& line) {
    return line.find("unknown_run_stopped") != std::string::npos;
  }));
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(3s);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")).empty());
}

TEST_CASE("a task restarts after its worker's lease, not before", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.AddWorker("w2");
  world.Advance(100ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(4s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.Advance(5s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against a task that runs twice: a draining worker that was cut off
// counted as gone when its registry entry expired, although its lease ran on.
TEST_CASE("a draining worker that is cut off keeps its tasks for its lease",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.Drain("w1");
  world.Advance(1s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kGone);
  world.Advance(3500ms);
  world.Remove("w1");
  world.AddWorker("w2");
  // The lease lasts 6 s and was renewed within the last 1.5 s.
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against a long-running task that waits for 10 s: its worker drained
// and left before another one had room, and the task waited for the rest of a
// lease that was as long as the platform permits.
TEST_CASE("a task whose worker has left starts again within 9 s", "[slice]") {
  SliceWorld world;
  world.longest_lease = 10s;
  world.TakeOver();
  world.StartJob("w");
  world.Advance(2s);
  world.Drain("w1");
  world.Advance(2500ms);
  world.Remove("w1");
  world.Advance(1s);
  world.AddWorker("w2");
  world.Advance(4s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.Advance(4s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against a task that runs twice: an idle worker restarted unnoticed,
// its new clock did not bound the lease of the run that it then started, and it
// was cut off before it answered.
TEST_CASE("a start that may have reached a new life keeps the longest lease",
          "[slice]") {
  const bool answered = GENERATE(true, false);
  SliceWorld world;
  world.longest_lease = 10s;
  world.TakeOver();
  world.AddWorker("w1");
  world.Advance(60s);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 60s);
  if (!answered) {
    world.workers.SetFault("w1", FakeWorkers::Fault::kLoseAnswer);
  }
  world.Submit("j", "c");
  world.Advance(20ms);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.AddWorker("w2");
  // The new life shortens the lease to 10 s on its own clock.
  world.Advance(10s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

TEST_CASE("a task restarts at once when its worker has a new incarnation",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("j", "c");
  world.Advance(2s);
  world.workers.Restart("w1", 2);
  world.Advance(2500ms);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against a task that runs twice: an idle worker restarted, started
// tasks, and the owner gave them up as lost with the life before when it
// learned of the restart, from the registry or from a report.
TEST_CASE("tasks that a restarted worker has started stay on it", "[slice]") {
  const bool from_registry = GENERATE(true, false);
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.Restart("w1", 2);
  world.Submit("j", "c");
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.AddWorker("w2");
  if (from_registry) {
    world.Register("w1", 2);
  }
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

// Guards against a task that runs two or three times at once: several idle
// workers restarted in an outage of the store, which hid their new entries, and
// the owner moved the task from one to the next as it learned of each restart.
TEST_CASE("workers that restart while the store is down run tasks once",
          "[slice]") {
  SliceWorld world;
  world.StartJob("v", "filler");
  // From then on no job waits for the report of a worker.
  world.Advance(4s);
  world.Submit("j", "cb");
  world.Advance(500ms);
  const std::array idle = {"w2", "w3", "w4"};
  std::ranges::for_each(idle, [&](const char* id) { world.AddWorker(id); });
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j", 0)) == "w1");
  world.store.SetFault(FakeStore::Fault::kRefuse);
  std::ranges::for_each(idle,
                        [&](const char* id) { world.workers.Restart(id, 2); });
  world.workers.End(SliceWorld::Task("j", 0), EndKind::kDone);
  world.Advance(500ms);
  const std::string started = world.workers.WorkerOf(SliceWorld::Task("j", 1));
  REQUIRE_FALSE(started.empty());
  world.store.SetFault(FakeStore::Fault::kNone);
  for (int i = 0; i < 3; ++i) {
    world.Register(world.workers.WorkerOf(SliceWorld::Task("j", 1)), 2);
    world.Advance(100ms);
  }
  CHECK(world.workers.starts(SliceWorld::Task("j", 1)) == 1);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j", 1)) == started);
}

// Guards against a task that runs again after it was done: numbers of ends
// start again with each life, and the number that acknowledged the ends of a
// worker's first life made its second life forget an end that was not read.
TEST_CASE("an end is acknowledged only to the life that reported it",
          "[slice]") {
  SliceWorld world;
  world.StartJob("c", "first");
  world.workers.End(SliceWorld::Task("first"), EndKind::kDone);
  world.Advance(1s);
  CHECK(world.workers.acknowledged("w1") == 1);
  world.workers.Restart("w1", 2);
  world.Submit("j", "c");
  world.Advance(20ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against a task that runs again after it was done: a write that stored
// an end of a worker's first life acknowledged an end of its second life,
// which no write had stored.
TEST_CASE("a write acknowledges no end of a later life", "[slice]") {
  SliceWorld world;
  world.StartJob("c", "first");
  world.Submit("j", "c");
  world.Submit("other", "c");
  world.Advance(500ms);
  world.commit_delay = 1500ms;
  world.workers.End(SliceWorld::Task("first"), EndKind::kDone);
  world.Advance(100ms);
  world.workers.Restart("w1", 2);
  world.Advance(700ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(1200ms);
  CHECK(world.workers.acknowledged("w1") == 0);
  world.Advance(2s);
  CHECK(world.workers.acknowledged("w1") == 1);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against a task that runs again after it was done: a worker was cut off
// before it answered an acknowledgement and restarted behind the cut, and the
// acknowledgement, sent again, made its new life forget an end that was not
// read.
TEST_CASE("an acknowledgement that was not answered reaches no later life",
          "[slice]") {
  SliceWorld world;
  world.StartJob("v", "filler");
  world.Submit("first", "c");
  world.Advance(500ms);
  world.commit_delay = 100ms;
  world.workers.End(SliceWorld::Task("first"), EndKind::kDone);
  world.Advance(100ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(300ms);
  world.Submit("j", "c");
  world.Advance(1750ms);
  world.workers.Restart("w1", 2);
  while (world.workers.WorkerOf(SliceWorld::Task("j")).empty()) {
    world.Advance(10ms);
  }
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against a task that runs again after it was done: a report of a
// worker's first life arrived after the registry had told of its second life,
// which was then sent the acknowledgement of the first one's end.
TEST_CASE("a report of an earlier life does not count for a later one",
          "[slice]") {
  SliceWorld world;
  world.StartJob("c", "first");
  world.answer_delay = 300ms;
  world.workers.End(SliceWorld::Task("first"), EndKind::kDone);
  world.Advance(10ms);
  world.answer_delay = 0ms;
  world.workers.Restart("w1", 2);
  world.Register("w1", 2);
  world.commit_delay = 100ms;
  world.Submit("j", "c");
  for (int i = 0; i < 50; ++i) {
    world.Advance(10ms);
    if (!world.workers.WorkerOf(SliceWorld::Task("j")).empty()) {
      break;
    }
  }
  world.Advance(10ms);
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(5s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against a task that runs twice: a worker had moved to another address
// and started the task there, when the answer to an earlier order arrived from
// its old address, which belonged to another worker by then.
TEST_CASE("an answer from an earlier address loses no task", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(1s);
  world.workers.Replace("w1");
  world.answer_delay = 300ms;
  world.Submit("early", "c");
  world.Advance(10ms);
  world.answer_delay = 0ms;
  world.workers.Restart("w1", 2);
  world.Register("w1", 2);
  world.Advance(100ms);
  world.Submit("j", "c");
  world.Advance(50ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.AddWorker("w2");
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a loss of workers: those that had crashed were never used
// again, which left 36 of 48 workers.
TEST_CASE("a worker whose lease has ended is used when it returns", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(9s);
  world.workers.Restart("w1", GENERATE(1, 2));
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

TEST_CASE("a start whose answer is lost stays on its worker", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.workers.SetFault("w1", FakeWorkers::Fault::kLoseAnswer);
  world.Advance(200ms);
  world.Submit("j", "c");
  world.Advance(500ms);
  world.AddWorker("w2");
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

TEST_CASE(
    "a start that may arrive late is stopped before the task starts elsewhere",
    "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.workers.SetFault("w1", FakeWorkers::Fault::kLate);
  world.Advance(200ms);
  world.Submit("j", "c");
  world.Advance(3s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(3s);
  const std::size_t before = world.workers.starts(SliceWorld::Task("j"));
  CHECK(before == 1);
}

TEST_CASE("a task fails permanently after its last attempt", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(500ms);
  CHECK(world.PhaseOf("j") != JobPhase::kFailed);
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(500ms);
  CHECK(world.PhaseOf("j") == JobPhase::kFailed);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against the quarantine of healthy workers by jobs that can never
// complete, after which long-running tasks found no room.
TEST_CASE("a job that always fails does not put its worker into quarantine",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("poison", "c");
  world.Submit("poison2", "c");
  for (int i = 0; i < 2; ++i) {
    world.Advance(500ms);
    world.workers.End(SliceWorld::Task("poison"), EndKind::kFailed);
    world.workers.End(SliceWorld::Task("poison2"), EndKind::kFailed);
  }
  world.Advance(500ms);
  world.Submit("j", "c");
  world.Advance(500ms);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

TEST_CASE(
    "a worker that fails the tasks of several jobs is put into quarantine",
    "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  for (const char* id : {"a", "b", "c"}) {
    world.Submit(id, "c");
    world.Advance(500ms);
    world.workers.End(SliceWorld::Task(id), EndKind::kFailed);
  }
  world.Advance(300ms);
  world.Submit("j", "c");
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 0);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a job that runs again: a read of the jobs that began before a
// job's rows were removed restored the job.
TEST_CASE("a late read does not restore a closed job", "[slice]") {
  SliceWorld world;
  world.StartJob();
  const Row row = *world.store.Find(JobRow(kSlice, "j"));
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(500ms);
  REQUIRE(world.PhaseOf("j") == JobPhase::kCompleted);
  world.store.SetFault(FakeStore::Fault::kLoseHistory);
  world.late_rows = {row};
  world.Submit("k", "c");
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

TEST_CASE("a job is followed after the history was lost", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kLoseHistory);
  world.Submit("j", "c");
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(500ms);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against one attempt too many: a new owner read the failed ends of a
// task before the ends of the step that it waits for, and did not see that they
// were all that are permitted.
TEST_CASE("failures that are read before the step before is done count",
          "[slice]") {
  const TaskAddress second = SliceWorld::Task("j", 1);
  SliceWorld world;
  world.StartJob("cc");
  world.AddWorker("w2");
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Drain("w1");
  for (std::size_t run = 1; run <= 2; ++run) {
    world.Advance(1s);
    REQUIRE(world.workers.starts(second) == run);
    REQUIRE(world.workers.WorkerOf(second) == "w2");
    world.workers.End(second, EndKind::kFailed);
  }
  world.store.SetFault(FakeStore::Fault::kNone);
  world.slow_worker = "w1";
  world.TakeOver();
  world.Advance(3s);
  CHECK(world.workers.starts(second) == 2);
  CHECK(world.PhaseOf("j") == JobPhase::kFailed);
}

}  // namespace
}  // namespace hickoryusher::jobs
