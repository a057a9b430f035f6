#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <ctime>
#include <string>
#include <thread>
#include <vector>

#include "http/front.h"
#include "socket_fakes.h"

namespace hickoryusher::http {
namespace {

using std::chrono::milliseconds;

/// Lowers the process's limit of open descriptors and restores it.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t limit) {
    getrlimit(RLIMIT_NOFILE, &old_);
    const rlimit lowered{.rlim_cur = limit, .rlim_max = old_.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &old_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit old_{};
};

/// Sockets created while descriptors are still free, connected later.
class ClientSockets {
 public:
  explicit ClientSockets(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      fds_.push_back(socket(AF_INET, SOCK_STREAM, 0));
      REQUIRE(fds_.back() >= 0);
    }
  }
  ~ClientSockets() { CloseAll(); }
  ClientSockets(const ClientSockets&) = delete;
  ClientSockets& operator=(const ClientSockets&) = delete;

  int highest() const { return *std::ranges::max_element(fds_); }

  bool ConnectAll(std::uint16_t port) const {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return std::ranges::all_of(fds_, [&address](int fd) {
      return connect(fd, reinterpret_cast<sockaddr*>(&address),
                     sizeof address) == 0;
    });
  }

  /// @returns sockets on which the front has sent or ended something.
  std::size_t CountEnded() const {
    return static_cast<std::size_t>(std::ranges::count_if(fds_, [](int fd) {
      char byte = 0;
      return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
             errno == ECONNRESET;
    }));
  }

  void CloseAll() {
    std::ranges::for_each(fds_, close);
    fds_.clear();
  }

 private:
  std::vector<int> fds_;
};

milliseconds ProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return milliseconds(time.tv_sec * 1000 + time.tv_nsec / 1'000'000);
}

// Guards against an accept loop that spins without descriptors: Pistache's
// listener tries again at once for as long as a connection waits. A slow
// machine can only lower the measured time.
TEST_CASE("a process short of descriptors neither spins nor stops serving") {
  constexpr std::size_t kClients = 100;
  ClientSockets clients(kClients);
  // Room for the front's own descriptors and about half of the clients.
  const DescriptorLimit limit(static_cast<rlim_t>(clients.highest()) + 65);
  const auto front = Front::Builder()
                         .on_request([](IncomingRequest&) { return false; })
                         .Start();
  REQUIRE(front != nullptr);
  REQUIRE(clients.ConnectAll(front->port()));
  while (front->connections() + clients.CountEnded() < kClients) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(front->connections() > 0);
  CHECK(clients.CountEnded() > 0);

  constexpr milliseconds kObserved{400};
  const milliseconds before = ProcessorTime();
  std::this_thread::sleep_for(kObserved);
  CHECK((ProcessorTime() - before).count() < kObserved.count() / 4);

  clients.CloseAll();
  while (front->connections() > 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  RawClient client(front->port());
  REQUIRE(client.Send("GET /good HTTP/1.1\r\nHost: a\r\n\r\n"));
  // The answer of the test's own sink.
  CHECK(client.ReadResponse().find("Hickoryusher-Reason: ring_full\r\n") !=
        std::string::npos);
}

}  // namespace
}  // namespace hickoryusher::http
