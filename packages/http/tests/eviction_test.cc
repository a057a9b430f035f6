#include "eviction_p.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace hickoryusher::http {
namespace {

core::TimePoint At(int second) {
  return core::TimePoint{} + std::chrono::hours(1) +
         std::chrono::seconds(second);
}

// Guards against one large request that makes many small ones fail.
TEST_CASE("the connection that holds most is closed for memory") {
  const std::vector<EvictionCandidate> candidates = {
      {.bytes = 10, .request_began = At(1)},
      {.bytes = 900, .request_began = At(9)},
      {.bytes = 10, .request_began = At(2)}};
  CHECK(ChooseForMemory(candidates) == 1U);
}

// Guards against a crowd of new connections that pushes out nothing but each
// other, while the oldest ones keep what they hold.
TEST_CASE("among equal ones the oldest request is closed for memory") {
  const std::vector<EvictionCandidate> candidates = {
      {.bytes = 50, .request_began = At(3)},
      {.bytes = 50, .request_began = At(1)},
      {.bytes = 50, .request_began = At(2)}};
  CHECK(ChooseForMemory(candidates) == 1U);
}

// Guards against a job that runs although its caller was cut off for memory.
TEST_CASE("requests in progress are spared while another choice is left") {
  std::vector<EvictionCandidate> candidates = {
      {.bytes = 9000,
       .reclaimable_bytes = 5000,
       .request_began = At(1),
       .request_in_progress = true},
      {.bytes = 1, .request_began = At(2)}};
  CHECK(ChooseForMemory(candidates) == 1U);
  candidates[1].closing = true;
  CHECK(ChooseForMemory(candidates) == 0U);
}

// Guards against memory that is exceeded by bodies sent behind a request in
// progress, and against callers cut off for bytes that this does not free.
TEST_CASE("a request in progress is cut off only if that frees memory") {
  const std::vector<EvictionCandidate> candidates = {
      {.bytes = 9000,
       .reclaimable_bytes = 100,
       .request_began = At(1),
       .request_in_progress = true},
      {.bytes = 8000,
       .reclaimable_bytes = 6000,
       .request_began = At(2),
       .request_in_progress = true},
      {.bytes = 7000,
       .reclaimable_bytes = 6000,
       .request_began = At(1),
       .request_in_progress = true}};
  CHECK(ChooseForMemory(candidates) == 2U);
  CHECK(ChooseForMemory(std::span(candidates).first(1)) == std::nullopt);
}

// Guards against a new caller who is refused because of others that do
// nothing, and against active callers closed instead of these.
TEST_CASE("the connection idle for longest is closed for a new one") {
  const std::vector<EvictionCandidate> candidates = {
      {.bytes = 10, .idle_since = At(5)},
      {.bytes = 10, .idle_since = At(1), .request_in_progress = true},
      {.bytes = 10, .idle_since = At(2), .unsent_response = true},
      {.bytes = 900, .idle_since = At(4)},
      {.bytes = 10, .idle_since = At(3), .closing = true}};
  CHECK(ChooseForConnection(candidates) == 3U);
}

// Guards against callers that keep everyone else out by not reading.
TEST_CASE("callers that do not read are closed for a new one") {
  const std::vector<EvictionCandidate> candidates = {
      {.bytes = 10, .request_in_progress = true},
      {.bytes = 50, .unsent_response = true},
      {.bytes = 90, .unsent_response = true}};
  CHECK(ChooseForConnection(candidates) == 2U);
  CHECK(ChooseForConnection(std::span(candidates).first(1)) == std::nullopt);
  CHECK(ChooseForConnection({}) == std::nullopt);
}

}  // namespace
}  // namespace hickoryusher::http
