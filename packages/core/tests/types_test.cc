#include <catch2/catch.hpp>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/resources.h"
#include "core/work_class.h"

namespace hickoryusher::core {
namespace {

// Guards against a default handle that addresses the first entry of a table.
TEST_CASE("a default handle is invalid") {
  CHECK_FALSE(EndpointId().valid());
  CHECK(EndpointId(0).valid());
}

// Guards against two names that share a handle.
TEST_CASE("a name table gives each name its own handle") {
  NameTable<ServiceId> table;
  const ServiceId carnet = table.Intern("carnet");
  CHECK(table.Intern("carnet") == carnet);
  CHECK(table.Intern("crowd-cast") != carnet);
  CHECK(table.Name(carnet) == "carnet");
  CHECK_FALSE(table.Find("missing").valid());
}

// Guards against a fit that is granted because one dimension is free.
TEST_CASE("resources fit only when every dimension fits") {
  const Resources free{
      .cpu_millis = 1000, .memory_bytes = 10, .accelerators = 1};
  CHECK(
      Fits({.cpu_millis = 1000, .memory_bytes = 10, .accelerators = 1}, free));
  CHECK_FALSE(Fits({.cpu_millis = 1001}, free));
  CHECK_FALSE(Fits({.memory_bytes = 11}, free));
  CHECK_FALSE(Fits({.accelerators = 2}, free));
}

// Guards against class names that parse to another class.
TEST_CASE("class names round-trip") {
  for (const WorkClass work_class : kWorkClasses) {
    CHECK(ParseWorkClass(ToString(work_class)) == work_class);
  }
  CHECK_FALSE(ParseWorkClass("urgent").has_value());
}

}  // namespace
}  // namespace hickoryusher::core
