#include <curl/curl.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

#include "platform/object_server.h"
#include "platform/table_server.h"
#include "platform/vm_list_server.h"
#include "runtime/ring.h"
#include "store/http_adapter.h"
#include "store_fake/fake_platform.h"

namespace hickoryusher::store {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kSlow = milliseconds(1000);
// Used where an answer is expected, so that a busy machine cannot fail a test.
constexpr core::Duration kPatient = std::chrono::seconds(20);
// Used where no answer is expected in time.
constexpr core::Duration kImpatient = milliseconds(300);

enum class Fault { kNone, kOutage, kSlow, kLostAnswer, kRateLimit };

/// The fake behind the calls of the contract test, on a manual clock.
struct FakeSide {
  FakePlatform platform;
  core::TimePoint now{};

  void Set(Fault fault, core::Duration timeout = kPatient) {
    platform.Switch({.outage = fault == Fault::kOutage,
                     .delay = fault == Fault::kSlow ? kSlow : milliseconds(0),
                     .lost_answers = fault == Fault::kLostAnswer ? 1 : 0,
                     .vm_list_lag = platform.switches().vm_list_lag,
                     .timeout = timeout,
                     .writes_per_second = fault == Fault::kRateLimit ? 1U : 0,
                     .reads_per_second = fault == Fault::kRateLimit ? 1U : 0});
  }
  Event Run(Command command) {
    platform.Send(now, std::move(command));
    while (true) {
      now = platform.next_due().value();
      const std::vector<Event> events = platform.Advance(now);
      if (!events.empty()) {
        return events.front();
      }
    }
  }
  void Wait(core::Duration duration) {
    now += duration;
    REQUIRE(platform.Advance(now).empty());
  }
  void SetVm(const Vm& vm) { platform.SetVm(now, vm); }
  void RemoveVm(std::string_view name) { platform.RemoveVm(now, name); }
  void SetLag(core::Duration lag) {
    auto switches = platform.switches();
    switches.vm_list_lag = lag;
    platform.Switch(switches);
  }
};

/// Posts to a stand-in's own interface, as an operator of a demo does.
void Post(const std::string& url, const std::string& body) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(
      curl_easy_init(), &curl_easy_cleanup);
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.c_str());
  REQUIRE(curl_easy_perform(easy.get()) == CURLE_OK);
  long status = 0;
  curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
  REQUIRE(status == 200);
}

/// The HTTP adapter and the stand-ins' servers in this process.
struct HttpSide {
  standins::TableServer table{{}};
  standins::TableServer limited{{.writes_per_second = 1,
                                 .reads_per_second = 1,
                                 .now_ms = [] { return std::int64_t{0}; }}};
  standins::ObjectServer objects;
  standins::VmListServer vms;
  runtime::Ring<Event> events{16};
  std::unique_ptr<HttpAdapter> adapter = Connect(table, kPatient);

  std::unique_ptr<HttpAdapter> Connect(standins::TableServer& server,
                                       core::Duration timeout) {
    return std::make_unique<HttpAdapter>(
        HttpAdapter::Options{.table_url = server.server().url(),
                             .object_url = objects.server().url(),
                             .vm_list_url = vms.server().url(),
                             .timeout = timeout},
        [this](Event&& event) { return events.TryPush(std::move(event)); });
  }
  void Set(Fault fault, core::Duration timeout = kPatient) {
    adapter = Connect(fault == Fault::kRateLimit ? limited : table, timeout);
    const std::string faults =
        std::string(R"({"outage":)") +
        (fault == Fault::kOutage ? "true" : "false") + R"(,"slow_ms":)" +
        std::to_string(fault == Fault::kSlow ? core::ToMillis(kSlow) : 0) +
        R"(,"lost_answers":)" + (fault == Fault::kLostAnswer ? "1}" : "0}");
    Post(table.server().url() + "/faults", faults);
    Post(objects.server().url() + "/faults", faults);
  }
  Event Run(Command command) {
    const bool sent = adapter->Send(std::move(command));
    REQUIRE(sent);
    std::vector<Event> out;
    events.WaitDrain(out);
    return out.front();
  }
  static void Wait(core::Duration duration) {
    std::this_thread::sleep_for(duration);
  }
  void SetVm(const Vm& vm) {
    PostVm(vm, vm.state == VmState::kLive ? "live" : "leaving");
  }
  void RemoveVm(std::string_view name) {
    PostVm({.name = std::string(name)}, "gone");
  }
  void PostVm(const Vm& vm, const std::string& state) {
    Post(vms.server().url() + "/v1/vms",
         R"({"name":")" + vm.name + R"(","address":")" + vm.address +
             R"(","failure_domain":")" + vm.failure_domain + R"(","state":")" +
             state + "\"}");
  }
  void SetLag(core::Duration lag) {
    Post(vms.server().url() + "/faults",
         R"({"lag_ms":)" + std::to_string(core::ToMillis(lag)) + "}");
  }
};

Transact Write(std::uint64_t id, RowVersion version, std::string value) {
  return {.id = CommandId(id),
          .conditions = {{.key = "k", .version = version}},
          .puts = {{.key = "k", .value = std::move(value)}}};
}

// Guards against a fake that behaves differently from the service, and against
// an adapter that reports a fault as something else than it was.
TEMPLATE_TEST_CASE("the contract holds under each fault",
                   "",
                   FakeSide,
                   HttpSide) {
  struct Row {
    Command command;
    std::size_t expected;  ///< Index of the event's type.
    Fault fault;
    bool takes_effect;
  };
  const std::size_t committed = Event(Committed{}).index();
  const std::size_t conflicted = Event(Conflicted{}).index();
  const std::size_t row_read = Event(RowRead{}).index();
  const std::size_t refused = Event(Refused{}).index();
  const std::size_t unavailable = Event(Unavailable{}).index();
  const std::size_t timed_out = Event(TimedOut{}).index();
  const Command read = ReadRow{.id = CommandId(7), .key = "k"};
  const Row rows[] = {
      {Write(7, 1, "new"), committed, Fault::kNone, true},
      {Write(7, 99, "new"), conflicted, Fault::kNone, false},
      {read, row_read, Fault::kNone, false},
      {Write(7, 1, "new"), unavailable, Fault::kOutage, false},
      {read, unavailable, Fault::kOutage, false},
      {Write(7, 1, "new"), timed_out, Fault::kSlow, true},
      {read, timed_out, Fault::kSlow, false},
      {Write(7, 1, "new"), timed_out, Fault::kLostAnswer, true},
      {Write(7, 99, "new"), conflicted, Fault::kLostAnswer, false},
      {read, row_read, Fault::kLostAnswer, false},
  };
  for (const Row& row : rows) {
    TestType side;
    side.Set(Fault::kNone);
    REQUIRE(std::holds_alternative<Committed>(side.Run(Write(1, 0, "old"))));
    side.Set(row.fault, row.expected == timed_out ? kImpatient : kPatient);
    const Event event = side.Run(row.command);
    CAPTURE(row.fault, row.command.index());
    CHECK(event.index() == row.expected);
    CHECK(IdOf(event) == CommandId(7));
    side.Set(Fault::kNone);
    if (row.fault == Fault::kSlow) {
      side.Wait(2 * kSlow);
    }
    const auto after = std::get<RowRead>(side.Run(read));
    CHECK(after.row.value().value == (row.takes_effect ? "new" : "old"));
  }
  SECTION("rate limit") {
    TestType side;
    side.Set(Fault::kRateLimit);
    REQUIRE(side.Run(Write(1, 0, "old")).index() == committed);
    const Event second = side.Run(Write(2, 1, "new"));
    REQUIRE(second.index() == refused);
    CHECK(std::get<Refused>(second).reason == RefusalReason::kRateLimit);
    CHECK(side.Run(read).index() == row_read);
    CHECK(side.Run(read).index() == refused);
  }
}

// Guards against a transaction that is applied in part, against a condition on
// absence that a present row passes, and against versions that repeat.
TEMPLATE_TEST_CASE("transactions are all or nothing", "", FakeSide, HttpSide) {
  TestType side;
  side.Set(Fault::kNone);
  CHECK(std::get<Committed>(side.Run(Write(1, kAbsent, "\"é\n"))).version == 1);
  const auto conflict = std::get<Conflicted>(side.Run(Transact{
      .id = CommandId(2),
      .conditions = {{.key = "k", .version = 1},
                     {.key = "other", .version = 5}},
      .puts = {{.key = "k", .value = "x"}, {.key = "new", .value = "x"}},
      .deletes = {"k"}}));
  CHECK(conflict.present == std::vector<KeyVersion>{{.key = "other"}});
  const auto row =
      std::get<RowRead>(side.Run(ReadRow{.id = CommandId(3), .key = "k"}));
  CHECK(row.row == Row{.key = "k", .value = "\"é\n", .version = 1});
  CHECK(row.as_of == 1);
  const auto absent =
      std::get<RowRead>(side.Run(ReadRow{.id = CommandId(4), .key = "new"}));
  CHECK_FALSE(absent.row.has_value());
  CHECK(std::get<Committed>(
            side.Run(Transact{.id = CommandId(5), .deletes = {"k"}}))
            .version == 2);
  CHECK(std::get<Committed>(side.Run(Write(6, kAbsent, "again"))).version == 3);
}

// Guards against pages that skip or repeat a row.
TEMPLATE_TEST_CASE("a range is read page by page", "", FakeSide, HttpSide) {
  TestType side;
  side.Set(Fault::kNone);
  Transact write{.id = CommandId(1)};
  for (const char* key : {"a", "p/1", "p/2", "p/3", "q"}) {
    write.puts.push_back({.key = key, .value = "v"});
  }
  REQUIRE(std::holds_alternative<Committed>(side.Run(write)));
  const auto first = std::get<RangeRead>(
      side.Run(ReadRange{.id = CommandId(2), .prefix = "p/", .limit = 2}));
  REQUIRE(first.rows.size() == 2);
  CHECK(first.more);
  const auto second =
      std::get<RangeRead>(side.Run(ReadRange{.id = CommandId(3),
                                             .prefix = "p/",
                                             .after = first.rows.back().key,
                                             .limit = 2}));
  REQUIRE(second.rows.size() == 1);
  CHECK(second.rows[0].key == "p/3");
  CHECK_FALSE(second.more);
}

// Guards against object bytes that are changed on the way, and against a write
// whose answer is lost being reported as not run.
TEMPLATE_TEST_CASE("objects keep their bytes", "", FakeSide, HttpSide) {
  TestType side;
  side.Set(Fault::kNone);
  const std::string content("\0\xff\r\n%", 5);
  const std::string name = "checkpoint/4 2/ü";
  side.Set(Fault::kLostAnswer, kImpatient);
  CHECK(std::holds_alternative<TimedOut>(side.Run(
      PutObject{.id = CommandId(1), .name = name, .content = content})));
  side.Set(Fault::kNone);
  CHECK(std::get<ObjectRead>(
            side.Run(GetObject{.id = CommandId(2), .name = name}))
            .content == content);
  CHECK_FALSE(std::get<ObjectRead>(
                  side.Run(GetObject{.id = CommandId(3), .name = "none"}))
                  .content.has_value());
}

// Guards against a fake VM list that is fresher than the platform's.
TEMPLATE_TEST_CASE("the VM list lags", "", FakeSide, HttpSide) {
  TestType side;
  side.Set(Fault::kNone);
  const Vm live{
      .name = "vm1", .address = "127.0.0.1", .failure_domain = "tpe-a"};
  const auto list = [&side] {
    return std::get<VmListRead>(side.Run(ReadVmList{CommandId(1)})).vms;
  };
  CHECK(list().empty());
  side.SetVm(live);
  CHECK(list() == std::vector<Vm>{live});
  side.SetLag(std::chrono::hours(1));
  CHECK(list().empty());
  side.SetLag({});
  Vm leaving = live;
  leaving.state = VmState::kLeaving;
  side.SetVm(leaving);
  CHECK(list() == std::vector<Vm>{leaving});
  side.RemoveVm("vm1");
  CHECK(list().empty());
}

// Guards against an older list that cannot be told from a newer one.
TEMPLATE_TEST_CASE("the VM list's revision grows with each change",
                   "",
                   FakeSide,
                   HttpSide) {
  TestType side;
  side.Set(Fault::kNone);
  const auto revision = [&side] {
    return std::get<VmListRead>(side.Run(ReadVmList{CommandId(1)})).revision;
  };
  const std::uint64_t empty = revision();
  side.SetVm({.name = "vm1", .address = "127.0.0.1", .failure_domain = "a"});
  const std::uint64_t added = revision();
  side.RemoveVm("vm1");
  CHECK(added > empty);
  CHECK(revision() > added);
  side.SetLag(std::chrono::hours(1));
  CHECK(revision() <= empty);
}

// Guards against a list that is sent again although it has not changed, and
// against a changed one that is left out.
TEMPLATE_TEST_CASE("an unchanged VM list is left out", "", FakeSide, HttpSide) {
  TestType side;
  side.Set(Fault::kNone);
  const auto read = [&side](std::uint64_t known) {
    return std::get<VmListRead>(
        side.Run(ReadVmList{.id = CommandId(1), .known_revision = known}));
  };
  side.SetVm({.name = "vm1", .address = "127.0.0.1", .failure_domain = "a"});
  const VmListRead first = read(0);
  CHECK_FALSE(first.unchanged);
  CHECK(first.vms.size() == 1);
  const VmListRead second = read(first.revision);
  CHECK(second.unchanged);
  CHECK(second.vms.empty());
  side.SetVm({.name = "vm2", .address = "127.0.0.1", .failure_domain = "a"});
  CHECK(read(first.revision).vms.size() == 2);
}

}  // namespace
}  // namespace hickoryusher::store
