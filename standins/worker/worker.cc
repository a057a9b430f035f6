#include "worker/worker.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "worker/checkpoint.h"

namespace hickoryusher::standins {
namespace {

constexpr core::Duration kFailAfter = std::chrono::milliseconds(200);

/// Records are compared across workers of one machine, so they use its wall
/// clock; decisions use the monotonic clock.
std::int64_t WallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t ToNanos(core::TimePoint time) {
  return time.time_since_epoch().count();
}

lease::TaskAttempt AttemptOf(const Json::Value& command) {
  return {.task = core::TaskId(command["task"].asUInt64()),
          .attempt = command["attempt"].asUInt()};
}

}  // namespace

std::optional<Behaviour> ParseBehaviour(std::string_view name) {
  constexpr std::pair<std::string_view, Behaviour> kNames[] = {
      {"normal", Behaviour::kNormal},
      {"fail_tasks", Behaviour::kFailTasks},
      {"silent", Behaviour::kSilent},
      {"paused", Behaviour::kPaused},
      {"dead", Behaviour::kDead}};
  const auto* found = std::ranges::find(
      kNames, name, &std::pair<std::string_view, Behaviour>::first);
  return found == std::end(kNames) ? std::nullopt
                                   : std::optional(found->second);
}

Worker::Worker(WorkerOptions options, ObjectSink objects)
    : options_(std::move(options)),
      run_(static_cast<std::uint64_t>(WallMillis())),
      objects_(std::move(objects)) {}

void Worker::SetBehaviour(Behaviour behaviour) {
  const std::lock_guard lock(mutex_);
  const core::TimePoint now = std::chrono::steady_clock::now();
  if (behaviour == Behaviour::kPaused && behaviour_ != behaviour) {
    paused_ms_ = WallMillis();
  }
  behaviour_ = behaviour;
  if (behaviour == Behaviour::kDead) {
    for (auto& [attempt, run] : runs_) {
      End(run, "killed", now);
    }
  }
  RunTimers(now);
  if (behaviour != Behaviour::kPaused) {
    paused_ms_.reset();
  }
}

bool Worker::Answers() const {
  return behaviour_ == Behaviour::kNormal ||
         behaviour_ == Behaviour::kFailTasks;
}

void Worker::Tick(core::TimePoint now) {
  const std::lock_guard lock(mutex_);
  RunTimers(now);
}

void Worker::RunTimers(core::TimePoint now) {
  if (behaviour_ == Behaviour::kPaused) {
    return;
  }
  for (const lease::TaskAttempt attempt : guard_.TakeExpired(now)) {
    if (Run* run = Find(attempt)) {
      End(*run, "stopped", now);
    }
  }
  for (auto& [attempt, run] : runs_) {
    if (run.phase != "running") {
      continue;
    }
    if (behaviour_ == Behaviour::kFailTasks &&
        now - run.started >= kFailAfter) {
      End(run, "failed", now);
    } else if (run.due.has_value() && now >= *run.due) {
      End(run, "done", now);
    }
  }
}

std::optional<Json::Value> Worker::Exchange(const Json::Value& request,
                                            core::TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (!Answers()) {
    return std::nullopt;
  }
  // A worker that was frozen first learns that its lease has ended.
  RunTimers(now);
  const core::Epoch epoch(request["epoch"].asUInt64());
  std::optional<core::TimePoint> echo;
  if (request.isMember("echo_ns")) {
    echo = core::TimePoint(core::Duration(request["echo_ns"].asInt64()));
  }
  if (guard_.Renew(epoch, echo) != lease::Admission::kAccepted) {
    Json::Value reply;
    reply["accepted"] = false;
    reply["epoch"] = Json::UInt64(guard_.newest_epoch().value());
    return reply;
  }
  for (const Json::Value& command : request["commands"]) {
    Command(command, epoch, echo, now);
  }
  return Report(now);
}

void Worker::Command(const Json::Value& command,
                     core::Epoch epoch,
                     std::optional<core::TimePoint> echo,
                     core::TimePoint now) {
  const std::string type = command["type"].asString();
  const lease::TaskAttempt attempt = AttemptOf(command);
  if (type == "start" && echo.has_value()) {
    Start(command, epoch, *echo, now);
  } else if (type == "stop") {
    const lease::Admission admission = guard_.Stop(epoch, attempt, now);
    Run* run = Find(attempt);
    if (admission == lease::Admission::kAccepted && run != nullptr) {
      End(*run, "stopped", now);
    } else if (admission == lease::Admission::kDuplicate && run == nullptr) {
      // Tells the owner that the attempt will never start.
      runs_[attempt] = {.attempt = attempt, .phase = "stopped"};
    }
  } else if (type == "checkpoint") {
    Run* run = Find(attempt);
    if (run != nullptr && run->phase == "running") {
      Checkpoint(*run, now);
    }
  } else if (type == "throttle") {
    throttle_ = command["level"].asInt();
  } else if (type == "ack") {
    const Run* run = Find(attempt);
    if (run != nullptr && run->phase != "running") {
      runs_.erase(attempt);
    }
  }
}

void Worker::Start(const Json::Value& command,
                   core::Epoch epoch,
                   core::TimePoint echo,
                   core::TimePoint now) {
  const lease::TaskAttempt attempt = AttemptOf(command);
  if (guard_.Start(epoch, echo, attempt, now) != lease::Admission::kAccepted) {
    return;
  }
  Run run{.attempt = attempt,
          .size = {.cpu_millis = command["cpu_millis"].asInt64(),
                   .memory_bytes = command["memory_bytes"].asInt64(),
                   .accelerators = command["accelerators"].asInt()},
          .started = now};
  core::Resources assigned = run.size;
  for (const auto& [key, other] : runs_) {
    if (other.phase == "running") {
      assigned += other.size;
    }
  }
  if (command.isMember("run_ms")) {
    run.run_ms = command["run_ms"].asInt64();
  }
  if (!core::Fits(assigned, options_.capacity)) {
    run.phase = "stopped";
    guard_.Ended(attempt, now);
    runs_[attempt] = run;
    return;
  }
  Run& started = runs_[attempt] = run;
  records_.push_back(
      {.attempt = attempt, .epoch = epoch.value(), .started_ms = WallMillis()});
  const std::uint32_t source = command["checkpoint_attempt"].asUInt();
  if (source != 0) {
    Resume(started, source, now);
  } else if (started.run_ms.has_value()) {
    started.due = now + std::chrono::milliseconds(*started.run_ms);
  }
}

void Worker::Checkpoint(Run& run, core::TimePoint now) {
  if (run.checkpointing) {
    return;
  }
  run.checkpointing = true;
  const std::int64_t done_ms =
      run.resumed_ms + core::ToMillis(now - run.started);
  const store::CommandId id(next_object_++);
  if (objects_ &&
      objects_(store::PutObject{.id = id,
                                .name = CheckpointName(run.attempt),
                                .content = EncodeCheckpoint(done_ms)})) {
    object_calls_[id] = {.attempt = run.attempt};
  } else {
    End(run, "stopped", now);
  }
}

void Worker::Resume(Run& run,
                    std::uint32_t checkpoint_attempt,
                    core::TimePoint now) {
  const store::CommandId id(next_object_++);
  if (objects_ &&
      objects_(store::GetObject{
          .id = id,
          .name = CheckpointName(
              {.task = run.attempt.task, .attempt = checkpoint_attempt})})) {
    object_calls_[id] = {.attempt = run.attempt};
  } else {
    End(run, "stopped", now);
  }
}

void Worker::TakeObject(const store::Event& event, core::TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto call = object_calls_.extract(store::IdOf(event));
  Run* run = call.empty() ? nullptr : Find(call.mapped().attempt);
  if (run == nullptr || run->phase != "running") {
    return;
  }
  if (run->checkpointing) {
    const bool stored = std::holds_alternative<store::ObjectStored>(event);
    End(*run, stored ? "checkpointed" : "stopped", now);
  } else {
    TakeCheckpoint(*run, event, now);
  }
}

void Worker::TakeCheckpoint(Run& run,
                            const store::Event& event,
                            core::TimePoint now) {
  const auto* read = std::get_if<store::ObjectRead>(&event);
  const auto done_ms = read != nullptr && read->content.has_value()
                           ? DecodeCheckpoint(*read->content)
                           : std::nullopt;
  if (!done_ms || !run.run_ms) {
    End(run, "stopped", now);
    return;
  }
  run.resumed_ms = *done_ms;
  run.started = now;
  run.due = now + std::chrono::milliseconds(
                      std::max<std::int64_t>(0, *run.run_ms - *done_ms));
  const auto record =
      std::ranges::find(records_, run.attempt, &Record::attempt);
  if (record != records_.end()) {
    record->resumed_ms = *done_ms;
  }
}

void Worker::End(Run& run, std::string_view phase, core::TimePoint now) {
  if (run.phase != "running") {
    return;
  }
  run.phase = phase;
  guard_.Ended(run.attempt, now);
  const auto record =
      std::ranges::find(records_, run.attempt, &Record::attempt);
  if (record != records_.end()) {
    const bool expired = phase == "stopped" && paused_ms_.has_value();
    record->ended_ms = expired ? *paused_ms_ : WallMillis();
    record->end = phase;
  }
}

Worker::Run* Worker::Find(lease::TaskAttempt attempt) {
  const auto found = runs_.find(attempt);
  return found == runs_.end() ? nullptr : &found->second;
}

Json::Value Worker::Report(core::TimePoint now) const {
  Json::Value reply;
  reply["accepted"] = true;
  reply["epoch"] = Json::UInt64(guard_.newest_epoch().value());
  reply["time_ns"] = Json::Int64(ToNanos(now));
  reply["run"] = Json::UInt64(run_);
  reply["throttle"] = throttle_;
  Json::Value& tasks = reply["tasks"] = Json::Value(Json::arrayValue);
  for (const auto& [attempt, run] : runs_) {
    Json::Value& task = tasks.append(Json::Value());
    task["task"] = Json::UInt64(attempt.task.value());
    task["attempt"] = attempt.attempt;
    task["phase"] = run.phase;
    // Usage is reported with a delay: nothing is known of a young task.
    const bool measured = now - run.started >= options_.usage_delay;
    task["cpu_millis"] = Json::Int64(measured ? run.size.cpu_millis : 0);
    task["memory_bytes"] = Json::Int64(measured ? run.size.memory_bytes : 0);
    task["accelerators"] = measured ? run.size.accelerators : 0;
  }
  return reply;
}

Json::Value Worker::Runs() const {
  const std::lock_guard lock(mutex_);
  Json::Value reply;
  reply["worker"] = options_.name;
  Json::Value& list = reply["runs"] = Json::Value(Json::arrayValue);
  for (const Record& record : records_) {
    Json::Value& run = list.append(Json::Value());
    run["task"] = Json::UInt64(record.attempt.task.value());
    run["attempt"] = record.attempt.attempt;
    run["epoch"] = Json::UInt64(record.epoch);
    run["started_ms"] = Json::Int64(record.started_ms);
    run["ended_ms"] = Json::Int64(record.ended_ms);
    run["resumed_ms"] = Json::Int64(record.resumed_ms);
    run["end"] = record.end;
  }
  return reply;
}

}  // namespace hickoryusher::standins
