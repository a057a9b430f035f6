#include "front_transport_p.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "core/overloaded.h"

namespace hickoryusher::http {
namespace {

using Pistache::Polling::NotifyOn;
using std::chrono::milliseconds;

// After an error the rest of the input is read and discarded for a while:
// closing a socket with unread input resets the connection, and the caller
// would lose the error response.
constexpr milliseconds kLingerTime{5'000};
constexpr std::uint64_t kLingerBytes = 128ULL * 1024 * 1024;

constexpr milliseconds kShortestTick{5};
constexpr milliseconds kLongestTick{250};

core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// Time-outs are found by a periodic scan, so that an idle process without
// connections has no timer running.
milliseconds TickInterval(const FrontOptions& options) {
  const milliseconds shortest =
      std::min({options.header_timeout, options.body_timeout,
                options.idle_timeout, options.send_timeout});
  return std::clamp(shortest / 4, kShortestTick, kLongestTick);
}

timespec ToTimespec(milliseconds duration) {
  return {.tv_sec = duration.count() / 1000,
          .tv_nsec = duration.count() % 1000 * 1'000'000};
}

// Pistache's accept thread spins while no descriptor is free and a connection
// waits, so some are kept free. The system gives out the lowest free number,
// which makes a high number the sign that few are left. The reserve covers
// connections that are accepted before the refused ones are closed, and the
// sockets of the other threads.
bool IsReserved(int fd) {
  constexpr rlim_t kSmallestReserve = 16;
  constexpr rlim_t kLargestReserve = 128;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return false;
  }
  const rlim_t reserve =
      std::clamp(limit.rlim_cur / 16, kSmallestReserve, kLargestReserve);
  return static_cast<rlim_t>(fd) + reserve >= limit.rlim_cur;
}

void ReadCounter(int fd) {
  std::uint64_t count = 0;
  [[maybe_unused]] const ssize_t size = read(fd, &count, sizeof count);
}

}  // namespace

FrontTransport::FrontTransport(
    const std::shared_ptr<Pistache::Tcp::Handler>& handler,
    std::shared_ptr<FrontShared> shared)
    : Transport(handler), prototype_(handler), shared_(std::move(shared)) {}

std::shared_ptr<Pistache::Aio::Handler> FrontTransport::clone() const {
  return std::make_shared<FrontTransport>(prototype_->clone(), shared_);
}

void FrontTransport::registerPoller(Pistache::Polling::Epoll& poller) {
  Transport::registerPoller(poller);
  index_ = shared_->next_inbox.fetch_add(1);
  inbox_ = shared_->inboxes.at(index_).get();
  budget_ = shared_->budgets.at(index_).get();
  timer_fd_.reset(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC));
  for (const int fd : {inbox_->wake_fd.get(), timer_fd_.get()}) {
    poller.addFd(fd, Pistache::Flags<NotifyOn>(NotifyOn::Read),
                 Pistache::Polling::Tag(fd));
  }
}

void FrontTransport::onReady(const Pistache::Aio::FdSet& fds) {
  std::vector<Pistache::Polling::Event> rest;
  bool wake = false;
  bool tick = false;
  for (std::size_t i = 0; i < fds.size(); ++i) {
    const auto& entry = fds.at(i);
    const int fd = static_cast<int>(entry.getTag().value());
    wake |= fd == inbox_->wake_fd.get();
    tick |= fd == timer_fd_.get();
    if (fd == inbox_->wake_fd.get() || fd == timer_fd_.get()) {
      continue;
    }
    // Pistache throws on a writable socket for which it holds no data.
    if (const auto found = connections_.find(fd);
        entry.isWritable() && found != connections_.end()) {
      found->second->write_blocked = false;
      WriteReady(*found->second);
      Charge(*found->second);
    }
    Pistache::Polling::Event event(entry.getTag());
    if (entry.isReadable()) {
      event.flags.setFlag(NotifyOn::Read);
    }
    if (entry.isHangup()) {
      event.flags.setFlag(NotifyOn::Hangup);
    }
    if (entry.isReadable() || entry.isHangup()) {
      rest.push_back(event);
    }
  }
  if (!rest.empty()) {
    Transport::onReady(Pistache::Aio::FdSet(std::move(rest)));
  }
  if (wake) {
    ReadCounter(inbox_->wake_fd.get());
    inbox_->woken = false;
    DeliverResponses();
  }
  if (tick) {
    ReadCounter(timer_fd_.get());
    HandleTick();
  }
}

void FrontTransport::Connected(int fd) {
  auto connection = std::make_unique<Connection>(
      fd,
      ParseLimits{shared_->options.max_header_bytes,
                  shared_->options.max_body_bytes},
      Now());
  Connection& added = *connection;
  connections_[fd] = std::move(connection);
  if (!tick_armed_) {
    ArmTick(true);
  }
  UpdateDeadline(added);
  const std::size_t others = shared_->connections.fetch_add(1);
  if (IsReserved(fd)) {
    Refuse(added, 503, "descriptor_limit", true);
    // Closed without waiting for the caller, so that the descriptor is free.
    ShutDown(added);
  } else if (others - std::min(others, shut_down_) >=
                 shared_->options.max_connections &&
             !(shared_->options.makes_room && MakeRoomForConnection(added))) {
    Refuse(added, 503, "connection_limit", true);
    if (shared_->options.makes_room) {
      ShutDown(added);
    }
  }
  ChargeAndMakeRoom(added);
}

void FrontTransport::Disconnected(int fd) {
  const auto found = connections_.find(fd);
  if (found == connections_.end()) {
    return;
  }
  found->second->closed_by_pistache = true;
  Forget(*found->second);
  budget_->Release(found->second->charged_bytes);
  shut_down_ -= found->second->shut_down ? 1 : 0;
  connections_.erase(found);
  shared_->connections.fetch_sub(1);
}

void FrontTransport::Received(int fd, std::string_view input) {
  const auto found = connections_.find(fd);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = *found->second;
  const bool was_started = connection.parser.started();
  const bool was_in_body = connection.parser.in_body();
  bool finished_one = false;
  while (!input.empty() && !connection.input_closed) {
    ParseResult result = connection.parser.Feed(input);
    std::visit(core::Overloaded{
                   [](NeedMore) {},
                   [&](ContinueExpected) { SendContinue(connection); },
                   [&](ParsedRequest& parsed) {
                     finished_one = true;
                     connection.idle_since = Now();
                     HandleRequest(connection, std::move(parsed));
                   },
                   [&](const ParseError& error) {
                     Refuse(connection, error.status, error.reason, true);
                   },
               },
               result);
    if (connection.parser.started() && (finished_one || !was_started)) {
      connection.request_began = Now();
    }
    ChargeAndMakeRoom(connection);
  }
  if (connection.input_closed) {
    connection.parser.Abandon();
    Charge(connection);
    connection.discarded_bytes += input.size();
    if (connection.discarded_bytes > kLingerBytes) {
      ShutDown(connection);
    }
    return;
  }
  // A slow sender must not extend its deadline with each byte.
  if (finished_one || was_started != connection.parser.started() ||
      was_in_body != connection.parser.in_body()) {
    UpdateDeadline(connection);
  }
}

core::RequestId FrontTransport::NextId() {
  return core::RequestId(sequence_++ * shared_->inboxes.size() + index_);
}

void FrontTransport::HandleRequest(Connection& connection,
                                   ParsedRequest&& parsed) {
  const bool head = parsed.request.method == "HEAD";
  const bool close = !parsed.keep_alive;
  const auto refuse = [&](std::string_view reason, bool closes) {
    Refuse(connection, 503, reason, closes);
  };
  if (shared_->stopping) {
    refuse("shutting_down", true);
    return;
  }
  if (connection.slots.size() >= shared_->options.max_pipelined) {
    refuse("pipeline_limit", true);
    return;
  }
  if (pending_.size() >= shared_->options.max_in_flight_per_thread) {
    refuse("ring_full", close);
    return;
  }
  const std::size_t cost = CostOf(parsed.request);
  // The parser holds the request no longer.
  Charge(connection);
  if (!ChargeRequest(connection, cost)) {
    refuse("memory_limit", true);
    return;
  }
  const core::RequestId id = NextId();
  parsed.request.id = id;
  parsed.request.arrived = Now();
  connection.slots.push_back(
      {.id = id, .handed_over = true, .head = head, .close_after = close});
  connection.input_closed = close;
  pending_[id] = {.connection = &connection, .bytes = cost};
  // Counted before the hand-over, because the response may already be on its
  // way when the sink returns.
  shared_->in_flight.fetch_add(1);
  if (shared_->sink(parsed.request)) {
    return;
  }
  shared_->Finished();
  pending_.erase(id);
  ReleaseRequest(cost);
  connection.slots.pop_back();
  refuse("ring_full", close);
}

void FrontTransport::Refuse(Connection& connection,
                            int status,
                            std::string_view reason,
                            bool close) {
  const core::RequestId id = NextId();
  const std::string name =
      shared_->options.request_id_prefix + std::to_string(id.value());
  shared_->Log(
      shared_->report.Refused(std::move(core::LogLine("request_refused")
                                            .Add("request", name)
                                            .Add("status", status)
                                            .Add("reason", reason)),
                              reason, Now()));
  connection.slots.push_back(
      {.id = id,
       .close_after = close,
       .ready = true,
       .bytes = EncodeResponse(MakeRefusal(id, status, reason), name, false,
                               close)});
  connection.input_closed |= close;
  WriteReady(connection);
}

void FrontTransport::SendContinue(Connection& connection) {
  connection.slots.push_back(
      {.ready = true, .bytes = "HTTP/1.1 100 Continue\r\n\r\n"});
  WriteReady(connection);
}

void FrontTransport::DeliverResponses() {
  drained_.clear();
  inbox_->responses.Drain(drained_);
  for (Response& response : drained_) {
    DeliverResponse(std::move(response));
  }
}

void FrontTransport::DeliverResponse(Response&& response) {
  const auto found = pending_.find(response.id);
  const PendingRequest pending =
      found == pending_.end() ? PendingRequest{} : found->second;
  if (found != pending_.end()) {
    pending_.erase(found);
    ReleaseRequest(pending.bytes);
  }
  if (pending.connection == nullptr) {
    shared_->dropped.fetch_add(1);
    shared_->Log(shared_->report.Dropped(
        std::move(core::LogLine("response_dropped")
                      .Add("request", response.id.value())
                      .Add("status", response.status)),
        Now()));
    return;
  }
  Connection& connection = *pending.connection;
  const auto slot =
      std::ranges::find(connection.slots, response.id, &ResponseSlot::id);
  if (shared_->stopping && slot->id == connection.slots.back().id) {
    slot->close_after = true;
    connection.input_closed = true;
  }
  slot->bytes = EncodeResponse(
      response,
      shared_->options.request_id_prefix + std::to_string(response.id.value()),
      slot->head, slot->close_after);
  slot->ready = true;
  WriteReady(connection);
  ChargeAndMakeRoom(connection);
}

void FrontTransport::WriteReady(Connection& connection) {
  while (!connection.slots.empty() && connection.slots.front().ready &&
         !connection.write_blocked && !connection.output_closed) {
    ResponseSlot& slot = connection.slots.front();
    if (!WriteSlot(connection, slot)) {
      break;
    }
    const bool close = slot.close_after;
    if (slot.handed_over) {
      shared_->Finished();
    }
    connection.slots.pop_front();
    if (close) {
      CloseOutput(connection);
    }
  }
  if (!connection.output_closed) {
    UpdateDeadline(connection);
  }
}

bool FrontTransport::WriteSlot(Connection& connection, ResponseSlot& slot) {
  while (slot.sent < slot.bytes.size()) {
    const ssize_t size =
        send(connection.fd, slot.bytes.data() + slot.sent,
             slot.bytes.size() - slot.sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size >= 0) {
      slot.sent += static_cast<std::size_t>(size);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      connection.write_blocked = true;
      reactor()->modifyFd(key(), connection.fd,
                          NotifyOn::Read | NotifyOn::Write,
                          Pistache::Polling::Mode::Edge);
      return false;
    } else if (errno != EINTR) {
      // The socket is broken; the read side ends the connection.
      connection.input_closed = true;
      ShutDown(connection);
      return false;
    }
  }
  return true;
}

void FrontTransport::CloseOutput(Connection& connection) {
  connection.input_closed = true;
  connection.output_closed = true;
  shutdown(connection.fd, SHUT_WR);
  connection.deadline = Now() + kLingerTime;
}

void FrontTransport::UpdateDeadline(Connection& connection) {
  const FrontOptions& options = shared_->options;
  core::TimePoint deadline = core::TimePoint::max();
  if (connection.write_blocked) {
    deadline = Now() + options.send_timeout;
  } else if (connection.input_closed) {
    // Only responses are left, and waiting for them has no limit here.
  } else if (connection.parser.in_body()) {
    deadline = Now() + options.body_timeout;
  } else if (connection.parser.started()) {
    deadline = Now() + options.header_timeout;
  } else if (connection.slots.empty()) {
    deadline = Now() + options.idle_timeout;
  }
  connection.deadline = deadline;
}

void FrontTransport::HandleTick() {
  const core::TimePoint now = Now();
  for (auto& [fd, connection] : connections_) {
    if (connection->deadline <= now) {
      Expire(*connection);
    }
  }
  LogDueLimits();
}

void FrontTransport::Expire(Connection& connection) {
  if (connection.input_closed || connection.write_blocked ||
      !connection.parser.started()) {
    // Pistache sees the end of the stream and calls Disconnected().
    connection.input_closed = true;
    connection.deadline = Now() + kLingerTime;
    ShutDown(connection);
    return;
  }
  Refuse(connection, 408,
         connection.parser.in_body() ? "body_timeout" : "header_timeout", true);
  connection.parser.Abandon();
  Charge(connection);
}

void FrontTransport::ArmTick(bool armed) {
  tick_armed_ = armed;
  const timespec interval =
      armed ? ToTimespec(TickInterval(shared_->options)) : timespec{};
  const itimerspec timer{.it_interval = interval, .it_value = interval};
  timerfd_settime(timer_fd_.get(), 0, &timer, nullptr);
}

void FrontHandler::onConnection(
    const std::shared_ptr<Pistache::Tcp::Peer>& peer) {
  front().Connected(peer->fd());
}

void FrontHandler::onDisconnection(
    const std::shared_ptr<Pistache::Tcp::Peer>& peer) {
  front().Disconnected(peer->fd());
}

void FrontHandler::onInput(const char* buffer,
                           std::size_t length,
                           const std::shared_ptr<Pistache::Tcp::Peer>& peer) {
  front().Received(peer->fd(), std::string_view(buffer, length));
}

}  // namespace hickoryusher::http
