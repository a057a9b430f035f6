#include "standin/endpoint_standin.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <variant>

#include "core/log_line.h"
#include "http/request_parser.h"

namespace hickoryusher::standin {
namespace {

constexpr std::pair<std::string_view, Mode> kModes[] = {
    {"normal", Mode::kNormal},
    {"hang", Mode::kHang},
    {"fail_fast", Mode::kFailFast},
    {"die_mid_answer", Mode::kDieMidAnswer},
    {"close_after_read", Mode::kCloseAfterRead},
    {"not_run", Mode::kNotRun},
};

int Listen(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, SOMAXCONN) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

std::uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string MakeAnswer(std::string_view status,
                       std::string_view headers,
                       std::string_view body) {
  std::string answer = "HTTP/1.1 ";
  answer.append(status).append("\r\n").append(headers);
  answer.append("Content-Length: ").append(std::to_string(body.size()));
  answer.append("\r\n\r\n").append(body);
  return answer;
}

std::string_view QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return pair.substr(std::min(equals + 1, pair.size()));
    }
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
  }
  return {};
}

}  // namespace

std::optional<Mode> ParseMode(std::string_view name) {
  const auto* found = std::ranges::find(
      kModes, name, &std::pair<std::string_view, Mode>::first);
  return found == std::end(kModes) ? std::nullopt
                                   : std::optional(found->second);
}

std::unique_ptr<EndpointStandIn> EndpointStandIn::Start(
    const EndpointOptions& options) {
  std::unique_ptr<EndpointStandIn> endpoint(new EndpointStandIn(options));
  if (endpoint->listen_fd_ < 0 || endpoint->control_fd_ < 0) {
    return nullptr;
  }
  return endpoint;
}

EndpointStandIn::EndpointStandIn(const EndpointOptions& options)
    : record_(options.slots, options.connections),
      listen_fd_(Listen(options.port)),
      control_fd_(Listen(options.control_port)),
      stop_fd_(eventfd(0, EFD_CLOEXEC)) {
  if (listen_fd_ < 0 || control_fd_ < 0) {
    return;
  }
  port_ = PortOf(listen_fd_);
  control_port_ = PortOf(control_fd_);
  accept_service_ = std::thread(
      [this] { Accept(listen_fd_, &EndpointStandIn::HandleService, true); });
  accept_control_ = std::thread(
      [this] { Accept(control_fd_, &EndpointStandIn::HandleControl, false); });
}

EndpointStandIn::~EndpointStandIn() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t size = write(stop_fd_, &one, sizeof one);
  for (std::thread* thread : {&accept_service_, &accept_control_}) {
    if (thread->joinable()) {
      thread->join();
    }
  }
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const Worker& worker : workers_) {
      if (!worker.done) {
        shutdown(worker.fd, SHUT_RDWR);
      }
    }
  }
  for (Worker& worker : workers_) {
    worker.thread.join();
  }
  for (const int fd : {listen_fd_, control_fd_, stop_fd_}) {
    if (fd >= 0) {
      close(fd);
    }
  }
}

void EndpointStandIn::SetBehaviour(Behaviour behaviour) {
  const std::lock_guard lock(mutex_);
  behaviour_ = behaviour;
}

Behaviour EndpointStandIn::behaviour() const {
  const std::lock_guard lock(mutex_);
  return behaviour_;
}

void EndpointStandIn::Accept(int listen_fd, Handler handler, bool counted) {
  std::array<pollfd, 2> waiting = {{{.fd = listen_fd, .events = POLLIN},
                                    {.fd = stop_fd_, .events = POLLIN}}};
  while (poll(waiting.data(), waiting.size(), -1) >= 0 &&
         waiting[1].revents == 0) {
    const int fd = accept4(listen_fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    if (counted && !record_.BeginConnection()) {
      close(fd);
      continue;
    }
    AddWorker(fd, handler, counted);
  }
}

void EndpointStandIn::AddWorker(int fd, Handler handler, bool counted) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::list<Worker> finished;
  {
    const std::lock_guard lock(mutex_);
    for (auto it = workers_.begin(); it != workers_.end();) {
      const auto next = std::next(it);
      if (it->done) {
        finished.splice(finished.end(), workers_, it);
      }
      it = next;
    }
    Worker& worker = workers_.emplace_back();
    worker.fd = fd;
    worker.thread = std::thread([this, &worker, handler, counted] {
      Serve(worker.fd, handler);
      const std::lock_guard done_lock(mutex_);
      if (counted) {
        record_.EndConnection();
      }
      close(worker.fd);
      worker.done = true;
    });
  }
  for (Worker& worker : finished) {
    worker.thread.join();
  }
}

void EndpointStandIn::Serve(int fd, Handler handler) {
  http::RequestParser parser({.max_body_bytes = 64UL * 1024 * 1024});
  std::array<char, 16UL * 1024> buffer;
  while (true) {
    const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return;
    }
    std::string_view input(buffer.data(), static_cast<std::size_t>(size));
    while (!input.empty()) {
      http::ParseResult result = parser.Feed(input);
      if (const auto* parsed = std::get_if<http::ParsedRequest>(&result)) {
        if (!(this->*handler)(fd, parsed->request) || !parsed->keep_alive) {
          return;
        }
      } else if (std::holds_alternative<http::ParseError>(result)) {
        SendAll(fd, MakeAnswer("400 Bad Request", "Connection: close\r\n", ""));
        return;
      } else if (std::holds_alternative<http::ContinueExpected>(result)) {
        SendAll(fd, "HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
  }
}

bool EndpointStandIn::HandleService(int fd,
                                    const http::IncomingRequest& request) {
  const Behaviour behaviour = this->behaviour();
  const std::string_view name = http::FindHeader(request.headers, "Run-Name");
  const std::string_view key =
      name.empty()
          ? http::FindHeader(request.headers, "Hickoryusher-Request-Key")
          : name;
  if (behaviour.mode == Mode::kNotRun ||
      !record_.BeginRun(key.empty() ? std::string_view(request.path) : key)) {
    return SendAll(fd, MakeAnswer("503 Service Unavailable",
                                  "Hickoryusher-Not-Run: yes\r\n", ""));
  }
  const bool keep = Run(fd, request, behaviour);
  record_.EndRun();
  return keep;
}

bool EndpointStandIn::Run(int fd,
                          const http::IncomingRequest& request,
                          Behaviour behaviour) {
  if (behaviour.delay.count() > 0 && !Wait(fd, behaviour.delay)) {
    return false;
  }
  switch (behaviour.mode) {
    case Mode::kHang:
      Wait(fd, std::nullopt);
      return false;
    case Mode::kFailFast:
      return SendAll(fd, MakeAnswer("500 Internal Server Error", "", "failed"));
    case Mode::kDieMidAnswer: {
      const std::string answer =
          MakeAnswer("200 OK", "", std::string(1000, 'x'));
      SendAll(fd, std::string_view(answer).substr(0, answer.size() - 500));
      return false;
    }
    case Mode::kCloseAfterRead:
      return false;
    default:
      return SendAll(fd, MakeAnswer("200 OK", "", request.body));
  }
}

bool EndpointStandIn::Wait(
    int fd,
    std::optional<std::chrono::milliseconds> time) const {
  std::array<pollfd, 2> waiting = {
      {{.fd = fd, .events = POLLRDHUP}, {.fd = stop_fd_, .events = POLLIN}}};
  const int timeout = time ? static_cast<int>(time->count()) : -1;
  return poll(waiting.data(), waiting.size(), timeout) == 0;
}

bool EndpointStandIn::ChangeBehaviour(std::string_view query) {
  const auto mode = ParseMode(QueryValue(query, "mode"));
  const std::string_view delay = QueryValue(query, "delay_ms");
  long delay_ms = 0;
  const auto [end, error] =
      std::from_chars(delay.data(), delay.data() + delay.size(), delay_ms);
  const bool delay_ok =
      delay.empty() || (error == std::errc() && delay_ms >= 0 &&
                        end == delay.data() + delay.size());
  if (!mode || !delay_ok) {
    return false;
  }
  SetBehaviour({.mode = *mode, .delay = std::chrono::milliseconds(delay_ms)});
  return true;
}

bool EndpointStandIn::HandleControl(int fd,
                                    const http::IncomingRequest& request) {
  const std::string route = request.method + " " + request.path;
  if (route == "PUT /behaviour" && ChangeBehaviour(request.query)) {
    return SendAll(fd, MakeAnswer("200 OK", "", "event=behaviour_changed\n"));
  }
  if (route == "GET /runs") {
    return SendAll(fd, MakeAnswer("200 OK", "", record_.Lines()));
  }
  if (route == "DELETE /runs") {
    record_.Clear();
    return SendAll(fd, MakeAnswer("200 OK", "", "event=runs_cleared\n"));
  }
  if (route == "GET /stats") {
    const EndpointStats stats = record_.stats();
    core::LogLine line("stats");
    line.Add("runs", stats.runs)
        .Add("slots", stats.slots)
        .Add("slots_peak", stats.slots_peak)
        .Add("slot_refusals", stats.slot_refusals)
        .Add("connections", stats.connections)
        .Add("connections_peak", stats.connections_peak)
        .Add("connection_refusals", stats.connection_refusals);
    return SendAll(fd,
                   MakeAnswer("200 OK", "", std::string(line.text()) + "\n"));
  }
  return SendAll(fd, MakeAnswer("400 Bad Request", "", "event=bad_control\n"));
}

}  // namespace hickoryusher::standin
