#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "jobs/intake.h"
#include "slice_world.h"

/// Random orders of events around two slices that transfer jobs to each other:
/// answers of the store that are lost, and writes that are carried out late,
/// beside evacuations, lost workers, cancellations and changes of owners.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;

using StartedRun = FakeWorkers::StartedRun;

constexpr core::Duration kLongestLease = 6s;
// Each worker has room for two of them.
constexpr std::size_t kMostLasting = 3;

class TransferSearch {
 public:
  explicit TransferSearch(std::uint32_t seed)
      : random_(seed), sides_{Side(store_, kSlice), Side(store_, kOtherSlice)} {
    for (Side& side : sides_) {
      side.world->workers.longest_lease = kLongestLease;
      AddWorker(side);
      AddWorker(side);
    }
    Advance(1s);
  }

  /// @returns what broke.
  std::vector<std::string> Run() {
    for (int i = 0; i < 60; ++i) {
      Step();
      Advance(10ms * (1 + Below(Below(4) == 0 ? 200 : 30)));
    }
    Calm();
    CheckRuns();
    return faults_;
  }

  std::size_t transfers() const {
    std::size_t count = 0;
    for (const Side& side : sides_) {
      count += static_cast<std::size_t>(
          std::ranges::count_if(side.world->log, [](const std::string& line) {
            return line.find("jobs_transferred") != std::string::npos;
          }));
    }
    return count;
  }

 private:
  struct Side {
    Side(FakeStore& store, const std::string& slice)
        : domain(slice == kSlice ? "yoff" : "port"),
          slice(slice),
          world(std::make_unique<SliceWorld>(store, slice)) {}

    std::string domain;
    std::string slice;
    std::unique_ptr<SliceWorld> world;
    std::vector<std::string> workers;
    int added = 0;
    /// Times without and with an evacuation follow each other.
    std::vector<std::pair<core::TimePoint, bool>> evacuations;
  };

  std::uint32_t Below(std::uint32_t limit) { return random_() % limit; }

  Side& AnySide() { return sides_[Below(2)]; }

  static void AddWorker(Side& side) {
    side.workers.push_back(side.domain + std::to_string(++side.added));
    side.world->AddWorker(side.workers.back());
  }

  void Advance(std::chrono::milliseconds duration) {
    for (; duration > 0ms; duration -= 10ms) {
      for (Side& side : sides_) {
        side.world->Advance(10ms);
        side.world->workers.EndLeases(side.world->now());
      }
      if (now() >= next_loads_) {
        next_loads_ = now() + 1s;
        const std::vector<std::optional<SliceLoad>> loads = {
            sides_[0].world->owner->load(), sides_[1].world->owner->load()};
        for (Side& side : sides_) {
          side.world->owner->SetLoads(loads);
        }
      }
    }
  }

  core::TimePoint now() const { return sides_[0].world->now(); }

  void Step() {
    switch (Below(14)) {
      case 0:
      case 1:
      case 2:
      case 3:
        Submit();
        break;
      case 4:
      case 5:
        SetEvacuated(AnySide(), Below(2) == 0);
        break;
      case 6:
      case 7:
        Disturb();
        break;
      case 8:
        store_.SetFault(FakeStore::Fault::kNone);
        store_.ApplyPostponed();
        break;
      case 9:
        EndSome();
        break;
      case 10:
        ChangeOwner(AnySide());
        break;
      case 11:
        Below(2) == 0 ? LoseWorkers(AnySide()) : SilenceWorkers(AnySide());
        break;
      case 12:
        Cancel();
        break;
      default:
        for (Side& side : sides_) {
          side.world->commit_delay = 10ms * Below(40);
        }
    }
  }

  void Submit() {
    constexpr std::array kSteps = {"c", "cc", "b", "b", "bc", "y", "m", "t"};
    // As long as the ids of callers, which do not fit into a string object.
    const std::string id =
        "4f1d2c3b5a697887" + std::to_string(jobs_.size() + lasting_.size());
    const std::string steps = kSteps.at(Below(kSteps.size()));
    const bool lasts = steps == "t";
    if (lasts && lasting_.size() == kMostLasting) {
      return;
    }
    (lasts ? lasting_ : jobs_).push_back(id);
    store_.SetFault(FakeStore::Fault::kNone);
    AnySide().world->Submit(id, steps);
  }

  void SetEvacuated(Side& side, bool evacuated) {
    // At most one domain is evacuated at a time.
    for (Side& each : sides_) {
      const bool now_evacuated = evacuated && &each == &side;
      each.evacuations.emplace_back(now(), now_evacuated);
    }
    const FailureDomains domains =
        evacuated ? FailureDomains{side.domain} : FailureDomains{};
    for (Side& each : sides_) {
      each.world->evacuated = domains;
      each.world->owner->SetEvacuated(domains, now());
    }
  }

  void Disturb() {
    constexpr std::array kFaults = {
        FakeStore::Fault::kRefuse, FakeStore::Fault::kLoseAnswer,
        FakeStore::Fault::kPostpone, FakeStore::Fault::kLoseHistory};
    store_.SetFault(kFaults.at(Below(kFaults.size())),
                    /*several_parts_only=*/Below(2) == 0);
  }

  void EndSome() {
    for (const std::string& id : jobs_) {
      if (Below(2) == 0) {
        End(id, Below(4) == 0 ? EndKind::kFailed : EndKind::kDone);
      }
    }
  }

  void End(const std::string& id, EndKind kind) {
    for (Side& side : sides_) {
      for (std::uint32_t step = 0; step < 2; ++step) {
        for (std::uint32_t i = 0; i < 3; ++i) {
          side.world->workers.End({.job = id, .step = step, .index = i}, kind);
        }
      }
    }
  }

  void ChangeOwner(Side& side) {
    store_.SetFault(FakeStore::Fault::kNone);
    if (Below(2) == 0) {
      side.world->HandOver();
    } else {
      side.world->TakeOver(/*predecessor_ended=*/Below(2) == 0);
    }
    // A world that hands over advances by itself.
    for (Side& other : sides_) {
      while (other.world->now() < side.world->now()) {
        other.world->Advance(10ms);
      }
    }
  }

  // All workers of the domain leave for good, and others come.
  void LoseWorkers(Side& side) {
    for (const std::string& worker : std::exchange(side.workers, {})) {
      side.world->Remove(worker);
    }
    if (Below(2) == 0) {
      AddWorker(side);
    }
  }

  void SilenceWorkers(Side& side) {
    using Fault = FakeWorkers::Fault;
    const Fault fault = Below(2) == 0 ? Fault::kSilent : Fault::kNone;
    for (const std::string& worker : side.workers) {
      side.world->workers.SetFault(worker, fault);
    }
  }

  // Cancels a job as intake does, in one attempt that the store answers.
  void Cancel() {
    if (jobs_.empty()) {
      return;
    }
    Cancel(jobs_[Below(jobs_.size())]);
  }

  void Cancel(const std::string& id) {
    store_.SetFault(FakeStore::Fault::kNone);
    for (const Side& side : sides_) {
      const auto row = store_.Find(ProgressRow(side.slice, id));
      if (row && !IsFinal(DecodeProgress(row->value)->phase)) {
        store_.Run(CommitRows{
            .conditions = {{.key = row->key, .version = row->version}},
            .puts = {{.key = CancelRow(side.slice, id), .value = "c"}}});
      }
    }
  }

  void Calm() {
    store_.SetFault(FakeStore::Fault::kNone);
    store_.ApplyPostponed();
    SetEvacuated(sides_[0], false);
    for (Side& side : sides_) {
      side.world->commit_delay = 0ms;
      for (const std::string& worker : side.workers) {
        side.world->workers.SetFault(worker, FakeWorkers::Fault::kNone);
      }
      // A gang of three with 20 cores each needs three workers.
      while (side.workers.size() < 3) {
        AddWorker(side);
      }
    }
    Advance(14s);
    for (int i = 0; i < 60; ++i) {
      for (const std::string& id : jobs_) {
        End(id, EndKind::kDone);
      }
      Advance(300ms);
    }
    CheckLasting();
    for (const std::string& id : lasting_) {
      Cancel(id);
    }
    Advance(3s);
    for (const auto* jobs : {&jobs_, &lasting_}) {
      for (const std::string& id : *jobs) {
        CheckEnd(id);
      }
    }
  }

  // Two workers have room for all of them.
  void CheckLasting() {
    for (const std::string& id : lasting_) {
      const bool runs = std::ranges::any_of(sides_, [&id](const Side& side) {
        return !side.world->workers.WorkerOf({.job = id}).empty();
      });
      if (!runs) {
        faults_.push_back(id + " does not run");
      }
    }
  }

  void CheckEnd(const std::string& id) {
    std::size_t rows = 0;
    for (const Side& side : sides_) {
      if (const auto row = store_.Find(ProgressRow(side.slice, id))) {
        ++rows;
        if (!IsFinal(DecodeProgress(row->value)->phase)) {
          faults_.push_back(id + " is open in " + side.slice);
        }
      }
    }
    if (rows != 1) {
      faults_.push_back(id + " is in " + std::to_string(rows) + " slices");
    }
  }

  void CheckRuns() {
    std::vector<std::pair<const Side*, const StartedRun*>> runs;
    for (const Side& side : sides_) {
      for (const StartedRun& run : side.world->workers.started_runs()) {
        runs.emplace_back(&side, &run);
        if (IsEvacuatedAt(side, run.sent)) {
          faults_.push_back(ToText(run.task) + " begins in evacuated " +
                            side.domain);
        }
      }
    }
    std::ranges::sort(runs, {},
                      [](const auto& entry) { return entry.second->begun; });
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        CheckPair(*runs[j].second, *runs[i].second);
      }
    }
  }

  void CheckPair(const StartedRun& before, const StartedRun& run) {
    if (before.task != run.task) {
      return;
    }
    const bool after_done = before.kind == EndKind::kDone && !before.lapsed &&
                            before.acknowledged < core::TimePoint::max();
    if (before.ended > run.begun || after_done) {
      faults_.push_back(ToText(run.task) + " run " +
                        std::to_string(run.number) + " on " + run.worker +
                        " at " + At(run.begun) +
                        (after_done ? " after the end of" : " beside") +
                        " run " + std::to_string(before.number) + " on " +
                        before.worker + " at " + At(before.begun));
    } else if (run.number <= before.number) {
      faults_.push_back(ToText(run.task) + " run " +
                        std::to_string(run.number) + " follows run " +
                        std::to_string(before.number));
    }
  }

  static bool IsEvacuatedAt(const Side& side, core::TimePoint time) {
    bool evacuated = false;
    for (const auto& [since, value] : side.evacuations) {
      evacuated = since < time ? value : evacuated;
    }
    return evacuated;
  }

  static std::string At(core::TimePoint time) {
    return std::to_string(core::ToMillis(time - core::TimePoint(1h)));
  }

  std::mt19937 random_;
  FakeStore store_;
  std::array<Side, 2> sides_;
  std::vector<std::string> jobs_;     ///< Of short-lived tasks.
  std::vector<std::string> lasting_;  ///< Of one long-running task.
  std::vector<std::string> faults_;
  core::TimePoint next_loads_;
};

std::uint32_t FromEnvironment(const char* name, std::uint32_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise
                          : static_cast<std::uint32_t>(std::atoi(value));
}

// Guards against tasks that run in two slices, are lost on the way, or start in
// an evacuated domain. TRANSFER_SEEDS and TRANSFER_FIRST_SEED choose others.
TEST_CASE("jobs that are transferred at random run in one slice at a time",
          "[slice][search]") {
  const std::uint32_t first = FromEnvironment("TRANSFER_FIRST_SEED", 1);
  const std::uint32_t count = FromEnvironment("TRANSFER_SEEDS", 150);
  std::size_t transfers = 0;
  for (std::uint32_t seed = first; seed < first + count; ++seed) {
    TransferSearch search(seed);
    const std::vector<std::string> faults = search.Run();
    transfers += search.transfers();
    CAPTURE(seed, faults);
    CHECK(faults.empty());
  }
  CHECK(transfers > count);
}

}  // namespace
}  // namespace hickoryusher::jobs
