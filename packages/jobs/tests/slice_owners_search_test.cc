#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/overloaded.h"
#include "owners_world.h"

/// Random faults of the links between several processes, the store and the
/// workers, so that two owners act at the same time.
namespace hickoryusher::jobs {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using StartedRun = FakeWorkers::StartedRun;

struct SubmitJob {
  std::string id;
  std::string steps;
};
struct CancelJob {
  std::string id;
};
/// Fails the links of one process, or of all of a domain, to the store.
struct FailStore {
  std::vector<std::size_t> processes;
  LinkFault fault;
  milliseconds duration;
};
struct FailWorkers {
  std::vector<std::size_t> processes;
  std::vector<std::string> workers;
  LinkFault fault;
  milliseconds duration;
};
struct UnlistWorkers {
  std::vector<std::string> workers;
  milliseconds duration;
};
struct RestartWorker {
  std::string worker;
  milliseconds duration;
  bool refuses;
};
struct HangWorker {
  std::string worker;
  milliseconds duration;
};
struct DrainWorker {
  std::string worker;
  milliseconds duration;
};
struct JoinWorker {
  std::string worker;
};
struct KillProcess {
  std::size_t process;
};
struct StartProcess {
  std::size_t process;
};
struct StopProcess {
  std::size_t process;
};
struct FreezeProcess {
  std::size_t process;
  milliseconds duration;
};

using Action = std::variant<SubmitJob,
                            CancelJob,
                            FailStore,
                            FailWorkers,
                            UnlistWorkers,
                            RestartWorker,
                            HangWorker,
                            DrainWorker,
                            JoinWorker,
                            KillProcess,
                            StartProcess,
                            StopProcess,
                            FreezeProcess>;

struct Event {
  milliseconds at;
  Action action;
};

struct Plan {
  std::uint32_t seed = 0;
  milliseconds longest_lease{};
  std::vector<std::pair<std::string, std::string>> processes;
  std::vector<std::string> workers;
  std::vector<Event> events;
  milliseconds length{};
};

bool IsSet(const char* name) {
  return std::getenv(name) != nullptr;
}

std::uint32_t FromEnvironment(const char* name, std::uint32_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise
                          : static_cast<std::uint32_t>(std::atoi(value));
}

/// Draws the events of one play.
class Planner {
 public:
  Planner(std::uint32_t seed, bool late_calls)
      : random_(seed), late_calls_(late_calls) {
    plan_.seed = seed;
  }

  Plan Draw() {
    constexpr std::array kLeases = {6000ms, 10000ms, 12000ms};
    plan_.longest_lease = kLeases.at(Below(3));
    plan_.processes = {{"a", "yoff"}, {"b", "port"}};
    if (Below(2) == 0) {
      plan_.processes.emplace_back("c", Below(2) == 0 ? "yoff" : "port");
    }
    for (std::uint32_t i = 0; i < 3 + Below(4); ++i) {
      plan_.workers.push_back("w" + std::to_string(i + 1));
    }
    all_workers_ = plan_.workers;
    milliseconds at = 1500ms;
    if (Below(2) == 0) {
      at = LetOtherDomainOwn();
    }
    plan_.length = 35s;
    // Few events leave time for what one fault does.
    constexpr std::array kPauses = {400U, 1000U, 2500U, 5000U};
    const std::uint32_t pause = kPauses.at(Below(kPauses.size()));
    while (at < plan_.length) {
      AddFault(at);
      at += milliseconds(20 + Below(pause));
    }
    for (at = 1500ms; at < plan_.length; at += milliseconds(Below(1500))) {
      Submit(at);
    }
    std::ranges::stable_sort(plan_.events, {}, &Event::at);
    return std::move(plan_);
  }

 private:
  std::uint32_t Below(std::uint32_t limit) { return random_() % limit; }

  void AddAt(milliseconds at, Action action) {
    plan_.events.push_back({.at = at, .action = std::move(action)});
  }

  // The bounds that decisions depend on: 2.8 s and 6.8 s until a claim, 6 s for
  // a lease, 12 s for a term.
  milliseconds Duration() {
    constexpr std::array kBounds = {800ms,  1500ms, 2800ms,  4000ms, 6000ms,
                                    6800ms, 9000ms, 11400ms, 12000ms};
    return kBounds.at(Below(kBounds.size())) + milliseconds(Below(800)) - 400ms;
  }

  std::size_t AnyProcess() { return Below(plan_.processes.size()); }

  std::vector<std::size_t> Processes() {
    if (Below(3) > 0) {
      return {AnyProcess()};
    }
    const std::string domain = Below(2) == 0 ? "yoff" : "port";
    return ProcessesOf(domain);
  }

  std::vector<std::size_t> ProcessesOf(const std::string& domain) const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < plan_.processes.size(); ++i) {
      if (plan_.processes[i].second == domain) {
        found.push_back(i);
      }
    }
    return found;
  }

  const std::string& AnyWorker() {
    return all_workers_[Below(all_workers_.size())];
  }

  std::vector<std::string> SomeWorkers() {
    std::vector<std::string> some;
    switch (Below(3)) {
      case 0:
        return all_workers_;
      case 1:
        return {AnyWorker()};
      default:
        std::ranges::copy_if(all_workers_, std::back_inserter(some),
                             [this](const auto&) { return Below(3) > 0; });
        return some;
    }
  }

  LinkFault AnyFault() {
    constexpr std::array kFaults = {LinkFault::kSilent, LinkFault::kSilent,
                                    LinkFault::kRefused,
                                    LinkFault::kLoseAnswers};
    return late_calls_ && Below(3) == 0 ? LinkFault::kHold
                                        : kFaults.at(Below(kFaults.size()));
  }

  // Processes of the slice's domain are away until one of another domain owns
  // the slice; then that domain is cut off.
  milliseconds LetOtherDomainOwn() {
    for (const std::size_t process : ProcessesOf("yoff")) {
      AddAt(200ms, KillProcess{process});
      AddAt(9s + milliseconds(Below(4000)), StartProcess{process});
    }
    for (int i = 0; i < 6; ++i) {
      Submit(1s + 1500ms * i);
    }
    const milliseconds cut = 12s + milliseconds(Below(4000));
    const milliseconds duration = Duration();
    AddAt(cut, FailStore{.processes = ProcessesOf("port"),
                         .fault = LinkFault::kSilent,
                         .duration = duration});
    if (Below(2) == 0) {
      AddAt(cut + milliseconds(Below(3000)),
            FailWorkers{.processes = ProcessesOf("port"),
                        .workers = SomeWorkers(),
                        .fault = LinkFault::kSilent,
                        .duration = duration});
    }
    return cut - 3s + milliseconds(Below(3000));
  }

  // One process loses the store and some workers, all others lose the rest of
  // the workers.
  void CutOwnerInTwo(milliseconds at) {
    const std::size_t cut = AnyProcess();
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < plan_.processes.size(); ++i) {
      if (i != cut) {
        others.push_back(i);
      }
    }
    std::vector<std::string> here;
    std::vector<std::string> there;
    for (const std::string& worker : all_workers_) {
      (Below(3) == 0 ? here : there).push_back(worker);
    }
    const milliseconds duration = Duration();
    AddAt(at, FailStore{.processes = {cut},
                        .fault = LinkFault::kSilent,
                        .duration = duration});
    AddAt(at, FailWorkers{.processes = {cut},
                          .workers = there,
                          .fault = LinkFault::kSilent,
                          .duration = duration});
    AddAt(at, FailWorkers{.processes = others,
                          .workers = here,
                          .fault = LinkFault::kSilent,
                          .duration = duration});
  }

  void Submit(milliseconds at) {
    constexpr std::array kSteps = {"c",  "c", "c", "cc", "b",
                                   "cb", "t", "w", "y"};
    const std::string steps = kSteps.at(Below(kSteps.size()));
    const std::string id = "j" + std::to_string(jobs_);
    // Long-running tasks would fill all workers.
    const bool lasts = steps == "t" || steps == "w";
    if (lasts && lasting_ == 3) {
      return;
    }
    lasting_ += lasts ? 1 : 0;
    ++jobs_;
    AddAt(at, SubmitJob{.id = id, .steps = steps});
  }

  void AddFault(milliseconds at) {
    switch (Below(19)) {
      case 0:
      case 1:
      case 2:
        AddAt(at, FailStore{.processes = Processes(),
                            .fault = AnyFault(),
                            .duration = Duration()});
        break;
      case 3:
      case 4:
      case 5:
      case 6:
        AddAt(at, FailWorkers{.processes = Processes(),
                              .workers = SomeWorkers(),
                              .fault = AnyFault(),
                              .duration = Duration()});
        break;
      case 7: {
        const milliseconds duration = Duration();
        const auto processes = Processes();
        AddAt(at, FailStore{.processes = processes,
                            .fault = LinkFault::kSilent,
                            .duration = duration});
        AddAt(at, FailWorkers{.processes = processes,
                              .workers = all_workers_,
                              .fault = LinkFault::kSilent,
                              .duration = duration});
        break;
      }
      case 8:
        AddAt(at,
              UnlistWorkers{.workers = SomeWorkers(), .duration = Duration()});
        break;
      case 9:
      case 10:
        AddAt(at, RestartWorker{.worker = AnyWorker(),
                                .duration = milliseconds(Below(4000)),
                                .refuses = Below(2) == 0});
        break;
      case 11:
        AddAt(at, HangWorker{.worker = AnyWorker(), .duration = Duration()});
        break;
      case 12:
        if (Below(3) == 0) {
          AddAt(at, DrainWorker{.worker = AnyWorker(),
                                .duration = 500ms + Duration()});
        }
        break;
      case 13:
        if (all_workers_.size() < 9) {
          all_workers_.push_back("w" + std::to_string(all_workers_.size() + 1));
          AddAt(at, JoinWorker{all_workers_.back()});
        }
        break;
      case 14: {
        const std::size_t process = AnyProcess();
        AddAt(at, KillProcess{process});
        AddAt(at + 200ms + milliseconds(Below(6000)), StartProcess{process});
        break;
      }
      case 15: {
        const std::size_t process = AnyProcess();
        AddAt(at, StopProcess{process});
        AddAt(at + 1500ms, KillProcess{process});
        AddAt(at + 1700ms + milliseconds(Below(4000)), StartProcess{process});
        break;
      }
      case 16:
        if (Below(2) == 0) {
          AddAt(at,
                FreezeProcess{.process = AnyProcess(), .duration = Duration()});
        }
        break;
      case 17:
        if (jobs_ > 0 && Below(2) == 0) {
          AddAt(at, CancelJob{"j" + std::to_string(Below(jobs_))});
        }
        break;
      default:
        if (!IsSet("SLICE_SEARCH_NO_SPLIT")) {
          CutOwnerInTwo(at);
        }
    }
  }

  std::mt19937 random_;
  bool late_calls_;
  Plan plan_;
  std::vector<std::string> all_workers_;
  std::uint32_t jobs_ = 0;
  int lasting_ = 0;
};

struct Findings {
  std::size_t starts = 0;
  std::size_t owners = 0;
  std::vector<std::string> faults;
  std::vector<std::string> log;
};

/// Plays a plan, and checks what the workers have seen.
class Play {
 public:
  explicit Play(const Plan& plan, bool late_calls, bool keeps_log = false)
      : plan_(plan), world_(plan.longest_lease, [this](const StartedRun& run) {
          return EndOf(run);
        }) {
    world_.keeps_log = keeps_log;
    world_.late_calls = late_calls;
    for (const auto& [name, domain] : plan.processes) {
      world_.AddProcess(name, domain);
    }
    for (const std::string& worker : plan.workers) {
      world_.AddWorker(worker);
    }
    if (plan.seed % 3 == 0) {
      world_.SlowClock(plan.workers.front());
    }
  }

  Findings Run() {
    milliseconds now{};
    for (const Event& event : plan_.events) {
      if (event.at > now) {
        world_.Advance(event.at - now);
        now = event.at;
      }
      std::visit([this](const auto& action) { Do(action); }, event.action);
    }
    world_.Advance(plan_.length - now + 13s);
    Findings findings;
    CheckRuns(findings);
    findings.starts = world_.workers.started_runs().size();
    findings.log = std::move(world_.log);
    return findings;
  }

 private:
  void Do(const SubmitJob& a) {
    jobs_[a.id] = a.steps;
    world_.Submit(a.id, a.steps);
  }
  void Do(const CancelJob& a) { world_.Cancel(a.id); }
  void Do(const FailStore& a) {
    for (const std::size_t process : a.processes) {
      world_.FailStoreLink(process, a.fault, a.duration);
    }
  }
  void Do(const FailWorkers& a) {
    for (const std::size_t process : a.processes) {
      for (const std::string& worker : a.workers) {
        world_.FailWorkerLink(process, worker, a.fault, a.duration);
      }
    }
  }
  void Do(const UnlistWorkers& a) {
    for (const std::string& worker : a.workers) {
      world_.Unlist(worker, a.duration);
    }
  }
  void Do(const RestartWorker& a) {
    world_.Restart(a.worker, a.duration, a.refuses);
  }
  void Do(const HangWorker& a) { world_.Hang(a.worker, a.duration); }
  void Do(const DrainWorker& a) { world_.Drain(a.worker, a.duration); }
  void Do(const JoinWorker& a) { world_.AddWorker(a.worker); }
  void Do(const KillProcess& a) {
    if (world_.runs(a.process)) {
      world_.Kill(a.process);
    }
  }
  void Do(const StartProcess& a) { world_.Start(a.process); }
  void Do(const StopProcess& a) {
    if (world_.may_stop(a.process)) {
      world_.Stop(a.process);
    }
  }
  void Do(const FreezeProcess& a) { world_.Freeze(a.process, a.duration); }

  bool Lasts(const TaskAddress& task) const {
    const char step = jobs_.at(task.job)[task.step];
    return step == 't' || step == 'w';
  }

  // A gang ends when all its members have run together.
  bool IsIncompleteGang(const StartedRun& run) const {
    return jobs_.at(run.task.job)[run.task.step] == 'y' &&
           std::ranges::count_if(
               world_.workers.started_runs(), [&](const StartedRun& other) {
                 return other.task.job == run.task.job &&
                        other.task.step == run.task.step &&
                        other.number == run.number &&
                        (other.ended == core::TimePoint::max() ||
                         other.kind == EndKind::kDone ||
                         other.kind == EndKind::kFailed);
               }) < 3;
  }

  // Decided by the run itself, so that a shorter plan has the same runs.
  OwnersWorld::RunEnd EndOf(const StartedRun& run) const {
    std::seed_seq seeds{plan_.seed,
                        static_cast<std::uint32_t>(std::hash<std::string>()(
                            run.task.job + std::to_string(run.task.step))),
                        static_cast<std::uint32_t>(run.number)};
    std::array<std::uint32_t, 3> values{};
    seeds.generate(values.begin(), values.end());
    if (Lasts(run.task)) {
      return {.after = values[0] % 4 == 0 ? milliseconds(values[1] % 20000)
                                          : milliseconds(1h),
              .kind = EndKind::kFailed};
    }
    if (IsIncompleteGang(run)) {
      return {.after = 1h};
    }
    constexpr std::array kLongest = {1000U, 4000U, 12000U, 25000U};
    return {.after = milliseconds(100 + values[1] % kLongest.at(values[0] % 4)),
            .kind = values[2] % 10 == 0 ? EndKind::kFailed : EndKind::kDone};
  }

  // The rule TWICE.
  void CheckRuns(Findings& findings) const {
    const auto runs = world_.workers.started_runs();
    for (const StartedRun& run : runs) {
      for (const StartedRun& before : runs) {
        if (&before >= &run) {
          break;
        }
        if (before.task != run.task) {
          continue;
        }
        const bool beside = before.ended > run.begun;
        const bool noted = before.kind == EndKind::kDone && !before.lapsed &&
                           before.acknowledged < core::TimePoint::max();
        if (beside || (noted && !Lasts(run.task))) {
          findings.faults.push_back(Describe(run) +
                                    (beside ? " beside " : " after ") +
                                    Describe(before));
        }
      }
    }
  }

  static std::string Describe(const StartedRun& run) {
    const auto at = [](core::TimePoint time) {
      return std::to_string(core::ToMillis(time.time_since_epoch()) -
                            3'600'000);
    };
    std::string text = ToText(run.task) + " run " + std::to_string(run.number) +
                       " on " + run.worker + " sent " + at(run.sent) +
                       " begun " + at(run.begun);
    if (run.ended < core::TimePoint::max()) {
      text += " ended " + at(run.ended) + ' ' +
              (run.kind ? std::string(ToString(*run.kind)) : "with its life");
    }
    if (run.acknowledged < core::TimePoint::max()) {
      text += " noted " + at(run.acknowledged);
    }
    return text + (run.lapsed ? " lapsed" : "");
  }

  const Plan& plan_;
  std::map<std::string, std::string> jobs_;
  OwnersWorld world_;
};

// Leaves out events as long as a fault remains.
Plan Shrink(Plan plan, bool late_calls) {
  for (std::size_t step = std::max<std::size_t>(plan.events.size() / 2, 1);;
       step = std::max<std::size_t>(step / 2, 1)) {
    bool shorter = false;
    for (std::size_t i = 0; i < plan.events.size();) {
      Plan less = plan;
      const auto first = less.events.begin() + static_cast<std::ptrdiff_t>(i);
      less.events.erase(first, first + static_cast<std::ptrdiff_t>(std::min(
                                           step, less.events.size() - i)));
      if (!Play(less, late_calls).Run().faults.empty()) {
        plan = std::move(less);
        shorter = true;
      } else {
        i += step;
      }
    }
    if (step == 1 && !shorter) {
      return plan;
    }
  }
}

// Guards against tasks that run twice while two owners of a slice act at the
// same time. SLICE_SEARCH_FIRST and SLICE_SEARCH_COUNT select other seeds,
// SLICE_SEARCH_LATE carries calls out late, SLICE_SEARCH_NO_SPLIT never divides
// the workers between two owners, and SLICE_SEARCH_TRACE prints the
// log of the shortest play that shows each fault.
TEST_CASE("random faults between two owners start no task twice", "[slice]") {
  const std::uint32_t first = FromEnvironment("SLICE_SEARCH_FIRST", 1);
  const std::uint32_t count = FromEnvironment("SLICE_SEARCH_COUNT", 60);
  const bool late_calls = IsSet("SLICE_SEARCH_LATE");
  std::size_t starts = 0;
  std::size_t faulty = 0;
  std::string faults;
  for (std::uint32_t seed = first; seed < first + count; ++seed) {
    Plan plan = Planner(seed, late_calls).Draw();
    Findings findings = Play(plan, late_calls).Run();
    starts += findings.starts;
    if (findings.faults.empty()) {
      continue;
    }
    ++faulty;
    if (IsSet("SLICE_SEARCH_TRACE")) {
      plan = Shrink(std::move(plan), late_calls);
      findings = Play(plan, late_calls, /*keeps_log=*/true).Run();
      for (const std::string& line : findings.log) {
        faults += line + '\n';
      }
    }
    for (const std::string& fault : findings.faults) {
      faults += "seed " + std::to_string(seed) + ": " + fault + '\n';
    }
  }
  if (IsSet("SLICE_SEARCH_COUNT")) {
    WARN(count << " seeds, " << starts << " starts, " << faulty
               << " seeds with faults");
  }
  INFO(faults);
  CHECK(faulty == 0);
}

}  // namespace
}  // namespace hickoryusher::jobs
