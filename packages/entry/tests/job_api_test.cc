#include "job_api_p.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "store_fake/fake_platform.h"

namespace hickoryusher::entry {
namespace {

using namespace std::chrono_literals;

config::ProcessSettings Settings() {
  config::ProcessSettings settings;
  settings.entry = "e0";
  settings.entries = {{.name = "e0", .failure_domain = "d0"}};
  settings.workers = {{.name = "w0",
                       .rack = "r0",
                       .failure_domain = "d0",
                       .cpu_millis = 4000,
                       .memory_bytes = 1000},
                      {.name = "far",
                       .rack = "r0",
                       .failure_domain = "d1",
                       .cpu_millis = 90'000,
                       .memory_bytes = 90'000}};
  return settings;
}

std::string Job(std::string_view id, int cpu_millis, int tasks) {
  return R"({"id":")" + std::string(id) +
         R"(","kind":"batch","team":"t","expected_run_ms":10,"memory_bytes":1,)"
         R"("cpu_millis":)" +
         std::to_string(cpu_millis) + R"(,"tasks":)" + std::to_string(tasks) +
         "}";
}

/// The API against the platform in memory.
struct Bench {
  Fleet fleet{Settings()};
  JobApi api{fleet, 1};
  store::FakePlatform platform;
  core::TimePoint now{1h};

  http::Response Call(std::string_view method,
                      std::string_view path,
                      std::string_view body) {
    api.Handle({.id = core::RequestId(7),
                .method = std::string(method),
                .path = std::string(path),
                .body = std::string(body)},
               1000);
    for (int round = 0; round < 10; ++round) {
      for (store::Command& command : api.TakeCommands()) {
        platform.Send(now, std::move(command));
      }
      now += 3s;
      for (const store::Event& event : platform.Advance(now)) {
        api.Handle(event);
      }
    }
    auto responses = api.TakeResponses();
    REQUIRE(responses.size() == 1);
    CHECK(responses[0].id == core::RequestId(7));
    return responses[0];
  }
  int Submit(std::string_view body) {
    return Call("POST", kJobsPath, body).status;
  }
};

// Guards against a job that is accepted twice, or accepted without its rows.
TEST_CASE("a job is accepted once under its id") {
  Bench bench;
  CHECK(bench.Submit(Job("a", 1000, 2)) == 201);
  CHECK(bench.platform.Find("job/d0/a").has_value());
  CHECK(bench.platform.Find("job_open/d0/0/a").has_value());
  CHECK(bench.Submit(Job("a", 1000, 2)) == 200);
  CHECK(bench.Submit(Job("a", 1000, 3)) == 409);
}

// Guards against "accepted" without a row and "not run" with one.
TEST_CASE(
    "the answer follows the table when its answer is lost or it is down") {
  Bench bench;
  bench.platform.Switch({.lost_answers = 1});
  CHECK(bench.Submit(Job("lost", 1000, 1)) == 201);
  CHECK(bench.platform.Find("job/d0/lost").has_value());
  bench.platform.Switch({.outage = true});
  CHECK(bench.Submit(Job("down", 1000, 1)) == 503);
  bench.platform.Switch({.delay = 10s});
  CHECK(bench.Submit(Job("slow", 1000, 1)) == 504);
}

// Guards against bad input that is accepted or that gives no reason.
TEST_CASE("bad jobs are refused with the reason") {
  struct Row {
    std::string body;
    int status;
    std::string_view reason;
  };
  const Row rows[] = {
      {"", 400, "expected a JSON object"},
      {"[]", 400, "expected a JSON object"},
      {std::string(3000, '['), 400, "expected a JSON object"},
      {"{}", 400, "memory_bytes: expected an integer"},
      {Job("a/b", 1, 1), 400, "id: expected 1 to 64"},
      {Job(std::string(65, 'a'), 1, 1), 400, "id: expected 1 to 64"},
      {Job("a", 0, 1), 400, "cpu_millis: expected an integer from 1"},
      {Job("a", 1, 1001), 400, "tasks: expected an integer from 1 to 1000"},
      {R"({"shelf":1})", 400, "shelf: unknown key"},
      {R"({"urgent":1})", 400, "urgent: expected true or false"},
      {R"({"kind":"service"})", 400, "kind: expected batch or watcher"},
      {Job("a", 4001, 1), 422, "larger than every worker"}};
  for (const Row& row : rows) {
    Bench bench;
    const http::Response response = bench.Call("POST", kJobsPath, row.body);
    INFO(row.body.substr(0, 80) << " -> " << response.body);
    CHECK(response.status == row.status);
    CHECK(response.body.find(row.reason) != std::string::npos);
  }
}

// Guards against paths and methods that get no answer or the wrong one.
TEST_CASE("unknown jobs, ids and methods get a clear status") {
  Bench bench;
  CHECK(bench.Call("GET", "/v1/jobs/none", "").status == 404);
  CHECK(bench.Call("DELETE", "/v1/jobs/none", "").status == 404);
  CHECK(bench.Call("GET", "/v1/jobs/", "").status == 400);
  CHECK(bench.Call("GET", "/v1/jobs/a%20b", "").status == 400);
  CHECK(bench.Call("PUT", "/v1/jobs/a", "").status == 405);
  CHECK(bench.Call("GET", "/v1/jobs", "").status == 405);
  CHECK_FALSE(IsJobPath("/v1/jobsx"));
  CHECK_FALSE(IsJobPath("/v1/services/jobs"));
}

// Guards against a cancellation that is not on record, and a number of the job
// that changes with its row.
TEST_CASE("a cancelled job keeps its number") {
  Bench bench;
  CHECK(bench.Submit(Job("a", 1000, 1)) == 201);
  const auto before = bench.platform.Find("job_open/d0/0/a");
  CHECK(bench.Call("DELETE", "/v1/jobs/a", "").status == 202);
  const auto after = bench.platform.Find("job_open/d0/0/a");
  REQUIRE((before && after));
  const auto job = DecodeJob(after->value, after->version);
  REQUIRE(job.has_value());
  CHECK(job->cancelled);
  CHECK(job->number == before->version);
  CHECK(after->version > before->version);
}

}  // namespace
}  // namespace hickoryusher::entry
