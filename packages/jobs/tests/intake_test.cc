#include "jobs/intake.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fake_store.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

/// Intake with a store, two slices and one queue.
class IntakeWorld {
 public:
  IntakeWorld() { intake_.SetConfig(Config(1)); }

  static QueueConfigPtr Config(std::uint64_t version) {
    return std::make_shared<const QueueConfig>(
        version,
        std::vector<Queue>{
            {.name = "diary", .host = "h", .path_prefix = "/d/"},
            {.name = "night", .host = "h", .path_prefix = "/d/night/"}});
  }

  void Call(ClientVerb verb,
            const std::string& path,
            const std::string& host = "h") {
    intake_.Take({.request = core::RequestId(1),
                  .verb = verb,
                  .host = host,
                  .path = path,
                  .document = "document",
                  .demand = {.millis = 1'000,
                             .reserved_millis = 1'000,
                             .long_running_millis = long_running_millis,
                             .bytes = bytes},
                  .give_up = now_ + 2s},
                 now_, 77);
    Advance(100ms);
  }

  void Advance(std::chrono::milliseconds duration) {
    const core::TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += 20ms;
      intake_.Run(now_);
      for (auto commands = intake_.PopCommands(); !commands.empty();
           commands = intake_.PopCommands()) {
        for (const StoreCommand& command : commands) {
          intake_.Handle(*store.Run(command), now_);
        }
      }
      for (ClientAnswer& answer : intake_.PopAnswers()) {
        CHECK_FALSE(last.has_value());
        last = std::move(answer.result);
      }
    }
  }

  /// @returns the answer to the last call, which must have arrived.
  ClientResult Take() {
    REQUIRE(last.has_value());
    return *std::exchange(last, std::nullopt);
  }
  Refusal TakeRefusal() { return std::get<CallRefused>(Take()).refusal; }

  /// @returns the slice that stores the job; empty if none does.
  std::string SliceOf(const std::string& job) const {
    for (const char* slice : {"a-0", "b-0"}) {
      if (store.Find(JobRow(slice, job))) {
        return slice;
      }
    }
    return {};
  }

  Intake& intake() { return intake_; }
  core::TimePoint now() const { return now_; }

  FakeStore store;
  std::optional<ClientResult> last;
  std::int64_t long_running_millis = 0;  ///< Of submitted jobs.
  std::int64_t bytes = 0;                ///< The same.
  std::vector<std::string> log;

 private:
  core::TimePoint now_{1h};
  CallIds ids_;
  Intake intake_{{.slices = {{.name = "a-0"}, {.name = "b-0"}},
                  .log =
                      [this](const core::LogLine& line) {
                        log.push_back(line.TextWithLevel());
                      }},
                 ids_};
};

TEST_CASE("an accepted job is stored with its queue", "[intake]") {
  IntakeWorld world;
  world.Call(ClientVerb::kSubmit, "/d/job1");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
  const std::string slice = world.SliceOf("job1");
  REQUIRE_FALSE(slice.empty());
  const auto stored =
      DecodeStoredJob(world.store.Find(JobRow(slice, "job1"))->value);
  REQUIRE(stored.has_value());
  CHECK(stored->queue == "diary");
  CHECK(stored->accepted_unix_ms == 77);
  CHECK(stored->document == "document");
}

TEST_CASE("the longest prefix names the queue", "[intake]") {
  IntakeWorld world;
  world.Call(ClientVerb::kSubmit, "/d/night/job1");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
  const auto stored = DecodeStoredJob(
      world.store.Find(JobRow(world.SliceOf("job1"), "job1"))->value);
  CHECK(stored->queue == "night");
}

// Guards against a job in two slices: it is submitted twice through processes
// with different views of the load.
TEST_CASE("a job is stored in one slice only", "[intake]") {
  IntakeWorld world;
  world.Call(ClientVerb::kSubmit, "/d/job1");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
  const bool in_first = world.SliceOf("job1") == "a-0";
  const SliceLoad busy = {.demand_millis = 9'000,
                          .reserved_millis = 9'000,
                          .capacity_millis = 10'000};
  const SliceLoad idle = {.capacity_millis = 10'000};
  world.intake().SetLoads({in_first ? busy : idle, in_first ? idle : busy});
  world.Call(ClientVerb::kSubmit, "/d/job1");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
  CHECK(world.store.Find(JobRow("a-0", "job1")).has_value() !=
        world.store.Find(JobRow("b-0", "job1")).has_value());
}

TEST_CASE("jobs go to the slice with the smallest reserved share", "[intake]") {
  IntakeWorld world;
  world.intake().SetLoads(
      {SliceLoad{.reserved_millis = 500, .capacity_millis = 1'000},
       SliceLoad{.reserved_millis = 600, .capacity_millis = 10'000}});
  world.Call(ClientVerb::kSubmit, "/d/job1");
  CHECK(world.SliceOf("job1") == "b-0");
}

// Guards against overloading a slice whose load is unknown: a slice that its
// owner had lost published no load, counted as empty, and got 111 of 141 jobs.
TEST_CASE("jobs avoid a slice whose load is not known", "[intake]") {
  IntakeWorld world;
  const SliceLoad half = {.unix_ms = 77,
                          .demand_millis = 5'000,
                          .reserved_millis = 5'000,
                          .capacity_millis = 10'000};
  const SliceLoad old = {.unix_ms = 77 - 60'000, .capacity_millis = 10'000};
  const auto unknown =
      GENERATE_COPY(std::optional<SliceLoad>(), std::optional(old));
  const bool unknown_first = GENERATE(true, false);
  world.intake().SetLoads({unknown_first ? unknown : std::optional(half),
                           unknown_first ? std::optional(half) : unknown});
  for (const char* job : {"job1", "job2", "job3", "job4"}) {
    world.Call(ClientVerb::kSubmit, std::string("/d/") + job);
    CHECK(std::holds_alternative<CallDone>(world.Take()));
    CHECK(world.SliceOf(job) == (unknown_first ? "b-0" : "a-0"));
  }
}

// Guards against a long wait: a long-running job in a full slice waits until
// other jobs leave, while a slice without an owner soon gets one.
TEST_CASE(
    "a long-running job goes to a slice of unknown load before a full one",
    "[intake]") {
  IntakeWorld world;
  const SliceLoad full = {
      .unix_ms = 77, .long_running_millis = 9'500, .capacity_millis = 10'000};
  const bool full_first = GENERATE(true, false);
  world.intake().SetLoads({full_first ? std::optional(full) : std::nullopt,
                           full_first ? std::nullopt : std::optional(full)});
  world.long_running_millis = 1'000;
  world.Call(ClientVerb::kSubmit, "/d/job1");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
  CHECK(world.SliceOf("job1") == (full_first ? "b-0" : "a-0"));
}

// Guards against accepting long-running jobs beyond the fleet's capacity: their
// tasks prevented one another from being placed.
TEST_CASE("a long-running job is refused when no slice has room", "[intake]") {
  IntakeWorld world;
  const SliceLoad full = {.long_running_millis = 9'500,
                          .capacity_millis = 10'000};
  world.intake().SetLoads({full, full});
  world.long_running_millis = 1'000;
  world.Call(ClientVerb::kSubmit, "/d/job1");
  const ClientResult refused = world.Take();
  REQUIRE(std::holds_alternative<CallRefused>(refused));
  CHECK(std::get<CallRefused>(refused).refusal == Refusal::kNoCapacity);
  // The detail is the only later record of why the job was refused.
  CHECK_THAT(std::get<CallRefused>(refused).detail,
             Catch::Matchers::Contains("has 9500 of at most 9000"));
  CHECK(world.SliceOf("job1").empty());
  world.long_running_millis = 0;
  world.Call(ClientVerb::kSubmit, "/d/job2");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
}

// Guards against an owner that is killed for its memory by jobs that were
// accepted although it could not hold them.
TEST_CASE("a job that no owner can hold is refused at once", "[intake]") {
  IntakeWorld world;
  const SliceLoad full = {.job_room_bytes = 9'999};
  world.intake().SetLoads({full, full});
  world.bytes = 10'000;
  world.Call(ClientVerb::kSubmit, "/d/job1");
  const ClientResult refused = world.Take();
  REQUIRE(std::holds_alternative<CallRefused>(refused));
  CHECK(std::get<CallRefused>(refused).refusal == Refusal::kNoCapacity);
  CHECK(std::get<CallRefused>(refused).retry_after.has_value());
  CHECK_THAT(std::get<CallRefused>(refused).detail,
             Catch::Matchers::Contains("needs 10000 bytes") &&
                 Catch::Matchers::Contains("a-0 has 9999 left"));
  CHECK(world.SliceOf("job1").empty());
  const SliceLoad room = {.job_room_bytes = 10'000};
  const bool room_first = GENERATE(true, false);
  world.intake().SetLoads({room_first ? room : full, room_first ? full : room});
  world.Call(ClientVerb::kSubmit, "/d/job2");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
  CHECK(world.SliceOf("job2") == (room_first ? "a-0" : "b-0"));
}

// Guards against jobs that are accepted without a bound while a slice has no
// owner: the room that the last one published does not change.
TEST_CASE("accepted jobs take room until the owner publishes its load again",
          "[intake]") {
  IntakeWorld world;
  SliceLoad load = {.unix_ms = 77, .job_room_bytes = 35'000};
  const SliceLoad full = {.unix_ms = 77, .job_room_bytes = 0};
  world.bytes = 10'000;
  world.intake().SetLoads({load, full});
  world.Call(ClientVerb::kSubmit, "/d/job1");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
  // An owner that has claimed the slice since has not published its load yet.
  const auto same =
      GENERATE_COPY(std::optional(load), std::optional<SliceLoad>());
  world.intake().SetLoads({same, full});
  world.Call(ClientVerb::kSubmit, "/d/job2");
  CHECK(world.TakeRefusal() == Refusal::kNoCapacity);
  load.unix_ms = 78;
  world.intake().SetLoads({load, full});
  world.Call(ClientVerb::kSubmit, "/d/job3");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
}

// Guards against callers that are refused together and come back together, the
// same ones first each time.
TEST_CASE("callers that are refused come back spread over some seconds",
          "[intake]") {
  IntakeWorld world;
  world.intake().SetLoads(
      {SliceLoad{.job_room_bytes = 0}, SliceLoad{.job_room_bytes = 0}});
  world.bytes = 1;
  std::map<core::Duration, int> callers;
  for (int i = 0; i < 100; ++i) {
    world.Call(ClientVerb::kSubmit, "/d/job" + std::to_string(i));
    const ClientResult refused = world.Take();
    REQUIRE(std::holds_alternative<CallRefused>(refused));
    ++callers[std::get<CallRefused>(refused).retry_after.value()];
  }
  CHECK(callers.begin()->first >= 3s);
  CHECK(callers.rbegin()->first <= 7s);
  CHECK(callers.size() == 5);
  CHECK(std::ranges::all_of(
      callers, [](const auto& entry) { return entry.second < 40; }));
}

TEST_CASE("a lost answer is resolved by the next attempt", "[intake]") {
  IntakeWorld world;
  world.store.SetFault(FakeStore::Fault::kLoseAnswer);
  world.Call(ClientVerb::kSubmit, "/d/job1");
  CHECK_FALSE(world.last.has_value());
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(300ms);
  CHECK(std::holds_alternative<CallDone>(world.Take()));
}

// Guards against a job that runs although the caller was told that it was not
// accepted.
TEST_CASE("a job that may have been stored is not reported as refused",
          "[intake]") {
  IntakeWorld world;
  world.store.SetFault(FakeStore::Fault::kPostpone);
  world.Call(ClientVerb::kSubmit, "/d/job1");
  world.Advance(3s);
  CHECK(world.TakeRefusal() == Refusal::kUnknownOutcome);
}

// Guards against a refusal that is not true: the store carried out a write
// without an answer and failed then, and the caller's second attempt was
// refused at once as not accepted.
TEST_CASE("a later attempt at a job that may be stored is not refused",
          "[intake]") {
  IntakeWorld world;
  world.store.SetFault(FakeStore::Fault::kLoseAnswer);
  world.Call(ClientVerb::kSubmit, "/d/job1");
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.Advance(2s);
  REQUIRE(world.TakeRefusal() == Refusal::kUnknownOutcome);
  const SliceLoad full = {.long_running_millis = 9'000,
                          .capacity_millis = 10'000};
  world.intake().SetLoads({full, full});
  world.long_running_millis = GENERATE(0, 1'000);
  for (int attempt = 0; attempt < 3; ++attempt) {
    world.Call(ClientVerb::kSubmit, "/d/job1");
    world.Advance(2s);
    CHECK(world.TakeRefusal() == Refusal::kUnknownOutcome);
  }
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Call(ClientVerb::kSubmit, "/d/job1");
  world.Advance(200ms);
  CHECK(std::holds_alternative<CallDone>(world.Take()));
}

TEST_CASE("a job is refused when the store is down", "[intake]") {
  IntakeWorld world;
  world.store.SetFault(FakeStore::Fault::kRefuse);
  world.Call(ClientVerb::kSubmit, "/d/job1");
  world.Advance(1s);
  const ClientResult first = world.Take();
  CHECK(std::get<CallRefused>(first).refusal == Refusal::kStoreDown);
  CHECK(std::get<CallRefused>(first).retry_after.has_value());
  world.store.SetFault(FakeStore::Fault::kNone);
  world.Advance(1s);
  CHECK(world.SliceOf("job1").empty());
  world.Call(ClientVerb::kSubmit, "/d/job2");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
}

// Guards against a caller that gets the answer to another caller's request.
TEST_CASE("answers that arrive out of order go to their own callers",
          "[intake]") {
  FakeStore store;
  store.Put(ProgressRow("a-0", "active"),
            EncodeProgress({.phase = JobPhase::kActive}));
  store.Put(ProgressRow("a-0", "failed"),
            EncodeProgress({.phase = JobPhase::kFailed}));
  CallIds ids;
  Intake intake({.slices = {{.name = "a-0"}}, .log = [](const auto&) {}}, ids);
  intake.SetConfig(IntakeWorld::Config(1));
  const core::TimePoint now(1h);
  const auto ask = [&](std::uint64_t request, const std::string& path) {
    intake.Take({.request = core::RequestId(request),
                 .host = "h",
                 .path = path,
                 .give_up = now + 1s},
                now, 0);
  };
  ask(1, "/d/active");
  ask(2, "/d/failed");
  const std::vector<StoreCommand> commands = intake.PopCommands();
  REQUIRE(commands.size() == 2);
  intake.Handle(*store.Run(commands[1]), now);
  intake.Handle(*store.Run(commands[0]), now);
  const std::vector<ClientAnswer> answers = intake.PopAnswers();
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].request == core::RequestId(2));
  CHECK(std::get<JobState>(answers[0].result).phase == JobPhase::kFailed);
  CHECK(answers[1].request == core::RequestId(1));
  CHECK(std::get<JobState>(answers[1].result).phase == JobPhase::kActive);
}

TEST_CASE("states are read from any slice", "[intake]") {
  IntakeWorld world;
  world.store.Put(ProgressRow("b-0", "job1"),
                  EncodeProgress({.phase = JobPhase::kActive}));
  world.Call(ClientVerb::kQuery, "/d/job1");
  CHECK(std::get<JobState>(world.Take()).phase == JobPhase::kActive);
  world.Call(ClientVerb::kQuery, "/d/other");
  CHECK(world.TakeRefusal() == Refusal::kNoSuchJob);
}

// Guards against an accepted job that is said not to exist: it was transferred
// to a slice that had been read already, out of one that had not.
TEST_CASE("a job that moves while it is looked up is found", "[intake]") {
  IntakeWorld world;
  const auto candidates = CandidateSlices("job1", 2);
  const std::vector<std::string> slices = {"a-0", "b-0"};
  const std::string& first = slices[candidates[0]];
  const std::string& second = slices[candidates[1]];
  world.store.Put(ProgressRow(second, "job1"),
                  EncodeProgress({.phase = JobPhase::kActive}));
  world.intake().Take({.request = core::RequestId(1),
                       .verb = ClientVerb::kQuery,
                       .host = "h",
                       .path = "/d/job1",
                       .give_up = world.now() + 2s},
                      world.now(), 77);
  for (const StoreCommand& command : world.intake().PopCommands()) {
    const StoreEvent answer = *world.store.Run(command);
    world.store.Run(CommitRows{
        .puts = {{.key = ProgressRow(first, "job1"),
                  .value = EncodeProgress({.phase = JobPhase::kActive})}},
        .removals = {ProgressRow(second, "job1")}});
    world.intake().Handle(answer, world.now());
  }
  world.Advance(100ms);
  REQUIRE(std::holds_alternative<JobState>(world.Take()));
  world.Call(ClientVerb::kQuery, "/d/job2");
  CHECK(world.TakeRefusal() == Refusal::kNoSuchJob);
}

// Guards against tasks of a cancelled job that go on in another slice, to which
// they were transferred.
TEST_CASE("a job with tasks elsewhere is cancelled in each slice", "[intake]") {
  IntakeWorld world;
  world.Call(ClientVerb::kSubmit, "/d/job1");
  world.Take();
  const std::string slice = world.SliceOf("job1");
  const bool elsewhere = GENERATE(false, true);
  world.store.Put(
      ProgressRow(slice, "job1"),
      EncodeProgress({.phase = JobPhase::kActive, .done = {false, elsewhere}}));
  const bool long_running = GENERATE(false, true);
  if (long_running) {
    world.store.Put(PlacesRow(slice, "job1"), EncodePlaces({}));
  }
  world.Call(ClientVerb::kCancel, "/d/job1");
  REQUIRE(std::holds_alternative<CallDone>(world.Take()));
  CHECK(world.store.Find(CancelRow(slice, "job1")));
  const std::string other = slice == "a-0" ? "b-0" : "a-0";
  CHECK(world.store.Find(CancelRow(other, "job1")).has_value() ==
        (elsewhere && long_running));
}

TEST_CASE("a cancellation is stored for an open job only", "[intake]") {
  IntakeWorld world;
  world.Call(ClientVerb::kSubmit, "/d/job1");
  world.Take();
  world.Call(ClientVerb::kCancel, "/d/job1");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
  CHECK(world.store.Find(CancelRow(world.SliceOf("job1"), "job1")));
  world.Call(ClientVerb::kCancel, "/d/other");
  CHECK(world.TakeRefusal() == Refusal::kNoSuchJob);
  world.store.Put(ProgressRow("a-0", "done"),
                  EncodeProgress({.phase = JobPhase::kCompleted}));
  world.Call(ClientVerb::kCancel, "/d/done");
  CHECK(std::holds_alternative<CallDone>(world.Take()));
  CHECK_FALSE(world.store.Find(CancelRow("a-0", "done")));
}

TEST_CASE("waiting jobs are summed over the slices", "[intake]") {
  IntakeWorld world;
  for (const char* slice : {"a-0", "b-0"}) {
    world.store.Put({.table = SliceTableName(), .part = {}, .key = slice},
                    "1 p 1\n" + EncodeSliceLoad({.pending = {{"diary", 2}}}));
  }
  world.Call(ClientVerb::kQuery, "/d/");
  CHECK(std::get<PendingJobs>(world.Take()).count == 4);
}

// Guards against a count that is too low: a slice without an owner counted as
// empty.
TEST_CASE("no count is given when that of a slice is missing or old",
          "[intake]") {
  IntakeWorld world;
  const auto put = [&](const char* slice, const std::string& value) {
    world.store.Put({.table = SliceTableName(), .part = {}, .key = slice},
                    "1 p 1" + value);
  };
  put("a-0", "\n" + EncodeSliceLoad({.unix_ms = 77}));
  put("b-0", "");
  world.Call(ClientVerb::kQuery, "/d/");
  CHECK(world.TakeRefusal() == Refusal::kStoreDown);
  put("b-0", "\n" + EncodeSliceLoad({.unix_ms = 77 - 10'000}));
  world.Call(ClientVerb::kQuery, "/d/");
  CHECK(world.TakeRefusal() == Refusal::kStoreDown);
}

// Guards against a log in which calls for what never existed hide the lines
// that matter.
TEST_CASE("refusals of what does not exist are summed up by the second",
          "[intake]") {
  IntakeWorld world;
  const auto call = [&](const std::string& path, Refusal expected) {
    world.Call(ClientVerb::kQuery, path);
    CHECK(world.TakeRefusal() == expected);
  };
  call("/d/none1", Refusal::kNoSuchJob);
  call("/d/none2", Refusal::kNoSuchJob);
  call("/x/", Refusal::kUnknownQueue);
  CHECK(world.log.empty());
  world.Advance(1100ms);
  CHECK(world.intake().next_timer() == core::TimePoint::max());
  CHECK(world.log ==
        std::vector<std::string>{
            "event=calls_refused level=info reason=no_such_job calls=2 "
            "last_path=/d/none2 last_host=h config=1",
            "event=calls_refused level=info reason=unknown_queue calls=1 "
            "last_path=/x/ last_host=h config=1"});
}

// Guards against a caller whose job was refused and of which no line tells.
TEST_CASE("a refusal of what may exist has a line of its own", "[intake]") {
  IntakeWorld world;
  world.store.Put({.table = SliceTableName(), .part = {}, .key = "a-0"},
                  "1 p 1");
  world.Call(ClientVerb::kQuery, "/d/");
  CHECK(world.TakeRefusal() == Refusal::kStoreDown);
  CHECK(world.log ==
        std::vector<std::string>{
            "event=call_refused level=warning path=/d/ host=h "
            "reason=store_down detail=\"no recent count of waiting jobs in "
            "slice a-0\" config=1"});
}

TEST_CASE("paths without a queue and calls before the configuration",
          "[intake]") {
  IntakeWorld world;
  world.Call(ClientVerb::kQuery, "/x/job1");
  CHECK(world.TakeRefusal() == Refusal::kUnknownQueue);
  world.Call(ClientVerb::kQuery, "/d/job1", "other");
  CHECK(world.TakeRefusal() == Refusal::kUnknownQueue);
  world.Call(ClientVerb::kSubmit, "/d/a!b");
  CHECK(world.TakeRefusal() == Refusal::kBadDocument);
  world.Call(ClientVerb::kSubmit, "/d/");
  CHECK(world.TakeRefusal() == Refusal::kBadDocument);
  world.intake().SetConfig(nullptr);
  world.Call(ClientVerb::kQuery, "/d/job1");
  CHECK(world.TakeRefusal() == Refusal::kNotConfigured);
}

}  // namespace
}  // namespace hickoryusher::jobs
