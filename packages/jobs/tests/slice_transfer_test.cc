#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "slice_world.h"

/// Transfers of tasks beside hand-overs, cancellations and changes of the
/// owner.
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

/// @returns whether the stored progress says that the task is not run there.
bool IsClosed(const SliceWorld& world,
              const std::string& slice,
              const std::string& id,
              std::size_t task) {
  const auto row = world.store.Find(ProgressRow(slice, id));
  REQUIRE(row.has_value());
  const auto progress = DecodeProgress(row->value);
  return task < progress->done.size() && progress->done[task];
}

/// Lets the other slice offer room again after an announcement.
void OfferRoomAgain(SliceWorld& world) {
  world.OfferRoomElsewhere(world.store.Find(IncomingRow(kOtherSlice))->version);
}

/// Advances until the task is in the row of the other slice, for 5 s at most.
void AwaitElsewhere(SliceWorld& world, const std::string& id) {
  for (int i = 0; i < 500 && !TasksElsewhere(world, id); ++i) {
    world.Advance(10ms);
  }
  REQUIRE(TasksElsewhere(world, id).has_value());
}

/// Job j runs its two tasks on w1 and w2. The second worker leaves while
/// another slice has room.
class LeavingWorker : public SliceWorld {
 public:
  LeavingWorker() {
    AddWorker("w1");
    AddWorker("w2");
    Submit("j", "z");
    Advance(5s);
    REQUIRE(workers.WorkerOf(kSecond) == "w2");
    OfferRoomElsewhere();
    Drain("w2");
  }
};

// Guards against a task that runs in two slices: the owner left while its
// transfer was in flight, and wrote the job over the transfer.
TEST_CASE("a hand-over does not undo a transfer of a task", "[slice]") {
  LeavingWorker world;
  world.store.SetFault(FakeStore::Fault::kLoseAnswer,
                       /*several_parts_only=*/true);
  AwaitElsewhere(world, "j.1");
  world.store.SetFault(FakeStore::Fault::kNone);
  world.HandOver();
  CHECK(IsClosed(world, kSlice, "j", 1));
  world.AddWorker("w3");
  world.Advance(10s);
  CHECK(world.workers.starts(kSecond) == 1);
}

// The same without any fault: writes take 30 ms, and the owner leaves at some
// moment of the transfer.
TEST_CASE("a hand-over at any moment of a transfer", "[slice]") {
  const int moment = GENERATE(range(0, 20));
  CAPTURE(moment);
  LeavingWorker world;
  world.commit_delay = 30ms;
  const auto begun = [&] {
    return std::ranges::any_of(world.log, [](const std::string& line) {
      return line.find("job_transfer_begun") != std::string::npos;
    });
  };
  for (int i = 0; i < 500 && !begun(); ++i) {
    world.Advance(10ms);
  }
  REQUIRE(begun());
  world.Advance(10ms * moment);
  world.HandOver();
  world.AddWorker("w3");
  world.Advance(10s);
  const bool elsewhere = TasksElsewhere(world, "j.1").has_value();
  CHECK(elsewhere == world.workers.WorkerOf(kSecond).empty());
  CHECK(world.workers.starts(kFirst) == 1);
}

// Cancels job j as intake does, of which only one attempt is made.
// @returns whether the cancellation was stored.
bool CancelAsIntake(SliceWorld& world) {
  for (const std::string& slice : {kSlice, kOtherSlice}) {
    const auto row = world.store.Find(ProgressRow(slice, "j"));
    if (!row) {
      continue;
    }
    const auto progress = DecodeProgress(row->value);
    CommitRows commit{
        .conditions = {{.key = row->key, .version = row->version}},
        .puts = {{.key = CancelRow(slice, "j"), .value = "c"}}};
    if (std::ranges::find(progress->done, true) != progress->done.end()) {
      const std::string& other = slice == kSlice ? kOtherSlice : kSlice;
      commit.puts.push_back({.key = CancelRow(other, "j"), .value = "c"});
    }
    return std::holds_alternative<RowsCommitted>(*world.store.Run(commit));
  }
  return false;
}

// Guards against a part that goes on after a cancellation that came at some
// moment of its transfer, also if answers are lost or the owner changes.
TEST_CASE("a cancellation at any moment of a transfer", "[slice]") {
  const int moment = GENERATE(range(0, 24));
  const int change = GENERATE(0, 1, 2);
  const bool lose = GENERATE(false, true);
  const std::string steps = GENERATE("z", "w");
  CAPTURE(moment, change, lose, steps);
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Submit("j", steps);
  world.Advance(5s);
  const TaskAddress task = steps == "z" ? kSecond : kFirst;
  const std::string id = steps == "z" ? "j.1" : "j";
  const std::string leaving = world.workers.WorkerOf(task);
  if (steps == "w") {
    world.Submit("v", "v");
    world.Advance(1s);
  }
  world.OfferRoomElsewhere();
  world.Drain(leaving);
  world.commit_delay = 20ms;
  if (lose) {
    world.store.SetFault(FakeStore::Fault::kLoseAnswer,
                         /*several_parts_only=*/true);
  }
  const auto begun = [&] {
    return std::ranges::any_of(world.log, [](const std::string& line) {
      return line.find("job_transfer_begun") != std::string::npos;
    });
  };
  for (int i = 0; i < 500 && !begun(); ++i) {
    world.Advance(10ms);
  }
  REQUIRE(begun());
  world.Advance(10ms * moment);
  world.store.SetFault(FakeStore::Fault::kNone);
  const bool stored = CancelAsIntake(world);
  if (change == 1) {
    world.TakeOver();
  } else if (change == 2) {
    world.HandOver();
  }
  world.Advance(8s);
  REQUIRE(stored);
  CHECK(world.workers.WorkerOf(task).empty());
  // The other slice has no owner in this world that would remove its rows.
  CHECK((!TasksElsewhere(world, id) ||
         world.store.Find(CancelRow(kOtherSlice, "j")).has_value()));
}

// Guards against a task that is lost or runs twice when the owner fails at some
// moment of its transfer.
TEST_CASE("a takeover at any moment of a transfer", "[slice]") {
  const int moment = GENERATE(range(0, 24));
  const bool lose = GENERATE(false, true);
  CAPTURE(moment, lose);
  LeavingWorker world;
  world.commit_delay = 20ms;
  if (lose) {
    world.store.SetFault(FakeStore::Fault::kLoseAnswer,
                         /*several_parts_only=*/true);
  }
  const auto begun = [&] {
    return std::ranges::any_of(world.log, [](const std::string& line) {
      return line.find("job_transfer_begun") != std::string::npos;
    });
  };
  for (int i = 0; i < 500 && !begun(); ++i) {
    world.Advance(10ms);
  }
  REQUIRE(begun());
  world.Advance(10ms * moment);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.TakeOver(/*predecessor_ended=*/false);
  world.AddWorker("w3");
  world.Advance(15s);
  const bool elsewhere = TasksElsewhere(world, "j.1").has_value();
  CHECK(elsewhere == world.workers.WorkerOf(kSecond).empty());
  CHECK(world.workers.starts(kFirst) == 1);
}

// The same with an owner that stays: two answers to the transfer were lost.
TEST_CASE("a commit does not undo a transfer of a task", "[slice]") {
  LeavingWorker world;
  world.store.SetFault(FakeStore::Fault::kLoseAnswer,
                       /*several_parts_only=*/true);
  AwaitElsewhere(world, "j.1");
  world.Advance(600ms);
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  CHECK(IsClosed(world, kSlice, "j", 1));
  world.TakeOver();
  world.AddWorker("w3");
  world.Advance(10s);
  CHECK(world.workers.starts(kSecond) == 1);
}

// Guards against a row of a job that is in another slice: intake reads it and
// cancels the job there alone.
TEST_CASE("no row of a job is written after its transfer", "[slice]") {
  const bool hand_over = GENERATE(false, true);
  SliceWorld world;
  world.StartJob("w");
  world.Advance(5s);
  world.OfferRoomElsewhere();
  world.Drain("w1");
  world.store.SetFault(FakeStore::Fault::kLoseAnswer,
                       /*several_parts_only=*/true);
  AwaitElsewhere(world, "j");
  if (hand_over) {
    world.store.SetFault(FakeStore::Fault::kNone);
    world.HandOver();
  } else {
    world.Advance(600ms);
    world.store.SetFault(FakeStore::Fault::kNone);
  }
  world.Advance(1s);
  CHECK_FALSE(world.store.Find(ProgressRow(kSlice, "j")).has_value());
}

// The consequence of such a row: the cancellation is acknowledged and reaches
// only the slice that the job has left. No fault but the moment of the
// hand-over.
TEST_CASE("a job that left at a hand-over can be cancelled", "[slice]") {
  const int moment = GENERATE(range(0, 20));
  CAPTURE(moment);
  SliceWorld world;
  world.StartJob("w");
  world.Advance(5s);
  world.OfferRoomElsewhere();
  world.commit_delay = 30ms;
  world.Drain("w1");
  for (int i = 0; i < 500 && !world.store.Find(IncomingRow(kOtherSlice)); ++i) {
    world.Advance(10ms);
  }
  world.Advance(10ms * moment);
  world.HandOver();
  world.Advance(3s);
  REQUIRE(CancelAsIntake(world));
  world.Advance(2s);
  CHECK((!TasksElsewhere(world, "j") ||
         world.store.Find(CancelRow(kOtherSlice, "j")).has_value()));
}

// Guards against a task that is down for good, and a slice without transfers:
// the target slice has a row of that name already.
TEST_CASE("a transfer to a row that exists is given up", "[slice]") {
  LeavingWorker world;
  world.store.Put(ProgressRow(kOtherSlice, "j.1"),
                  EncodeProgress({.phase = JobPhase::kActive}));
  world.Advance(2s);
  REQUIRE(world.workers.WorkerOf(kSecond).empty());
  world.AddWorker("w3");
  world.Advance(8s);
  CHECK(world.workers.WorkerOf(kSecond) == "w3");
}

// Guards against a part that goes on after its job was cancelled: the rest of
// the job had been transferred, and its new row did not show that there are
// parts, so that intake cancels the job in one slice alone.
TEST_CASE("the row of a transferred job shows that it has parts", "[slice]") {
  LeavingWorker world;
  AwaitElsewhere(world, "j.1");
  world.Advance(1s);
  world.Remove("w2");
  OfferRoomAgain(world);
  world.Drain("w1");
  AwaitElsewhere(world, "j");
  REQUIRE(TasksElsewhere(world, "j") == Numbers{0});
  CHECK(IsClosed(world, kOtherSlice, "j", 1));
}

// Guards against a task that is down for good: the part that it belongs to has
// the same name as one that has left it for the same slice before.
TEST_CASE("the rest of a part follows its first task", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.SubmitPart("j", "z", {0, 1});
  world.Advance(5s);
  REQUIRE(world.workers.WorkerOf(kFirst) == "w1");
  world.OfferRoomElsewhere();
  world.Drain("w1");
  AwaitElsewhere(world, "j.0.0");
  REQUIRE(TasksElsewhere(world, "j.0.0") == Numbers{0});
  world.Advance(1s);
  OfferRoomAgain(world);
  world.Drain("w2");
  world.Advance(4s);
  world.AddWorker("w3");
  world.Advance(15s);
  const bool here = !world.workers.WorkerOf(kSecond).empty();
  const bool left = !world.store.Find(JobRow(kSlice, "j.0")).has_value();
  CHECK((here || left));
}

// Guards against the crash of an owner: it took the transfer of the first task
// of a part for that of the whole part, removed the row of the other tasks, and
// used the task that it had removed.
TEST_CASE("the first task of a part leaves the others in their place",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.SubmitPart("j", "z", {0, 1});
  world.Advance(5s);
  REQUIRE(world.workers.WorkerOf(kFirst) == "w1");
  world.OfferRoomElsewhere();
  world.Drain("w1");
  AwaitElsewhere(world, "j.0.0");
  REQUIRE(TasksElsewhere(world, "j.0.0") == Numbers{0});
  const bool other_is_kept =
      world.store.Find(JobRow(kSlice, "j.0")).has_value() ||
      world.store.Find(JobRow(kSlice, "j.1")).has_value();
  CHECK(other_is_kept);
}

// Guards against a task that is down although its own slice has room: the write
// of its transfer is refused, as the target's part of the store is down.
TEST_CASE("a transfer that is refused is given up", "[slice]") {
  LeavingWorker world;
  world.store.SetFault(FakeStore::Fault::kRefuse,
                       /*several_parts_only=*/true);
  world.Advance(2s);
  REQUIRE(world.workers.WorkerOf(kSecond).empty());
  world.AddWorker("w3");
  world.Advance(8s);
  CHECK(world.workers.WorkerOf(kSecond) == "w3");
}

// Guards against a task that runs twice: an owner that does not know yet that
// it was replaced starts a job that the next owner has not read before it left.
TEST_CASE(
    "a job that is stored after a hand-over waits for earlier "
    "owners",
    "[slice]") {
  SliceWorld world;
  world.workers.longest_lease = 6s;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Advance(5s);
  world.workers.SetFault("w2", FakeWorkers::Fault::kSilent);
  world.TakeOver(/*predecessor_ended=*/false);
  world.Advance(300ms);
  const bool hand_over = GENERATE(true, false);
  if (hand_over) {
    world.HandOver();
  }
  world.Submit("k", "c");
  // The owner before the last two still follows the job table.
  world.workers.SetFault("w2", FakeWorkers::Fault::kNone);
  world.workers.Handle(
      StartRun{.to = {.worker = "w2"},
               .token = TokenOf(1, 1),
               .task = SliceWorld::Task("k"),
               .run = 1,
               .lease_until_ms =
                   core::ToMillis(world.now().time_since_epoch()) + 5000},
      world.now());
  REQUIRE(world.workers.WorkerOf(SliceWorld::Task("k")) == "w2");
  world.workers.SetFault("w2", FakeWorkers::Fault::kSilent);
  for (int i = 0; i < 300 && world.workers.starts(SliceWorld::Task("k")) == 1;
       ++i) {
    world.Advance(10ms);
  }
  const bool twice = world.workers.starts(SliceWorld::Task("k")) > 1 &&
                     world.workers.HoldsLease("w2", world.now());
  CAPTURE(hand_over);
  CHECK_FALSE(twice);
}

// Guards against a step that starts before the one that it is to follow is
// done: the tasks of that one belong to another slice.
TEST_CASE("a step waits for tasks in other slices", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.Submit("j", "wt");
  world.Advance(5s);
  REQUIRE(world.workers.starts(SliceWorld::Task("j", 1)) == 0);
  world.OfferRoomElsewhere();
  world.Drain("w1");
  world.Advance(3s);
  CHECK_FALSE(TasksElsewhere(world, "j.0").has_value());
  world.AddWorker("w3");
  const bool next_owner = GENERATE(false, true);
  CAPTURE(next_owner);
  if (next_owner) {
    world.TakeOver();
  }
  world.Advance(10s);
  CHECK(world.workers.starts(SliceWorld::Task("j", 1)) == 0);
}

// Guards against tasks that wait for a silent worker on which nothing runs: an
// owner that was stopped before it had read the slice has started nothing, and
// what it was handed still holds.
TEST_CASE("an owner that has read nothing passes on what it was handed",
          "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Advance(5s);
  world.Submit("j", "c");
  world.Advance(1s);
  const TaskAddress task = SliceWorld::Task("j");
  world.workers.End(task, EndKind::kStopped);
  // The task runs again somewhere; the worker without it does not answer.
  world.Advance(1s);
  const std::string runs_on = world.workers.WorkerOf(task);
  const std::string idle = runs_on == "w1" ? "w2" : "w1";
  world.workers.SetFault(idle, FakeWorkers::Fault::kSilent);
  world.HandOver();
  // Without an owner that reads nothing, the task starts at once.
  const bool between = GENERATE(false, true);
  CAPTURE(between);
  if (between) {
    world.HandOver();
  }
  world.workers.End(task, EndKind::kStopped);
  world.Advance(2s);
  CHECK(world.workers.starts(task) == 3);
}

// Guards against the row of a cancellation that stays: a job and a part of it
// in the same slice were closed together.
TEST_CASE("the cancellation of a job with a part here is removed", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Submit("j", "z");
  world.store.Put(
      ProgressRow(kSlice, "j"),
      EncodeProgress({.phase = JobPhase::kActive, .done = {false, true}}));
  world.SubmitPart("j", "z", {1});
  world.TakeOver();
  world.Advance(8s);
  REQUIRE_FALSE(world.workers.WorkerOf(kFirst).empty());
  REQUIRE_FALSE(world.workers.WorkerOf(kSecond).empty());
  world.Cancel("j");
  world.Advance(3s);
  CHECK(world.workers.WorkerOf(kFirst).empty());
  CHECK(world.workers.WorkerOf(kSecond).empty());
  CHECK_FALSE(world.store.Find(JobRow(kSlice, "j")).has_value());
  CHECK_FALSE(world.store.Find(JobRow(kSlice, "j.1")).has_value());
  CHECK_FALSE(world.store.Find(CancelRow(kSlice, "j")).has_value());
}

// Guards against a long-running task that waits in its new slice for a worker
// that does not answer: its owner is new, and offered room all the same.
TEST_CASE("a new owner offers no room where a task would wait", "[slice]") {
  SliceWorld world;
  world.AddWorker("w1");
  world.AddWorker("w2");
  world.Advance(5s);
  world.workers.SetFault("w2", FakeWorkers::Fault::kSilent);
  world.TakeOver(/*predecessor_ended=*/false);
  world.Advance(1s);
  const auto load = world.owner->load();
  REQUIRE(load.has_value());
  const bool offers = !load->long_running_room_millis.empty();
  world.SubmitPart("j", "z", {1});
  world.Advance(3s);
  const bool started = world.workers.starts(kSecond) == 1;
  CHECK((!offers || started));
}

}  // namespace
}  // namespace hickoryusher::jobs
