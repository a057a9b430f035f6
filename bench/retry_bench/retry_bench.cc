// Measures the decision packages of a request on one core: events per second
// and bytes per open request.
// Usage: retry_bench CHART_FILE [REQUESTS]

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <exception>
#include <string>
#include <vector>

#include "admission/controller.h"
#include "chart_yaml/load.h"
#include "retry/key_claims.h"
#include "retry/request_table.h"
#include "retry/ticket_issuer.h"

namespace hickoryusher {
namespace {

// The number of requests in flight that the design asks to measure.
constexpr std::uint64_t kOpenRequests = 10'000;

/// Processor time, so that other programs on the machine do not count.
double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

void Print(const char* what, std::uint64_t events, double seconds) {
  std::printf("bench=%s events=%llu cpu_s=%.3f events_per_s=%.0f ns=%.0f\n",
              what, static_cast<unsigned long long>(events), seconds,
              static_cast<double>(events) / seconds,
              seconds * 1e9 / static_cast<double>(events));
}

/// Drives the plain path of requests through a table.
class RequestDriver {
 public:
  explicit RequestDriver(const chart::Chart& chart)
      : table_(retry::RequestTableBuilder(chart).Build()) {}

  bool ok() const { return table_.has_value(); }
  const retry::RequestTable& table() const { return *table_; }
  std::uint64_t events() const { return events_; }

  /// Takes a request to the point where its response is awaited.
  void Open(core::RequestId request) {
    now_ += std::chrono::microseconds(10);
    Give(retry::RequestArrived{.request = request,
                               .deadline = now_ + std::chrono::seconds(10),
                               .idempotent = request.value() % 2 == 0});
    Give(retry::AdmissionGranted{request});
    Give(retry::EndpointChosen{
        .request = request,
        .attempt = Attempt(request),
        .endpoint = core::EndpointId(
            static_cast<std::uint32_t>(request.value() % 48))});
    Give(retry::ExchangeConnected{request, Attempt(request)});
    Give(retry::ExchangeSent{request, Attempt(request)});
  }

  void Close(core::RequestId request) {
    Give(retry::ExchangeFirstByte{request, Attempt(request)});
    Give(retry::ExchangeCompleted{request, Attempt(request), 200});
  }

 private:
  static core::AttemptId Attempt(core::RequestId request) {
    return core::AttemptId(request.value());
  }

  void Give(const retry::RequestEvent& event) {
    out_.clear();
    table_->Handle(event, now_, out_);
    ++events_;
  }

  std::optional<retry::RequestTable> table_;
  std::vector<retry::RequestCommand> out_;
  std::uint64_t events_ = 0;
  core::TimePoint now_{std::chrono::seconds(100)};
};

bool RunRequests(const chart::Chart& chart, std::uint64_t requests) {
  RequestDriver driver(chart);
  if (!driver.ok()) {
    return false;
  }
  const std::size_t before = HeapBytes();
  for (std::uint64_t i = 0; i < kOpenRequests; ++i) {
    driver.Open(core::RequestId(i));
  }
  const std::size_t after = HeapBytes();
  std::printf(
      "bench=request_table open=%llu bytes_per_request=%.0f\n",
      static_cast<unsigned long long>(kOpenRequests),
      static_cast<double>(after - before) / static_cast<double>(kOpenRequests));
  const std::uint64_t events_before = driver.events();
  const double start = CpuSeconds();
  for (std::uint64_t i = 0; i < requests; ++i) {
    driver.Open(core::RequestId(kOpenRequests + i));
    driver.Close(core::RequestId(i));
  }
  Print("request_table", driver.events() - events_before, CpuSeconds() - start);
  return driver.table().counters().delivered == requests;
}

bool RunAdmission(std::uint64_t requests) {
  auto controller =
      admission::ControllerBuilder()
          .Slots(384)
          .Class(core::WorkClass::kLatencyCritical, {.floor_share = 0.5})
          .Class(core::WorkClass::kBatch, {.floor_share = 0.3})
          .Build();
  if (!controller.has_value()) {
    return false;
  }
  core::TimePoint now{std::chrono::seconds(100)};
  std::vector<admission::Command> out;
  std::deque<core::RequestId> running;
  std::uint64_t events = 0;
  const auto give = [&](const admission::Event& event) {
    out.clear();
    controller->Handle(event, now, out);
    ++events;
    for (const admission::Command& command : out) {
      if (const auto* admit = std::get_if<admission::Admit>(&command)) {
        running.push_back(admit->request);
      }
    }
  };
  const double start = CpuSeconds();
  for (std::uint64_t i = 0; i < requests; ++i) {
    now += std::chrono::microseconds(10);
    // Twice as many arrive as finish, so the queues are full.
    give(admission::RequestQueued{core::RequestId(i), core::kWorkClasses[i % 2],
                                  now + std::chrono::seconds(10)});
    if (i % 2 == 0 && running.size() > 300) {
      const core::RequestId finished = running.front();
      running.pop_front();
      give(admission::RequestFinished{finished});
    }
  }
  Print("admission_flood", events, CpuSeconds() - start);
  return true;
}

bool RunTickets(std::uint64_t requests) {
  retry::TicketIssuer issuer({.entry = core::EntryId(0),
                              .incarnation = core::Incarnation(1),
                              .secret = 1});
  std::vector<retry::TicketCommand> out;
  const std::size_t before = HeapBytes();
  std::uint64_t granted = 0;
  const double start = CpuSeconds();
  for (std::uint64_t i = 0; i < requests; ++i) {
    out.clear();
    issuer.Handle(retry::IssueTickets{}, out);
    const retry::Ticket ticket =
        std::get<retry::TicketsIssued>(out[0]).tickets[0];
    out.clear();
    issuer.Handle(retry::ClaimTicket{.claim = {.request = core::RequestId(i)},
                                     .ticket = ticket},
                  out);
    granted += std::get<retry::TicketAnswer>(out[0]).verdict ==
                       retry::TicketVerdict::kGranted
                   ? 1
                   : 0;
  }
  Print("ticket_issuer", 2 * requests, CpuSeconds() - start);
  std::printf("bench=ticket_issuer recent=%zu heap_bytes=%zu\n",
              issuer.recent_size(), HeapBytes() - before);
  return granted == requests;
}

bool RunKeys(std::uint64_t requests) {
  retry::KeyClaims claims;
  const core::TimePoint now{std::chrono::seconds(100)};
  std::vector<retry::KeyCommand> out;
  std::uint64_t granted = 0;
  const double start = CpuSeconds();
  const auto count = [&] {
    granted += static_cast<std::uint64_t>(
        std::ranges::count_if(out, [](const retry::KeyCommand& command) {
          const auto* answer = std::get_if<retry::KeyAnswer>(&command);
          return answer != nullptr &&
                 answer->verdict == retry::KeyVerdict::kGranted;
        }));
    out.clear();
  };
  std::uint64_t written = 0;
  for (std::uint64_t i = 0; i < requests; ++i) {
    claims.Handle(
        retry::ClaimCallerKey{.claim = {.request = core::RequestId(i)},
                              .key = {.text = std::to_string(i)},
                              .deadline = now + std::chrono::seconds(10)},
        now, out);
    if (i % retry::kMaxKeysPerTransaction == 0) {
      claims.Handle(retry::KeysWritten{retry::KeyTransactionId(written++)}, now,
                    out);
      count();
    }
  }
  while (granted < requests && written < claims.counters().transactions) {
    claims.Handle(retry::KeysWritten{retry::KeyTransactionId(written++)}, now,
                  out);
    count();
  }
  Print("key_claims", requests, CpuSeconds() - start);
  return granted == requests;
}

int Run(const std::string& chart_file, std::uint64_t requests) {
  chart_yaml::Loader loader;
  const auto chart = loader.LoadFile(chart_file);
  for (const std::string& error : loader.errors()) {
    std::fprintf(stderr, "%s\n", error.c_str());
  }
  if (!chart.has_value()) {
    return 2;
  }
  const bool ok = RunRequests(*chart, requests) && RunAdmission(requests) &&
                  RunTickets(requests) && RunKeys(requests);
  std::printf("bench=retry_bench ok=%s\n", ok ? "yes" : "no");
  return ok ? 0 : 1;
}

}  // namespace
}  // namespace hickoryusher

int main(int argc, char** argv) {
  if (argc < 2 || argc > 3) {
    std::fprintf(stderr, "usage: retry_bench CHART_FILE [REQUESTS]\n");
    return 2;
  }
  try {
    return hickoryusher::Run(
        argv[1], argc == 3 ? std::strtoull(argv[2], nullptr, 10) : 1'000'000);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "retry_bench: %s\n", error.what());
    return 1;
  }
}
