#include "runtime/ring.h"

#include <catch2/catch.hpp>
#include <memory>
#include <numeric>

#include "runtime/duty_thread.h"

namespace hickoryusher::runtime {
namespace {

// Guards against a ring that grows, and against a refused element that is lost.
TEST_CASE("a full ring refuses the element and leaves it with the producer") {
  Ring<std::unique_ptr<int>> ring(1);
  REQUIRE(ring.TryPush(std::make_unique<int>(1)));
  auto second = std::make_unique<int>(2);
  CHECK_FALSE(ring.TryPush(std::move(second)));
  // A refused push must not move from its argument, which is what is tested.
  // NOLINTBEGIN(bugprone-use-after-move,clang-analyzer-cplusplus.Move)
  REQUIRE(second != nullptr);
  CHECK(*second == 2);
  // NOLINTEND(bugprone-use-after-move,clang-analyzer-cplusplus.Move)
}

// Guards against elements lost when a ring is closed before it is drained.
TEST_CASE("a closed ring still hands out what it holds") {
  Ring<int> ring(4);
  REQUIRE(ring.TryPush(1));
  ring.Close();
  CHECK_FALSE(ring.TryPush(2));
  CHECK_FALSE(ring.finished());
  std::vector<int> out;
  CHECK(ring.WaitDrain(out) == 1);
  CHECK(ring.finished());
}

// Guards against lost wake-ups and lost elements between threads.
TEST_CASE("everything pushed by several producers arrives once") {
  constexpr int kPerProducer = 2000;
  Ring<int> ring(64);
  std::vector<int> out;
  DutyThread consumer("consumer", [&] {
    while (!ring.finished()) {
      ring.WaitDrain(out);
    }
  });
  {
    const auto produce = [&ring] {
      int sent = 0;
      while (sent < kPerProducer) {
        if (ring.TryPush(1)) {
          ++sent;
        } else {
          std::this_thread::sleep_for(std::chrono::microseconds(50));
        }
      }
    };
    DutyThread first("first", produce);
    DutyThread second("second", produce);
  }
  ring.Close();
  consumer.Join();
  CHECK(std::accumulate(out.begin(), out.end(), 0) == 2 * kPerProducer);
}

// Guards against a consumer in a poll call that is not told of new elements.
TEST_CASE("the waker runs after each push and on close") {
  Ring<int> ring(2);
  int wakes = 0;
  ring.SetWaker([&wakes] { ++wakes; });
  ring.TryPush(1);
  ring.TryPush(2);
  ring.TryPush(3);
  CHECK(wakes == 2);
  ring.Close();
  CHECK(wakes == 3);
}

}  // namespace
}  // namespace hickoryusher::runtime
