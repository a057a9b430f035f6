#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <variant>

#include "slice_world.h"

/// An owner that is cut off from the store, while a process that it does not
/// know of may have claimed the slice.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

RenewLease QueryBySuccessor(const std::string& worker,
                            std::uint64_t acknowledged = 0) {
  return {.to = {.worker = worker},
          .token = TokenOf(2, 1),
          .acknowledged = acknowledged};
}

// Two workers in use, w1 with the task j, and an owner whose last renewal of
// the term was sent 100 ms ago.
struct CutOff {
  explicit CutOff(const std::string& steps = "c") {
    world.StartJob(steps, "j");
    world.AddWorker("w2");
    world.Advance(500ms);
    world.Submit("k", "c");
    world.Advance(500ms);
    REQUIRE(world.workers.WorkerOf(kTask) == "w1");
    REQUIRE(world.workers.WorkerOf(SliceWorld::Task("k")) == "w2");
    world.EndTermIn(12s);
    world.Advance(100ms);
  }

  std::size_t starts() const { return world.workers.starts(kTask); }

  const TaskAddress kTask = SliceWorld::Task("j");
  SliceWorld world;
};

// Guards against a task that runs again after it is done: a successor had
// acknowledged its end. The worker then began another life, in which the owner
// that was cut off reached it first, and found the run missing.
TEST_CASE("a run that a later life does not list is not over without the term",
          "[slice]") {
  CutOff cut;
  SliceWorld& world = cut.world;
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(3500ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.workers.Handle(QueryBySuccessor("w1"), world.now());
  world.workers.End(cut.kTask, EndKind::kDone);
  world.workers.Handle(QueryBySuccessor("w1", 1), world.now());
  REQUIRE(world.workers.started_runs().front().acknowledged <= world.now());
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", world.now().time_since_epoch() - 1s);
  world.Advance(3s);
  CHECK(cut.starts() == 1);
}

// The same for a worker whose address belongs to another one.
TEST_CASE("a run is not over with its worker without the term", "[slice]") {
  CutOff cut;
  SliceWorld& world = cut.world;
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(3500ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.workers.Handle(QueryBySuccessor("w1"), world.now());
  world.workers.End(cut.kTask, EndKind::kDone);
  world.workers.Handle(QueryBySuccessor("w1", 1), world.now());
  world.workers.Replace("w1");
  world.Advance(3s);
  CHECK(cut.starts() == 1);
}

// Guards against a task that runs twice: a successor had asked all workers, and
// started a task that waited for room. The owner that was cut off started it in
// a later life of one of them, which had seen no token.
TEST_CASE("no task starts in a life that began since the last renewal",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("big", "b");
  for (int i = 0; i < 12; ++i) {
    world.Submit("small" + std::to_string(i), "c");
  }
  world.Advance(1s);
  world.Submit("j", "c");
  world.Advance(500ms);
  REQUIRE(world.workers.runs("w1").size() == 13);
  REQUIRE(world.workers.starts(SliceWorld::Task("j")) == 0);
  world.EndTermIn(12s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(3500ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.workers.Handle(QueryBySuccessor("w1"), world.now());
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", world.now().time_since_epoch() - 1s);
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 0);
}

// Returns how long it takes until a lost worker with a start that has not been
// seen counts as lapsed, with a renewal of the term each second and where the
// owner needs one, or at any time.
std::chrono::milliseconds TimeToLapse(bool renewed_always) {
  SliceWorld world;
  world.longest_lease = 10s;
  world.workers.longest_lease = 10s;
  world.TakeOver();
  world.StartJob("c", "j");
  world.Advance(500ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kLate);
  world.Submit("k", "c");
  world.Advance(100ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  const core::TimePoint begin = world.now();
  core::TimePoint next = begin;
  const auto lapsed = [&] {
    return std::ranges::any_of(world.log, [](const std::string& line) {
      return line.find("cause=lease_over") != std::string::npos &&
             line.find("state=lapsed") != std::string::npos;
    });
  };
  while (!lapsed() && world.now() < begin + 30s) {
    if (renewed_always || world.owner->needs_renewed_term() ||
        world.now() >= next) {
      world.EndTermIn(12s);
      next = world.now() + 1s;
    }
    world.Advance(20ms);
  }
  REQUIRE(lapsed());
  return std::chrono::duration_cast<std::chrono::milliseconds>(world.now() -
                                                               begin);
}

// Guards against a wait of up to a second more for a renewal of the term: also
// the longer lease, which decides if a start has not been seen, needs one.
TEST_CASE("the term is renewed at once for a worker with an unseen start",
          "[slice]") {
  CHECK(TimeToLapse(false) <= TimeToLapse(true) + 100ms);
}

// Guards against a long-running task that is down for up to 1.5 s more after a
// takeover: the end of its usual lease needs a renewal of the term, too.
TEST_CASE("the term is renewed at once for the usual leases of a predecessor",
          "[slice]") {
  SliceWorld world;
  world.longest_lease = 10s;
  world.workers.longest_lease = 10s;
  world.TakeOver();
  world.StartJob("w");
  world.Advance(5s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.predecessor_term = SliceBoard::kOwnerGrace - 1800ms;
  world.TakeOver(/*predecessor_ended=*/true);
  world.AddWorker("w2");
  const core::TimePoint gained = world.now();
  // As the board renews the term: each second, and where it is needed.
  const std::chrono::milliseconds first = GENERATE(20ms, 300ms, 600ms, 900ms);
  core::TimePoint next = world.now() + first;
  world.EndTermIn(12s);
  while (world.workers.starts(SliceWorld::Task("j")) < 2 &&
         world.now() < gained + 20s) {
    if (world.owner->needs_renewed_term() || world.now() >= next) {
      world.EndTermIn(12s);
      next = world.now() + 1s;
    }
    world.Advance(20ms);
  }
  CAPTURE(first.count(), core::ToMillis(world.now() - gained));
  CHECK(world.now() - gained <= 6800ms);
}

// Guards against a task that runs twice: a successor had adopted a late start
// in a later life of its worker. The owner that was cut off took it for one
// that can come late no more.
TEST_CASE("a late start is not out of time without the term", "[slice]") {
  SliceWorld world;
  const TaskAddress task = SliceWorld::Task("j");
  world.AddWorker("w1");
  world.Advance(500ms);
  world.workers.Hold([](const WorkerCommand& command) {
    return std::holds_alternative<StartRun>(command);
  });
  world.Submit("j", "c");
  world.Advance(100ms);
  REQUIRE(world.workers.held().size() == 1);
  world.workers.Hold({});
  world.AddWorker("w2");
  world.Advance(100ms);
  world.Submit("k", "c");
  world.Advance(100ms);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(8s);
  REQUIRE(world.workers.starts(task) == 0);
  world.EndTermIn(12s);
  world.Advance(3500ms);
  // The start comes late, and a successor adopts and renews the run.
  world.workers.Restart("w1", 2);
  world.workers.SetBackClock("w1", world.now().time_since_epoch() - 1s);
  world.workers.SetFault("w1", FakeWorkers::Fault::kNone);
  world.workers.DeliverOldest(world.now());
  world.workers.Handle(QueryBySuccessor("w1"), world.now());
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  REQUIRE(world.workers.starts(task) == 1);
  world.Advance(5s);
  CHECK(world.workers.starts(task) == 1);
}

}  // namespace
}  // namespace hickoryusher::jobs
