#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "operator_rows_p.h"
#include "runtime/ring.h"

namespace hickoryusher::jobs_process {
namespace {

using namespace std::chrono_literals;
using jobs::FailureDomains;
using jobs::OperatorState;
using jobs::Row;
using jobs::TableChanges;
using jobs::TableSnapshot;

Row MakeRow(std::string key, jobs::RowVersion version, std::string value = {}) {
  return {.key = {.table = "op", .part = {}, .key = std::move(key)},
          .value = std::move(value),
          .version = version};
}

Row Removed(std::string key, jobs::RowVersion version) {
  Row row = MakeRow(std::move(key), version);
  row.removed = true;
  return row;
}

/// Rows whose configuration is its version as text; "x" is unreadable.
class Rows {
 public:
  bool Update(const jobs::TableUpdate& update) { return rows_.Update(update); }
  const OperatorState& state() const { return rows_.state(); }
  const FailureDomains& evacuated() const { return state().evacuated; }

  /// @returns the lines since the last call.
  std::vector<std::string> PopLog() { return std::exchange(log_, {}); }

 private:
  std::vector<std::string> log_;
  OperatorRows rows_{
      {.config_key = "config",
       .evacuation_prefix = "evacuate/",
       .failure_domains = {"quad", "yoff"},
       .read_config =
           [](std::string_view text) -> std::optional<jobs::QueueConfig> {
         if (text == "x") {
           return std::nullopt;
         }
         return jobs::QueueConfig(std::stoul(std::string(text)), {});
       },
       .log =
           [this](const core::LogLine& line) {
             log_.emplace_back(line.text());
           }}};
};

using Lines = std::vector<std::string>;

// Guards against an evacuation that is missed, or in force after its row was
// removed, when the feed reports the rows one by one.
TEST_CASE("a row requests an evacuation until its removal", "[operator_rows]") {
  Rows rows;
  CHECK(rows.Update(TableChanges{{MakeRow("evacuate/yoff", 4, "{}")}}));
  CHECK(rows.evacuated() == FailureDomains{"yoff"});
  CHECK(rows.PopLog() == Lines{"event=evacuation_requested "
                               "failure_domain=yoff row_version=4 known=true"});
  CHECK(rows.Update(TableChanges{{MakeRow("evacuate/quad", 5)}}));
  CHECK(rows.evacuated() == FailureDomains{"quad", "yoff"});
  rows.PopLog();
  CHECK(rows.Update(TableChanges{{Removed("evacuate/yoff", 6)}}));
  CHECK(rows.evacuated() == FailureDomains{"quad"});
  CHECK(rows.PopLog() ==
        Lines{"event=evacuation_ended failure_domain=yoff row_version=6"});
}

// Guards against publications and log lines for rows that change nothing.
TEST_CASE("repeated rows change nothing", "[operator_rows]") {
  Rows rows;
  rows.Update(
      TableSnapshot{{MakeRow("config", 1, "1"), MakeRow("evacuate/yoff", 2)}});
  rows.PopLog();
  CHECK_FALSE(rows.Update(
      TableSnapshot{{MakeRow("config", 1, "1"), MakeRow("evacuate/yoff", 2)}}));
  CHECK_FALSE(rows.Update(TableChanges{{MakeRow("evacuate/yoff", 9, "{}")}}));
  CHECK_FALSE(rows.Update(TableChanges{{Removed("evacuate/quad", 10)}}));
  CHECK_FALSE(rows.Update(TableChanges{{MakeRow("another", 11, "x")}}));
  CHECK(rows.PopLog().empty());
  CHECK(rows.evacuated() == FailureDomains{"yoff"});
}

// Guards against an evacuation that lasts forever because its removal was in
// the history that the store has discarded, and against one that ends for a
// moment because a read replaces the rows.
TEST_CASE("a snapshot replaces the evacuations", "[operator_rows]") {
  Rows rows;
  rows.Update(TableSnapshot{
      {MakeRow("evacuate/quad", 7), MakeRow("evacuate/yoff", 8)}});
  rows.PopLog();
  CHECK(rows.Update(TableSnapshot{{MakeRow("evacuate/yoff", 8)}}));
  CHECK(rows.evacuated() == FailureDomains{"yoff"});
  CHECK(rows.PopLog() ==
        Lines{"event=evacuation_ended failure_domain=quad row_version=7"});
  CHECK(rows.Update(TableSnapshot{}));
  CHECK(rows.evacuated().empty());
}

// Guards against an evacuation that a store restored from a backup reports with
// a lower version, and whose removal would be taken for an old one.
TEST_CASE("versions of an earlier snapshot do not count", "[operator_rows]") {
  Rows rows;
  rows.Update(TableSnapshot{{MakeRow("evacuate/yoff", 100)}});
  CHECK_FALSE(rows.Update(TableSnapshot{{MakeRow("evacuate/yoff", 3)}}));
  CHECK(rows.Update(TableChanges{{Removed("evacuate/yoff", 4)}}));
  CHECK(rows.evacuated().empty());
}

// Guards against an interrupted evacuation: a read of several pages reports a
// row that was written after the first page, and the changes since that page
// begin with an earlier removal of the same row.
TEST_CASE("a removal before the known row is ignored", "[operator_rows]") {
  Rows rows;
  rows.Update(TableSnapshot{{MakeRow("evacuate/yoff", 9)}});
  CHECK_FALSE(rows.Update(TableChanges{{Removed("evacuate/yoff", 8)}}));
  CHECK_FALSE(rows.Update(TableChanges{{MakeRow("evacuate/yoff", 9)}}));
  CHECK(rows.evacuated() == FailureDomains{"yoff"});
  CHECK(rows.Update(TableChanges{{Removed("evacuate/yoff", 10)}}));
  CHECK(rows.evacuated().empty());
}

TEST_CASE("a row that is removed and written again is in force",
          "[operator_rows]") {
  Rows rows;
  rows.Update(TableSnapshot{{MakeRow("evacuate/yoff", 3)}});
  CHECK(rows.Update(TableChanges{
      {Removed("evacuate/yoff", 4), MakeRow("evacuate/yoff", 5)}}));
  CHECK(rows.evacuated() == FailureDomains{"yoff"});
}

// Guards against evacuations that wait for a configuration, and against a
// configuration that is published without them.
TEST_CASE("evacuations do not depend on a configuration", "[operator_rows]") {
  Rows rows;
  CHECK(rows.Update(TableChanges{{MakeRow("evacuate/yoff", 1)}}));
  CHECK(rows.state().config == nullptr);
  CHECK(rows.Update(
      TableChanges{{MakeRow("config", 2, "x"), MakeRow("evacuate/quad", 3)}}));
  CHECK(rows.state().config == nullptr);
  CHECK(rows.evacuated() == FailureDomains{"quad", "yoff"});
  CHECK(rows.Update(TableChanges{{MakeRow("config", 4, "7")}}));
  CHECK(rows.state().config->version() == 7);
  CHECK(rows.evacuated() == FailureDomains{"quad", "yoff"});
}

// Guards P9: a configuration never reverts and outlives an unreadable row.
TEST_CASE("a configuration is replaced by a newer one only",
          "[operator_rows]") {
  Rows rows;
  CHECK(rows.Update(TableSnapshot{{MakeRow("config", 1, "5")}}));
  rows.PopLog();
  CHECK_FALSE(rows.Update(TableChanges{{MakeRow("config", 2, "4")}}));
  CHECK_FALSE(rows.Update(TableChanges{{MakeRow("config", 3, "x")}}));
  CHECK(rows.PopLog() == Lines{"event=config_unreadable row_version=3"});
  CHECK_FALSE(rows.Update(TableChanges{{Removed("config", 4)}}));
  CHECK_FALSE(rows.Update(TableSnapshot{}));
  CHECK(rows.state().config->version() == 5);
}

// Guards against a row for an unknown domain, or for none, that keeps others
// from being read.
TEST_CASE("a row of an unknown domain is kept and logged", "[operator_rows]") {
  Rows rows;
  CHECK(rows.Update(
      TableSnapshot{{MakeRow("evacuate/", 1), MakeRow("evacuate/nowhere", 2),
                     MakeRow("evacuate/yoff", 3, "\xff")}}));
  CHECK(rows.evacuated() == FailureDomains{"", "nowhere", "yoff"});
  CHECK(rows.PopLog() ==
        Lines{"event=evacuation_requested failure_domain=\"\" row_version=1 "
              "known=false",
              "event=evacuation_requested failure_domain=nowhere row_version=2 "
              "known=false",
              "event=evacuation_requested failure_domain=yoff row_version=3 "
              "known=true"});
}

// Guards against an evacuation that is lost because the scheduler thread had no
// room for it at that moment.
TEST_CASE("a publication is repeated until the ring takes it",
          "[operator_rows]") {
  runtime::Ring<OperatorState> ring(1);
  std::vector<OperatorState> taken;
  StatePublisher publisher(
      [&](const OperatorState& state) { return ring.TryPush(state); });
  const core::TimePoint start{100s};
  CHECK(publisher.next_timer() == core::TimePoint::max());
  ring.TryPush(OperatorState{});

  publisher.Offer({.config = nullptr, .evacuated = {"quad"}});
  CHECK(publisher.next_timer() <= start);
  publisher.Run(start);
  const core::TimePoint retry = publisher.next_timer();
  CHECK(retry > start);
  CHECK(retry <= start + 100ms);
  publisher.Offer({.config = nullptr, .evacuated = {"yoff"}});
  publisher.Run(retry);
  CHECK(publisher.next_timer() > retry);

  ring.Drain(taken);
  publisher.Run(publisher.next_timer());
  CHECK(publisher.next_timer() == core::TimePoint::max());
  CHECK(ring.Drain(taken) == 1);
  CHECK(taken.back().evacuated == FailureDomains{"yoff"});
  publisher.Run(start + 10s);
  CHECK(ring.size() == 0);
}

}  // namespace
}  // namespace hickoryusher::jobs_process
