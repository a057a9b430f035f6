#include "config/process_settings.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace hickoryusher::config {
namespace {

constexpr std::string_view kGood = R"(entry: e1
platform:
  table_url: http://127.0.0.1:9001
  object_url: http://127.0.0.1:9002
  vm_list_url: http://127.0.0.1:9003
entries:
  - {name: e1, vm: vm1, failure_domain: dakar-yoff, seat: 0, address: 127.0.0.1, port: 8101}
services:
  - name: carnet
    floors: {latency_critical: 0.5, batch: 0.3}
    endpoints:
      - {name: x1, url: "http://127.0.0.1:9101", vm: v1, rack: r1, failure_domain: dakar-yoff}
)";

std::string Replace(std::string_view from, std::string_view to) {
  std::string text(kGood);
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

// Guards against a correct file that is refused and against lost defaults.
TEST_CASE("a correct file is read with its defaults") {
  Loader loader;
  const auto settings = loader.LoadText(kGood, "s.yaml");
  for (const std::string& error : loader.errors()) {
    UNSCOPED_INFO(error);
  }
  REQUIRE(settings.has_value());
  CHECK(settings->self().port == 8101);
  CHECK(settings->services[0].endpoints[0].slots == 8);
  CHECK(settings->services[0].endpoints[0].connections == 64);
  CHECK(settings->services[0].floors[core::Index(core::WorkClass::kBatch)] ==
        0.3);
}

// Guards against a correct key hash or team that is refused or lost.
TEST_CASE("the administrator's key hash and a service's team are read") {
  const std::string hash =
      "sha256:" + std::string(32, 'a') + ":" + std::string(64, '0');
  Loader loader;
  const auto settings = loader.LoadText(
      Replace("entry: e1", "entry: e1\nadmin_key_hash: " + hash), "s.yaml");
  REQUIRE(settings.has_value());
  CHECK(settings->admin_key_hash == hash);
  const auto owned = loader.LoadText(
      Replace("- name: carnet", "- name: carnet\n    team: bruit"), "s.yaml");
  REQUIRE(owned.has_value());
  CHECK(owned->services[0].team == "bruit");
}

// Guards against faults that are accepted or reported without place and reason.
TEST_CASE("each fault is reported with path, line, expected and found") {
  struct Row {
    std::string_view from;
    std::string_view to;
    std::string_view expected;
  };
  const Row rows[] = {
      {"port: 8101", "port: 81010",
       "s.yaml:7: entries[0].port: expected an integer from 1 to 65535, found "
       "'81010'"},
      {"port: 8101", "port: http",
       "s.yaml:7: entries[0].port: expected an integer from 1 to 65535, found "
       "'http'"},
      {"entry: e1", "entry: e9",
       "s.yaml:1: entry: expected a name listed under entries, found 'e9'"},
      {"batch: 0.3", "batch: 0.7",
       "s.yaml:10: services[0].floors: expected a sum of at most 1, found a "
       "map"},
      {"batch: 0.3", "batch: many",
       "s.yaml:10: services[0].floors.batch: expected a number from 0 to 1, "
       "found "
       "'many'"},
      {"rack: r1", "shelf: r1",
       "s.yaml:12: services[0].endpoints[0].shelf: expected a known key, found "
       "an "
       "unknown one"},
      {"http://127.0.0.1:9001", "table.example:1",
       "s.yaml:3: platform.table_url: expected http://IP:PORT, found "
       "'table.example:1'"},
      {"entry: e1", "entry: e1\ntimeout: 5",
       "s.yaml:2: timeout: expected a known key, found an unknown one"},
      {"entry: e1", "entry: e1\nadmin_key_hash: sha256:ab:cd",
       "s.yaml:2: admin_key_hash: expected sha256:<32 hex digits>:<64 hex "
       "digits> in lower case, found 'sha256:ab:cd'"},
      {"entry: e1", "entry: [", "s.yaml:3: expected YAML, found: "},
  };
  for (const Row& row : rows) {
    Loader loader;
    CHECK_FALSE(
        loader.LoadText(Replace(row.from, row.to), "s.yaml").has_value());
    const bool found = std::ranges::any_of(
        loader.errors(),
        [&row](const std::string& e) { return e.starts_with(row.expected); });
    INFO(row.expected << " / first: " << loader.errors().front());
    CHECK(found);
  }
}

// Guards against a check that stops at the first fault.
// Guards against workers that are lost or accepted with wrong values.
TEST_CASE("workers are optional and checked") {
  const std::string good =
      std::string(kGood) +
      "workers:\n"
      "  - {name: w1, url: \"http://127.0.0.1:9201\", vm: v2, rack: r1, "
      "failure_domain: dakar-yoff, cpu_millis: 32000, memory_bytes: 1000}\n";
  Loader loader;
  CHECK(loader.LoadText(kGood, "s.yaml")->workers.empty());
  const auto settings = loader.LoadText(good, "s.yaml");
  REQUIRE(settings.has_value());
  REQUIRE(settings->workers.size() == 1);
  CHECK(settings->workers[0].cpu_millis == 32'000);
  CHECK(settings->workers[0].accelerators == 0);
  std::string none = good;
  none.replace(none.find("32000"), 5, "0");
  CHECK_FALSE(loader.LoadText(none, "s.yaml").has_value());
  CHECK(loader.errors()[0].find("workers[0].cpu_millis") != std::string::npos);
  const std::string twice = good + good.substr(good.find("  - {name: w1"));
  CHECK_FALSE(loader.LoadText(twice, "s.yaml").has_value());
  CHECK(loader.errors()[0].find("'w1' twice") != std::string::npos);
}

TEST_CASE("all faults of a file are reported together") {
  Loader loader;
  CHECK_FALSE(loader.LoadText("entry: e1\n", "s.yaml").has_value());
  CHECK(loader.errors().size() >= 3);
}

}  // namespace
}  // namespace hickoryusher::config
