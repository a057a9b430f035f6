// Shows that a flood of batch requests leaves latency-critical ones their
// floor. The decision package needs no HTTP front: events go in, commands come
// out.
#include <algorithm>
#include <iostream>
#include <vector>

#include "admission/controller.h"

namespace {

namespace admission = hickoryusher::admission;
namespace core = hickoryusher::core;

constexpr core::TimePoint kNow{std::chrono::seconds(1)};

std::size_t CountAdmitted(const std::vector<admission::Command>& commands) {
  return static_cast<std::size_t>(
      std::ranges::count_if(commands, [](const admission::Command& command) {
        return std::holds_alternative<admission::Admit>(command);
      }));
}

std::size_t Offer(admission::Controller& controller,
                  core::WorkClass work_class,
                  std::uint64_t first,
                  std::uint64_t count) {
  std::vector<admission::Command> commands;
  for (std::uint64_t i = 0; i < count; ++i) {
    controller.Handle(
        admission::RequestQueued{.request = core::RequestId(first + i),
                                 .work_class = work_class,
                                 .deadline = kNow + std::chrono::seconds(1)},
        kNow, commands);
  }
  return CountAdmitted(commands);
}

}  // namespace

int main() {
  admission::ControllerBuilder builder;
  builder.Slots(10)
      .Class(core::WorkClass::kLatencyCritical, {.floor_share = 0.4})
      .Class(core::WorkClass::kBatch, {.floor_share = 0.3});
  auto controller = builder.Build();
  if (!controller) {
    std::cerr << builder.last_error() << '\n';
    return 1;
  }
  const std::size_t batch = Offer(*controller, core::WorkClass::kBatch, 0, 100);
  const std::size_t urgent =
      Offer(*controller, core::WorkClass::kLatencyCritical, 1'000, 4);
  std::cout << "batch admitted: " << batch << " of 100\n"
            << "latency-critical admitted after that: " << urgent << " of 4\n";
  return urgent == 4 ? 0 : 1;
}
