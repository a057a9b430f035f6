#include "ctl/story.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "core/log_line.h"
#include "ctl/command.h"
#include "ctl/log_reader.h"

namespace hickoryusher::ctl {
namespace {

using Catch::Matchers::Contains;

std::string Line(const std::string& second, const core::LogLine& line) {
  return "time=2026-12-04T10:00:" + second + " " + std::string(line.text());
}

std::string Tell(const std::string& id, const std::vector<std::string>& lines) {
  Story story(id);
  for (const std::string& line : lines) {
    auto entry = ParseLogLine(line);
    REQUIRE(entry.has_value());
    story.Take(*std::move(entry));
  }
  std::ostringstream out;
  return story.Print(out) ? out.str() : "";
}

TEST_CASE("what is written as a log line is read back", "[why]") {
  const std::string hostile = "a \"b\" \\ c=d\n\xff";
  const auto entry = ParseLogLine(Line("01.250", core::LogLine("job_stored")
                                                     .Add("job", "j1")
                                                     .Add("detail", hostile)
                                                     .Add("empty", "")));
  REQUIRE(entry.has_value());
  CHECK(entry->event() == "job_stored");
  CHECK(entry->Find("job") == "j1");
  CHECK(entry->Find("detail") == hostile);
  CHECK(entry->Find("empty").empty());
  CHECK(entry->Find("absent").empty());
}

TEST_CASE("text before the time names the source", "[why]") {
  const auto entry =
      ParseLogLine("12.5 n-1 " + Line("01.250", core::LogLine("job_stored")));
  REQUIRE(entry.has_value());
  CHECK(entry->source == "12.5 n-1");
}

// A line that is cut off must not be taken for a shorter one.
TEST_CASE("lines of other programs and damaged lines are told apart", "[why]") {
  CHECK_FALSE(ParseLogLine("").has_value());
  CHECK_FALSE(ParseLogLine("started").has_value());
  CHECK_FALSE(ParseLogLine("time=2026-12-04T10:00:00.000").has_value());
  CHECK_FALSE(ParseLogLine("time=2026-12-04 event=a").has_value());
  CHECK_FALSE(ParseLogLine("time=2026-13-04T10:00:00.000 event=a").has_value());
  const std::string cut =
      Line("00.000", core::LogLine("a")) + " detail=\"half \\x0";
  CHECK_FALSE(ParseLogLine(cut).has_value());
}

TEST_CASE("a job's story is in order of time, with what it adds up to",
          "[why]") {
  const std::string told = Tell(
      "j1",
      {Line("05.000", core::LogLine("run_ended")
                          .Add("task", "j1.0.0.0")
                          .Add("run", 2)
                          .Add("worker", "w2")
                          .Add("how", "done")),
       Line("00.000", core::LogLine("job_stored").Add("job", "j1")),
       Line("00.100",
            core::LogLine("job_taken").Add("job", "j1").Add("slice", "s-0")),
       Line("01.500", core::LogLine("task_placed")
                          .Add("task", "j1.0.0.0")
                          .Add("worker", "w1")),
       Line("02.000", core::LogLine("pace_changed")
                          .Add("task", "j1.0.0.0")
                          .Add("percent", 50)),
       Line("04.000", core::LogLine("run_ended")
                          .Add("task", "j1.0.0.0")
                          .Add("worker", "w1")
                          .Add("how", "stopped")),
       Line("05.100", core::LogLine("job_closed")
                          .Add("job", "j1")
                          .Add("phase", "completed")
                          .Add("late_ms", 1200))});
  CHECK(told.find("job_stored") < told.find("job_taken"));
  CHECK(told.find("how=stopped") < told.find("how=done"));
  CHECK_THAT(told, Contains("first start after: 1.500 s"));
  CHECK_THAT(told, Contains("runs ended stopped: 1"));
  CHECK_THAT(told, Contains("work put off by pace: 1.000 s"));
  CHECK_THAT(told, Contains("closed: completed, 1.200 s after its objective"));
}

TEST_CASE("what happened to its workers and its slice is part of a story",
          "[why]") {
  const std::string told = Tell(
      "j1",
      {Line("00.000",
            core::LogLine("job_taken").Add("job", "j1").Add("slice", "s-0")),
       Line("01.000", core::LogLine("task_placed")
                          .Add("task", "j1.0.0.0")
                          .Add("worker", "w1")),
       Line("02.000", core::LogLine("worker_contact")
                          .Add("worker", "w1")
                          .Add("state", "silent")),
       Line("02.100", core::LogLine("worker_contact")
                          .Add("worker", "w9")
                          .Add("state", "lapsed")),
       Line("02.200", core::LogLine("slice_ownership")
                          .Add("slice", "s-0")
                          .Add("state", "owning")),
       Line("03.000", core::LogLine("run_ended")
                          .Add("task", "j1.0.0.0")
                          .Add("how", "lapsed")),
       Line("09.000", core::LogLine("worker_contact")
                          .Add("worker", "w1")
                          .Add("state", "live"))});
  CHECK_THAT(told, Contains("state=silent"));
  CHECK_THAT(told, Contains("slice_ownership"));
  CHECK_THAT(told, !Contains("w9"));
  CHECK_THAT(told, !Contains("state=live"));
}

TEST_CASE("a refused call is found by the id in its path", "[why]") {
  const std::string told =
      Tell("j1", {Line("00.000", core::LogLine("call_refused")
                                     .Add("path", "/diary/j1")
                                     .Add("reason", "no_capacity"))});
  CHECK_THAT(told, Contains("call_refused no_capacity: 1"));
}

// An id that another one begins with is not the same.
TEST_CASE("other ids are left out", "[why]") {
  CHECK(Tell("j1",
             {Line("00.000", core::LogLine("job_stored").Add("job", "j12"))})
            .empty());
}

core::LogLine State(int waiting, int running, int long_running) {
  return core::LogLine("evacuation_state")
      .Add("failure_domain", "yoff")
      .Add("slice", "yoff-0")
      .Add("waiting_jobs", waiting)
      .Add("running_tasks", running)
      .Add("running_long_running", long_running)
      .Add("transferred_jobs", 0);
}

core::LogLine Transfer(const std::string& reason,
                       const std::string& from,
                       const std::string& to,
                       int jobs) {
  return core::LogLine("jobs_transferred")
      .Add("reason", reason)
      .Add("from", from)
      .Add("to", to)
      .Add("jobs", jobs);
}

core::LogLine Request(bool ended, int version) {
  return core::LogLine(ended ? "evacuation_ended" : "evacuation_requested")
      .Add("failure_domain", "yoff")
      .Add("row_version", version);
}

// Guards R12, and against lines of several processes about one row that count
// as several evacuations: a process that restarts logs the request again, one
// that has lost the history logs the end with the version of the row, and a
// slow one logs the first evacuation after the second.
TEST_CASE("a domain's evacuations are summed up", "[why]") {
  const std::string told = Tell(
      "yoff",
      {Line("00.000", Request(false, 5)), Line("00.100", Request(false, 5)),
       Line("00.200", core::LogLine("slice_evacuation")
                          .Add("slice", "yoff-0")
                          .Add("evacuated", true)
                          .Add("epoch", 3)),
       Line("00.200", State(9, 8, 2)),
       Line("00.300", Transfer("evacuated", "yoff-0", "quad-0", 4)),
       Line("00.400", Transfer("evacuated", "yoff-0", "quad-0", 3)),
       Line("00.500", Transfer("evacuated", "yoff-0", "tpe-0", 2)),
       Line("00.600", Transfer("evacuated", "yoff-a-0", "tpe-0", 100)),
       Line("00.700", Transfer("no_worker_fits", "yoff-0", "tpe-0", 1)),
       Line("02.200", State(0, 3, 1)), Line("03.000", Request(false, 6)),
       Line("04.000", Request(true, 9)), Line("04.100", Request(true, 6)),
       Line("08.000", Request(false, 12)), Line("08.500", Request(false, 5)),
       Line("08.600", Transfer("evacuated", "yoff-0", "quad-0", 6))});
  CHECK_THAT(told, Contains("event=slice_evacuation slice=yoff-0"));
  CHECK_THAT(told, !Contains("event=evacuation_state"));
  CHECK_THAT(told, !Contains("yoff-a-0"));
  CHECK_THAT(
      told,
      Catch::Matchers::EndsWith(
          "evacuation requested at +0.000 s, ended at +4.000 s\n"
          "  jobs transferred to quad-0: 7\n"
          "  jobs transferred to tpe-0: 2\n"
          "  left at +2.200 s: 0 waiting jobs, 3 running tasks, 1 of them "
          "long-running\n"
          "evacuation requested at +8.000 s, not ended\n"
          "  jobs transferred to quad-0: 6\n"
          "jobs transferred to tpe-0, no_worker_fits: 1\n"));
}

TEST_CASE("the command line of why is checked", "[why]") {
  CommandLine line;
  const auto invocation =
      line.Parse(std::vector<std::string>{"why", "j1", "a.log", "b.log"});
  REQUIRE(invocation.has_value());
  const auto& why = std::get<Why>(invocation->command);
  CHECK(why.id == "j1");
  CHECK(why.files == std::vector<std::string>{"a.log", "b.log"});
  CHECK_FALSE(line.Parse(std::vector<std::string>{"why"}).has_value());
  CHECK(line.last_error() == "expected: why ID [FILE...]");
}

}  // namespace
}  // namespace hickoryusher::ctl
