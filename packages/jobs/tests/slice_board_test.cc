#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "chart_yaml/load.h"
#include "fake_store.h"
#include "jobs/slice_board.h"

namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

constexpr core::SliceId kYoff(0);

chart::Chart LoadChart() {
  chart_yaml::Loader loader;
  auto chart =
      loader.LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/slice_ownership.yaml");
  REQUIRE(chart.has_value());
  return *std::move(chart);
}

/// One process with its own board; several may share a store.
class Member {
 public:
  Member(FakeStore& store,
         const std::string& process,
         const std::string& failure_domain,
         const std::string& incarnation = "1",
         std::int64_t cpu_millis = 0)
      : store_(store), chart_(LoadChart()) {
    std::vector<chart::Problem> problems;
    board_ = SliceBoard::Create(
        {.process = process,
         .incarnation = incarnation,
         .failure_domain = failure_domain,
         .cpu_millis = cpu_millis,
         .slices = {{.name = "yoff-0", .failure_domain = "yoff"}},
         .log = [](const core::LogLine&) {}},
        chart_, ids_, problems);
    REQUIRE(problems.empty());
  }

  void Run(core::TimePoint now) {
    board_->Run(now);
    for (const StoreCommand& command : board_->PopCommands()) {
      if (!may_write && std::holds_alternative<CommitRows>(command)) {
        board_->Handle(StoreRefused{.call = CallOf(command)}, now);
      } else if (reaches_store) {
        board_->Handle(*store_.Run(command), now);
      } else {
        board_->Handle(StoreUnanswered{.call = CallOf(command)}, now);
      }
    }
    for (const SliceNotice& notice : board_->PopNotices()) {
      if (const auto* gained = std::get_if<SliceGained>(&notice)) {
        gains.push_back(*gained);
      } else {
        ++losses;
      }
    }
  }

  SliceBoard& board() { return *board_; }

  bool reaches_store = true;
  bool may_write = true;  ///< The store refuses its writes otherwise.
  std::vector<SliceGained> gains;
  std::size_t losses = 0;

 private:
  FakeStore& store_;
  chart::Chart chart_;
  CallIds ids_;
  std::unique_ptr<SliceBoard> board_;
};

class Cluster {
 public:
  void Advance(std::chrono::milliseconds duration,
               const std::vector<Member*>& members) {
    const core::TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += 20ms;
      store.SetTime(now_ + ahead_);
      for (Member* member : members) {
        member->Run(now_);
      }
    }
  }
  core::TimePoint now() const { return now_; }

  /// Advances the clock of the store alone.
  void Suspend(std::chrono::milliseconds duration) { ahead_ += duration; }

  FakeStore store;

 private:
  std::chrono::milliseconds ahead_{0};
  core::TimePoint now_{1h};
};

TEST_CASE("one of two processes owns a slice", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member b(cluster.store, "b", "yoff");
  cluster.Advance(10s, {&a, &b});
  CHECK(a.gains.size() + b.gains.size() == 1);
  CHECK(a.losses + b.losses == 0);
}

TEST_CASE("a dead owner is succeeded by a process of its failure domain",
          "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member b(cluster.store, "b", "yoff");
  Member far(cluster.store, "far", "port");
  cluster.Advance(2s, {&a});
  REQUIRE(a.gains.size() == 1);
  // The leases of its tasks last 6 s from the last renewal.
  cluster.Advance(4500ms, {&b, &far});
  REQUIRE(b.gains.size() == 1);
  CHECK(b.gains[0].epoch == a.gains[0].epoch + 1);
  CHECK_FALSE(b.gains[0].predecessor_ended);
  CHECK(far.gains.empty());
}

// Guards against a lease that outlives what a successor waits for: the term of
// an owner counts from when its claim or renewal was sent, and a successor
// assumes an end that is not earlier, and hardly later.
TEST_CASE("a successor knows when the earlier owner's term ends", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member b(cluster.store, "b", "yoff");
  const bool renewed = GENERATE(true, false);
  cluster.Advance(renewed ? 3s : 100ms, {&a});
  REQUIRE(a.gains.size() == 1);
  const core::TimePoint end = a.board().TermEnd(kYoff);
  CHECK(end <= cluster.now() + SliceBoard::kOwnerGrace);
  a.reaches_store = false;
  cluster.Advance(5s, {&a, &b});
  CHECK(a.board().TermEnd(kYoff) == end);
  REQUIRE(b.gains.size() == 1);
  CHECK(b.gains[0].predecessor_term_end >= end);
  CHECK(b.gains[0].predecessor_term_end <= end + 300ms);
}

// Guards against lasting tasks that wait for more than 10 s: the process that
// restarts on an owner's VM saw the slice's row for the first time and took the
// term of its predecessor to begin then.
TEST_CASE("a process that has just started knows how long a term lasts",
          "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  cluster.Advance(3s, {&a});
  REQUIRE(a.gains.size() == 1);
  const core::TimePoint end = a.board().TermEnd(kYoff);
  CHECK(end <= cluster.now() + SliceBoard::kOwnerGrace);
  // Its VM is without power.
  cluster.Advance(3s, {});
  const std::string process = GENERATE("a", "b");
  Member late(cluster.store, process, "yoff", "2");
  cluster.Advance(5s, {&late});
  REQUIRE(late.gains.size() == 1);
  CHECK(late.gains[0].predecessor_term_end >= end);
  CHECK(late.gains[0].predecessor_term_end <= end + 300ms);
}

// Guards against a term that outlives the time in the row: the steady clock of
// a process stands still while its machine is suspended.
TEST_CASE("a term ends in time after a suspension", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  cluster.Advance(3s, {&a});
  REQUIRE(a.gains.size() == 1);
  cluster.Suspend(2s);
  cluster.Advance(20ms, {&a});
  Member b(cluster.store, "b", "yoff");
  cluster.Advance(1200ms, {&a});
  a.reaches_store = false;
  const core::TimePoint end = a.board().TermEnd(kYoff);
  cluster.Advance(5s, {&b});
  REQUIRE(b.gains.size() == 1);
  CHECK(b.gains[0].predecessor_term_end >= end);
}

// Guards against a term that begins after the claim was stored: a process was
// frozen before it read the answer to its claim.
TEST_CASE("a term begins when the claim is sent", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  const core::TimePoint sent = cluster.now();
  std::vector<StoreEvent> answers;
  for (core::TimePoint now = sent; answers.size() < 2; now += 20ms) {
    a.board().Run(now);
    for (const StoreCommand& command : a.board().PopCommands()) {
      answers.push_back(*cluster.store.Run(command));
      if (answers.size() == 1) {
        a.board().Handle(answers.front(), now);
      }
    }
  }
  a.board().Handle(answers.back(), sent + 3s);
  REQUIRE(a.board().owns_any());
  CHECK(a.board().TermEnd(kYoff) <= sent + 1s + SliceBoard::kOwnerGrace);
}

// Guards against an owner that is too small: a VM with 0.07 of a core stayed
// the owner of a slice with 117 workers, fell behind and repeatedly lost it.
TEST_CASE("a process on a much larger VM takes a slice over", "[board]") {
  Cluster cluster;
  Member small(cluster.store, "small", "yoff", "1", 70);
  Member large(cluster.store, "large", "yoff", "1", 500);
  cluster.Advance(2s, {&small});
  REQUIRE(small.gains.size() == 1);
  cluster.Advance(3s, {&small, &large});
  CHECK(large.gains.size() == 1);
  CHECK(small.losses == 1);
  cluster.Advance(20s, {&small, &large});
  CHECK(small.gains.size() == 1);
  CHECK(large.losses == 0);
}

TEST_CASE("a slice stays with its owner among VMs of similar size", "[board]") {
  const std::int64_t other = GENERATE(0, 100, 130, 199);
  Cluster cluster;
  Member a(cluster.store, "a", "yoff", "1", 100);
  Member b(cluster.store, "b", "yoff", "1", other);
  Member far(cluster.store, "far", "port", "1", 10'000);
  cluster.Advance(2s, {&a});
  cluster.Advance(20s, {&a, &b, &far});
  CHECK(a.losses == 0);
}

TEST_CASE("another failure domain takes over when no process is left",
          "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member far(cluster.store, "far", "port");
  cluster.Advance(2s, {&a, &far});
  cluster.Advance(10s, {&far});
  CHECK(far.gains.size() == 1);
}

// Guards against a place that counts although an owner of an earlier version,
// which stores none, has started tasks since.
TEST_CASE("a claim tells since when places are stored", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member b(cluster.store, "b", "yoff");
  Member c(cluster.store, "c", "yoff");
  cluster.Advance(2s, {&a});
  REQUIRE(a.gains.size() == 1);
  CHECK(a.gains[0].places_since == 0);
  cluster.Advance(5s, {&b});
  REQUIRE(b.gains.size() == 1);
  CHECK(b.gains[0].places_since == a.gains[0].epoch);
  const bool earlier_version = GENERATE(false, true);
  if (earlier_version) {
    cluster.store.Put({.table = SliceTableName(), .key = "yoff-0"},
                      "7 old 1 0 0 0");
  }
  cluster.Advance(5s, {&c});
  REQUIRE(c.gains.size() == 1);
  CHECK(c.gains[0].places_since == (earlier_version ? 0 : a.gains[0].epoch));
}

TEST_CASE("a released slice is taken over at once", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member b(cluster.store, "b", "yoff");
  cluster.Advance(2s, {&a});
  a.board().ReleaseAll(cluster.now());
  cluster.Advance(1500ms, {&a, &b});
  CHECK(a.losses == 1);
  REQUIRE(b.gains.size() == 1);
  CHECK(b.gains[0].predecessor_ended);
}

// Guards against a slice without an owner for 3 s: a renewal in flight made the
// release fail.
TEST_CASE("a release waits for the renewal in flight", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member far(cluster.store, "far", "port");
  cluster.Advance(2s, {&a});
  CallId renewal;
  for (core::TimePoint now = cluster.now(); !renewal.valid(); now += 20ms) {
    a.board().Run(now);
    for (const StoreCommand& command : a.board().PopCommands()) {
      if (std::holds_alternative<CommitRows>(command)) {
        renewal = CallOf(command);
      }
      const StoreEvent answer = *cluster.store.Run(command);
      if (renewal.valid()) {
        a.board().ReleaseAll(now);
      }
      a.board().Handle(answer, now);
    }
  }
  cluster.Advance(4s, {&a, &far});
  CHECK(far.gains.size() == 1);
}

TEST_CASE("a restarted process takes its slice back at once", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff", "1");
  cluster.Advance(2s, {&a});
  Member again(cluster.store, "a", "yoff", "2");
  cluster.Advance(500ms, {&again});
  REQUIRE(again.gains.size() == 1);
  CHECK(again.gains[0].predecessor_ended);
}

// Guards against a claim that is lost or made twice because its answer was
// lost.
TEST_CASE("an unanswered claim is detected", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  cluster.store.SetFault(FakeStore::Fault::kLoseAnswer);
  a.board().Run(cluster.now());
  for (const StoreCommand& command : a.board().PopCommands()) {
    a.board().Handle(RowsRead{.call = CallOf(command)}, cluster.now());
  }
  cluster.Advance(100ms, {&a});
  cluster.store.SetFault(FakeStore::Fault::kNone);
  cluster.Advance(3s, {&a});
  REQUIRE(a.gains.size() == 1);
  CHECK(a.gains[0].epoch == 1);
  CHECK(a.gains[0].fence_version ==
        cluster.store.Find(FenceRow("yoff-0"))->version);
}

TEST_CASE("an unanswered renewal does not fence its sender", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  cluster.Advance(2s, {&a});
  cluster.store.SetFault(FakeStore::Fault::kLoseAnswer);
  cluster.Advance(1500ms, {&a});
  cluster.store.SetFault(FakeStore::Fault::kNone);
  cluster.Advance(5s, {&a});
  CHECK(a.losses == 0);
}

// Guards against an owner that stops work because the store is down for all
// processes.
TEST_CASE("an owner continues through an outage of the store", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member b(cluster.store, "b", "yoff");
  cluster.Advance(2s, {&a, &b});
  const bool a_owns = a.gains.size() == 1;
  Member& owner = a_owns ? a : b;
  Member& other = a_owns ? b : a;
  a.reaches_store = false;
  b.reaches_store = false;
  cluster.Advance(9s, {&a, &b});
  CHECK(owner.losses == 0);
  // The other process has seen no renewal for long, but none could renew.
  a.reaches_store = true;
  b.reaches_store = true;
  cluster.Advance(3s, {&other, &owner});
  CHECK(owner.losses == 0);
  CHECK(other.gains.empty());
}

TEST_CASE("an owner that cannot reach the store gives up in time", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member b(cluster.store, "b", "yoff");
  cluster.Advance(2s, {&a});
  a.reaches_store = false;
  constexpr auto kGrace = std::chrono::duration_cast<std::chrono::milliseconds>(
      SliceBoard::kOwnerGrace);
  cluster.Advance(kGrace + 500ms, {&a, &b});
  CHECK(b.gains.size() == 1);
  CHECK(a.losses == 1);
}

// Guards against a task that runs twice: the store refused an owner's writes
// alone, and the owner went on to read and start new jobs for the rest of its
// term, on workers that its successor did not reach.
TEST_CASE("an owner that reads of its successor gives up", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member b(cluster.store, "b", "yoff");
  cluster.Advance(2s, {&a});
  a.may_write = false;
  while (b.gains.empty()) {
    cluster.Advance(20ms, {&a, &b});
  }
  cluster.Advance(1500ms, {&a, &b});
  CHECK(a.losses == 1);
}

// Guards against an owner whose every write fails: the fence row has the
// version of the claim, not that of a later renewal.
TEST_CASE("a fenced owner that finds its own row claims the slice again",
          "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  cluster.Advance(5s, {&a});
  a.board().MarkFenced(kYoff, cluster.now());
  cluster.Advance(3s, {&a});
  REQUIRE(a.gains.size() == 2);
  CHECK(a.gains[1].epoch == 2);
  CHECK(a.gains[1].fence_version ==
        cluster.store.Find(FenceRow("yoff-0"))->version);
}

TEST_CASE("a load is published with the renewals", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  Member b(cluster.store, "b", "yoff");
  cluster.Advance(2s, {&a});
  a.board().SetLoad(kYoff, {.demand_millis = 5,
                            .reserved_millis = 3,
                            .capacity_millis = 7,
                            .pending = {{"diary", 2}}});
  cluster.Advance(2500ms, {&a, &b});
  const auto load = b.board().Loads().at(0);
  REQUIRE(load.has_value());
  CHECK(load->demand_millis == 5);
  CHECK(load->reserved_millis == 3);
  CHECK(load->capacity_millis == 7);
  CHECK(load->pending.at("diary") == 2);
}

// Guards against a slice without an owner: the answer to a claim was lost in an
// outage of the store, and the time since the claim was taken off its term
// twice, so that the term was over whenever the claim was found.
TEST_CASE("a claim is found after an outage of the store", "[board]") {
  const auto outage = std::chrono::seconds(GENERATE(4, 7, 9));
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  cluster.store.SetFault(FakeStore::Fault::kLoseAnswer,
                         /*several_parts_only=*/true);
  cluster.Advance(100ms, {&a});
  cluster.store.SetFault(FakeStore::Fault::kNone);
  a.reaches_store = false;
  cluster.Advance(outage, {&a});
  a.reaches_store = true;
  cluster.Advance(5s, {&a});
  CHECK(a.board().owns_any());
  CHECK(a.losses == 0);
}

// Guards against an owner whose every write fails: after a claim that was found
// and renewals, it took the version of its row for that of the fence row.
TEST_CASE("a claim is found only once", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  cluster.store.SetFault(FakeStore::Fault::kLoseAnswer,
                         /*several_parts_only=*/true);
  cluster.Advance(100ms, {&a});
  cluster.store.SetFault(FakeStore::Fault::kNone);
  cluster.Advance(5s, {&a});
  REQUIRE(a.gains.size() == 1);
  a.board().MarkFenced(kYoff, cluster.now());
  cluster.Advance(3s, {&a});
  REQUIRE(a.gains.size() == 2);
  CHECK(a.gains[1].fence_version ==
        cluster.store.Find(FenceRow("yoff-0"))->version);
}

// Guards against a lease that a successor takes for over: an owner whose
// machine was suspended granted leases before it renewed its term, and wrote a
// term that ends before them.
TEST_CASE("a term after a suspension covers the leases granted", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  cluster.Advance(2s, {&a});
  REQUIRE(a.gains.size() == 1);
  // One read of the rows fails, so that the reads no longer come just before
  // the renewals.
  a.reaches_store = false;
  cluster.Advance(20ms, {&a});
  a.reaches_store = true;
  cluster.Advance(980ms, {&a});
  cluster.Suspend(8s);
  const core::TimePoint lease_end =
      std::min<core::TimePoint>(cluster.now() + 6s, a.board().TermEnd(kYoff));
  cluster.Advance(40ms, {&a});
  Member b(cluster.store, "b", "yoff");
  cluster.Advance(5s, {&b});
  REQUIRE(b.gains.size() == 1);
  CHECK(b.gains[0].predecessor_term_end >= lease_end);
}

// Guards against tasks of a lost worker that wait for up to a second: its lease
// counts as over once the term has been renewed.
TEST_CASE("a term that is needed is renewed before its time", "[board]") {
  Cluster cluster;
  Member a(cluster.store, "a", "yoff");
  cluster.Advance(2s, {&a});
  while (cluster.now() > a.board().TermEnd(kYoff) - 11600ms) {
    cluster.Advance(20ms, {&a});
  }
  cluster.Advance(400ms, {&a});
  const core::TimePoint before = a.board().TermEnd(kYoff);
  a.board().RenewSoon(kYoff, cluster.now());
  cluster.Advance(40ms, {&a});
  CHECK(a.board().TermEnd(kYoff) > before);
}

}  // namespace
}  // namespace hickoryusher::jobs
