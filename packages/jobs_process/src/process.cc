#include "jobs_process/process.h"

#include <algorithm>
#include <iterator>
#include <thread>
#include <utility>

#include "chart_yaml/load.h"
#include "clocks_p.h"
#include "http/front.h"
#include "intake_duty_p.h"
#include "scheduler_duty_p.h"
#include "telemetry/logger.h"

namespace hickoryusher::jobs_process {
namespace {

using std::chrono::milliseconds;

// Log lines buffered for a slow reader; further lines are dropped.
constexpr std::size_t kLogRingSlots = 4096;

// Time until the load balancer takes a draining process out of rotation: two
// failed checks, 1 s apart.
constexpr core::Duration kBalancerDetectionTime = milliseconds(2600);

// Part of the drain time that is reserved for stopping the threads.
constexpr core::Duration kStopMargin = milliseconds(700);

// One slice per failure domain: its owner sustains some 50 starts a second.
constexpr int kSlicesPerDomain = 1;

// Of the memory of the VM, for the responses that one upstream holds.
constexpr std::size_t kResponseMemoryDivisor = 8;
constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;

// An exchange with a libcurl handle and its buffers, and the call itself.
constexpr std::size_t kRequestBytes = 32 * kKilobyte;

// The document in the call, in the stored row, in the transaction, and each of
// these two as JSON text and in base64 at a time.
constexpr std::size_t kDocumentCopies = 8;

// Larger documents are refused before they are copied: a row holds 64 KiB.
constexpr std::size_t kLargestDocument = 64 * kKilobyte;

// Enough for a request with the largest body.
constexpr std::size_t kSmallestCallersBudget = 4 * kMegabyte;
constexpr std::size_t kUnknownCallersBudget = 64 * kMegabyte;
constexpr std::size_t kUnknownCallersConnections = 20'000;
constexpr std::size_t kReservedDescriptors = 200;  // For files.
constexpr std::size_t kSmallestCallersConnections = 16;
// Idle connections hold less than a third of the budget at the limit.
constexpr std::size_t kLeastConnectionBytes = 8 * kKilobyte;

// Only the load balancer uses the readiness port, without bodies.
constexpr std::size_t kReadinessBudget = 2 * kMegabyte;
constexpr std::size_t kReadinessConnections = 64;
constexpr std::size_t kReadinessMessage = 4 * kKilobyte;

constexpr std::size_t kUnknownResponseBudget = 32 * kMegabyte;

// Of the memory of the VM, for open jobs: what callers (a quarter) and two
// upstreams (an eighth each) may hold leaves a half, of which an idle process
// uses 23 MB.
constexpr std::size_t kJobMemoryDivisor = 4;
constexpr std::size_t kUnknownJobBudget = 64 * kMegabyte;

std::size_t MemoryOf(const ProcessOptions& options) {
  return static_cast<std::size_t>(options.memory_mb) * kMegabyte;
}

std::size_t ResponseBudget(const ProcessOptions& options) {
  return options.memory_mb > 0 ? MemoryOf(options) / kResponseMemoryDivisor
                               : kUnknownResponseBudget;
}

// A process may come to own all slices, each full of jobs.
std::size_t JobBytes(const ProcessOptions& options) {
  return options.memory_mb > 0 ? MemoryOf(options) / kJobMemoryDivisor
                               : kUnknownJobBudget;
}

http::FrontOptions CallersOptions(const ProcessOptions& options) {
  http::FrontOptions front;
  const std::size_t memory = MemoryOf(options);
  const auto fds = static_cast<std::size_t>(options.max_fds);
  front.max_bytes = memory == 0 ? kUnknownCallersBudget
                                : std::max(memory / 4, kSmallestCallersBudget);
  front.max_connections =
      fds == 0 ? kUnknownCallersConnections
               : std::max((fds - std::min(fds, kReservedDescriptors)) / 2,
                          kSmallestCallersConnections);
  front.max_connections =
      std::min(front.max_connections, front.max_bytes / kLeastConnectionBytes);
  front.request_cost = {.bytes = kRequestBytes,
                        .body_copies = kDocumentCopies,
                        .copied_body_bytes = kLargestDocument};
  return front;
}

http::FrontOptions ReadinessOptions() {
  http::FrontOptions front;
  front.max_bytes = kReadinessBudget;
  front.max_connections = kReadinessConnections;
  front.max_header_bytes = kReadinessMessage;
  front.max_body_bytes = kReadinessMessage;
  return front;
}

std::vector<jobs::SliceInfo> MakeSlices(
    std::span<const std::string> failure_domains) {
  std::vector<jobs::SliceInfo> slices;
  for (const std::string& domain : failure_domains) {
    for (int i = 0; i < kSlicesPerDomain; ++i) {
      slices.push_back(
          {.name = domain + "-" + std::to_string(i), .failure_domain = domain});
    }
  }
  return slices;
}

std::optional<SchedulerCharts> LoadCharts(const std::string& folder,
                                          std::vector<std::string>& errors) {
  chart_yaml::Loader loader;
  const auto load = [&](const char* name) {
    auto chart = loader.LoadFile(folder + "/" + name + ".yaml");
    std::ranges::copy(loader.errors(), std::back_inserter(errors));
    return chart;
  };
  auto slice_ownership = load("slice_ownership");
  auto task_run = load("task_run");
  auto worker_contact = load("worker_contact");
  if (!errors.empty()) {
    return std::nullopt;
  }
  return SchedulerCharts{.slice_ownership = *std::move(slice_ownership),
                         .task_run = *std::move(task_run),
                         .worker_contact = *std::move(worker_contact)};
}

}  // namespace

struct Process::Impl {
  Impl(ProcessOptions options_in, Ports ports_in)
      : options(std::move(options_in)), ports(std::move(ports_in)) {}

  bool Start(std::vector<std::string>& errors);
  bool StartDuties(std::vector<std::string>& errors);
  std::unique_ptr<http::Upstream> StartUpstream(
      std::function<bool(http::UpstreamEvent&)> sink,
      std::vector<std::string>& errors);
  std::unique_ptr<http::Front> StartFront(const Listener& listener,
                                          http::FrontOptions front_options,
                                          http::Front::RequestSink sink,
                                          std::vector<std::string>& errors);
  void Stop();

  ProcessOptions options;
  Ports ports;
  const std::string incarnation = std::to_string(UnixMillis());
  telemetry::Logger logger{kLogRingSlots};
  std::unique_ptr<IntakeDuty> intake;
  std::unique_ptr<SchedulerDuty> scheduler;
  std::unique_ptr<http::Upstream> intake_upstream;
  std::unique_ptr<http::Upstream> scheduler_upstream;
  std::unique_ptr<http::Front> callers;
  std::unique_ptr<http::Front> readiness;
};

bool Process::Impl::Start(std::vector<std::string>& errors) {
  auto charts = LoadCharts(options.chart_folder, errors);
  if (!charts) {
    return false;
  }
  const auto log = [this](const core::LogLine& line) { logger.Write(line); };
  const std::vector<jobs::SliceInfo> slices =
      MakeSlices(options.failure_domains);
  intake = std::make_unique<IntakeDuty>(
      ports, slices,
      IntakeDuty::Outputs{
          .respond =
              [this](http::Response r) { callers->Respond(std::move(r)); },
          .respond_readiness =
              [this](http::Response r) { readiness->Respond(std::move(r)); },
          .publish_state =
              [this](const jobs::OperatorState& state) {
                return scheduler->inputs().TryPush(SchedulerInput(state));
              },
          .log = log});
  scheduler = SchedulerDuty::Create(
      ports,
      {.process = options.process,
       .incarnation = incarnation,
       .failure_domain = options.failure_domain,
       .cpu_millis = options.cpu_millis,
       .slices = slices,
       .limits = options.limits,
       .slice_job_bytes =
           JobBytes(options) / std::max<std::size_t>(slices.size(), 1),
       .publish_loads =
           [this](auto loads) {
             intake->inputs().TryPush(IntakeInput(LoadsRead{std::move(loads)}));
           },
       .log = log},
      *std::move(charts), errors);
  return scheduler != nullptr && StartDuties(errors);
}

std::unique_ptr<http::Upstream> Process::Impl::StartUpstream(
    std::function<bool(http::UpstreamEvent&)> sink,
    std::vector<std::string>& errors) {
  http::UpstreamOptions upstream_options;
  upstream_options.response_budget_bytes = ResponseBudget(options);
  http::Upstream::Builder builder;
  builder.options(upstream_options);
  builder.on_event([sink = std::move(sink)](http::UpstreamEvent& event) {
    // Duties handle complete answers only: the first byte is ignored.
    return std::holds_alternative<http::FirstByte>(event) || sink(event);
  });
  auto upstream = builder.Start();
  if (!upstream) {
    errors.push_back(builder.last_error());
  }
  return upstream;
}

std::unique_ptr<http::Front> Process::Impl::StartFront(
    const Listener& listener,
    http::FrontOptions front_options,
    http::Front::RequestSink sink,
    std::vector<std::string>& errors) {
  front_options.address = listener.address;
  front_options.port = listener.port;
  front_options.threads = 1;
  front_options.makes_room = true;
  front_options.request_id_prefix = options.process + "-";
  http::Front::Builder builder;
  builder.options(front_options)
      .on_request(std::move(sink))
      .log([this](const core::LogLine& line) { logger.Write(line); });
  auto front = builder.Start();
  if (!front) {
    errors.push_back(builder.last_error());
  }
  return front;
}

bool Process::Impl::StartDuties(std::vector<std::string>& errors) {
  intake_upstream = StartUpstream(
      [this](http::UpstreamEvent& event) {
        return http::PushInto(intake->inputs(), event);
      },
      errors);
  scheduler_upstream = StartUpstream(
      [this](http::UpstreamEvent& event) {
        return http::PushInto(scheduler->inputs(), event);
      },
      errors);
  callers = StartFront(
      options.callers, CallersOptions(options),
      [this](http::IncomingRequest& request) {
        return http::PushInto(intake->inputs(), request);
      },
      errors);
  readiness = StartFront(
      options.readiness, ReadinessOptions(),
      [this](http::IncomingRequest& request) {
        return intake->inputs().TryPush(
            IntakeInput(ReadinessRequested{.request = request.id}));
      },
      errors);
  if (!errors.empty()) {
    return false;
  }
  scheduler->Start(*scheduler_upstream);
  intake->Start(*intake_upstream);
  logger.Write(core::LogLine("process_started")
                   .Add("process", options.process)
                   .Add("incarnation", incarnation)
                   .Add("failure_domain", options.failure_domain));
  return true;
}

void Process::Impl::Stop() {
  if (callers) {
    callers->Shutdown();
  }
  if (readiness) {
    readiness->Shutdown();
  }
  if (intake) {
    intake->Stop();
  }
  if (scheduler) {
    scheduler->Stop();
  }
  if (intake_upstream) {
    intake_upstream->Shutdown();
  }
  if (scheduler_upstream) {
    scheduler_upstream->Shutdown();
  }
}

Process::Process(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Process::~Process() {
  impl_->Stop();
}

void Process::Log(const core::LogLine& line) {
  impl_->logger.Write(line);
}

void Process::Drain() {
  const core::TimePoint begun = Now();
  Log(core::LogLine("process_draining")
          .Add("in_flight", impl_->callers->in_flight()));
  impl_->intake->StartDraining();
  impl_->scheduler->inputs().TryPush(SchedulerInput(SliceReleaseRequested{}));
  // New connections arrive until the load balancer has detected the drain.
  std::this_thread::sleep_until(begun + kBalancerDetectionTime);
  impl_->callers->StopAccepting();
  const bool idle =
      impl_->callers->WaitIdle(begun + impl_->options.drain_time - kStopMargin);
  Log(core::LogLine("process_stopped").Add("idle", idle));
  impl_->Stop();
}

std::unique_ptr<Process> Process::Builder::Start() {
  errors_.clear();
  auto impl = std::make_unique<Impl>(std::move(options_), std::move(ports_));
  if (!impl->Start(errors_)) {
    impl->Stop();
    return nullptr;
  }
  return std::unique_ptr<Process>(new Process(std::move(impl)));
}

}  // namespace hickoryusher::jobs_process
