#include "http/upstream.h"

#include <algorithm>
#include <deque>
#include <map>
#include <ranges>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/overloaded.h"
#include "exchange_p.h"
#include "runtime/duty_thread.h"

namespace hickoryusher::http {
namespace {

using std::chrono::milliseconds;

// How soon a refused event is offered again.
constexpr milliseconds kEventRetry{5};
// Upper limit of one wait; curl_multi_wakeup ends it early.
constexpr milliseconds kLongestWait{60'000};

core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

struct MultiDeleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

/// @returns `address:port` of a URL that starts with `http://`.
std::string_view HostOf(std::string_view url) {
  url.remove_prefix(std::string_view("http://").size());
  return url.substr(0, url.find_first_of("/?"));
}

}  // namespace

struct Upstream::Impl {
  struct Host {
    std::size_t active = 0;
    std::size_t limit = 0;
  };
  /// An event that the sink did not take, with what its response holds of the
  /// budget.
  struct WaitingEvent {
    UpstreamEvent event;
    ByteCharge charge;
  };
  using Deadline = std::pair<core::TimePoint, core::AttemptId>;

  Impl(UpstreamOptions options, EventSink sink)
      : options(options),
        sink(std::move(sink)),
        commands(options.command_capacity),
        response_budget(options.response_budget_bytes) {}

  void Run();
  void ReadCommands();
  void Start(StartExchange&& command);
  bool Admit(const StartExchange& command);
  void UpdateHostLimit(Host& host, std::size_t limit);
  void End(core::AttemptId id, UpstreamEvent&& event);
  void FailEarly(const StartExchange& command, std::string_view reason);
  void ReadResults();
  void ReportFirstBytes();
  void ExpireFirstBytes();
  void Emit(UpstreamEvent&& event, ByteCharge charge = {});
  void FlushEvents();
  milliseconds WaitTime() const;
  EasyHandle TakeEasy();

  UpstreamOptions options;
  EventSink sink;
  runtime::Ring<UpstreamCommand> commands;
  std::vector<UpstreamCommand> drained;
  std::unique_ptr<CURLM, MultiDeleter> multi;
  std::vector<EasyHandle> spare;
  /// Outlives what holds bytes of it.
  ByteBudget response_budget;
  std::unordered_map<core::AttemptId, std::unique_ptr<Exchange>> exchanges;
  std::map<std::string, Host, std::less<>> hosts;
  std::size_t host_limit = 0;
  std::set<Deadline> first_byte_deadlines;
  /// Exchanges whose answer began since the last report.
  std::vector<Exchange*> started_answers;
  std::deque<WaitingEvent> refused_events;
  runtime::DutyThread thread;
};

void Upstream::Impl::Run() {
  while (true) {
    FlushEvents();
    if (refused_events.empty()) {
      ReadCommands();
    }
    if (commands.finished()) {
      break;
    }
    int running = 0;
    curl_multi_perform(multi.get(), &running);
    ReportFirstBytes();
    ReadResults();
    ExpireFirstBytes();
    curl_multi_poll(multi.get(), nullptr, 0,
                    static_cast<int>(WaitTime().count()), nullptr);
  }
  while (!exchanges.empty()) {
    const auto& [id, exchange] = *exchanges.begin();
    End(id, exchange->Fail("shutting_down", Now()));
  }
  spare.clear();
}

milliseconds Upstream::Impl::WaitTime() const {
  if (!refused_events.empty()) {
    return kEventRetry;
  }
  if (first_byte_deadlines.empty()) {
    return kLongestWait;
  }
  const auto left = std::chrono::ceil<milliseconds>(
      first_byte_deadlines.begin()->first - Now());
  return std::clamp(left, milliseconds(0), kLongestWait);
}

void Upstream::Impl::ReadCommands() {
  drained.clear();
  commands.Drain(drained);
  for (UpstreamCommand& command : drained) {
    std::visit(core::Overloaded{
                   [this](StartExchange& start) { Start(std::move(start)); },
                   [this](const CancelExchange& cancel) {
                     if (const auto found = exchanges.find(cancel.id);
                         found != exchanges.end()) {
                       End(cancel.id, found->second->Fail("cancelled", Now()));
                     }
                   },
               },
               command);
  }
}

EasyHandle Upstream::Impl::TakeEasy() {
  if (spare.empty()) {
    return EasyHandle(curl_easy_init());
  }
  EasyHandle easy = std::move(spare.back());
  spare.pop_back();
  curl_easy_reset(easy.get());
  return easy;
}

bool Upstream::Impl::Admit(const StartExchange& command) {
  if (!Exchange::IsValid(command) || exchanges.contains(command.id)) {
    FailEarly(command, "invalid_request");
    return false;
  }
  if (exchanges.size() >= options.max_exchanges) {
    FailEarly(command, "exchange_limit");
    return false;
  }
  Host& host = hosts[std::string(HostOf(command.url))];
  UpdateHostLimit(host, command.max_connections_per_host);
  if (host.active >= host.limit) {
    FailEarly(command, "connection_limit");
    return false;
  }
  ++host.active;
  return true;
}

// libcurl has one limit for all hosts. The smallest limit in use is set, so
// that idle connections never exceed a host's limit together with active ones.
void Upstream::Impl::UpdateHostLimit(Host& host, std::size_t limit) {
  if (host.limit == limit) {
    return;
  }
  host.limit = limit;
  const std::size_t smallest = std::ranges::min(
      hosts | std::views::values | std::views::transform(&Host::limit));
  if (smallest != host_limit) {
    host_limit = smallest;
    curl_multi_setopt(multi.get(), CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(smallest));
  }
}

void Upstream::Impl::Start(StartExchange&& command) {
  if (!Admit(command)) {
    return;
  }
  const core::AttemptId id = command.id;
  auto exchange = std::make_unique<Exchange>(std::move(command), TakeEasy(),
                                             options.max_response_header_bytes,
                                             response_budget, started_answers);
  Exchange& added = *exchange;
  exchanges.emplace(id, std::move(exchange));
  if (!added.Prepare() ||
      curl_multi_add_handle(multi.get(), added.easy()) != CURLM_OK) {
    End(id, added.Fail("internal", Now()));
    return;
  }
  if (const auto limit = added.command().first_byte_timeout;
      limit > milliseconds::zero()) {
    added.first_byte_deadline = Now() + limit;
    first_byte_deadlines.emplace(added.first_byte_deadline, id);
  }
}

void Upstream::Impl::FailEarly(const StartExchange& command,
                               std::string_view reason) {
  Emit(Failed{.id = command.id,
              .stage = Stage::kBeforeConnection,
              .reason = reason,
              .at = Now()});
}

void Upstream::Impl::End(core::AttemptId id, UpstreamEvent&& event) {
  const auto found = exchanges.find(id);
  Exchange& exchange = *found->second;
  first_byte_deadlines.erase({exchange.first_byte_deadline, id});
  curl_multi_remove_handle(multi.get(), exchange.easy());
  --hosts.find(HostOf(exchange.command().url))->second.active;
  spare.push_back(exchange.TakeEasy());
  // A failure holds nothing of the response.
  ByteCharge charge = std::holds_alternative<Completed>(event)
                          ? exchange.TakeCharge()
                          : ByteCharge();
  exchanges.erase(found);
  Emit(std::move(event), std::move(charge));
}

void Upstream::Impl::ReportFirstBytes() {
  for (Exchange* exchange : started_answers) {
    const core::AttemptId id = exchange->command().id;
    first_byte_deadlines.erase({exchange->first_byte_deadline, id});
    Emit(FirstByte{.id = id, .at = Now()});
  }
  started_answers.clear();
}

void Upstream::Impl::ReadResults() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi.get(), &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    Exchange* exchange = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &exchange);
    End(exchange->command().id, exchange->Finish(message->data.result, Now()));
  }
}

void Upstream::Impl::ExpireFirstBytes() {
  const core::TimePoint now = Now();
  while (!first_byte_deadlines.empty() &&
         first_byte_deadlines.begin()->first <= now) {
    const core::AttemptId id = first_byte_deadlines.begin()->second;
    End(id, exchanges.at(id)->Fail("first_byte_timeout", now));
  }
}

void Upstream::Impl::Emit(UpstreamEvent&& event, ByteCharge charge) {
  if (!refused_events.empty() || !sink(event)) {
    refused_events.push_back(
        {.event = std::move(event), .charge = std::move(charge)});
  }
}

void Upstream::Impl::FlushEvents() {
  while (!refused_events.empty() && sink(refused_events.front().event)) {
    refused_events.pop_front();
  }
}

Upstream::Upstream(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Upstream::~Upstream() {
  Shutdown();
}

bool Upstream::TrySend(UpstreamCommand&& command) {
  return impl_->commands.TryPush(std::move(command));
}

const ByteBudget& Upstream::response_budget() const {
  return impl_->response_budget;
}

void Upstream::Shutdown() {
  impl_->commands.Close();
  impl_->thread.Join();
}

std::unique_ptr<Upstream> Upstream::Builder::Start() {
  if (!sink_) {
    last_error_ = "upstream needs an event sink";
    return nullptr;
  }
  // curl_global_init is thread-safe since libcurl 7.84.
  if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
    last_error_ = "libcurl cannot be initialised";
    return nullptr;
  }
  auto impl = std::make_unique<Impl>(options_, sink_);
  impl->multi.reset(curl_multi_init());
  if (impl->multi == nullptr) {
    last_error_ = "libcurl cannot create a multi handle";
    return nullptr;
  }
  curl_multi_setopt(impl->multi.get(), CURLMOPT_MAXCONNECTS,
                    static_cast<long>(options_.max_idle_connections));
  impl->commands.SetWaker(
      [multi = impl->multi.get()] { curl_multi_wakeup(multi); });
  impl->thread =
      runtime::DutyThread("upstream", [raw = impl.get()] { raw->Run(); });
  return std::unique_ptr<Upstream>(new Upstream(std::move(impl)));
}

}  // namespace hickoryusher::http
