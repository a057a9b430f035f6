#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "documents_p.h"
#include "json_p.h"

namespace hickoryusher::platform {
namespace {

// Small, so that short inputs reach them.
constexpr JsonLimits kLimits{.bytes = 2048, .depth = 16, .values = 400};

void Require(bool condition) {
  if (!condition) {
    std::abort();
  }
}

std::size_t CountValues(const Json::Value& value) {
  std::size_t count = 1;
  if (value.isArray() || value.isObject()) {
    for (const Json::Value& child : value) {
      count += CountValues(child);
    }
  }
  return count;
}

void CheckTree(std::string_view text) {
  if (const auto tree = ParseJson(text, kLimits)) {
    Require(CountValues(*tree) <= MeasureJson(text).values);
    Require(CountValues(*tree) <= kLimits.values);
  }
}

void CheckJob(std::string_view text) {
  std::string error;
  const auto job = ReadJob(text, kLimits, error);
  Require(job.has_value() == error.empty());
  if (!job) {
    return;
  }
  Require(!job->steps.empty());
  for (std::size_t i = 0; i < job->steps.size(); ++i) {
    const jobs::StepSpec& step = job->steps[i];
    Require(step.count >= 1 && step.count <= 20'000);
    Require(step.need.cpu_millis >= 0 && step.need.memory_bytes >= 0 &&
            step.need.accelerators >= 0);
    Require(step.estimate >= core::Duration());
    Require(std::ranges::all_of(
        step.after, [i](std::uint32_t before) { return before < i; }));
  }
}

}  // namespace
}  // namespace hickoryusher::platform

// Reads a client's job document.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  // A copy of the text's size lets the sanitizer see a read beyond it.
  const std::string text(reinterpret_cast<const char*>(data), size);
  hickoryusher::platform::CheckTree(text);
  hickoryusher::platform::CheckJob(text);
  return 0;
}
