#include <catch2/catch.hpp>
#include <string>

#include "settings_fakes.h"

namespace hickoryusher::entry {
namespace {

constexpr core::Duration kPollInterval = std::chrono::seconds(1);
constexpr std::string_view kCapacity = "/capacity/cpu_millis";

/// The platform, the administrator's key and one process that has started.
struct Fixture {
  store::FakePlatform platform;
  settings::NewKey admin = *settings::Keys::Create("admin", "bootstrap");
  SettingsProcess process{platform, admin.hash};

  Fixture() { process.Settle(); }

  int Status() const { return process.responses.back().status; }
  std::string Body() const { return process.responses.back().body; }
};

// Guards against a caller without the right key who reads or changes settings,
// and against a refusal that does not say why.
TEST_CASE("requests without the right are refused with a reason") {
  Fixture f;
  const auto team = *settings::Keys::Create("bruit", "ci");
  f.process.Submit("k", team.path, '"' + team.hash + '"', 0, f.admin.bearer);
  REQUIRE(f.Status() == 200);
  f.process.Pass(kPollInterval);
  std::string wrong = f.admin.bearer;
  wrong.back() = wrong.back() == '0' ? '1' : '0';
  const std::string change =
      R"({"id":"c","path":"/capacity/cpu_millis","value":1,"base":0})";

  struct Row {
    std::string method;
    std::string target;
    std::string bearer;
    std::string body;
    int status;
    std::string reason;
  };
  const Row rows[] = {
      {"GET", "/v1/settings", "", "", 401, "no_valid_key"},
      {"GET", "/v1/settings", wrong, "", 401, "no_valid_key"},
      {"GET", "/v1/settings", "admin.bootstrap", "", 401, "no_valid_key"},
      {"GET", "/v1/settings?path=/", team.bearer, "", 403, "outside_subtree"},
      {"GET", "/v1/settings?path=/teams/bruit2", team.bearer, "", 403,
       "outside_subtree"},
      {"POST", "/v1/settings/changes", team.bearer, change, 403,
       "outside_subtree"},
      {"POST", "/v1/settings/validate", team.bearer, change, 403,
       "outside_subtree"},
      {"GET", "/v1/settings/other", f.admin.bearer, "", 404, "unknown_path"},
      {"POST", "/v1/settings", f.admin.bearer, "", 405, "method_not_allowed"},
      {"GET", "/v1/settings?path=a//b", f.admin.bearer, "", 400, "bad_path"},
      {"GET", "/v1/settings?path=%2", f.admin.bearer, "", 400, "bad_path"},
      {"GET", "/v1/settings?x=1", f.admin.bearer, "", 400, "unknown_parameter"},
      {"POST", "/v1/settings/changes", f.admin.bearer, "{", 400, "bad_json"},
      {"POST", "/v1/settings/changes", f.admin.bearer, std::string(5000, '['),
       400, "bad_json"},
      {"POST", "/v1/settings/changes", f.admin.bearer, R"({"path":"/a"})", 400,
       "bad_change"},
      {"POST", "/v1/settings/changes", f.admin.bearer,
       R"({"id":"c","path":"/a","value":{},"base":0})", 400, "bad_value"},
      {"POST", "/v1/settings/validate", f.admin.bearer,
       R"({"path":"/a","value":[1]})", 400, "bad_value"}};
  for (const Row& row : rows) {
    CAPTURE(row.method, row.target, row.body);
    f.process.log.clear();
    f.process.Send(row.method, row.target, row.bearer, row.body);
    CHECK(f.Status() == row.status);
    CHECK(f.Body() == "{\"reason\":\"" + row.reason + "\"}");
    CHECK(f.process.HasLog("reason=" + row.reason));
  }
  CHECK(f.process.manager().tree().Find(kCapacity) == nullptr);
}

// Guards against outcomes that are reported as others, and against accepted or
// applied changes that leave no log line.
TEST_CASE("each outcome of a change has its status, body and log line") {
  Fixture f;
  const std::string& key = f.admin.bearer;
  f.process.Submit("c1", kCapacity, "5", 0, key);
  CHECK(f.Status() == 200);
  CHECK(f.Body() == R"({"revision":1})");
  CHECK(
      f.process.HasLog("event=settings_change id=c1 path=/capacity/"
                       "cpu_millis by=admin outcome=accepted revision=1"));
  f.process.Pass(kPollInterval);
  CHECK(f.process.HasLog("event=settings_applied revision=1"));
  CHECK(f.process.moves == 1);

  f.process.Submit("c2", kCapacity, "6", 0, key);
  CHECK(f.Status() == 409);
  CHECK(f.Body() == R"({"lost_to":1,"reason":"conflict"})");

  f.process.Submit("c3", kCapacity, "-1", 1, key);
  CHECK(f.Status() == 422);
  CHECK(f.Body().find(R"("path":"/capacity/cpu_millis")") != std::string::npos);

  f.platform.Switch({.outage = true});
  f.process.Submit("c4", kCapacity, "7", 1, key);
  f.process.Pass(std::chrono::seconds(11));
  CHECK(f.Status() == 503);
  CHECK(f.Body() ==
        R"({"outcome":"not_written","reason":"store_unavailable"})");

  // The table runs the write and the answer is lost; the id is read back.
  f.platform.Switch({.lost_answers = 1});
  f.process.Submit("c4", kCapacity, "7", 1, key, true);
  f.process.Pass(std::chrono::seconds(3));
  CHECK(f.Status() == 200);
  CHECK(f.Body() == R"({"revision":2})");

  // The table is out of order before the id can be read back.
  f.platform.Switch(
      {.delay = std::chrono::milliseconds(100), .lost_answers = 1});
  f.process.Submit("c5", kCapacity, "8", 2, key);
  f.process.Pass(std::chrono::milliseconds(500));
  REQUIRE(f.platform.Find("settings/change_id/c5").has_value());
  f.platform.Switch({.outage = true});
  f.process.Pass(std::chrono::seconds(11));
  CHECK(f.Status() == 504);
  CHECK(f.Body() == R"({"outcome":"unknown","reason":"store_did_not_answer"})");
  CHECK(
      f.process.HasLog("id=c5 path=/capacity/cpu_millis by=admin "
                       "outcome=unknown"));
}

// Guards against a second response or a false "not written" for a change that
// is still under way.
TEST_CASE("a change under way is not accepted twice") {
  Fixture f;
  f.platform.Switch({.delay = std::chrono::seconds(1)});
  f.process.Submit("c1", kCapacity, "5", 0, f.admin.bearer);
  CHECK(f.process.responses.empty());
  f.process.Submit("c1", kCapacity, "5", 0, f.admin.bearer, true);
  REQUIRE(f.process.responses.size() == 1);
  CHECK(f.Status() == 504);
  CHECK(f.Body() == R"({"outcome":"unknown","reason":"change_under_way"})");
}

// Guards against a cut-off process that misses an accepted change, and against
// one that answers for settings that it does not know.
TEST_CASE("a process without the store learns the settings from a peer") {
  Fixture f;
  SettingsProcess cut_off(f.platform, f.admin.hash);
  cut_off.reaches_store = false;
  cut_off.Settle();
  CHECK_FALSE(cut_off.manager().ready());
  cut_off.Send("GET", "/v1/settings", f.admin.bearer);
  CHECK(cut_off.responses.back().status == 503);
  CHECK(cut_off.responses.back().body == R"({"reason":"settings_not_ready"})");

  cut_off.peer = &f.process;
  cut_off.Pass(std::chrono::milliseconds(600));
  CHECK(cut_off.manager().ready());
  f.process.Submit("c1", kCapacity, "5", 0, f.admin.bearer);
  f.process.Pass(kPollInterval);
  cut_off.Pass(std::chrono::milliseconds(600));
  cut_off.Send("GET", "/v1/settings?path=%2Fcapacity", f.admin.bearer);
  CHECK(cut_off.responses.back().body ==
        R"({"entries":[{"change_id":"c1","path":"/capacity/cpu_millis",)"
        R"("revision":1,"value":5}],"head":1})");
}

// Guards against the settings file's key that stays valid after an operator
// revoked it.
TEST_CASE("a removal in the settings revokes the key of the settings file") {
  Fixture f;
  f.process.Submit("c1", f.admin.path, '"' + f.admin.hash + '"', 0,
                   f.admin.bearer);
  REQUIRE(f.Status() == 200);
  f.process.Pass(kPollInterval);
  f.process.Send("POST", "/v1/settings/changes", f.admin.bearer,
                 R"({"id":"c2","path":"/admin/keys/bootstrap","base":1})");
  REQUIRE(f.Status() == 200);
  f.process.Pass(kPollInterval);
  f.process.Send("GET", "/v1/settings", f.admin.bearer);
  CHECK(f.Status() == 401);
}

// Guards against a history that is cut at the page limit of a read or names
// other paths.
TEST_CASE("the history holds every change of the path") {
  Fixture f;
  constexpr int kChanges = 1001;
  for (int i = 0; i < kChanges; ++i) {
    f.process.Submit("c" + std::to_string(i), kCapacity, std::to_string(i), i,
                     f.admin.bearer);
    REQUIRE(f.Status() == 200);
  }
  f.process.Submit("other", "/capacity/accelerators", "1", 0, f.admin.bearer);
  f.process.Send("GET", "/v1/settings/history?path=/capacity/cpu_millis",
                 f.admin.bearer);
  CHECK(f.Status() == 200);
  std::size_t found = 0;
  for (std::size_t at = f.Body().find("change_id"); at != std::string::npos;
       at = f.Body().find("change_id", at + 1)) {
    ++found;
  }
  CHECK(found == kChanges);

  f.platform.Switch({.outage = true});
  f.process.Send("GET", "/v1/settings/history?path=/", f.admin.bearer);
  CHECK(f.Status() == 503);
  CHECK(f.Body() == R"({"reason":"store_unavailable"})");
}

}  // namespace
}  // namespace hickoryusher::entry
