#include "platform/fault_server.h"

#include <pistache/endpoint.h>

#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "platform/json.h"
#include "runtime/duty_thread.h"
#include "runtime/ring.h"

namespace hickoryusher::standins {
namespace {

namespace http = Pistache::Http;

constexpr int kThreads = 2;
constexpr std::size_t kMaxRequestBytes = std::size_t{64} << 20;
// Requests that wait while the service is slow; more are answered with 503.
constexpr std::size_t kMaxDelayed = 4096;

/// A request that runs later because the service is slow.
struct Delayed {
  core::TimePoint due;
  Request request;
  http::ResponseWriter writer;
};

void Answer(http::ResponseWriter& writer, const Reply& reply) {
  try {
    writer.send(static_cast<http::Code>(reply.status), reply.body);
  } catch (const std::exception& error) {
    // The client has closed the connection in the meantime.
    std::cerr << "event=answer_not_sent error=\"" << error.what() << "\"\n";
  }
}

}  // namespace

class FaultServer::Impl {
 public:
  Impl(std::uint16_t port, IsWrite is_write, Handler handler)
      : is_write_(std::move(is_write)),
        handler_(std::move(handler)),
        endpoint_(Pistache::Address(Pistache::Ipv4::loopback(),
                                    Pistache::Port(port))) {}

  void Start() {
    endpoint_.init(http::Endpoint::options()
                       .threads(kThreads)
                       .flags(Pistache::Tcp::Options::ReuseAddr)
                       .maxRequestSize(kMaxRequestBytes)
                       .maxResponseSize(kMaxRequestBytes));
    endpoint_.setHandler(std::make_shared<Adapter>(this));
    endpoint_.serveThreaded();
    port_ = static_cast<std::uint16_t>(endpoint_.getPort());
    delay_thread_ = runtime::DutyThread("slow_answers", [this] { RunDelay(); });
  }

  void Stop() {
    delayed_.Close();
    delay_thread_.Join();
    endpoint_.shutdown();
  }

  void Accept(Request request, http::ResponseWriter writer) {
    if (request.path == "/faults") {
      Answer(writer, ReadFaults(request));
      return;
    }
    request.write = is_write_(request);
    const Faults now = faults();
    if (now.outage) {
      Answer(writer, {.status = 503});
      return;
    }
    if (now.slow_ms <= 0) {
      Run(request, writer);
      return;
    }
    Delayed item{.due = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(now.slow_ms),
                 .request = std::move(request),
                 .writer = std::move(writer)};
    if (!delayed_.TryPush(std::move(item))) {
      // A refused push leaves the item as it was.
      Answer(item.writer, {.status = 503});  // NOLINT(bugprone-use-after-move)
    }
  }

  std::uint16_t port() const { return port_; }

  Faults faults() const {
    const std::lock_guard lock(mutex_);
    return faults_;
  }

  void SetFaults(const Faults& faults) {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
  }

 private:
  /// Pistache's handler interface.
  class Adapter : public http::Handler {
   public:
    HTTP_PROTOTYPE(Adapter)

    explicit Adapter(Impl* impl) : impl_(impl) {}

    void onRequest(const http::Request& request,
                   http::ResponseWriter writer) override {
      impl_->Accept({.method = http::methodString(request.method()),
                     .path = request.resource(),
                     .body = request.body()},
                    std::move(writer));
    }

   private:
    Impl* impl_;
  };

  Reply ReadFaults(const Request& request) {
    const std::optional<Json::Value> json = ParseJson(request.body);
    if (!json) {
      return {.status = 400};
    }
    const std::lock_guard lock(mutex_);
    faults_.outage = json->get("outage", faults_.outage).asBool();
    faults_.slow_ms =
        json->get("slow_ms", Json::Int64(faults_.slow_ms)).asInt64();
    faults_.lost_answers =
        json->get("lost_answers", Json::Int64(faults_.lost_answers)).asInt64();
    faults_.lag_ms = json->get("lag_ms", Json::Int64(faults_.lag_ms)).asInt64();
    return {};
  }

  void Run(const Request& request, http::ResponseWriter& writer) {
    const Reply reply = handler_(request);
    // Without an answer the connection stays open until the client closes it.
    if (reply.answer &&
        !(request.write && reply.status == 200 && TakeLostAnswer())) {
      Answer(writer, reply);
    }
  }

  bool TakeLostAnswer() {
    const std::lock_guard lock(mutex_);
    if (faults_.lost_answers <= 0) {
      return false;
    }
    --faults_.lost_answers;
    return true;
  }

  void RunDelay() {
    std::multimap<core::TimePoint, Delayed> waiting;
    std::vector<Delayed> arrived;
    while (!delayed_.finished()) {
      arrived.clear();
      if (waiting.empty()) {
        delayed_.WaitDrain(arrived);
      } else {
        delayed_.WaitDrain(arrived, waiting.begin()->first);
      }
      for (Delayed& item : arrived) {
        const core::TimePoint due = item.due;
        waiting.emplace(due, std::move(item));
      }
      while (!waiting.empty() &&
             waiting.begin()->first <= std::chrono::steady_clock::now()) {
        Delayed& item = waiting.begin()->second;
        Run(item.request, item.writer);
        waiting.erase(waiting.begin());
      }
    }
  }

  IsWrite is_write_;
  Handler handler_;
  mutable std::mutex mutex_;
  Faults faults_;
  http::Endpoint endpoint_;
  std::uint16_t port_ = 0;
  runtime::Ring<Delayed> delayed_{kMaxDelayed};
  runtime::DutyThread delay_thread_;
};

FaultServer::FaultServer(std::uint16_t port, IsWrite is_write, Handler handler)
    : impl_(std::make_unique<Impl>(port,
                                   std::move(is_write),
                                   std::move(handler))) {
  impl_->Start();
}

FaultServer::~FaultServer() {
  impl_->Stop();
}

std::uint16_t FaultServer::port() const {
  return impl_->port();
}

std::string FaultServer::url() const {
  return "http://127.0.0.1:" + std::to_string(port());
}

Faults FaultServer::faults() const {
  return impl_->faults();
}

void FaultServer::SetFaults(const Faults& faults) {
  impl_->SetFaults(faults);
}

}  // namespace hickoryusher::standins
