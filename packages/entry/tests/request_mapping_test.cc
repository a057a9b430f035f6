#include "request_mapping_p.h"

#include <catch2/catch.hpp>

namespace hickoryusher::entry {
namespace {

// Guards against a loan whose few connections become the limit of every host,
// so that requests to other endpoints wait for each other.
TEST_CASE("a borrowed slot does not lower the connection limit") {
  const routing::Slot own{.endpoint = core::EndpointId(0)};
  const routing::Slot borrowed{.endpoint = core::EndpointId(0),
                               .loan = routing::LoanId(1)};
  const routing::SlotEntry entry{.slots = 0, .connections = 0};
  CHECK(ConnectionLimit(borrowed, entry, 64) == 64);
  CHECK(ConnectionLimit(own, {.slots = 3, .connections = 21}, 64) == 21);
  CHECK(ConnectionLimit(own, entry, 64) == 1);
}

// Guards against a shutdown that is answered as a flood, and the reverse.
TEST_CASE("each refusal keeps its reason and status") {
  struct Row {
    admission::Refusal refusal;
    retry::Reason reason;
    int status;
  };
  const Row rows[] = {
      {admission::Refusal::kQueueFull, retry::Reason::kQueueFull, 429},
      {admission::Refusal::kWaitTooLong, retry::Reason::kAdmission, 429},
      {admission::Refusal::kDeadlinePassed, retry::Reason::kDeadline, 503},
      {admission::Refusal::kShutdown, retry::Reason::kShutdown, 503},
  };
  for (const Row& row : rows) {
    CHECK(ToReason(row.refusal) == row.reason);
    CHECK(NotRunStatus(row.reason) == row.status);
  }
}

}  // namespace
}  // namespace hickoryusher::entry
