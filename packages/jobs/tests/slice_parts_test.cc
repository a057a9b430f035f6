#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "slice_world.h"

/// Long-running tasks that are transferred to another slice by themselves.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;
using Numbers = std::vector<std::uint32_t>;

const TaskAddress kFirst = {.job = "j", .index = 0};
const TaskAddress kSecond = {.job = "j", .index = 1};

/// @returns the tasks in the row of a job or of a part in the other slice.
std::optional<Numbers> TasksElsewhere(const SliceWorld& world,
                                      const std::string& id) {
  const auto row = world.store.Find(JobRow(kOtherSlice, id));
  return row ? std::optional(DecodeStoredJob(row->value)->tasks) : std::nullopt;
}

/// Job j runs one of its two tasks on w1, and has lost the other with w2. Its
/// slice has no room for that one, and another slice has room for just one.
class TaskWithoutRoom : public SliceWorld {
 public:
  TaskWithoutRoom() {
    AddWorker("w1");
    AddWorker("w2");
    Submit("j", "z");
    Advance(5s);
    REQUIRE(workers.WorkerOf(kFirst) == "w1");
    REQUIRE(workers.WorkerOf(kSecond) == "w2");
    Drain("w2");
    workers.End(kSecond, EndKind::kStopped);
    Advance(100ms);
    Remove("w2");
  }
};

// Guards against a long-running task that is down for over 9 s: its slice was
// full, and its job fitted into no other slice as a whole.
TEST_CASE("a task that finds no room leaves the slice without its job",
          "[slice]") {
  TaskWithoutRoom world;
  world.OfferRoomElsewhere();
  world.Advance(2s);
  CHECK(TasksElsewhere(world, "j.1") == Numbers{1});
  CHECK(world.store.Find(ProgressRow(kOtherSlice, "j.1")).has_value());
  CHECK(world.store.Find(JobRow(kSlice, "j")).has_value());
  CHECK(world.workers.WorkerOf(kFirst) == "w1");
  CHECK(world.workers.starts(kFirst) == 1);
}

// Guards against a task that runs twice: the slice that it has left, or the
// next owner there, starts it when there is room again.
TEST_CASE("a task that has left is not started here again", "[slice]") {
  TaskWithoutRoom world;
  world.OfferRoomElsewhere();
  world.Advance(2s);
  REQUIRE(TasksElsewhere(world, "j.1").has_value());
  const bool next_owner = GENERATE(false, true);
  if (next_owner) {
    world.TakeOver(/*predecessor_ended=*/GENERATE(false, true));
  }
  world.AddWorker("w3");
  world.Advance(15s);
  CHECK(world.workers.starts(kSecond) == 1);
  CHECK(world.workers.starts(kFirst) == 1);
}

TEST_CASE("an unanswered transfer of a task is neither lost nor made twice",
          "[slice]") {
  TaskWithoutRoom world;
  world.OfferRoomElsewhere();
  world.Advance(600ms);
  world.store.SetFault(
      GENERATE(FakeStore::Fault::kLoseAnswer, FakeStore::Fault::kPostpone),
      /*several_parts_only=*/true);
  world.Advance(600ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  world.store.ApplyPostponed();
  world.Advance(1s);
  CHECK_FALSE(world.owner->fenced());
  CHECK(TasksElsewhere(world, "j.1") == Numbers{1});
  world.AddWorker("w3");
  world.Advance(3s);
  CHECK(world.workers.starts(kSecond) == 1);
}

// Guards against a task that runs twice: an unanswered transfer had taken
// effect, and the task had left the other slice, too, when it was repeated.
TEST_CASE("a transfer is not repeated after the task has gone on", "[slice]") {
  TaskWithoutRoom world;
  world.OfferRoomElsewhere();
  world.Advance(600ms);
  world.store.SetFault(FakeStore::Fault::kLoseAnswer,
                       /*several_parts_only=*/true);
  while (!TasksElsewhere(world, "j.1")) {
    world.Advance(10ms);
  }
  world.store.Run(CommitRows{.removals = {JobRow(kOtherSlice, "j.1"),
                                          ProgressRow(kOtherSlice, "j.1")}});
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(2s);
  CHECK_FALSE(TasksElsewhere(world, "j.1").has_value());
  world.AddWorker("w3");
  world.Advance(3s);
  CHECK(world.workers.starts(kSecond) == 1);
}

// Guards against long-running tasks that end with their worker: no other one
// in its slice had room for them, and they left the slice only afterwards.
TEST_CASE("a task on a leaving worker goes to a slice with room", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Submit("j", "z");
  world.Advance(5s);
  REQUIRE(world.workers.WorkerOf(kSecond) == "w2");
  world.OfferRoomElsewhere();
  world.Drain("w2");
  world.Advance(2s);
  CHECK(TasksElsewhere(world, "j.1") == Numbers{1});
  CHECK(world.workers.WorkerOf(kSecond).empty());
  CHECK(world.workers.starts(kFirst) == 1);
}

TEST_CASE("a part of a job has only its own tasks", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.SubmitPart("j", "z", {1});
  const bool next_owner = GENERATE(false, true);
  if (next_owner) {
    world.TakeOver();
  }
  world.Advance(2s);
  CHECK(world.workers.starts(kFirst) == 0);
  CHECK(world.workers.starts(kSecond) == 1);
  world.workers.End(kSecond, EndKind::kFailed);
  world.Advance(2s);
  CHECK(world.workers.starts(kSecond) == 2);
  world.HandOver();
  world.Advance(2s);
  CHECK(world.workers.starts(kSecond) == 2);
  CHECK_FALSE(world.workers.WorkerOf(kSecond).empty());
}

// Guards against tasks of a cancelled job that go on in another slice.
TEST_CASE("a cancelled job ends with its parts", "[slice]") {
  const bool read_together = GENERATE(false, true);
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.SubmitPart("j", "z", {1});
  world.Advance(1s);
  REQUIRE_FALSE(world.workers.WorkerOf(kSecond).empty());
  world.Cancel("j");
  if (read_together) {
    world.TakeOver();
  }
  world.Advance(2s);
  CHECK(world.workers.WorkerOf(kSecond).empty());
  CHECK(world.workers.starts(kSecond) == 1);
  CHECK_FALSE(world.store.Find(JobRow(kSlice, "j.1")).has_value());
  CHECK_FALSE(world.store.Find(CancelRow(kSlice, "j")).has_value());
}

// Guards against rows that stay forever: a job is cancelled in each slice that
// may have a part of it.
TEST_CASE("a cancellation that concerns nothing here is removed", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Advance(500ms);
  world.Cancel("j");
  if (GENERATE(false, true)) {
    world.store.SetFault(FakeStore::Fault::kLoseAnswer);
  }
  world.Advance(500ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  CHECK_FALSE(world.store.Find(CancelRow(kSlice, "j")).has_value());
}

// Guards against two tasks of a step on one worker that may have only one: they
// belonged to different parts of their job.
TEST_CASE("a worker's limit for a step holds across the parts of a job",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.SubmitPart("j", "a", {0});
  world.SubmitPart("j", "a", {1});
  world.Advance(2s);
  CHECK(world.workers.runs("w1").size() == 1);
}

// Guards against a task that runs twice: it had left a part, which was then
// transferred as a whole with the list of all its former tasks.
TEST_CASE("a part that goes on takes only the tasks that it still has",
          "[slice]") {
  SliceWorld world;
  world.StartJob("v", "held");
  world.SubmitPart("j", "z", {0, 1});
  world.store.Put(
      ProgressRow(kSlice, "j.0"),
      EncodeProgress({.phase = JobPhase::kActive, .done = {false, true}}));
  world.TakeOver();
  world.Advance(5s);
  world.OfferRoomElsewhere();
  world.Advance(2s);
  CHECK(TasksElsewhere(world, "j.0") == Numbers{0});
  CHECK_FALSE(world.store.Find(JobRow(kSlice, "j.0")).has_value());
  CHECK(world.workers.starts(kSecond) == 0);
}

// Guards against a task that is lost: its part was divided, the tasks that left
// had the id of the part itself, and the part was removed with the others.
TEST_CASE("a part that is divided keeps the tasks that stay", "[slice]") {
  const bool first_leaves = GENERATE(true, false);
  const TaskAddress& leaves = first_leaves ? kFirst : kSecond;
  const TaskAddress& stays = first_leaves ? kSecond : kFirst;
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.SubmitPart("j", "z", {0, 1});
  world.Advance(5s);
  const std::string lost = world.workers.WorkerOf(leaves);
  world.Drain(lost);
  world.workers.End(leaves, EndKind::kStopped);
  world.Advance(100ms);
  world.Remove(lost);
  world.OfferRoomElsewhere();
  world.Advance(2s);
  const std::string part = first_leaves ? "j.0.0" : "j.0.1";
  CHECK(TasksElsewhere(world, part) == Numbers{leaves.index});
  CHECK(world.store.Find(JobRow(kSlice, "j.0")).has_value());
  CHECK(world.workers.starts(stays) == 1);
  CHECK_FALSE(world.workers.WorkerOf(stays).empty());
}

// Guards against long-running tasks that wait for over 9 s in a full slice: it
// had lost a quarter of its workers, and only one job a second could leave.
TEST_CASE("tasks of several jobs use the room that a slice has published",
          "[slice]") {
  SliceWorld world;
  world.StartJob("v", "held");
  for (const char* id : {"a", "b", "c", "d"}) {
    world.Submit(id, "t");
  }
  world.Advance(5s);
  // Room for three of them.
  world.owner->SetLoads(
      {SliceLoad{}, SliceLoad{.capacity_millis = 100'000,
                              .long_running_room_millis = {25'000, 13'000}}});
  world.Advance(800ms);
  const auto left = std::ranges::count_if(
      std::vector<std::string>{"a", "b", "c", "d"},
      [&](const auto& id) { return TasksElsewhere(world, id).has_value(); });
  CHECK(left == 3);
}

// Guards against tasks that are stopped although there is no room for them:
// several were moved off a leaving worker into the room for one.
TEST_CASE("a task on a leaving worker runs until there is room for it",
          "[slice]") {
  SliceWorld world;
  world.StartJob("t", "a");
  world.Submit("b", "t");
  world.Advance(500ms);
  world.AddWorker("w2");
  world.Submit("held", "w");
  world.Advance(500ms);
  REQUIRE(world.workers.runs("w1").size() == 2);
  REQUIRE(world.workers.runs("w2").size() == 1);
  world.Drain("w1");
  world.Advance(1s);
  CHECK(world.workers.runs("w1").size() == 1);
  CHECK(world.workers.runs("w2").size() == 2);
}

// Guards against tasks of a cancelled job that go on: the job itself had left
// the slice after a part of it, and its new row did not tell that it has parts.
TEST_CASE("a job that goes on tells that some of its tasks are elsewhere",
          "[slice]") {
  SliceWorld world;
  world.StartJob("v", "held");
  world.Submit("j", "z");
  world.store.Put(
      ProgressRow(kSlice, "j"),
      EncodeProgress({.phase = JobPhase::kActive, .done = {false, true}}));
  world.TakeOver();
  world.Advance(5s);
  world.OfferRoomElsewhere();
  world.Advance(2s);
  CHECK(TasksElsewhere(world, "j") == Numbers{0});
  const auto row = world.store.Find(ProgressRow(kOtherSlice, "j"));
  REQUIRE(row.has_value());
  const std::vector<bool> done = DecodeProgress(row->value)->done;
  REQUIRE(done.size() > 1);
  CHECK_FALSE(done[0]);
  CHECK(done[1]);
  CHECK(world.store.Find(PlacesRow(kOtherSlice, "j")).has_value());
}

// Guards against a long-running task that is down for over 9 s beside a slice
// with room: its job had a short-lived step before it, and was never divided.
TEST_CASE("a long-running step leaves the slice after the short-lived ones",
          "[slice]") {
  const TaskAddress lasts = SliceWorld::Task("j", 1);
  SliceWorld world;
  world.StartJob("v", "held");
  world.AddWorker("w2");
  world.Submit("j", "cw");
  world.Advance(1s);
  world.workers.End(SliceWorld::Task("j"), EndKind::kDone);
  world.Advance(4s);
  REQUIRE(world.workers.WorkerOf(lasts) == "w2");
  world.OfferRoomElsewhere();
  world.Drain("w2");
  world.Advance(2s);
  CHECK(TasksElsewhere(world, "j.1") == Numbers{1});
  // Neither done nor started again here.
  const bool next_owner = GENERATE(false, true);
  if (next_owner) {
    world.TakeOver();
  }
  world.AddWorker("w3");
  world.Advance(5s);
  CHECK(world.PhaseOf("j") == JobPhase::kActive);
  CHECK(world.workers.starts(lasts) == 1);
}

TEST_CASE("a part that follows a short-lived step starts", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.SubmitPart("j", "cw", {1});
  world.Advance(2s);
  CHECK(world.workers.starts(SliceWorld::Task("j", 0)) == 0);
  CHECK(world.workers.starts(SliceWorld::Task("j", 1)) == 1);
}

}  // namespace
}  // namespace hickoryusher::jobs
