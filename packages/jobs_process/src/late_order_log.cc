#include "late_order_log_p.h"

#include <chrono>
#include <string_view>
#include <variant>

#include "core/log_line.h"
#include "core/overloaded.h"

namespace hickoryusher::jobs_process {
namespace {

// Orders usually leave within milliseconds; a suspended thread, or a connection
// whose first packet was lost, delays them.
constexpr core::Duration kThreshold = std::chrono::milliseconds(300);

}  // namespace

void LateOrderLog::Handle(const http::UpstreamEvent& event,
                          core::TimePoint now) {
  const auto log = [&](const auto& end, std::string_view result) {
    if (end.write_delay < kThreshold) {
      return;
    }
    if (const auto suppressed = lines_.Admit(now)) {
      log_(core::LogLine("order_sent_late", core::LogLevel::kWarning)
               .Add("call", end.id.value())
               .Add("age_ms", core::ToMillis(end.write_delay))
               .Add("result", result)
               .Add("ended_ms_ago", core::ToMillis(now - end.at))
               .Add("suppressed", *suppressed));
    }
  };
  std::visit(core::Overloaded{
                 [](const http::FirstByte&) {},
                 [&](const http::Completed& end) { log(end, "answered"); },
                 [&](const http::Failed& end) { log(end, end.reason); }},
             event);
}

}  // namespace hickoryusher::jobs_process
