#include <catch2/catch.hpp>
#include <chrono>

#include "chart_yaml/load.h"
#include "lease/slice_owner.h"
#include "lease/worker_guard.h"
#include "lease/worker_leases.h"

namespace hickoryusher::lease {
namespace {

using namespace std::chrono_literals;
using core::Epoch;
using core::TimePoint;

constexpr core::SliceId kSlice{0};
constexpr core::EntryId kSelf{1};
constexpr core::EntryId kOther{2};
constexpr core::WorkerId kWorker{7};

chart::Chart LoadChart(const std::string& name) {
  chart_yaml::Loader loader;
  auto chart = loader.LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/" + name);
  REQUIRE(chart.has_value());
  return *chart;
}

template <typename Command, typename Variant>
const Command* FindLast(const std::vector<Variant>& commands) {
  const Command* found = nullptr;
  for (const Variant& command : commands) {
    if (const auto* typed = std::get_if<Command>(&command)) {
      found = typed;
    }
  }
  return found;
}

/// Drives one owner against a single row that the test edits.
struct OwnerBench {
  chart::Chart chart = LoadChart("slice_lease.yaml");
  TimePoint now{1h};
  SliceRow row{.slice = kSlice};
  std::vector<SliceCommand> out;
  SliceOwner owner = Make();

  SliceOwner Make() {
    std::vector<chart::Problem> problems;
    auto made = SliceOwner::Create(chart,
                                   {.self = kSelf,
                                    .incarnation = core::Incarnation(1),
                                    .slices = {kSlice}},
                                   now, problems);
    REQUIRE(made.has_value());
    return std::move(*made);
  }
  void Handle(const SliceEvent& event) { owner.Handle(event, now, out); }
  void AnswerRead() {
    const Token token = FindLast<ReadRows>(out)->token;
    out.clear();
    Handle(RowsRead{.token = token, .rows = {row}});
  }
  /// Applies the last write to the row; the answer is up to the test.
  Token Apply() {
    const WriteRows& write = *FindLast<WriteRows>(out);
    const Token token = write.token;
    const std::uint64_t version = row.version + 1;
    row = write.rows.front();
    row.version = version;
    out.clear();
    return token;
  }
  void Own() {
    Handle(Tick{});
    AnswerRead();
    Handle(Tick{});
    const Token token = Apply();
    Handle(RowsWritten{.token = token, .rows = {row}});
    REQUIRE(owner.OwnershipAt(kSlice, now) == Ownership::kOwned);
  }
};

// Guards against acting on a slice after others may have taken it over.
TEST_CASE("an owner stops claiming before its lease ends, then holds") {
  OwnerBench bench;
  bench.Own();
  CHECK(bench.owner.epoch(kSlice) == Epoch(1));
  CHECK(bench.owner.OwnershipAt(kSlice, bench.now + 5939ms) ==
        Ownership::kOwned);
  CHECK(bench.owner.OwnershipAt(kSlice, bench.now + 5940ms) ==
        Ownership::kHold);
  // 2 h less 1%: the wait of the next owner allows for both clock errors.
  CHECK(bench.owner.OwnershipAt(kSlice, bench.now + 7128s) == Ownership::kNone);
  bench.now += 3h;
  bench.out.clear();
  bench.Handle(Tick{});
  CHECK(FindLast<SliceEnded>(bench.out) != nullptr);
}

// Guards against a claim sent twice after its answer was lost.
TEST_CASE("a lost answer to a claim is read back, not claimed again") {
  OwnerBench bench;
  bench.Handle(Tick{});
  bench.AnswerRead();
  bench.Handle(Tick{});
  const Token token = bench.Apply();
  bench.Handle(AnswerLost{.token = token});
  bench.now += 200ms;
  bench.Handle(Tick{});
  CHECK(FindLast<WriteRows>(bench.out) == nullptr);
  bench.AnswerRead();
  CHECK(bench.owner.OwnershipAt(kSlice, bench.now) == Ownership::kOwned);
  CHECK(bench.owner.epoch(kSlice) == Epoch(1));
  // The lease counts from before the claim was sent, not from the read.
  CHECK(bench.owner.OwnershipAt(kSlice, bench.now - 200ms + 5940ms) ==
        Ownership::kHold);
}

// Guards against a lease that counts from a later renewal than the one that
// took effect: others have measured from the earlier one.
TEST_CASE("a lease found by reading back counts from the oldest lost write") {
  OwnerBench bench;
  bench.Own();
  bench.now += 2s;
  const TimePoint first_sent = bench.now;
  bench.Handle(Tick{});
  bench.Handle(AnswerLost{.token = FindLast<WriteRows>(bench.out)->token});
  bench.Handle(Tick{});
  bench.AnswerRead();  // Not there yet.
  bench.now += 1s;
  bench.Handle(Tick{});
  ++bench.row.version;  // The first renewal lands late.
  bench.Handle(RowsConflicted{.token = FindLast<WriteRows>(bench.out)->token});
  bench.Handle(Tick{});
  bench.AnswerRead();
  CHECK(bench.owner.OwnershipAt(kSlice, first_sent + 5939ms) ==
        Ownership::kOwned);
  CHECK(bench.owner.OwnershipAt(kSlice, first_sent + 5940ms) ==
        Ownership::kHold);
}

// Guards against a takeover while the owner may still act.
TEST_CASE("a slice is taken over 6.56 s after its last change, epoch + 1") {
  OwnerBench bench;
  bench.row = {.slice = kSlice,
               .owner = kOther,
               .incarnation = core::Incarnation(9),
               .epoch = Epoch(4),
               .version = 11};
  bench.Handle(Tick{});
  bench.AnswerRead();
  bench.now += 6559ms;
  bench.Handle(Tick{});
  CHECK(FindLast<WriteRows>(bench.out) == nullptr);
  bench.now += 1ms;
  bench.Handle(Tick{});
  const WriteRows* claim = FindLast<WriteRows>(bench.out);
  REQUIRE(claim != nullptr);
  CHECK(claim->rows.front().epoch == Epoch(5));
  CHECK(claim->rows.front().version == 11);
}

// Guards against a previous owner that promises to stop and goes on.
TEST_CASE("a yield ends the slice before it is answered") {
  OwnerBench bench;
  bench.Own();
  bench.out.clear();
  bench.Handle(YieldAsked{.slice = kSlice, .epoch = Epoch(2), .from = kOther});
  REQUIRE(bench.out.size() == 2);
  CHECK(std::holds_alternative<SliceEnded>(bench.out[0]));
  CHECK(std::holds_alternative<YieldAnswer>(bench.out[1]));
  CHECK(bench.owner.OwnershipAt(kSlice, bench.now) == Ownership::kNone);
}

// Guards against two owners after a partition from the store: the row shows
// the newer owner as soon as it can be read.
TEST_CASE("an owner in hold mode ends when the row names another owner") {
  OwnerBench bench;
  bench.Own();
  bench.now += 7s;
  bench.Handle(Tick{});
  CHECK(bench.owner.StateName(kSlice) == "hold");
  bench.row.owner = kOther;
  bench.row.epoch = Epoch(2);
  bench.row.version += 1;
  bench.Handle(RowsConflicted{.token = FindLast<WriteRows>(bench.out)->token});
  bench.Handle(Tick{});
  bench.AnswerRead();
  CHECK(FindLast<SliceEnded>(bench.out) != nullptr);
}

struct LeaseBench {
  chart::Chart chart = LoadChart("worker_lease.yaml");
  TimePoint now{1h};
  std::vector<WorkerCommand> out;
  WorkerLeases leases = Make();

  WorkerLeases Make() {
    std::vector<chart::Problem> problems;
    auto made = WorkerLeases::Create(chart, Timing{}, problems);
    REQUIRE(made.has_value());
    return std::move(*made);
  }
  void Begin(core::EntryId previous, bool exclusive) {
    leases.BeginSlice({.slice = kSlice,
                       .epoch = Epoch(3),
                       .previous = previous,
                       .previous_exclusive = exclusive,
                       .previous_seen = now});
    leases.AddWorker(kWorker, kSlice, now, out);
  }
  bool LostAfter(core::Duration wait) {
    out.clear();
    leases.Tick(now + wait, out);
    return FindLast<WorkerLost>(out) != nullptr;
  }
};

// Guards against tasks started elsewhere while the worker may still run them.
TEST_CASE("a silent worker's tasks are released 12.62 s after its report") {
  LeaseBench bench;
  bench.Begin(core::EntryId(), true);
  const TimePoint worker_time{5s};
  CHECK_FALSE(bench.leases.Report(kWorker, Epoch(2), worker_time, bench.now,
                                  bench.out));
  REQUIRE(bench.leases.Report(kWorker, Epoch(3), worker_time, bench.now,
                              bench.out));
  bench.leases.Tick(bench.now, bench.out);
  const auto* heartbeat = FindLast<Heartbeat>(bench.out);
  REQUIRE(heartbeat != nullptr);
  CHECK(heartbeat->echo == worker_time);
  CHECK_FALSE(bench.LostAfter(3s));
  CHECK_FALSE(bench.leases.IsLive(kWorker));
  CHECK_FALSE(bench.leases.EchoForCommand(kWorker).has_value());
  CHECK_FALSE(bench.LostAfter(12619ms));
  CHECK(bench.LostAfter(12620ms));
}

// Guards against a lease extended while the wait for its end runs: an owner
// that was frozen has a report that it has not answered yet.
TEST_CASE("a report that was not answered before the silence is not echoed") {
  LeaseBench bench;
  bench.Begin(core::EntryId(), true);
  const auto report = [&](TimePoint worker_time) {
    REQUIRE(bench.leases.Report(kWorker, Epoch(3), worker_time, bench.now,
                                bench.out));
  };
  report(TimePoint(5s));
  bench.leases.Tick(bench.now, bench.out);
  bench.now += 900ms;
  report(TimePoint(5900ms));
  bench.out.clear();
  bench.leases.Tick(bench.now + 6s, bench.out);
  const auto* heartbeat = FindLast<Heartbeat>(bench.out);
  REQUIRE(heartbeat != nullptr);
  CHECK_FALSE(heartbeat->echo.has_value());
  CHECK(bench.LostAfter(12620ms - 900ms));
}

// Guards against a takeover that ignores what the previous owner may do.
TEST_CASE("an unreachable worker waits for the previous owner") {
  LeaseBench bench;
  SECTION("without an answer: hold limit and lease") {
    bench.Begin(kOther, true);
    CHECK_FALSE(bench.LostAfter(7284619ms));
    CHECK(bench.LostAfter(7284620ms));
  }
  SECTION("answered by an exclusive owner: lease only") {
    bench.Begin(kOther, true);
    bench.leases.Yielded(kSlice, bench.now, bench.out);
    CHECK_FALSE(bench.LostAfter(12619ms));
    CHECK(bench.LostAfter(12620ms));
  }
  // An owner before the previous one may still renew the worker's lease.
  SECTION("answered by an owner that was not exclusive: no effect") {
    bench.Begin(kOther, false);
    bench.leases.Yielded(kSlice, bench.now, bench.out);
    CHECK_FALSE(bench.LostAfter(7284619ms));
    CHECK_FALSE(bench.leases.IsExclusive(kSlice));
  }
  SECTION("VM gone from the list: at once") {
    bench.Begin(kOther, true);
    bench.out.clear();
    bench.leases.VmGone(kWorker, bench.now, bench.out);
    CHECK(FindLast<WorkerLost>(bench.out) != nullptr);
  }
}

// Guards against late or fenced commands that start or keep a task.
TEST_CASE("a worker refuses old epochs, late starts and stopped attempts") {
  WorkerGuard guard;
  const TaskAttempt attempt{.task = core::TaskId(1), .attempt = 1};
  const TimePoint now{100s};
  CHECK(guard.Start(Epoch(2), now, attempt, now) == Admission::kAccepted);
  CHECK(guard.Start(Epoch(2), now, attempt, now) == Admission::kDuplicate);
  CHECK(guard.Renew(Epoch(1), now + 5s) == Admission::kOldEpoch);
  CHECK(guard.TakeExpired(now + 11999ms).empty());
  CHECK(guard.TakeExpired(now + 12s).size() == 1);
  CHECK_FALSE(guard.IsRunning(attempt));
  const TaskAttempt second{.task = core::TaskId(2), .attempt = 1};
  CHECK(guard.Start(Epoch(2), now, second, now + 12s) == Admission::kLate);
  CHECK(guard.Stop(Epoch(2), second, now + 12s) == Admission::kDuplicate);
  CHECK(guard.Start(Epoch(2), now + 12s, second, now + 12s) ==
        Admission::kDuplicate);
  const TaskAttempt next{.task = core::TaskId(2), .attempt = 2};
  CHECK(guard.Start(Epoch(2), now + 12s, next, now + 12s) ==
        Admission::kAccepted);
  CHECK(guard.Stop(Epoch(2), second, now + 12s) == Admission::kSuperseded);
}

}  // namespace
}  // namespace hickoryusher::lease
