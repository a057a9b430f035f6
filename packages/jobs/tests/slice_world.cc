#include "slice_world.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <map>
#include <sstream>

#include "chart_yaml/load.h"
#include "jobs/slice_board.h"

namespace hickoryusher::jobs {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kSlowAnswer{300};
constexpr milliseconds kCallTimeout{900};

chart::Chart LoadChart(const std::string& name) {
  chart_yaml::Loader loader;
  auto chart =
      loader.LoadFile(HICKORYUSHER_SOURCE_DIR "/charts/" + name + ".yaml");
  REQUIRE(chart.has_value());
  return *std::move(chart);
}

constexpr std::int64_t kGigabyte = 1'000'000'000;

constexpr core::Resources kCapacity = {.cpu_millis = 32'000,
                                       .memory_bytes = 125 * kGigabyte};

// Maps each letter of a document to its step; see SliceWorld::Submit.
const std::map<char, StepSpec>& Steps() {
  static const std::map<char, StepSpec> kSteps = {
      {'c', {.need = {.cpu_millis = 1'000}}},
      {'b', {.need = {.cpu_millis = 20'000}}},
      {'t', {.need = {.cpu_millis = 12'000}, .long_running = true}},
      {'w', {.need = {.cpu_millis = 20'000}, .long_running = true}},
      {'z', {.count = 2, .need = {.cpu_millis = 20'000}, .long_running = true}},
      {'v', {.need = {.cpu_millis = 30'000}, .long_running = true}},
      {'a',
       {.count = 2,
        .need = {.cpu_millis = 8'000},
        .long_running = true,
        .max_per_worker = 1}},
      {'k',
       {.need = {.cpu_millis = 20'000},
        .long_running = true,
        .max_unavailable = 1}},
      {'h',
       {.need = {.cpu_millis = 20'000, .memory_bytes = 100 * kGigabyte},
        .long_running = true}},
      {'s',
       {.need = {.cpu_millis = 20'000},
        .long_running = true,
        .latency_target = milliseconds(100)}},
      {'p',
       {.need = {.cpu_millis = 8'000},
        .long_running = true,
        .latency_target = milliseconds(100)}},
      {'l', {.need = {.cpu_millis = 1'000}, .best_effort = true}},
      {'m', {.need = {.cpu_millis = 4'000}, .best_effort = true}},
      {'f', {.need = {.cpu_millis = 20'000}, .best_effort = true}},
      {'x',
       {.need = {.cpu_millis = 20'000},
        .long_running = true,
        .max_per_worker = 1}},
      {'y',
       {.count = 3,
        .need = {.cpu_millis = 20'000},
        .gang = true,
        .best_effort = true}},
      {'d', {.count = 3, .need = {.cpu_millis = 1'000}, .max_per_worker = 1}},
      {'n',
       {.count = 2,
        .need = {.cpu_millis = 1'000},
        .gang = true,
        .max_per_worker = 1}},
      {'g',
       {.need = {.cpu_millis = 1'000, .memory_bytes = 100 * kGigabyte},
        .best_effort = true}},
      {'q',
       {.need = {.cpu_millis = 1'000, .memory_bytes = 20 * kGigabyte},
        .best_effort = true}},
  };
  return kSteps;
}

}  // namespace

const chart::Chart& TaskChart() {
  static const chart::Chart kChart = LoadChart("task_run");
  return kChart;
}

const chart::Chart& ContactChart() {
  static const chart::Chart kChart = LoadChart("worker_contact");
  return kChart;
}

const chart::Chart& OwnershipChart() {
  static const chart::Chart kChart = LoadChart("slice_ownership");
  return kChart;
}

WorkerEntry EntryOfWorker(const std::string& id, const std::string& domain) {
  return {.id = id,
          .service = "noise",
          .address = id + ":1",
          .failure_domain = domain,
          .capacity = kCapacity};
}

QueueConfigPtr OneQueue() {
  return std::make_shared<const QueueConfig>(
      1, std::vector<Queue>{{.name = "diary",
                             .host = "h",
                             .path_prefix = "/d/",
                             .service = "noise",
                             .max_attempts = 2}});
}

std::optional<JobSpec> ReadSteps(const StoredJob& stored) {
  JobSpec spec{.payload = "payload"};
  std::istringstream document(stored.document);
  std::string steps;
  std::getline(document, steps, '/');
  char mark = 0;
  document >> spec.repeat_count >> mark >> spec.interval_ms;
  for (const char kind : steps) {
    StepSpec step = Steps().at(kind);
    step.estimate = milliseconds(1000);
    step.saves_progress = true;
    step.image = std::string(1, kind);
    if (!spec.steps.empty()) {
      step.after = {static_cast<std::uint32_t>(spec.steps.size() - 1)};
    }
    spec.steps.push_back(std::move(step));
  }
  return spec;
}

SliceWorld::SliceWorld()
    : own_store_(std::make_unique<FakeStore>()), store(*own_store_) {
  TakeOver();
}

SliceWorld::SliceWorld(FakeStore& shared, const std::string& slice)
    : store(shared), slice_(slice) {
  TakeOver();
}

WorkerEntry SliceWorld::EntryOf(const std::string& id) const {
  return EntryOfWorker(id, slice_ == kSlice ? "yoff" : "port");
}

void SliceWorld::AddWorker(const std::string& id) {
  workers.Add(id);
  registry_.push_back(id);
  owner->UpdateWorker(EntryOf(id), now_);
}

void SliceWorld::Register(const std::string& id, std::int64_t born) {
  WorkerEntry entry = EntryOf(id);
  entry.born_unix_ms = born;
  owner->UpdateWorker(entry, now_);
}

void SliceWorld::Drain(const std::string& id) {
  WorkerEntry entry = EntryOf(id);
  entry.draining = true;
  owner->UpdateWorker(entry, now_);
}

void SliceWorld::Remove(const std::string& id) {
  workers.SetFault(id, FakeWorkers::Fault::kGone);
  std::erase(registry_, id);
  owner->RemoveWorker(id, now_);
}

void SliceWorld::TakeOver(bool predecessor_ended, bool configured) {
  ++epoch_;
  store.Put(FenceRow(slice_), std::to_string(epoch_));
  waiting_.clear();
  slow_.clear();
  waiting_renewals_.clear();
  given_up_.clear();
  std::vector<chart::Problem> problems;
  owner = SliceScheduler::Create(
      {.slice = {.name = slice_,
                 .failure_domain = slice_ == kSlice ? "yoff" : "port"},
       .id = core::SliceId(slice_ == kSlice ? 0 : 1),
       .all_slices = {{.name = kSlice, .failure_domain = "yoff"},
                      {.name = kOtherSlice, .failure_domain = "port"}},
       .epoch = epoch_,
       .fence_version = store.Find(FenceRow(slice_))->version,
       .predecessor_ended = predecessor_ended,
       .predecessor_term_end = now_ + predecessor_term,
       .places_since = places_since,
       .limits = {.longest_lease = longest_lease,
                  .keep_final_jobs = milliseconds(120'000)},
       .job_bytes = job_bytes,
       .read_document = ReadSteps,
       .log =
           [this](const core::LogLine& line) {
             log.emplace_back(line.text());
             if (line.level() != core::LogLevel::kInfo) {
               warnings.emplace_back(line.text());
             }
           }},
      {.task_run = TaskChart(), .worker_contact = ContactChart()}, ids_, now_,
      problems);
  REQUIRE(problems.empty());
  const std::vector<std::string> registry = std::exchange(registry_, {});
  for (const std::string& id : registry) {
    AddWorker(id);
  }
  owner->SetEvacuated(evacuated, now_);
  if (configured) {
    Configure();
  }
}

void SliceWorld::HandOver() {
  owner->HandOver(now_);
  while (!owner->handed_over()) {
    Advance(kStep);
  }
  TakeOver(/*predecessor_ended=*/true);
}

core::TimePoint SliceWorld::EndTermIn(milliseconds duration) {
  owner->SetTermEnd(now_ + duration);
  return now_ + duration;
}

void SliceWorld::Configure() {
  owner->SetConfig(OneQueue(), now_);
}

void SliceWorld::Submit(const std::string& id, const std::string& steps) {
  const auto answer = store.Run(CommitRows{
      .conditions = {{.key = ProgressRow(slice_, id), .version = 0}},
      .puts = {
          {.key = ProgressRow(slice_, id), .value = EncodeProgress(Progress())},
          {.key = JobRow(slice_, id),
           .value = EncodeStoredJob({.queue = "diary", .document = steps})}}});
  REQUIRE(std::holds_alternative<RowsCommitted>(*answer));
}

void SliceWorld::SubmitPart(const std::string& id,
                            const std::string& steps,
                            const std::vector<std::uint32_t>& tasks) {
  const std::string part = PartId(id, tasks.front());
  store.Put(ProgressRow(kSlice, part),
            EncodeProgress({.phase = JobPhase::kActive}));
  store.Put(
      JobRow(kSlice, part),
      EncodeStoredJob({.queue = "diary", .document = steps, .tasks = tasks}));
}

void SliceWorld::StartJob(const std::string& steps, const std::string& id) {
  AddWorker("w1");
  Submit(id, steps);
  Advance(milliseconds(500));
}

void SliceWorld::Cancel(const std::string& id) {
  store.Put(CancelRow(kSlice, id), "cancelled");
}

void SliceWorld::Advance(milliseconds duration) {
  const core::TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ += kStep;
    AnswerFollowers();
    AnswerRenewals();
    GiveUpCalls();
    const auto due = std::ranges::partition(
        slow_, [this](const auto& item) { return item.first > now_; });
    const std::vector<std::pair<core::TimePoint, StoreCommand>> answers(
        due.begin(), due.end());
    slow_.erase(due.begin(), due.end());
    for (const auto& [at, command] : answers) {
      Deliver(command);
    }
    store.SetTime(now_);
    owner->SetStoreClock(
        {.shown_ms = core::ToMillis(now_.time_since_epoch()), .sent = now_});
    owner->Run(now_, unix_ms);
    ExecuteCommands();
  }
}

void SliceWorld::Deliver(const StoreCommand& command) {
  if (auto answer = store.Run(command)) {
    auto* read = std::get_if<RowsRead>(&*answer);
    if (read != nullptr &&
        std::get<ReadRows>(command).table == JobTableName(slice_)) {
      std::ranges::copy(late_rows, std::back_inserter(read->rows));
    }
    if (read != nullptr &&
        std::get<ReadRows>(command).table == unreadable_table) {
      for (Row& row : read->rows) {
        row.value.clear();
        row.unreadable = true;
      }
    }
    owner->Handle(*answer, now_);
  } else {
    const auto& follow = std::get<FollowRows>(command);
    waiting_.emplace_back(now_ + follow.wait, follow);
  }
}

// Answers calls that wait for a change once it is made or their wait ends.
void SliceWorld::AnswerFollowers() {
  for (const auto& [until, follow] : std::exchange(waiting_, {})) {
    if (const auto answer = store.Run(follow)) {
      owner->Handle(*answer, now_);
    } else if (now_ >= until) {
      owner->Handle(RowsChanged{.call = follow.call, .version = follow.after},
                    now_);
    } else {
      waiting_.emplace_back(until, follow);
    }
  }
}

void SliceWorld::ExecuteCommands() {
  for (const StoreCommand& command : owner->PopStoreCommands()) {
    const auto* read = std::get_if<ReadRows>(&command);
    const bool commit = std::holds_alternative<CommitRows>(command);
    commits += commit ? 1 : 0;
    if (commit && commit_delay > milliseconds(0)) {
      slow_.emplace_back(now_ + commit_delay, command);
    } else if (read != nullptr && read->table == slow_table) {
      slow_.emplace_back(now_ + kSlowAnswer, command);
    } else {
      Deliver(command);
    }
  }
  for (const WorkerCommand& command : owner->PopWorkerCommands()) {
    const auto* renewal = std::get_if<RenewLease>(&command);
    if (renewal != nullptr && renewal->wait > core::Duration()) {
      RenewLease waiting = *renewal;
      workers.Accept(waiting, now_);
      waiting_renewals_.emplace_back(now_ + renewal->wait, std::move(waiting));
    } else {
      Deliver(command);
    }
  }
}

// Answers a waiting renewal once its worker has an end to report or the wait
// is over.
void SliceWorld::AnswerRenewals() {
  for (const auto& [until, renewal] : std::exchange(waiting_renewals_, {})) {
    if (now_ >= until || workers.HasEnds(renewal.to.worker)) {
      Deliver(renewal);
    } else {
      waiting_renewals_.emplace_back(until, renewal);
    }
  }
}

void SliceWorld::Deliver(const WorkerCommand& command) {
  const CallId call = CallOf(command);
  WorkerEvent answer = OrderAnswered{.call = call};
  if (std::holds_alternative<RenewLease>(command)) {
    answer = LeaseAnswered{.call = call};
  }
  answer = workers.Handle(command, now_).value_or(answer);
  const OrderOutcome outcome =
      std::visit([](const auto& event) { return event.outcome; }, answer);
  const std::string& worker = std::visit(
      [](const auto& c) -> const auto& { return c.to.worker; }, command);
  if (outcome == OrderOutcome::kUnanswered) {
    given_up_.emplace_back(now_ + kCallTimeout, std::move(answer));
  } else if (worker == slow_worker) {
    given_up_.emplace_back(now_ + kSlowAnswer, std::move(answer));
  } else if (answer_delay > milliseconds(0)) {
    given_up_.emplace_back(now_ + answer_delay, std::move(answer));
  } else {
    owner->Handle(answer, now_);
  }
}

// Reports unanswered calls to the owner after kCallTimeout.
void SliceWorld::GiveUpCalls() {
  for (const auto& [at, answer] : std::exchange(given_up_, {})) {
    if (now_ >= at) {
      owner->Handle(answer, now_);
    } else {
      given_up_.emplace_back(at, answer);
    }
  }
}

void SliceWorld::OfferRoomElsewhere(RowVersion incoming) {
  owner->SetLoads({SliceLoad{}, SliceLoad{.capacity_millis = 100'000,
                                          .long_running_room_millis = {32'000},
                                          .incoming = incoming}});
}

JobPhase SliceWorld::PhaseOf(const std::string& id) const {
  const auto row = store.Find(ProgressRow(kSlice, id));
  REQUIRE(row.has_value());
  const auto progress = DecodeProgress(row->value);
  REQUIRE(progress.has_value());
  return progress->phase;
}

}  // namespace hickoryusher::jobs
