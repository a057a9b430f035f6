#include "worker/worker.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "worker/checkpoint.h"

namespace hickoryusher::standins {
namespace {

using namespace std::chrono_literals;

/// A worker with the clock and the object store in the test's hands.
struct Bench {
  core::TimePoint now{1h};
  std::vector<store::Command> objects;
  Worker worker{{.name = "w0", .capacity = {.cpu_millis = 2000}},
                [this](store::Command&& command) {
                  objects.push_back(std::move(command));
                  return true;
                }};

  std::optional<Json::Value> Send(std::uint64_t epoch,
                                  core::TimePoint echo,
                                  const Json::Value& command) {
    Json::Value request;
    request["epoch"] = Json::UInt64(epoch);
    request["echo_ns"] = Json::Int64(echo.time_since_epoch().count());
    if (!command.isNull()) {
      request["commands"].append(command);
    }
    return worker.Exchange(request, now);
  }
  std::string PhaseOf(int task) {
    const auto report = Send(1, now, {});
    REQUIRE(report.has_value());
    for (const Json::Value& found : (*report)["tasks"]) {
      if (found["task"].asInt() == task) {
        return found["phase"].asString();
      }
    }
    return "absent";
  }
};

Json::Value Order(const std::string& type, int task, int attempt) {
  Json::Value order;
  order["type"] = type;
  order["task"] = task;
  order["attempt"] = attempt;
  return order;
}

Json::Value Start(int task, int attempt, int checkpoint_attempt) {
  Json::Value order = Order("start", task, attempt);
  order["cpu_millis"] = 1500;
  order["run_ms"] = 5000;
  order["checkpoint_attempt"] = checkpoint_attempt;
  return order;
}

// Guards against tasks that outlive the lease or run above the capacity.
TEST_CASE("a worker ends its tasks with the lease and checks its capacity") {
  Bench bench;
  bench.Send(1, bench.now, Start(1, 1, 0));
  bench.Send(1, bench.now, Start(2, 1, 0));
  CHECK(bench.PhaseOf(1) == "running");
  CHECK(bench.PhaseOf(2) == "stopped");
  bench.now += 12s;
  bench.worker.Tick(bench.now);
  CHECK(bench.worker.Runs()["runs"].size() == 1);
  CHECK(bench.PhaseOf(1) != "running");
}

// Guards against an earlier owner, or a late command, that starts a task.
TEST_CASE("old epochs and late starts have no effect") {
  Bench bench;
  bench.Send(2, bench.now, {});
  const auto reply = bench.Send(1, bench.now, Start(1, 1, 0));
  REQUIRE(reply.has_value());
  CHECK_FALSE((*reply)["accepted"].asBool());
  CHECK((*reply)["epoch"].asUInt64() == 2);
  bench.Send(2, bench.now - 12s, Start(2, 1, 0));
  CHECK(bench.worker.Runs()["runs"].empty());
}

// Guards against a checkpoint that counts before it is stored.
TEST_CASE("an attempt is checkpointed once the object is stored") {
  Bench bench;
  bench.Send(1, bench.now, Start(1, 1, 0));
  bench.now += 2s;
  bench.Send(1, bench.now, Order("checkpoint", 1, 1));
  CHECK(bench.PhaseOf(1) == "running");
  REQUIRE(bench.objects.size() == 1);
  const auto* put = std::get_if<store::PutObject>(&bench.objects[0]);
  REQUIRE(put != nullptr);
  CHECK(put->name == "checkpoint/1/1");
  CHECK(DecodeCheckpoint(put->content) == 2000);
  SECTION("stored") {
    bench.worker.TakeObject(store::ObjectStored{.id = put->id}, bench.now);
    CHECK(bench.PhaseOf(1) == "checkpointed");
  }
  SECTION("no answer") {
    bench.worker.TakeObject(store::TimedOut{.id = put->id}, bench.now);
    CHECK(bench.PhaseOf(1) == "stopped");
  }
}

// Guards against work that resumes from a cut, damaged or missing checkpoint.
TEST_CASE("a task resumes only from a whole checkpoint") {
  const std::string whole = EncodeCheckpoint(4000);
  std::string damaged = whole;
  damaged.back() = '9';
  struct Row {
    std::optional<std::string> content;
    std::string phase;  ///< One second after the start.
  };
  const Row rows[] = {{whole, "done"},
                      {whole.substr(0, whole.size() - 1), "stopped"},
                      {damaged, "stopped"},
                      {"", "stopped"},
                      {std::nullopt, "stopped"}};
  for (const Row& row : rows) {
    Bench bench;
    bench.Send(1, bench.now, Start(1, 2, 1));
    REQUIRE(bench.objects.size() == 1);
    bench.worker.TakeObject(
        store::ObjectRead{.id = store::IdOf(bench.objects[0]),
                          .content = row.content},
        bench.now);
    bench.now += 1s;
    INFO(row.content.value_or("missing"));
    CHECK(bench.PhaseOf(1) == row.phase);
  }
}

}  // namespace
}  // namespace hickoryusher::standins
