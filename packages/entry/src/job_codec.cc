#include "job_codec_p.h"

#include <json/value.h>

#include <algorithm>
#include <limits>

#include "key_codec_p.h"

namespace hickoryusher::entry {
namespace {

constexpr std::int64_t kMaxRunMillis = 30LL * 24 * 3600 * 1000;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::string_view kKeys[] = {
    "id",          "kind",         "team",         "program",
    "cpu_millis",  "memory_bytes", "accelerators", "expected_run_ms",
    "deadline_ms", "tasks",        "urgent"};
constexpr JobState kStates[] = {JobState::kOpen, JobState::kDone,
                                JobState::kFailed, JobState::kCancelled,
                                JobState::kRefused};

struct Range {
  std::int64_t least = 0;
  std::int64_t most = std::numeric_limits<std::int64_t>::max();
};

/// Reads members and collects every fault.
class FieldReader {
 public:
  FieldReader(const Json::Value& value, std::vector<std::string>& problems)
      : value_(value), problems_(problems) {}

  std::int64_t Integer(const char* key,
                       Range range,
                       std::optional<std::int64_t> fallback) {
    if (!value_.isMember(key) && fallback) {
      return *fallback;
    }
    const Json::Value& member = value_[key];
    if (!member.isInt64() || member.asInt64() < range.least ||
        member.asInt64() > range.most) {
      problems_.push_back(std::string(key) + ": expected an integer from " +
                          std::to_string(range.least) + " to " +
                          std::to_string(range.most));
      return range.least;
    }
    return member.asInt64();
  }

  std::string Name(const char* key, std::optional<std::string> fallback) {
    if (!value_.isMember(key) && fallback) {
      return *fallback;
    }
    const Json::Value& member = value_[key];
    if (!member.isString() || !IsValidJobId(member.asString())) {
      problems_.push_back(std::string(key) +
                          ": expected 1 to 64 letters, digits, '.', '-', '_'");
      return {};
    }
    return member.asString();
  }

 private:
  const Json::Value& value_;
  std::vector<std::string>& problems_;
};

core::WorkClass ReadKind(const Json::Value& value,
                         std::vector<std::string>& problems) {
  const Json::Value& kind = value["kind"];
  if (kind.isString() && kind.asString() == "watcher") {
    return core::WorkClass::kWatcher;
  }
  if (!kind.isString() || kind.asString() != "batch") {
    problems.emplace_back("kind: expected batch or watcher");
  }
  return core::WorkClass::kBatch;
}

JobRequest ReadRequest(const Json::Value& value,
                       std::vector<std::string>& problems) {
  FieldReader reader(value, problems);
  JobRequest request;
  request.id = reader.Name("id", std::nullopt);
  request.work_class = ReadKind(value, problems);
  request.team = reader.Name("team", std::nullopt);
  request.program = reader.Name("program", request.id);
  request.size = {
      .cpu_millis = reader.Integer("cpu_millis", {.least = 1}, std::nullopt),
      .memory_bytes =
          reader.Integer("memory_bytes", {.least = 1}, std::nullopt),
      .accelerators = static_cast<std::int32_t>(
          reader.Integer("accelerators", {.most = 1024}, 0))};
  const bool watcher = request.work_class == core::WorkClass::kWatcher;
  request.expected_run_ms = reader.Integer(
      "expected_run_ms", {.least = watcher ? 0 : 1, .most = kMaxRunMillis},
      watcher ? std::optional<std::int64_t>(0) : std::nullopt);
  request.deadline_ms =
      reader.Integer("deadline_ms", {.most = kMaxRunMillis}, 0);
  request.tasks = static_cast<std::uint32_t>(
      reader.Integer("tasks", {.least = 1, .most = kTaskLimit}, 1));
  const Json::Value& urgent = value["urgent"];
  if (!urgent.isNull() && !urgent.isBool()) {
    problems.emplace_back("urgent: expected true or false");
  } else {
    request.urgent = urgent.asBool();
  }
  return request;
}

}  // namespace

std::string_view ToString(JobState state) {
  switch (state) {
    case JobState::kOpen:
      return "open";
    case JobState::kDone:
      return "done";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
    case JobState::kRefused:
      return "refused";
  }
  return "open";
}

bool IsValidJobId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxNameBytes &&
         std::ranges::all_of(id, [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
         });
}

std::optional<JobRequest> ParseJobRequest(std::string_view body,
                                          std::vector<std::string>& problems) {
  const Json::Value value = ParseJson(body);
  if (!value.isObject()) {
    problems.emplace_back("body: expected a JSON object");
    return std::nullopt;
  }
  for (const std::string& key : value.getMemberNames()) {
    if (std::ranges::find(kKeys, key) == std::end(kKeys)) {
      problems.push_back(key.substr(0, kMaxNameBytes) + ": unknown key");
    }
  }
  JobRequest request = ReadRequest(value, problems);
  return problems.empty() ? std::optional(std::move(request)) : std::nullopt;
}

std::string EncodeJob(const JobRecord& job) {
  Json::Value value(Json::objectValue);
  const JobRequest& request = job.request;
  value["id"] = request.id;
  value["kind"] = std::string(
      request.work_class == core::WorkClass::kWatcher ? "watcher" : "batch");
  value["team"] = request.team;
  value["program"] = request.program;
  value["cpu_millis"] = Json::Int64(request.size.cpu_millis);
  value["memory_bytes"] = Json::Int64(request.size.memory_bytes);
  value["accelerators"] = request.size.accelerators;
  value["expected_run_ms"] = Json::Int64(request.expected_run_ms);
  value["deadline_ms"] = Json::Int64(request.deadline_ms);
  value["tasks"] = request.tasks;
  value["urgent"] = request.urgent;
  value["slice"] = job.slice.value();
  if (job.number != 0) {
    value["number"] = Json::UInt64(job.number);
  }
  value["submitted_unix_ms"] = Json::Int64(job.submitted_unix_ms);
  value["cancelled"] = job.cancelled;
  value["state"] = std::string(ToString(job.state));
  value["reason"] = job.reason;
  value["done"] = job.done;
  value["failed"] = job.failed;
  value["stopped"] = job.stopped;
  return WriteJson(value);
}

std::optional<JobRecord> DecodeJob(std::string_view text,
                                   std::uint64_t version) {
  const Json::Value value = ParseJson(text);
  if (!value.isObject()) {
    return std::nullopt;
  }
  try {
    std::vector<std::string> problems;
    JobRecord job{.request = ReadRequest(value, problems)};
    const std::string state = value["state"].asString();
    const auto* found = std::ranges::find(
        kStates, state, [](JobState s) { return ToString(s); });
    if (!problems.empty() || !value["slice"].isUInt() ||
        found == std::end(kStates)) {
      return std::nullopt;
    }
    job.state = *found;
    job.slice = core::SliceId(value["slice"].asUInt());
    job.number =
        value.isMember("number") ? value["number"].asUInt64() : version;
    job.submitted_unix_ms = value["submitted_unix_ms"].asInt64();
    job.cancelled = value["cancelled"].asBool();
    job.reason = value["reason"].asString();
    job.done = value["done"].asUInt();
    job.failed = value["failed"].asUInt();
    job.stopped = value["stopped"].asUInt();
    return job;
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

core::TaskId TaskOf(std::uint64_t number, std::uint32_t index) {
  return core::TaskId(number * kMaxTasks + index);
}

std::uint64_t JobNumberOf(core::TaskId task) {
  return task.value() / kMaxTasks;
}

}  // namespace hickoryusher::entry
