#include "http/byte_budget.h"

#include <catch2/catch.hpp>

namespace hickoryusher::http {
namespace {

// Guards against a budget that is exceeded, also by sizes near the end of the
// type, and against one that a refusal uses up.
TEST_CASE("a byte budget refuses what does not fit") {
  ByteBudget budget(100);
  CHECK(budget.TryTake(60));
  CHECK_FALSE(budget.TryTake(41));
  CHECK_FALSE(budget.TryTake(static_cast<std::size_t>(-1)));
  CHECK(budget.TryTake(40));
  budget.Release(60);
  CHECK(budget.used() == 40);
  CHECK(budget.peak() == 100);
}

// Guards against a budget that loses count of what had to be taken beyond it.
TEST_CASE("a byte budget counts bytes beyond its capacity") {
  ByteBudget budget(100);
  budget.Take(150);
  CHECK_FALSE(budget.TryTake(1));
  budget.Release(100);
  CHECK(budget.TryTake(50));
}

}  // namespace
}  // namespace hickoryusher::http
