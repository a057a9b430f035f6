#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "jobs/slice_board.h"
#include "slice_world.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against tasks that lapse at once, or are refused as late for ever, on
// a worker that was idle for minutes: its clock may have run slow since its
// last report, which shortens the lease that certainly ends with the owner's
// term.
TEST_CASE("a task on a worker that was idle for long gets a whole lease",
          "[slice]") {
  const auto idle = GENERATE(500s, 900s);
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(idle);
  world.EndTermIn(12s);
  world.Submit("j", "c");
  // The fake worker applies a renewal when it answers, after up to 1.5 s.
  world.Advance(2s);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  const core::TimePoint now = world.EndTermIn(0s);
  CHECK(world.workers.lease_until_ms("w1") >=
        core::ToMillis((now + 3500ms).time_since_epoch()));
}

// Guards against running finished tasks again: a new owner dropped progress
// that it had read before the jobs.
TEST_CASE(
    "finished tasks do not restart when jobs are read after their progress",
    "[slice]") {
  SliceWorld world;
  world.StartJob("cc");
  world.workers.End(SliceWorld::Task("j", 0), EndKind::kDone);
  world.Advance(500ms);
  world.slow_table = GENERATE(JobTableName(kSlice), ProgressRow({}, {}).table);
  world.TakeOver();
  world.Advance(10s);
  CHECK(world.workers.starts(SliceWorld::Task("j", 0)) == 1);
  CHECK(world.workers.starts(SliceWorld::Task("j", 1)) == 1);
}

// Guards against a task that runs twice: a worker that was missing in the
// registry at a takeover still ran the task that the new owner started
// elsewhere.
TEST_CASE("a worker that left the registry is queried before its tasks restart",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.owner->RemoveWorker("w1", core::TimePoint());
  SliceWorld successor;
  successor.store = world.store;
  successor.workers = world.workers;
  successor.TakeOver(/*predecessor_ended=*/false);
  successor.TakeOver(/*predecessor_ended=*/false);
  successor.AddWorker("w2");
  // The term of the earlier owner, and with it its leases, may last for this
  // long.
  successor.Advance(std::chrono::duration_cast<std::chrono::milliseconds>(
      SliceBoard::kOwnerGrace));
  CHECK(successor.workers.starts(SliceWorld::Task("j")) == 1);
  successor.Advance(1s);
  CHECK(successor.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against jobs that wait for long after a takeover: leases that outlived
// the term of the earlier owner kept its jobs waiting for 18 s where a worker
// was gone.
TEST_CASE("no lease outlives the term of the owner", "[slice]") {
  SliceWorld world;
  world.StartJob();
  const core::TimePoint end = world.EndTermIn(9s);
  world.Advance(8900ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  CHECK(world.workers.lease_until_ms("w1") <=
        core::ToMillis(end.time_since_epoch()));
  CHECK(world.workers.lease_until_ms("w1") >=
        core::ToMillis((end - 500ms).time_since_epoch()));
}

// Guards against a long-running task that is down for 15 s: a new owner moved
// it off a draining worker, and did not start it again until a worker that had
// gone was known to run nothing.
TEST_CASE("a task that a new owner has stopped starts again at once",
          "[slice]") {
  SliceWorld world;
  world.StartJob("w");
  world.AddWorker("w2");
  world.Submit("other", "v");
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("other")) == "w2");
  world.AddWorker("w3");
  world.Advance(500ms);
  world.workers.SetFault("w2", FakeWorkers::Fault::kSilent);
  world.TakeOver(/*predecessor_ended=*/false);
  world.Advance(500ms);
  const bool fails = GENERATE(true, false);
  if (fails) {
    world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  } else {
    world.Drain("w1");
  }
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
  CHECK(world.workers.starts(SliceWorld::Task("other")) == 1);
}

// Guards against a task that runs twice: a new owner transferred a job of which
// one task ran on a worker that had not reported yet, and the other slice
// started that task, too.
TEST_CASE("no job is transferred while one of its tasks may be elsewhere",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Submit("j", "z");
  world.Advance(500ms);
  const TaskAddress second = {.job = "j", .index = 1};
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  REQUIRE(world.workers.WorkerOf(second) == "w2");
  world.workers.SetFault("w2", FakeWorkers::Fault::kSilent);
  world.TakeOver(/*predecessor_ended=*/false);
  world.Advance(4500ms);
  // It finds room here only in the place of the other job.
  world.Submit("waits", "k");
  world.owner->SetLoads(
      {SliceLoad{}, SliceLoad{.capacity_millis = 100'000,
                              .long_running_room_millis = {32'000, 32'000}}});
  world.Advance(4s);
  CHECK_FALSE(world.store.Find(JobRow(kOtherSlice, "j")).has_value());
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

TEST_CASE("a new owner adopts running tasks", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.TakeOver();
  world.Advance(1s);
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

TEST_CASE("an owner whose epoch is refused is fenced", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.Handle(
      RenewLease{.to = {.worker = "w1"}, .token = TokenOf(99, 1)},
      core::TimePoint());
  world.Advance(3s);
  CHECK(world.owner->fenced());
}

// Guards against a delay of all jobs: after a takeover they waited 18 s for
// workers that had crashed and restarted under another identity.
TEST_CASE("a new owner does not wait for a worker that was replaced",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.Replace("w1");
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w2");
  world.Advance(2s);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w2");
}

// Guards against waiting for a worker that does not exist: a registry entry
// from another writer, for which no worker answers, was stored as a worker that
// may run tasks, and each new owner waited up to 22 s for it.
TEST_CASE("a new owner does not wait for a worker that has never answered",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.AddWorker("odd");
  world.workers.SetFault("odd", FakeWorkers::Fault::kSilent);
  world.Submit("other", "c");
  world.Advance(1s);
  world.TakeOver(/*predecessor_ended=*/false);
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against a second start of the tasks of a silent worker, which would
// happen if an unreadable roster counted as empty.
TEST_CASE("nothing restarts while the roster cannot be read", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  SliceWorld successor;
  successor.store = world.store;
  successor.workers = world.workers;
  successor.unreadable_table = ProgressRow(kSlice, {}).table;
  successor.TakeOver(/*predecessor_ended=*/false);
  successor.TakeOver(/*predecessor_ended=*/false);
  successor.AddWorker("w2");
  successor.Advance(5s);
  CHECK(successor.workers.starts(SliceWorld::Task("j")) == 1);
  successor.unreadable_table.clear();
  successor.Advance(20s);
  CHECK(successor.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against a task that runs twice: the next owner would assume that a
// silent worker that is missing in the roster has no tasks.
TEST_CASE("a silent worker stays in the roster while its lease may be valid",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(3s);
  // Adding another worker makes the owner rewrite the roster.
  world.AddWorker("w2");
  world.Advance(1s);
  world.TakeOver(/*predecessor_ended=*/false);
  std::chrono::milliseconds passed{0};
  while (world.workers.starts(SliceWorld::Task("j")) == 1 && passed < 20s) {
    world.Advance(20ms);
    passed += 20ms;
  }
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
  CHECK_FALSE(world.workers.HoldsLease("w1", world.now()));
}

// Guards against a job that runs twice: a job submitted after the claim of the
// slice was started both by the new owner and by the earlier one, which had not
// yet noticed the claim.
TEST_CASE("a new owner queries all workers before it starts new jobs",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("first", "c");
  world.Advance(500ms);
  // The earlier owner starts it after the claim, on a worker not yet queried.
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.TakeOver(/*predecessor_ended=*/false);
  world.Submit("j", "c");
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.workers.Handle(StartRun{.to = {.worker = "w1"},
                                .token = TokenOf(1, 1),
                                .task = SliceWorld::Task("j"),
                                .run = 1},
                       core::TimePoint());
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.AddWorker("w2");
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

// Guards against a use after free (exit code 139) after a takeover: a new owner
// removed a cancelled job while a worker reported a run of it.
TEST_CASE("a cancelled job stays until a run that is found late has stopped",
          "[slice]") {
  SliceWorld world;
  world.StartJob();
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  // The earlier owner stored the cancellation, but ended before it sent the
  // stop.
  world.store.Put(ProgressRow(kSlice, "j"),
                  EncodeProgress({.phase = JobPhase::kCancelled}));
  world.commit_delay = 1500ms;
  // The worker reports 1.2 s later, while the write is in flight.
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.TakeOver();
  world.Advance(100ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSlowStop);
  world.Advance(2s);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.workers.End(SliceWorld::Task("j"), EndKind::kStopped);
  world.Advance(3s);
  const auto ended = std::ranges::find_if(world.log, [](const auto& line) {
    return line.starts_with("event=run_ended task=j.0.0.0");
  });
  REQUIRE(ended != world.log.end());
  CHECK(ended->ends_with("known=true"));
  CHECK_FALSE(world.store.Find(JobRow(kSlice, "j")).has_value());
  CHECK(world.PhaseOf("j") == JobPhase::kCancelled);
}

// Guards against extra attempts after a takeover: failures that a new owner
// reads from its predecessor's rows count, too.
TEST_CASE("failures are counted across owners", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(500ms);
  world.TakeOver();
  world.Advance(1s);
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(1s);
  CHECK(world.PhaseOf("j") == JobPhase::kFailed);
}

// Guards against counting a failure twice: an end that was stored but not
// acknowledged was counted again by the next owner.
TEST_CASE("a failure counts once, however often it is reported", "[slice]") {
  SliceWorld world;
  world.StartJob();
  FakeWorkers before;
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  before = world.workers;
  world.Advance(200ms);
  // The next owner finds the worker in its state before the acknowledgement.
  before.SetFault("w1", FakeWorkers::Fault::kNone);
  world.workers = before;
  world.TakeOver();
  world.Advance(1s);
  CHECK(world.PhaseOf("j") != JobPhase::kFailed);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

// Guards against a failure that is not counted: a new owner learned of the
// second run before it read the end of the first, and acknowledged that end
// without counting it.
TEST_CASE("an earlier run's failure counts while a later one runs", "[slice]") {
  SliceWorld world;
  world.AddWorker("w2");
  world.AddWorker("w1");
  world.Submit("j", "c");
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  const std::string first = world.workers.WorkerOf(SliceWorld::Task("j"));
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(1s);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) != first);
  // The next owner learns of the first run only after the second.
  world.workers.SetFault(first, FakeWorkers::Fault::kSilent);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.TakeOver();
  world.Advance(1s);
  world.workers.SetFault(first, FakeWorkers::Fault::kNone);
  world.Advance(1s);
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(1s);
  CHECK(world.PhaseOf("j") == JobPhase::kFailed);
}

// Guards against a job that fails too early: a restarted owner processed the
// ends of tasks before it had the configuration, and the first failure already
// exceeded the limit.
TEST_CASE("no job fails before the configuration is known", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.TakeOver(/*predecessor_ended=*/true, /*configured=*/false);
  world.workers.End(SliceWorld::Task("j"), EndKind::kFailed);
  world.Advance(1s);
  CHECK(world.PhaseOf("j") != JobPhase::kFailed);
  world.Configure();
  world.Advance(1s);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

TEST_CASE("a run of a finished job is stopped", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.Submit("k", "c");
  world.store.Run(CommitRows{.removals = {JobRow(kSlice, "j")}});
  world.TakeOver();
  world.Advance(2s);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")).empty());
  CHECK(world.workers.WorkerOf(SliceWorld::Task("k")) == "w1");
}

// Guards against an outdated count: an owner that had been disconnected
// reported that 1 job waited, while 7 did.
TEST_CASE("a count is as old as the data that it was counted from", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.Advance(2s);
  REQUIRE(world.owner->load().has_value());
  CHECK(world.owner->load()->unix_ms > -2'000);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.Advance(5s);
  CHECK(world.owner->load()->unix_ms <= -4'900);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(2s);
  CHECK(world.owner->load()->unix_ms > -2'000);
}

// Guards against waiting for workers that have left: five workers that had left
// 13 s earlier prevented a new owner from starting anything for 18 s.
TEST_CASE("a new owner does not wait for workers that left before", "[slice]") {
  SliceWorld world;
  world.StartJob("w", "w");
  world.AddWorker("w2");
  world.Advance(500ms);
  world.Drain("w1");
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("w")) == "w2");
  world.Remove("w1");
  world.Advance(13s);
  world.Submit("j", "c");
  world.TakeOver(/*predecessor_ended=*/false);
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a healthy worker that is excluded permanently after its
// registry entry has expired.
TEST_CASE("a worker that is listed again after a long time is used",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.Remove("w1");
  world.Advance(30s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.AddWorker("w1");
  world.Advance(500ms);
  world.Submit("j", "c");
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

}  // namespace
}  // namespace hickoryusher::jobs
