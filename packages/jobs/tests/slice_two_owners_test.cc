#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fake_store.h"
#include "jobs/slice_board.h"
#include "slice_world.h"

/// An owner that is cut off from the store stays the owner for the rest of its
/// term, beside successors that follow each other within that time.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

constexpr core::SliceId kYoff(0);
// How long SliceScheduler takes a lease of 6 s to last at most.
constexpr std::chrono::milliseconds kLongestLease(6320);

/// One process of the slice's failure domain with its own board.
class Process {
 public:
  Process(FakeStore& store,
          const std::string& name,
          const std::string& incarnation = "1")
      : store_(store) {
    std::vector<chart::Problem> problems;
    board_ = SliceBoard::Create(
        {.process = name,
         .incarnation = incarnation,
         .failure_domain = "yoff",
         .slices = {{.name = "yoff-0", .failure_domain = "yoff"}},
         .log = [](const core::LogLine&) {}},
        OwnershipChart(), ids_, problems);
    REQUIRE(problems.empty());
  }

  void Run(core::TimePoint now) {
    board_->Run(now);
    for (const StoreCommand& command : board_->PopCommands()) {
      if (reaches_store) {
        board_->Handle(*store_.Run(command), now);
      } else {
        board_->Handle(StoreUnanswered{.call = CallOf(command)}, now);
      }
    }
    for (const SliceNotice& notice : board_->PopNotices()) {
      if (const auto* gained = std::get_if<SliceGained>(&notice)) {
        gains.push_back(*gained);
        gained_at = now;
      }
    }
  }

  /// @returns when this process takes leases of earlier owners for over, as
  /// SliceScheduler does for workers that it cannot reach.
  core::TimePoint LeasesOver() const {
    const SliceGained& gain = gains.back();
    return gain.predecessor_ended
               ? std::max(gain.earlier_term_end,
                          std::min(gain.predecessor_term_end,
                                   gained_at + kLongestLease))
               : gain.predecessor_term_end;
  }

  SliceBoard& board() { return *board_; }

  bool reaches_store = true;
  std::vector<SliceGained> gains;
  core::TimePoint gained_at;

 private:
  FakeStore& store_;
  CallIds ids_;
  std::unique_ptr<SliceBoard> board_;
};

class Processes {
 public:
  void Advance(std::chrono::milliseconds duration,
               const std::vector<Process*>& processes) {
    const core::TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += 20ms;
      std::ranges::for_each(processes, [this](Process* p) { p->Run(now_); });
    }
  }

  core::TimePoint now() const { return now_; }

  FakeStore store;

 private:
  core::TimePoint now_{1h};
};

// Guards against a task that runs twice: an owner that the store did not serve
// went on renewing leases. Its successor was killed soon after its claim, and
// started again, or released the slice. The next claim took all leases for over
// after the longest one, which ends before the term of the first owner.
TEST_CASE("a second successor waits for the term of the first owner",
          "[board]") {
  const bool releases = GENERATE(false, true);
  Processes processes;
  Process a(processes.store, "a");
  Process b(processes.store, "b");
  processes.Advance(2s, {&a});
  REQUIRE(a.gains.size() == 1);
  a.reaches_store = false;
  while (b.gains.empty() && a.board().owns_any()) {
    processes.Advance(20ms, {&a, &b});
  }
  REQUIRE(b.gains.size() == 1);
  CHECK(b.LeasesOver() >= a.board().TermEnd(kYoff));
  if (releases) {
    b.board().ReleaseAll(processes.now());
    processes.Advance(200ms, {&a, &b});
  }
  Process next(processes.store, releases ? "c" : "b", "2");
  processes.Advance(200ms, {&a, &next});
  REQUIRE(next.gains.size() == 1);
  REQUIRE(a.board().owns_any());
  CAPTURE(core::ToMillis(a.board().TermEnd(kYoff) - next.LeasesOver()));
  CHECK(next.LeasesOver() >= a.board().TermEnd(kYoff));
}

// Guards against the same with one successor alone: its first claim was carried
// out late, so that the second one failed. It then read its own row, claimed
// the slice again, and took it for free.
TEST_CASE("a successor whose claim was done late waits for the earlier owner",
          "[board]") {
  // The second claim follows the first one by up to 1 s.
  for (auto late = 20ms; late <= 1000ms; late += 20ms) {
    Processes processes;
    Process a(processes.store, "a");
    Process b(processes.store, "b");
    processes.Advance(2s, {&a});
    REQUIRE(a.gains.size() == 1);
    processes.Advance(20ms, {&a, &b});
    a.reaches_store = false;
    processes.store.SetFault(FakeStore::Fault::kPostpone);
    processes.Advance(3500ms + late, {&a, &b});
    REQUIRE(b.gains.empty());
    processes.store.SetFault(FakeStore::Fault::kNone);
    processes.store.ApplyPostponed();
    processes.Advance(2s, {&a, &b});
    REQUIRE(b.gains.size() == 1);
    REQUIRE(a.board().owns_any());
    CAPTURE(late.count(),
            core::ToMillis(a.board().TermEnd(kYoff) - b.LeasesOver()));
    CHECK(b.LeasesOver() >= a.board().TermEnd(kYoff));
  }
}

// Lets the owner of epoch 1 run the task of a job on w1.
void StartByFirstOwner(SliceWorld& world, const std::string& job) {
  world.workers.Handle(StartRun{.to = {.worker = "w1"},
                                .token = TokenOf(1, 1),
                                .task = SliceWorld::Task(job),
                                .run = 1,
                                .lease_until_ms = core::ToMillis(
                                    (world.now() + 5s).time_since_epoch())},
                       world.now());
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task(job)) == "w1");
}

// Stores a job while the store refuses all calls of the owner.
void StoreJob(SliceWorld& world, const std::string& job) {
  world.store.Put(ProgressRow(kSlice, job), EncodeProgress(Progress()));
  world.store.Put(JobRow(kSlice, job),
                  EncodeStoredJob({.queue = "diary", .document = "c"}));
}

// Guards against a task that runs twice: an earlier owner ran a job that was
// stored after its successor's claim. The successor read it after the worker
// had reported the run, which was taken for one of no job and stopped, and
// started it again at once.
TEST_CASE("a run that is reported before its job is read goes on", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w2");
  world.Advance(300ms);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.Advance(100ms);
  StoreJob(world, "j");
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  StartByFirstOwner(world, "j");
  world.Advance(2s);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(3s);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.workers.HoldsLease("w1", world.now()));
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(500ms);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against a run that nobody stops, and against an end that is never
// acknowledged, because their job is not stored any more. The job table is read
// once more for them, without waiting for a change.
TEST_CASE("runs and ends of a job that is not stored are settled", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  StartByFirstOwner(world, "ended");
  StartByFirstOwner(world, "running");
  world.workers.End(SliceWorld::Task("ended"), EndKind::kDone);
  world.TakeOver(/*predecessor_ended=*/false);
  world.Advance(300ms);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("running")).empty());
  world.Advance(500ms);
  CHECK_FALSE(world.workers.HasEnds("w1"));
}

// Guards against a task that runs twice: an owner released the slice before it
// had read the job of a reported run, and its successor took the hand-over for
// complete.
TEST_CASE("a hand-over is complete only if the jobs of all runs are known",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w2");
  world.Advance(5s);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.Advance(100ms);
  StoreJob(world, "j");
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  StartByFirstOwner(world, "j");
  world.Advance(1500ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.slow_worker = "w1";
  world.HandOver();
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
}

/// The first owner of a slice beside its successor. The store takes none of its
/// writes, so that its term is not renewed, and serves its reads.
class CutOffOwner {
 public:
  explicit CutOffOwner(SliceWorld& world) : world_(world) {
    // Ends the read that waits for a change. Its answer would go to the next
    // owner.
    world_.store.SetFault(FakeStore::Fault::kRefuse);
    world_.Advance(20ms);
    world_.store.SetFault(FakeStore::Fault::kNone);
    owner_ = std::move(world_.owner);
    owner_->SetTermEnd(world.now() + SliceBoard::kOwnerGrace);
    world_.TakeOver(/*predecessor_ended=*/false);
  }

  /// Advances both owners. Only the first one reaches @p worker.
  void Advance(std::chrono::milliseconds duration, const std::string& worker) {
    for (; duration > 0ms; duration -= 10ms) {
      world_.workers.SetFault(worker, FakeWorkers::Fault::kSilent);
      world_.Advance(10ms);
      world_.workers.SetFault(worker, FakeWorkers::Fault::kNone);
      owner_->Run(world_.now(), 0);
      for (const StoreCommand& command : owner_->PopStoreCommands()) {
        commands_.push_back(command);
      }
      for (const StoreCommand& command : std::exchange(commands_, {})) {
        Execute(command);
      }
      for (const WorkerCommand& command : owner_->PopWorkerCommands()) {
        if (const auto answer = world_.workers.Handle(command, world_.now())) {
          owner_->Handle(*answer, world_.now());
        }
      }
    }
  }

 private:
  void Execute(const StoreCommand& command) {
    if (std::holds_alternative<CommitRows>(command)) {
      owner_->Handle(StoreRefused{.call = CallOf(command)}, world_.now());
    } else if (const auto answer = world_.store.Run(command)) {
      owner_->Handle(*answer, world_.now());
    } else {
      commands_.push_back(command);  // Waits for a change.
    }
  }

  SliceWorld& world_;
  std::unique_ptr<SliceScheduler> owner_;
  std::vector<StoreCommand> commands_;
};

// Guards against a task that runs twice: an earlier owner, which was cut off
// from its own renewals only, ran a job in its term that was stored after its
// successor's claim, on a worker that the successor had not reached.
TEST_CASE("a new job waits for workers that an earlier owner may still reach",
          "[slice]") {
  const std::chrono::milliseconds passed =
      GENERATE(500ms, 2000ms, 2700ms, 3500ms, 5000ms, 9000ms);
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  CutOffOwner first(world);
  world.AddWorker("w2");
  first.Advance(passed, "w1");
  world.Submit("j", "c");
  first.Advance(2s, "w1");
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against the same where the successor is served no reads for a while,
// and reads a job that was stored soon after its claim much later.
TEST_CASE(
    "a job that is read late waits for what an earlier owner may have run",
    "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  CutOffOwner first(world);
  world.AddWorker("w2");
  first.Advance(1s, "w1");
  world.store.SetFault(FakeStore::Fault::kRefuse);
  first.Advance(100ms, "w1");
  StoreJob(world, "j");
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  StartByFirstOwner(world, "j");
  first.Advance(4s, "w1");
  world.store.SetFault(FakeStore::Fault::kNone);
  first.Advance(1s, "w1");
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a job that never starts, or late, because its owner had not
// renewed its term when it read the job.
TEST_CASE("a job that is read without a renewal starts after the next one",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.EndTermIn(12s);
  world.Advance(4s);
  world.Submit("j", "c");
  world.Advance(1s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 0);
  world.EndTermIn(12s);
  world.Advance(600ms);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
}

// Guards against a task that runs again after it is done: an earlier owner, in
// its term, read a job that its successor could not read yet, and ran it on a
// worker that the successor had not reached. The successor acknowledged the end
// of a job that it did not know, and then started the job.
TEST_CASE("a job that is read after the end of its task does not run again",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("first", "c");
  world.Advance(500ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w2");
  world.Advance(300ms);
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.Advance(100ms);
  world.store.Put(ProgressRow(kSlice, "j"), EncodeProgress(Progress()));
  world.store.Put(JobRow(kSlice, "j"),
                  EncodeStoredJob({.queue = "diary", .document = "c"}));
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.workers.Handle(StartRun{.to = {.worker = "w1"},
                                .token = TokenOf(1, 1),
                                .task = SliceWorld::Task("j"),
                                .run = 1,
                                .lease_until_ms = core::ToMillis(
                                    (world.now() + 5s).time_since_epoch())},
                       world.now());
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(2s);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  CHECK(world.PhaseOf("j") == JobPhase::kCompleted);
}

// Guards against a task that runs twice: during an outage of the store, a
// worker restarted since its last report. The task that was then started beside
// the runs that it had reported got a lease by the clock of the new life, which
// outlived the term. The worker was cut off when the next owner queried it.
TEST_CASE("no start on a worker in use outlives the term after a restart",
          "[slice]") {
  const std::chrono::milliseconds left = GENERATE(1s, 3s, 5s);
  SliceWorld world;
  world.workers.longest_lease = 6s;
  const TaskAddress task = SliceWorld::Task("k", 1);
  world.AddWorker("w0");
  world.Submit("k", "cc");
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("k")) == "w0");
  // Leaves more room on w1.
  world.Submit("other", "v");
  world.AddWorker("w1");
  world.Advance(500ms);
  world.Submit("j", "c");
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("j")) == "w1");
  world.Advance(20s);
  world.EndTermIn(left + 7s);
  world.Advance(7s);
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", 27s);
  world.workers.End(SliceWorld::Task("k"), EndKind::kDone);
  world.Advance(100ms);
  const std::size_t starts = world.workers.starts(task);
  // The store answers again when the term has ended.
  world.predecessor_term = left - 100ms;
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.TakeOver();
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.AddWorker("w2");
  for (int i = 0; i < 1000; ++i) {
    if (world.workers.starts(task) > starts) {
      break;
    }
    world.Advance(20ms);
  }
  REQUIRE(world.workers.starts(task) == starts + 1);
  CAPTURE(starts, left.count());
  CHECK_FALSE((starts == 1 && world.workers.HoldsLease("w1", world.now())));
}

// Guards against a task that runs twice: an owner that was cut off from the
// store, and from most workers, took their leases for over and started the
// tasks again on a worker that it still reached. A successor had asked the
// others, and renewed their leases.
TEST_CASE("leases that a successor may have renewed do not count as over",
          "[slice]") {
  SliceWorld world;
  world.StartJob("c", "j");
  world.AddWorker("w2");
  world.Advance(500ms);
  world.Submit("k", "c");
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("k")) == "w2");
  world.EndTermIn(12s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(11s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 1);
  world.EndTermIn(12s);
  world.Advance(500ms);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

}  // namespace
}  // namespace hickoryusher::jobs
