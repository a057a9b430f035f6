#include "job_api_p.h"

#include <json/value.h>

#include <utility>

#include "fleet_codec_p.h"
#include "key_codec_p.h"

namespace hickoryusher::entry {
namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;

std::string ReasonBody(std::string_view reason) {
  Json::Value value;
  value["reason"] = std::string(reason);
  return WriteJson(value);
}

std::string MistakesBody(const std::vector<std::string>& mistakes) {
  Json::Value value;
  value["reason"] = "bad_job";
  Json::Value& list = value["mistakes"] = Json::Value(Json::arrayValue);
  for (const std::string& mistake : mistakes) {
    list.append(mistake);
  }
  return WriteJson(value);
}

std::string CountsBody(const JobRecord& job, const store::RangeRead& tasks) {
  Json::Value value = ParseJson(EncodeJob(job));
  std::map<std::string, std::uint32_t> counts;
  for (const store::Row& row : tasks.rows) {
    const Json::Value task = ParseJson(row.value);
    if (task.isObject() && task["state"].isString()) {
      ++counts[task["state"].asString()];
    }
  }
  value["claimed"] = counts["claimed"];
  value["done"] = counts["done"];
  value["failed"] = counts["failed"];
  value["stopped"] = counts["cancelled"];
  return WriteJson(value);
}

}  // namespace

bool IsJobPath(std::string_view path) {
  return path.starts_with(kJobsPath) &&
         (path.size() == kJobsPath.size() || path[kJobsPath.size()] == '/');
}

template <typename Command>
void JobApi::Issue(core::RequestId request, Command command, Step step) {
  command.id = store::CommandId(next_id_++);
  pending_.emplace(command.id,
                   Pending{.request = request, .step = std::move(step)});
  commands_.emplace_back(std::move(command));
}

std::vector<store::Command> JobApi::TakeCommands() {
  return std::exchange(commands_, {});
}

std::vector<http::Response> JobApi::TakeResponses() {
  return std::exchange(responses_, {});
}

void JobApi::Respond(core::RequestId request, int status, std::string body) {
  http::Response response{.id = request,
                          .status = status,
                          .headers = {{"Content-Type", "application/json"}},
                          .body = std::move(body)};
  if (status == kUnavailable) {
    response.headers.push_back({"Retry-After", "1"});
  }
  responses_.push_back(std::move(response));
}

void JobApi::Fail(core::RequestId request,
                  const store::Event& event,
                  bool wrote) {
  // A write without an answer may have taken effect.
  if (wrote && std::holds_alternative<store::TimedOut>(event)) {
    Respond(request, kTimeout, ReasonBody("unknown"));
  } else {
    Respond(request, kUnavailable, ReasonBody("store_unavailable"));
  }
}

void JobApi::Handle(const http::IncomingRequest& request,
                    std::int64_t unix_ms) {
  const std::string_view path = request.path;
  if (path == kJobsPath) {
    if (request.method == "POST") {
      Submit(request, unix_ms);
    } else {
      Respond(request.id, kMethodNotAllowed, ReasonBody("use POST"));
    }
    return;
  }
  const std::string_view id = path.substr(kJobsPath.size() + 1);
  if (!IsValidJobId(id)) {
    Respond(request.id, kBadRequest, ReasonBody("bad job id"));
    return;
  }
  store::ReadRow read{.key = JobKey(fleet_.domain(), id)};
  if (request.method == "GET") {
    Issue(request.id, std::move(read), Showing{});
  } else if (request.method == "DELETE") {
    Issue(request.id, std::move(read), FindingOpen{});
  } else {
    Respond(request.id, kMethodNotAllowed, ReasonBody("use GET or DELETE"));
  }
}

void JobApi::Submit(const http::IncomingRequest& request,
                    std::int64_t unix_ms) {
  std::vector<std::string> mistakes;
  const auto parsed = ParseJobRequest(request.body, mistakes);
  if (!parsed) {
    Respond(request.id, kBadRequest, MistakesBody(mistakes));
    return;
  }
  if (fleet_.workers().empty()) {
    Respond(request.id, kUnprocessable,
            ReasonBody("no workers in this failure domain"));
    return;
  }
  const core::SliceId slice = fleet_.SliceFor(parsed->id, parsed->size);
  if (!slice.valid()) {
    Respond(request.id, kUnprocessable, ReasonBody("larger than every worker"));
    return;
  }
  const JobRecord job{
      .request = *parsed, .slice = slice, .submitted_unix_ms = unix_ms};
  const std::string key = JobKey(fleet_.domain(), parsed->id);
  const std::string value = EncodeJob(job);
  Issue(request.id,
        store::Transact{
            .conditions = {{.key = key, .version = store::kAbsent}},
            .puts = {{.key = key, .value = value},
                     {.key = OpenKey(fleet_.domain(), slice, parsed->id),
                      .value = value}}},
        Inserting{job});
}

void JobApi::Handle(const store::Event& event) {
  const auto found = pending_.extract(store::IdOf(event));
  if (!found.empty()) {
    std::visit(
        [&](const auto& step) { Finish(found.mapped().request, step, event); },
        found.mapped().step);
  }
}

void JobApi::Finish(core::RequestId request,
                    const Inserting& step,
                    const store::Event& event) {
  const bool conflict = std::holds_alternative<store::Conflicted>(event);
  if (std::holds_alternative<store::Committed>(event)) {
    Respond(request, kCreated, EncodeJob(step.job));
  } else if (conflict || std::holds_alternative<store::TimedOut>(event)) {
    Issue(request,
          store::ReadRow{.key = JobKey(fleet_.domain(), step.job.request.id)},
          Comparing{.job = step.job, .conflict = conflict});
  } else {
    Fail(request, event, false);
  }
}

void JobApi::Finish(core::RequestId request,
                    const Comparing& step,
                    const store::Event& event) {
  const auto* read = std::get_if<store::RowRead>(&event);
  if (read == nullptr || !read->row) {
    // The transaction may still take effect after this read.
    Respond(request, kTimeout, ReasonBody("unknown"));
    return;
  }
  const auto present = DecodeJob(read->row->value, read->row->version);
  if (!present || present->request != step.job.request) {
    Respond(request, kConflict, ReasonBody("another job has this id"));
    return;
  }
  Respond(request, step.conflict ? kOk : kCreated, read->row->value);
}

std::optional<JobRecord> JobApi::TakeJob(core::RequestId request,
                                         const store::Event& event) {
  const auto* read = std::get_if<store::RowRead>(&event);
  if (read == nullptr) {
    Fail(request, event, false);
    return std::nullopt;
  }
  if (!read->row) {
    Respond(request, kNotFound, ReasonBody("no such job"));
    return std::nullopt;
  }
  auto job = DecodeJob(read->row->value, read->row->version);
  if (!job) {
    Respond(request, kUnavailable, ReasonBody("unreadable row"));
  }
  return job;
}

void JobApi::Finish(core::RequestId request,
                    const Showing& /*step*/,
                    const store::Event& event) {
  const auto job = TakeJob(request, event);
  if (!job) {
    return;
  }
  if (job->state != JobState::kOpen) {
    Respond(request, kOk, EncodeJob(*job));
    return;
  }
  Issue(request,
        store::ReadRange{
            .prefix = JobTaskPrefix(fleet_.domain(), job->slice, job->number)},
        Counting{*job});
}

void JobApi::Finish(core::RequestId request,
                    const Counting& step,
                    const store::Event& event) {
  if (const auto* read = std::get_if<store::RangeRead>(&event)) {
    Respond(request, kOk, CountsBody(step.job, *read));
  } else {
    Fail(request, event, false);
  }
}

void JobApi::Finish(core::RequestId request,
                    const FindingOpen& /*step*/,
                    const store::Event& event) {
  const auto job = TakeJob(request, event);
  if (!job) {
    return;
  }
  if (job->state != JobState::kOpen) {
    Respond(request, kConflict,
            ReasonBody("the job is " + std::string(ToString(job->state))));
    return;
  }
  Issue(request,
        store::ReadRow{
            .key = OpenKey(fleet_.domain(), job->slice, job->request.id)},
        ReadingOpen{*job});
}

void JobApi::Finish(core::RequestId request,
                    const ReadingOpen& step,
                    const store::Event& event) {
  const auto* read = std::get_if<store::RowRead>(&event);
  if (read == nullptr) {
    Fail(request, event, false);
    return;
  }
  if (!read->row) {
    Respond(request, kConflict, ReasonBody("the job has ended"));
    return;
  }
  JobRecord job = step.job;
  job.cancelled = true;
  Issue(request,
        store::Transact{
            .conditions = {{.key = read->row->key,
                            .version = read->row->version}},
            .puts = {{.key = read->row->key, .value = EncodeJob(job)}}},
        Cancelling{});
}

void JobApi::Finish(core::RequestId request,
                    const Cancelling& /*step*/,
                    const store::Event& event) {
  if (std::holds_alternative<store::Committed>(event)) {
    Respond(request, kAccepted, ReasonBody("cancelling"));
  } else if (std::holds_alternative<store::Conflicted>(event)) {
    Respond(request, kConflict, ReasonBody("the job changed; try again"));
  } else {
    Fail(request, event, true);
  }
}

}  // namespace hickoryusher::entry
