#include "entry/process.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <random>
#include <utility>

#include "charts_p.h"
#include "core/overloaded.h"
#include "directory_p.h"
#include "http/front.h"
#include "lifecycle_p.h"
#include "peer_exchange_p.h"
#include "router_duty_p.h"
#include "scheduler_duty_p.h"
#include "settings_runtime_p.h"
#include "store/http_adapter.h"
#include "telemetry/logger.h"

namespace hickoryusher::entry {
namespace {

constexpr std::size_t kLogRingSlots = 16'384;

// A JSON-RPC call over HTTP is several hundred bytes, and a node may spend 3
// KB/s on control. Nothing waits for a hello but the first proof of life.
constexpr core::Duration kHelloInterval = std::chrono::seconds(5);

// Without the release, the other processes need a proof of death before they
// may use this process's slots.
constexpr core::Duration kReleaseTimeout = std::chrono::seconds(2);

http::FrontOptions MakeFrontOptions(const config::ProcessSettings& settings) {
  const auto millis = [](core::Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  };
  http::FrontOptions options;
  options.address = settings.self().address;
  options.port = settings.self().port;
  options.threads = settings.http_threads;
  options.max_header_bytes = settings.limits.header_bytes;
  options.max_body_bytes = settings.limits.body_bytes;
  options.header_timeout = millis(settings.limits.header_timeout);
  options.body_timeout = millis(settings.limits.body_timeout);
  options.request_id_prefix = settings.entry + "-";
  return options;
}

/// Number of slots of a service that this process may use.
std::size_t OwnSlots(const routing::Router& router, core::ServiceId service) {
  std::size_t total = 0;
  for (std::size_t i = 0; i < router.endpoints().size(); ++i) {
    if (router.endpoints()[i].service == service) {
      total += static_cast<std::size_t>(router.slots().entries()[i].slots);
    }
  }
  return total;
}

std::vector<ServicePolicy> FilePolicies(
    const config::ProcessSettings& settings) {
  std::vector<ServicePolicy> policies;
  std::ranges::transform(settings.services, std::back_inserter(policies),
                         FilePolicy);
  return policies;
}

/// Numbers the runs of this process. Entry VMs keep nothing, so the wall clock
/// is the only source that grows across restarts.
core::Incarnation MakeIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return core::Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count()));
}

}  // namespace

struct Process::Impl {
  config::ProcessSettings settings;
  Charts charts;
  Directory directory;
  bool first_start;
  core::Incarnation incarnation = MakeIncarnation();
  telemetry::Logger logger{kLogRingSlots};
  telemetry::Metrics metrics;
  std::unique_ptr<RouterDuty> router;
  std::unique_ptr<SchedulerDuty> scheduler;
  std::unique_ptr<http::Upstream> upstream;
  std::unique_ptr<http::Upstream> peers;
  std::unique_ptr<store::HttpAdapter> store;
  std::unique_ptr<SettingsRuntime> settings_runtime;
  std::unique_ptr<http::Front> front;
  std::optional<Lifecycle> lifecycle;

  Impl(config::ProcessSettings settings_in, Charts charts_in, bool first)
      : settings(std::move(settings_in)),
        charts(std::move(charts_in)),
        directory(settings),
        first_start(first) {}

  bool Start(std::vector<std::string>& errors) {
    MakeStore();
    return MakeRouter(errors) && MakeUpstream(errors) && MakePeers(errors) &&
           MakeSettings(errors) && MakeScheduler(errors) &&
           MakeLifecycle(errors) && MakeFront(errors);
  }

  std::optional<ShareManager> MakeShares(
      std::vector<std::string>& errors) const;
  bool MakeRouter(std::vector<std::string>& errors);
  bool MakeUpstream(std::vector<std::string>& errors);
  bool MakePeers(std::vector<std::string>& errors);
  bool MakeScheduler(std::vector<std::string>& errors);
  bool TakeRequest(http::IncomingRequest& request);
  void MakeStore();
  bool MakeSettings(std::vector<std::string>& errors);
  bool MakeLifecycle(std::vector<std::string>& errors);
  bool MakeFront(std::vector<std::string>& errors);
  std::optional<std::vector<admission::Controller>> MakeAdmission(
      const routing::Router& routes,
      std::vector<std::string>& errors) const;
  void Stop();
};

std::optional<std::vector<admission::Controller>> Process::Impl::MakeAdmission(
    const routing::Router& routes,
    std::vector<std::string>& errors) const {
  std::vector<admission::Controller> controllers;
  for (const config::ServiceSettings& service : settings.services) {
    admission::ControllerBuilder builder;
    builder.Slots(OwnSlots(routes, directory.FindService(service.name)));
    for (const core::WorkClass work_class : core::kWorkClasses) {
      builder.Class(work_class,
                    {.floor_share = service.floors[core::Index(work_class)]});
    }
    auto controller = builder.Build();
    if (!controller) {
      errors.push_back("service '" + service.name +
                       "': " + std::string(builder.last_error()));
      return std::nullopt;
    }
    controllers.push_back(*std::move(controller));
  }
  return controllers;
}

std::optional<ShareManager> Process::Impl::MakeShares(
    std::vector<std::string>& errors) const {
  VmTable vms;
  routing::ShareLedger::Builder builder;
  const std::span<const std::uint32_t> seats = directory.seats_by_domain();
  for (std::uint32_t i = 0; i < seats.size(); ++i) {
    builder.AddDomain(core::FailureDomainId(i), seats[i]);
  }
  builder.Endpoints(directory.endpoints())
      .Self({.address = {.domain = directory.own_domain(),
                         .seat = directory.own_seat()},
             .incarnation = incarnation,
             .vm = vms.Intern(settings.self().vm)})
      .Settings({.longest_deadline = settings.limits.longest_deadline,
                 .hello_interval = kHelloInterval})
      .StartedAt(std::chrono::steady_clock::now());
  if (first_start) {
    builder.NoPredecessor();
  }
  auto ledger = builder.Build();
  if (!ledger) {
    std::ranges::copy(builder.problems(), std::back_inserter(errors));
    return std::nullopt;
  }
  return ShareManager(directory, std::move(vms), *std::move(ledger));
}

bool Process::Impl::MakeRouter(std::vector<std::string>& errors) {
  routing::Router::Builder routes;
  routes.HealthChart(charts.endpoint_health)
      .Seat(directory.own_domain(), directory.own_seat(), directory.seats())
      .Settings({.longest_deadline = settings.limits.longest_deadline,
                 .seed = std::random_device()()});
  std::ranges::for_each(
      directory.endpoints(),
      [&routes](const routing::EndpointSpec& e) { routes.AddEndpoint(e); });
  auto router_decisions = routes.Build();
  if (!router_decisions) {
    std::ranges::copy(routes.problems(), std::back_inserter(errors));
    return false;
  }
  auto admission = MakeAdmission(*router_decisions, errors);
  if (!admission) {
    return false;
  }
  retry::RequestTableBuilder requests(charts.request_attempt);
  auto table = requests.Build();
  if (!table) {
    std::ranges::transform(requests.problems(), std::back_inserter(errors),
                           &chart::Problem::text);
    return false;
  }
  auto shares = MakeShares(errors);
  if (!shares) {
    return false;
  }
  auto path = std::make_unique<RequestPath>(RequestPath::Parts{
      .directory = directory,
      .requests = *std::move(table),
      .admission = *std::move(admission),
      .router = *std::move(router_decisions),
      .keys = KeyArbiter(directory, incarnation, std::random_device()()),
      .shares = *std::move(shares),
      .metrics = metrics,
      .log = [this](const core::LogLine& line) { logger.Write(line); },
      .longest_deadline = settings.limits.longest_deadline,
      .max_response_bytes = settings.limits.response_bytes,
      .policies = FilePolicies(settings)});
  router = std::make_unique<RouterDuty>(std::move(path), metrics,
                                        settings.limits.ring_slots);
  metrics.AddGauge(
      "hickoryusher_ring_depth", "Elements waiting in a ring", "router",
      [this] { return static_cast<double>(router->inputs().size()); });
  return true;
}

bool Process::Impl::MakeUpstream(std::vector<std::string>& errors) {
  http::Upstream::Builder builder;
  builder.events(router->inputs());
  upstream = builder.Start();
  if (!upstream) {
    errors.push_back(builder.last_error());
  }
  return upstream != nullptr;
}

bool Process::Impl::MakePeers(std::vector<std::string>& errors) {
  http::Upstream::Builder builder;
  builder.on_event([this](http::UpstreamEvent& event) {
    const auto reply = ToPeerReply(event);
    return !reply || router->inputs().TryPush(RouterInput(*reply));
  });
  peers = builder.Start();
  if (!peers) {
    errors.push_back(builder.last_error());
  }
  return peers != nullptr;
}

void Process::Impl::MakeStore() {
  store = std::make_unique<store::HttpAdapter>(
      store::HttpAdapter::Options{.table_url = settings.platform.table_url,
                                  .object_url = settings.platform.object_url,
                                  .vm_list_url = settings.platform.vm_list_url},
      [this](store::Event&& event) {
        return router->inputs().TryPush(RouterInput(event));
      });
}

bool Process::Impl::MakeSettings(std::vector<std::string>& errors) {
  settings_runtime = SettingsRuntime::Create(
      {.settings = settings,
       .directory = directory,
       .chart = charts.settings_revision,
       .respond =
           [this](http::Response r) { return front->Respond(std::move(r)); },
       .log = [this](const core::LogLine& line) { logger.Write(line); },
       .apply =
           [this](PoliciesChanged&& change) {
             return router->inputs().TryPush(RouterInput(std::move(change)));
           }},
      errors);
  return settings_runtime != nullptr;
}

bool Process::Impl::MakeScheduler(std::vector<std::string>& errors) {
  scheduler = SchedulerDuty::Create(
      {.settings = settings,
       .directory = directory,
       .charts = charts,
       .incarnation = incarnation,
       .log = [this](const core::LogLine& line) { logger.Write(line); }},
      errors);
  if (scheduler) {
    metrics.AddGauge(
        "hickoryusher_ring_depth", "Elements waiting in a ring", "scheduler",
        [this] { return static_cast<double>(scheduler->inputs().size()); });
  }
  return scheduler != nullptr;
}

bool Process::Impl::TakeRequest(http::IncomingRequest& request) {
  if (SettingsRuntime::Serves(request)) {
    return settings_runtime->Take(request);
  }
  return SchedulerDuty::Answers(request.path)
             ? http::PushInto(scheduler->inputs(), request)
             : http::PushInto(router->inputs(), request);
}

bool Process::Impl::MakeLifecycle(std::vector<std::string>& errors) {
  std::vector<chart::Problem> problems;
  lifecycle = Lifecycle::Create(
      charts.entry_lifecycle,
      {.set_health = [this](bool passing) { router->SetHealthy(passing); },
       .refuse_new_requests =
           [this] {
             front->StopAccepting();
             router->inputs().TryPush(RouterInput(StopRequested{}));
           }},
      settings.limits.longest_deadline, problems);
  std::ranges::transform(problems, std::back_inserter(errors),
                         &chart::Problem::text);
  return lifecycle.has_value();
}

bool Process::Impl::MakeFront(std::vector<std::string>& errors) {
  http::Front::Builder builder;
  builder.options(MakeFrontOptions(settings))
      .on_request([this](http::IncomingRequest& r) { return TakeRequest(r); })
      .log([this](const core::LogLine& line) { logger.Write(line); });
  front = builder.Start();
  if (!front) {
    errors.push_back(builder.last_error());
    return false;
  }
  router->Start(
      {.respond =
           [this](http::Response r) { return front->Respond(std::move(r)); },
       .send =
           [this](http::UpstreamCommand&& c) {
             return upstream->TrySend(std::move(c));
           },
       .store =
           [this](store::Command&& c) { return store->Send(std::move(c)); },
       .call =
           [this](PeerCall&& c) {
             return peers->TrySend(ToExchange(std::move(c), directory));
           }});
  scheduler->Start(
      [this](http::Response r) { return front->Respond(std::move(r)); });
  settings_runtime->Start();
  settings_runtime->WaitReady();
  lifecycle->Dispatch("ready");
  logger.Write(core::LogLine("entry_ready")
                   .Add("entry", settings.entry)
                   .Add("failure_domain", settings.self().failure_domain)
                   .Add("port", front->port()));
  return true;
}

void Process::Impl::Stop() {
  if (front) {
    front->Shutdown();
  }
  if (upstream) {
    upstream->Shutdown();
  }
  if (peers) {
    peers->Shutdown();
  }
  if (scheduler) {
    scheduler->Stop();
  }
  settings_runtime.reset();
  if (router) {
    router->Stop();
  }
  // The router thread sends store commands until it ends.
  store.reset();
}

Process::Process(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Process::~Process() {
  impl_->Stop();
}

bool Process::Drain() {
  Lifecycle& lifecycle = *impl_->lifecycle;
  lifecycle.Dispatch("stop_requested");
  impl_->logger.Write(core::LogLine("entry_draining")
                          .Add("in_flight", impl_->front->in_flight()));
  const core::TimePoint until = std::chrono::steady_clock::now() +
                                lifecycle.limit().value_or(core::Duration());
  const bool idle = impl_->front->WaitIdle(until);
  if (idle &&
      impl_->router->inputs().TryPush(RouterInput(ReleaseRequested{}))) {
    impl_->router->WaitReleased(std::chrono::steady_clock::now() +
                                kReleaseTimeout);
  }
  impl_->scheduler->Release(std::chrono::steady_clock::now() + kReleaseTimeout);
  lifecycle.Dispatch(idle ? "idle" : "drain_expired");
  impl_->logger.Write(core::LogLine("entry_stopped")
                          .Add("state", lifecycle.state())
                          .Add("in_flight", impl_->front->in_flight()));
  impl_->Stop();
  return idle;
}

std::unique_ptr<Process> Process::Builder::Start() {
  errors_.clear();
  auto charts = LoadCharts(settings_.chart_folder, errors_);
  if (!charts) {
    return nullptr;
  }
  auto impl =
      std::make_unique<Impl>(settings_, *std::move(charts), first_start_);
  if (!impl->Start(errors_)) {
    impl->Stop();
    return nullptr;
  }
  return std::unique_ptr<Process>(new Process(std::move(impl)));
}

}  // namespace hickoryusher::entry
