#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "fake_store.h"
#include "jobs/interference_model.h"
#include "jobs/progress.h"
#include "jobs/roster.h"
#include "jobs/slice_scheduler.h"
#include "jobs/table_follower.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

TEST_CASE("progress is unchanged by encoding and decoding", "[records]") {
  const Progress progress{.phase = JobPhase::kActive,
                          .done = {true, false, true, true, false, true},
                          .failures = {{}, {2, 10'001}, {}, {3}}};
  const auto decoded = DecodeProgress(EncodeProgress(progress));
  REQUIRE(decoded.has_value());
  CHECK(decoded->phase == progress.phase);
  CHECK(decoded->failures == progress.failures);
  for (std::size_t i = 0; i < decoded->done.size(); ++i) {
    CHECK(decoded->done[i] == (i < progress.done.size() && progress.done[i]));
  }
}

TEST_CASE("a roster is unchanged by encoding and decoding", "[records]") {
  const std::vector<RosterEntry> roster = {
      {.id = "w1", .address = "10.0.0.1:80"},
      {.id = "w2", .address = "10.0.0.2:80", .over_ms = 12'345},
      {.id = "w3",
       .address = "10.0.0.3:80",
       .late_starts = {{.job = "j-1.4",
                        .task = 4,
                        .run = 10'001,
                        .copies = 2,
                        .until_ms = 23'456},
                       {.job = "k", .run = 3}}},
      {.id = "w4",
       .address = "10.0.0.4:80",
       .over_ms = 12'345,
       .late_starts = {{.job = "k", .task = 1, .run = 3, .until_ms = 5}}}};
  CHECK(DecodeRoster(EncodeRoster(roster)) == roster);
  CHECK(DecodeRoster("").empty());
  // A time that cannot be read must not end the wait for a worker.
  const std::vector<RosterEntry> damaged = {{.id = "w", .address = "a:1"}};
  CHECK(DecodeRoster("w a:1@x\n") == damaged);
  CHECK(DecodeRoster("w a:1@0!j!j,1,2,3!j,1,2,3,x!j,1,2,3,4,5\n") == damaged);
}

TEST_CASE("the room for jobs is unchanged by encoding and decoding a load",
          "[records]") {
  const SliceLoad load = {.pending = {{"q", 3}}, .job_room_bytes = 5 * 1024};
  const auto decoded = DecodeSliceLoad(EncodeSliceLoad(load));
  REQUIRE(decoded.has_value());
  CHECK(decoded->job_room_bytes == load.job_room_bytes);
  CHECK(decoded->pending == load.pending);
  CHECK(decoded->services.empty());
  const auto earlier = DecodeSliceLoad(EncodeSliceLoad({}));
  REQUIRE(earlier.has_value());
  CHECK_FALSE(earlier->job_room_bytes.has_value());
}

TEST_CASE("damaged records are refused", "[records]") {
  for (const char* text :
       {"", "active", "active/", "unknown//", "active/x/", "active//1",
        "active//a,", "active//1,", "active//1:", "active//:,"}) {
    INFO(text);
    CHECK_FALSE(DecodeProgress(text).has_value());
  }
  for (const char* text : {"", "queue", "queue\n12", "queue\nx\n{}"}) {
    INFO(text);
    CHECK_FALSE(DecodeStoredJob(text).has_value());
  }
  for (const char* text :
       {"", "1", "1 2 3", "1 2 3 4 5", "1 2 3 4 5 1", "1 2 3 4 5 99\n",
        "1 2 3 4 5 0\nqueue", "1 2 3 4 5 0\nqueue x"}) {
    INFO(text);
    CHECK_FALSE(DecodeSliceLoad(text).has_value());
  }
}

TEST_CASE("task addresses are unchanged by encoding and decoding",
          "[records]") {
  const TaskAddress address{
      .job = "0a.b", .occurrence = 3, .step = 1, .index = 17};
  CHECK(ToText(address) == "0a.b.3.1.17");
  CHECK(ParseTaskAddress("0a.b.3.1.17") == address);
  for (const char* text : {"", "1.2.3", ".1.2.3", "j.1.2.", "j.1.x.3"}) {
    INFO(text);
    CHECK_FALSE(ParseTaskAddress(text).has_value());
  }
}

TEST_CASE("a follower reads, follows and reads again", "[records]") {
  FakeStore store;
  CallIds ids;
  const RowKey key{.table = "t", .part = "p", .key = "k"};
  TableFollower follower({.table = "t", .part = "p", .wait = 1s}, ids);
  const core::TimePoint now(1h);
  store.Put(key, "1");
  const auto first = follower.Handle(*store.Run(*follower.Next(now)), now);
  REQUIRE(first.has_value());
  CHECK(std::get<TableSnapshot>(*first).rows.size() == 1);
  CHECK(follower.synced());

  const StoreCommand waiting = *follower.Next(now);
  CHECK_FALSE(store.Run(waiting).has_value());
  CHECK_FALSE(follower.Next(now).has_value());
  store.Put(key, "2");
  const auto second = follower.Handle(*store.Run(waiting), now);
  REQUIRE(second.has_value());
  CHECK(std::get<TableChanges>(*second).rows.at(0).value == "2");

  const StoreCommand lost = *follower.Next(now);
  CHECK_FALSE(follower.Handle(HistoryLost{.call = CallOf(lost)}, now));
  CHECK_FALSE(follower.synced());
  const auto again = follower.Handle(*store.Run(*follower.Next(now)), now);
  CHECK(std::holds_alternative<TableSnapshot>(*again));

  const StoreCommand refused = *follower.Next(now);
  CHECK_FALSE(follower.Handle(StoreRefused{.call = CallOf(refused)}, now));
  CHECK_FALSE(follower.Next(now).has_value());
  CHECK(follower.Next(now + 200ms).has_value());
}

// Guards against a new owner that is killed for its memory because it holds the
// rows of all jobs as text until it has read the last one.
TEST_CASE("a table is reported page by page if its reader wants it so",
          "[records]") {
  constexpr std::size_t kPage = 500;
  FakeStore store;
  CallIds ids;
  TableFollower follower({.table = "t", .part = "p", .by_page = true}, ids);
  const core::TimePoint now(1h);
  for (std::size_t i = 0; i < kPage + 1; ++i) {
    store.Put({.table = "t", .part = "p", .key = std::to_string(i)}, "1");
  }
  const auto first = follower.Handle(*store.Run(*follower.Next(now)), now);
  REQUIRE(first.has_value());
  CHECK(std::get<TableChanges>(*first).rows.size() == kPage);
  CHECK_FALSE(follower.synced());
  const auto last = follower.Handle(*store.Run(*follower.Next(now)), now);
  REQUIRE(last.has_value());
  CHECK(std::get<TableSnapshot>(*last).rows.size() == 1);
  CHECK(follower.synced());
}

TEST_CASE("the interference of a pair of images is learned", "[records]") {
  constexpr ImageId kServing(0);
  constexpr ImageId kHeavy(1);
  constexpr ImageId kLight(2);
  InterferenceModel model;
  const std::vector<Neighbour> both{{.image = kHeavy, .share = 0.2},
                                    {.image = kLight, .share = 0.3}};
  const std::vector<Neighbour> light{{.image = kLight, .share = 0.4}};
  for (int i = 0; i < 30; ++i) {
    model.Learn(kServing, both, 0.2 * 3.0, 0.1);
    model.Learn(kServing, light, 0.0, 0.1);
  }
  const Neighbour heavy{.image = kHeavy, .share = 1};
  CHECK(model.Raise(kServing, std::span(&heavy, 1)) == Approx(3.0).margin(0.4));
  CHECK(model.Raise(kServing, light) == Approx(0.0).margin(0.1));
  CHECK(model.CautiousRaise(kServing, light) >= model.Raise(kServing, light));
}

TEST_CASE("a hand-over is read as it was written", "[records]") {
  std::vector<HandedOverWorker> workers;
  workers.reserve(301);
  for (int i = 0; i < 300; ++i) {
    workers.push_back(
        {.id = "w" + std::to_string(i),
         .over_ms = i,
         .tasks = std::vector<std::string>(20, "0123456789.0.0.7")});
  }
  workers.push_back({.id = "idle"});
  std::vector<HandedOverWorker> read;
  for (const std::string& row : EncodeHandOver(7, workers)) {
    CHECK(row.size() < 65'536);
    const auto hand_over = DecodeHandOver(row);
    REQUIRE(hand_over.has_value());
    CHECK(hand_over->epoch == 7);
    std::ranges::copy(hand_over->workers, std::back_inserter(read));
  }
  CHECK(read == workers);
  CHECK(EncodeHandOver(7, {}).size() == 1);
  CHECK_FALSE(DecodeHandOver("").has_value());
  CHECK_FALSE(DecodeHandOver("x\n").has_value());
  CHECK_FALSE(DecodeHandOver("7\nw1\n").has_value());
}

TEST_CASE("places are read as they were written", "[records]") {
  const Places places = {
      .epoch = 3,
      .tasks = {{.task = 0, .worker = "w1"},
                {.task = 2, .worker = "w2", .usual_lease = true},
                {.task = 4, .worker = std::string(kAnyWorker)}}};
  const auto read = DecodePlaces(EncodePlaces(places));
  REQUIRE(read.has_value());
  CHECK(read->epoch == 3);
  CHECK(read->tasks == places.tasks);
  CHECK(DecodePlaces(EncodePlaces({.epoch = 3})).has_value());
  CHECK_FALSE(DecodePlaces("").has_value());
  CHECK_FALSE(DecodePlaces("3\n0\n").has_value());
  CHECK_FALSE(DecodePlaces("3\nw1 0\n").has_value());
  CHECK_FALSE(DecodePlaces("3\n0 w1\nw2\n").has_value());
}

}  // namespace
}  // namespace hickoryusher::jobs
