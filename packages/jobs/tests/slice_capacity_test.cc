#include <catch2/catch.hpp>
#include <chrono>

#include "slice_world.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against a long-running task that waits behind short-lived ones, as one
// did for 13 s.
TEST_CASE(
    "a long-running task gets free capacity before waiting short-lived ones",
    "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("a1", "b");
  world.Advance(500ms);
  world.Submit("a2", "b");
  world.Advance(500ms);
  world.Submit("w", "w");
  world.Advance(500ms);
  world.workers.End(SliceWorld::Task("a1"), EndKind::kDone);
  world.Advance(500ms);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("w")) == "w1");
  CHECK(world.workers.WorkerOf(SliceWorld::Task("a2")).empty());
}

// Guards against long-running tasks that waited over 4 s for short-lived tasks
// to end on the workers nominated for them.
TEST_CASE("a long-running task does not wait long for short-lived ones",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("a1", "b");
  world.Advance(500ms);
  world.Submit("w", "w");
  world.Advance(2500ms);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("w")) == "w1");
  CHECK(world.workers.WorkerOf(SliceWorld::Task("a1")).empty());
}

// Guards against a wait for memory: a worker was nominated for a long-running
// task for over 6 s, while best-effort work there held the memory that the task
// needed.
TEST_CASE("a long-running task does not wait long for memory", "[slice]") {
  SliceWorld world;
  world.StartJob("g", "spare");
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("spare")) == "w1");
  world.Submit("h", "h");
  world.Advance(2500ms);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("h")) == "w1");
}

// Guards against moving several tasks into the same room: three were moved at
// once into room for one.
TEST_CASE("only one task at a time is moved into the same room", "[slice]") {
  SliceWorld world;
  // Of 32 cores, 12 are free on w3, and 8 on w1 and w2.
  world.AddWorker("w3");
  world.Submit("x", "w");
  world.Advance(500ms);
  for (const std::string worker : {"w1", "w2"}) {
    world.AddWorker(worker);
    world.Advance(500ms);
    world.Submit("first" + worker, "t");
    world.Submit("second" + worker, "t");
    world.Advance(500ms);
    REQUIRE(world.workers.runs(worker).size() == 2);
  }
  world.Submit("y", "w");
  world.Submit("z", "w");
  world.Advance(3s);
  for (const std::string task :
       {"firstw1", "secondw1", "firstw2", "secondw2"}) {
    CHECK_FALSE(world.workers.WorkerOf(SliceWorld::Task(task)).empty());
  }
  CHECK_FALSE(world.workers.WorkerOf(SliceWorld::Task("y")).empty());
}

// Guards against fragmented capacity: a long-running task of 20 cores found no
// room for 10 s, although 54 cores were free.
TEST_CASE("two smaller tasks move for a larger one", "[slice]") {
  SliceWorld world;
  // w3 and w4 have 12 of 32 cores free, and w1 has 8 beside two tasks of 12.
  for (const std::string worker : {"w3", "w4"}) {
    world.AddWorker(worker);
    world.Advance(500ms);
    world.Submit("large" + worker, "w");
    world.Advance(500ms);
    REQUIRE(world.workers.runs(worker).size() == 1);
  }
  world.AddWorker("w1");
  world.Advance(500ms);
  world.Submit("first", "t");
  world.Submit("second", "t");
  world.Advance(500ms);
  REQUIRE(world.workers.runs("w1").size() == 2);
  world.Submit("larger", "v");
  world.Advance(3s);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("larger")) == "w1");
  CHECK_FALSE(world.workers.WorkerOf(SliceWorld::Task("first")).empty());
  CHECK_FALSE(world.workers.WorkerOf(SliceWorld::Task("second")).empty());
}

// Guards against long-running tasks that stay on a draining worker until it is
// gone, although preempting short-lived tasks elsewhere would make room.
TEST_CASE("room is made for long-running tasks before their worker is gone",
          "[slice]") {
  SliceWorld world;
  world.StartJob("w", "w");
  world.AddWorker("w2");
  world.Submit("a1", "b");
  world.Advance(500ms);
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("a1")) == "w2");
  world.Drain("w1");
  world.Advance(2500ms);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("w")) == "w2");
}

TEST_CASE("a long-running task restarts however it ends", "[slice]") {
  const EndKind kind = GENERATE(EndKind::kDone, EndKind::kFailed,
                                EndKind::kStopped, EndKind::kLapsed);
  SliceWorld world;
  world.StartJob("w", "w");
  for (std::size_t starts = 1; starts < 5; ++starts) {
    CHECK(world.workers.starts(SliceWorld::Task("w")) == starts);
    world.workers.End(SliceWorld::Task("w"), kind);
    world.Advance(2s);
  }
}

// Guards against long-running tasks that end with their draining worker: their
// loss was noticed only 6 s later.
TEST_CASE("long-running tasks move away from a draining worker", "[slice]") {
  SliceWorld world;
  world.StartJob("w", "w");
  world.AddWorker("w2");
  world.Advance(500ms);
  world.Drain("w1");
  world.Advance(500ms);
  CHECK(world.workers.WorkerOf(SliceWorld::Task("w")) == "w2");
}

TEST_CASE("a long-running job without room goes to a slice with room",
          "[slice]") {
  SliceWorld world;
  world.StartJob("w", "w");
  world.OfferRoomElsewhere();
  world.Submit("v", "w");
  // A job stays at least 4 s, or it would circulate among full slices.
  world.Advance(3500ms);
  CHECK(world.store.Find(JobRow(kSlice, "v")).has_value());
  world.Advance(1s);
  CHECK_FALSE(world.store.Find(JobRow(kSlice, "v")).has_value());
  CHECK_FALSE(world.store.Find(ProgressRow(kSlice, "v")).has_value());
  CHECK(world.store.Find(JobRow(kOtherSlice, "v")).has_value());
  CHECK(world.store.Find(ProgressRow(kOtherSlice, "v")).has_value());
  CHECK(world.workers.WorkerOf(SliceWorld::Task("w")) == "w1");
}

// Guards against jobs that stay in a full slice: they stayed for 36 s, since
// the room of other slices did not include what short-lived tasks reserve.
TEST_CASE("a slice offers long-running jobs what short-lived tasks reserve",
          "[slice]") {
  SliceWorld world;
  world.StartJob("b", "short");
  REQUIRE(world.owner->load().has_value());
  CHECK(world.owner->load()->long_running_room_millis == std::vector{32'000L});
  world.AddWorker("w2");
  world.Submit("w", "w");
  world.Advance(500ms);
  CHECK(world.owner->load()->long_running_room_millis ==
        std::vector{32'000L, 12'000L});
}

// Guards against a stuck task: a task of a job that may not be stopped as a
// whole found no room for 12 s, while another slice had 100 cores free.
TEST_CASE("another job goes to a slice with room if the waiting one may not",
          "[slice]") {
  SliceWorld world;
  world.StartJob("w", "w");
  world.OfferRoomElsewhere();
  world.Advance(4s);
  world.Submit("k", "k");
  world.Advance(3s);
  CHECK(world.store.Find(JobRow(kOtherSlice, "w")).has_value());
  CHECK(world.store.Find(JobRow(kSlice, "k")).has_value());
  CHECK(world.workers.WorkerOf(SliceWorld::Task("k")) == "w1");
}

// Guards against two transfers into the same room: jobs with 20 tasks came from
// two slices within a second, and 11 tasks found no room for 9 s.
TEST_CASE("a job only goes into room that no other job is announced for",
          "[slice]") {
  SliceWorld world;
  world.StartJob("w", "w");
  world.OfferRoomElsewhere();
  world.store.Put(IncomingRow(kOtherSlice), "other");
  world.Submit("v", "w");
  world.Advance(5s);
  CHECK(world.store.Find(JobRow(kSlice, "v")).has_value());
  // The other slice has accounted for the announcement.
  world.OfferRoomElsewhere(world.store.Find(IncomingRow(kOtherSlice))->version);
  world.Advance(1s);
  CHECK(world.store.Find(JobRow(kOtherSlice, "v")).has_value());
}

// Guards against the transfer of a job to a slice whose owner has been gone for
// a minute.
TEST_CASE("no job goes to a slice whose load is old", "[slice]") {
  SliceWorld world;
  world.StartJob("w", "w");
  world.owner->SetLoads(
      {SliceLoad{}, SliceLoad{.unix_ms = -60'000,
                              .capacity_millis = 100'000,
                              .long_running_room_millis = {32'000}}});
  world.Submit("v", "w");
  world.Advance(8s);
  CHECK(world.store.Find(JobRow(kSlice, "v")).has_value());
}

// Guards against a nomination that blocks a worker: it stayed after the
// transfer that would have made room was refused, and nothing else started
// there.
TEST_CASE("a nomination ends soon if no room is to come", "[slice]") {
  SliceWorld world;
  world.StartJob("t", "a");
  world.Submit("b", "t");
  world.Advance(5s);
  // Another slice has announced a job for the room meanwhile.
  world.store.Put(IncomingRow(kOtherSlice), "other");
  world.OfferRoomElsewhere();
  world.Submit("k", "k");
  world.Advance(4s);
  world.Submit("short", "c");
  world.Advance(5s);
  CHECK(world.workers.starts(SliceWorld::Task("short")) == 1);
  world.OfferRoomElsewhere(world.store.Find(IncomingRow(kOtherSlice))->version);
  world.Advance(6s);
  CHECK(world.workers.starts(SliceWorld::Task("k")) == 1);
}

// Guards against offering room that is already needed: a job came into room
// that the long-running tasks of a crashed worker had taken 0.7 s earlier, when
// their lease had ended.
TEST_CASE("a slice offers no room that tasks of a silent worker will need",
          "[slice]") {
  SliceWorld world;
  world.StartJob("w", "w");
  world.AddWorker("w2");
  world.Advance(500ms);
  REQUIRE(world.owner->load()->long_running_room_millis.size() == 2);
  world.workers.SetFault("w1", FakeWorkers::Fault::kSilent);
  world.Advance(4s);
  CHECK(world.owner->load()->long_running_room_millis.empty());
  // The lease ends 6.3 s after the last renewal.
  world.Advance(6s);
  CHECK(world.workers.starts(SliceWorld::Task("w")) == 2);
  CHECK(world.owner->load()->long_running_room_millis == std::vector{12'000L});
}

TEST_CASE("a slice offers no room before an announced job has arrived",
          "[slice]") {
  SliceWorld world;
  world.StartJob("w", "w");
  REQUIRE(world.owner->load()->long_running_room_millis.size() == 1);
  world.store.Put(IncomingRow(kSlice), "j");
  world.Advance(100ms);
  CHECK(world.owner->load()->incoming ==
        world.store.Find(IncomingRow(kSlice))->version);
  CHECK(world.owner->load()->long_running_room_millis.empty());
  world.Advance(2s);
  CHECK(world.owner->load()->long_running_room_millis.size() == 1);
}

TEST_CASE("an unanswered transfer is neither lost nor made twice", "[slice]") {
  SliceWorld world;
  world.StartJob("w", "w");
  world.OfferRoomElsewhere();
  world.Submit("v", "w");
  world.Advance(3950ms);
  world.store.SetFault(
      GENERATE(FakeStore::Fault::kLoseAnswer, FakeStore::Fault::kPostpone),
      /*several_parts_only=*/true);
  world.Advance(300ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  world.store.ApplyPostponed();
  world.Advance(1s);
  CHECK_FALSE(world.owner->fenced());
  CHECK_FALSE(world.store.Find(JobRow(kSlice, "v")).has_value());
  CHECK(world.store.Find(JobRow(kOtherSlice, "v")).has_value());
  CHECK(world.workers.starts(SliceWorld::Task("v")) == 0);
}

// Guards against new work on a draining VM.
TEST_CASE("a draining worker gets no new tasks", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.Drain("w1");
  world.Submit("j", "c");
  world.Advance(3s);
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 0);
}

// Guards against evicted work that is lost, restarted from the beginning or
// resumed twice.
TEST_CASE("moved work resumes from its checkpoint exactly once", "[slice]") {
  SliceWorld world;
  world.StartJob();
  world.AddWorker("w2");
  world.Advance(500ms);
  world.Drain("w1");
  world.Advance(3s);
  REQUIRE(world.workers.runs("w2").size() == 1);
  CHECK(world.workers.runs("w2")[0].checkpoint == "at_stop");
  CHECK(world.workers.runs("w1").empty());
  CHECK(world.workers.starts(SliceWorld::Task("j")) == 2);
}

// Guards against a VM with more work than its capacity.
TEST_CASE("capacity is never allocated twice", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  for (const char* id : {"a", "b", "c"}) {
    world.Submit(id, "b");
  }
  world.Advance(1s);
  CHECK(world.workers.runs("w1").size() == 1);
}

}  // namespace
}  // namespace hickoryusher::jobs
