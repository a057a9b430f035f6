#include "http/front.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <exception>
#include <utility>

#include "front_transport_p.h"

namespace hickoryusher::http {

struct Front::Impl {
  std::shared_ptr<FrontShared> shared;
  std::unique_ptr<Pistache::Tcp::Listener> listener;
  std::uint16_t port = 0;
};

Front::Front(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Front::~Front() {
  Shutdown();
}

std::uint16_t Front::port() const {
  return impl_->port;
}

bool Front::Respond(Response response) {
  auto& inboxes = impl_->shared->inboxes;
  if (!response.id.valid()) {
    impl_->shared->dropped.fetch_add(1);
    return false;
  }
  return inboxes[response.id.value() % inboxes.size()]->responses.TryPush(
      std::move(response));
}

void Front::StopAccepting() {
  impl_->shared->stopping = true;
}

std::size_t Front::in_flight() const {
  return impl_->shared->in_flight;
}

bool Front::WaitIdle(core::TimePoint until) const {
  FrontShared& shared = *impl_->shared;
  std::unique_lock lock(shared.idle_mutex);
  return shared.idle.wait_until(lock, until,
                                [&] { return shared.in_flight == 0; });
}

void Front::Shutdown() {
  impl_->shared->stopping = true;
  for (const auto& inbox : impl_->shared->inboxes) {
    inbox->responses.Close();
  }
  if (impl_->listener) {
    impl_->listener->shutdown();
    impl_->listener.reset();
  }
}

std::uint64_t Front::dropped_responses() const {
  return impl_->shared->dropped;
}

std::size_t Front::connections() const {
  return impl_->shared->connections;
}

FrontCounters Front::counters() const {
  return impl_->shared->Counters();
}

std::unique_ptr<Front> Front::Builder::Start() {
  if (!sink_ || options_.threads < 1) {
    last_error_ = "front needs a request sink and at least one thread";
    return nullptr;
  }
  auto impl = std::make_unique<Impl>();
  impl->shared = std::make_shared<FrontShared>(options_);
  impl->shared->sink = sink_;
  impl->shared->log = log_;
  for (int i = 0; i < options_.threads; ++i) {
    // Twice the limit, so that responses to unknown requests cannot crowd out
    // the others.
    auto inbox =
        std::make_unique<ResponseInbox>(2 * options_.max_in_flight_per_thread);
    inbox->wake_fd.reset(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    inbox->responses.SetWaker([target = inbox.get()] {
      if (!target->woken.exchange(true)) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const ssize_t size =
            write(target->wake_fd.get(), &one, sizeof one);
      }
    });
    impl->shared->inboxes.push_back(std::move(inbox));
    impl->shared->budgets.push_back(std::make_unique<ByteBudget>(
        options_.max_bytes / static_cast<std::size_t>(options_.threads)));
  }
  try {
    using Pistache::Tcp::Options;
    impl->listener = std::make_unique<Pistache::Tcp::Listener>(
        Pistache::Address(options_.address, Pistache::Port(options_.port)));
    impl->listener->init(
        static_cast<std::size_t>(options_.threads),
        Pistache::Flags<Options>(Options::ReuseAddr | Options::NoDelay |
                                 Options::CloseOnExec),
        "http_front");
    impl->listener->setTransportFactory(
        [shared = impl->shared]() -> std::shared_ptr<Pistache::Tcp::Transport> {
          return std::make_shared<FrontTransport>(
              std::make_shared<FrontHandler>(), shared);
        });
    impl->listener->setHandler(std::make_shared<FrontHandler>());
    impl->listener->bind();
    impl->port = impl->listener->getPort();
    impl->shared->port = impl->port;
    impl->listener->runThreaded();
  } catch (const std::exception& error) {
    last_error_ = "cannot listen on " + options_.address + ":" +
                  std::to_string(options_.port) + ": " + error.what();
    return nullptr;
  }
  return std::unique_ptr<Front>(new Front(std::move(impl)));
}

}  // namespace hickoryusher::http
