// Cost of the extra hop: direct calls to an endpoint stand-in against calls
// through front and upstream, in one process and one run, in alternating
// rounds. Usage: http_hop [--half-load] [requests per round and connection]
//
// --half-load finds the highest rate of the hop and then sends to both at half
// of it, at fixed times that do not wait for responses.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "core/log_line.h"
#include "core/overloaded.h"
#include "http/front.h"
#include "http/upstream.h"
#include "runtime/duty_thread.h"
#include "standin/endpoint_standin.h"

namespace hickoryusher {
namespace {

using Clock = std::chrono::steady_clock;
using Message = std::variant<http::IncomingRequest, http::UpstreamEvent>;

constexpr int kRounds = 5;
// Both ends are in this process, and a process has at most 20,000 descriptors
// on the machines that run this.
constexpr std::size_t kOpenConnections = 9'900;

void RunRouter(runtime::Ring<Message>& inbox,
               http::Front& front,
               http::Upstream& upstream,
               const std::string& target) {
  std::vector<Message> messages;
  while (!inbox.finished()) {
    messages.clear();
    inbox.WaitDrain(messages);
    for (Message& message : messages) {
      if (auto* request = std::get_if<http::IncomingRequest>(&message)) {
        upstream.TrySend(
            http::StartExchange{.id = core::AttemptId(request->id.value()),
                                .url = target + request->path,
                                .method = std::move(request->method),
                                .headers = std::move(request->headers),
                                .body = std::move(request->body),
                                .idempotent = request->path == "/idempotent",
                                .max_connections_per_host = 64});
        continue;
      }
      auto& event = std::get<http::UpstreamEvent>(message);
      if (auto* done = std::get_if<http::Completed>(&event)) {
        front.Respond({.id = core::RequestId(done->id.value()),
                       .status = done->status,
                       .headers = std::move(done->headers),
                       .body = std::move(done->body)});
      } else if (auto* failed = std::get_if<http::Failed>(&event)) {
        front.Respond(
            {.id = core::RequestId(failed->id.value()), .status = 504});
      }
    }
  }
}

int Connect(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

std::string MakeRequest(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a\r\n"
         "Content-Length: 100\r\n\r\n" +
         std::string(100, 'b');
}

// Sends one request and reads its response. Ends the program if the call
// fails, so that no figure comes from failures.
void Exchange(int fd, const std::string& request) {
  std::array<char, 4096> buffer;
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  std::string answer;
  // Answers are short and end with the echoed body.
  while (!answer.ends_with(std::string_view("bbbbbbbbbb"))) {
    const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      std::cerr << "event=call_failed answer=" << answer << '\n';
      std::exit(1);
    }
    answer.append(buffer.data(), static_cast<std::size_t>(size));
  }
}

double MicrosSince(Clock::time_point start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start)
      .count();
}

// Sends requests one after another.
void Call(std::uint16_t port,
          const std::string& path,
          int requests,
          bool fresh_connections,
          std::vector<double>& micros) {
  int fd = Connect(port);
  const std::string request = MakeRequest(path);
  for (int i = 0; i < requests; ++i) {
    const auto start = Clock::now();
    if (fresh_connections && i > 0) {
      close(fd);
      fd = Connect(port);
    }
    Exchange(fd, request);
    micros.push_back(MicrosSince(start));
  }
  close(fd);
}

// Sends one request per interval. A request that is due while the one before
// it is unanswered counts from its due time, so that queueing shows; otherwise
// it counts from the time of sending, because a late wake-up of the caller is
// no cost of the hop.
void CallPaced(std::uint16_t port,
               int requests,
               Clock::time_point first,
               Clock::duration interval,
               std::vector<double>& micros) {
  const int fd = Connect(port);
  const std::string request = MakeRequest("/idempotent");
  Clock::time_point due = first;
  for (int i = 0; i < requests; ++i, due += interval) {
    Clock::time_point start = due;
    if (Clock::now() < due) {
      std::this_thread::sleep_until(due);
      start = Clock::now();
    }
    Exchange(fd, request);
    micros.push_back(MicrosSince(start));
  }
  close(fd);
}

double CpuMicros() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
             1e6 +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

struct Series {
  std::vector<double> micros;
  double cpu = 0;

  double Quantile(double q) {
    std::ranges::sort(micros);
    return micros[static_cast<std::size_t>(
        q * static_cast<double>(micros.size() - 1))];
  }
  double CpuPerRequest() const {
    return cpu / static_cast<double>(micros.size());
  }
};

void RunRound(Series& series,
              std::uint16_t port,
              const std::string& path,
              std::size_t connections,
              int requests,
              bool fresh_connections) {
  std::vector<std::vector<double>> results(connections);
  const double cpu = CpuMicros();
  {
    std::vector<std::jthread> callers;
    callers.reserve(connections);
    for (auto& result : results) {
      callers.emplace_back(
          [&, port] { Call(port, path, requests, fresh_connections, result); });
    }
  }
  series.cpu += CpuMicros() - cpu;
  for (const auto& result : results) {
    series.micros.insert(series.micros.end(), result.begin(), result.end());
  }
}

void Compare(std::uint16_t direct_port,
             std::uint16_t hop_port,
             const std::string& path,
             std::size_t connections,
             int requests) {
  Series direct;
  Series hop;
  for (int round = 0; round < kRounds; ++round) {
    // The hop uses a new connection to the endpoint for each request that is
    // not idempotent, so the direct call does the same.
    RunRound(direct, direct_port, path, connections, requests, path == "/once");
    RunRound(hop, hop_port, path, connections, requests, false);
  }
  // The callers and the endpoint run in this process as well; what a hop costs
  // is the difference between the two kinds of call.
  const double cost = hop.CpuPerRequest() - direct.CpuPerRequest();
  std::cout << core::LogLine("http_hop")
                   .Add("path", path)
                   .Add("connections", connections)
                   .Add("requests", hop.micros.size())
                   .Add("direct_p50_us", direct.Quantile(0.5))
                   .Add("direct_p99_us", direct.Quantile(0.99))
                   .Add("hop_p50_us", hop.Quantile(0.5))
                   .Add("hop_p99_us", hop.Quantile(0.99))
                   .Add("p50_added_us",
                        hop.Quantile(0.5) - direct.Quantile(0.5))
                   .Add("p99_added_us",
                        hop.Quantile(0.99) - direct.Quantile(0.99))
                   .Add("hop_cpu_us", cost)
                   .Add("requests_per_core_s", 1e6 / cost)
                   .text()
            << std::endl;
}

// @returns requests per second of one round without pauses.
double MeasureRate(std::uint16_t port, std::size_t connections, int requests) {
  Series series;
  const auto start = Clock::now();
  RunRound(series, port, "/idempotent", connections, requests, false);
  return static_cast<double>(series.micros.size()) * 1e6 / MicrosSince(start);
}

void RunPacedRound(Series& series,
                   std::uint16_t port,
                   std::size_t connections,
                   int requests,
                   double rate) {
  const auto step = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1 / rate));
  const auto start = Clock::now() + std::chrono::milliseconds(10);
  std::vector<std::vector<double>> results(connections);
  {
    std::vector<std::jthread> callers;
    callers.reserve(connections);
    for (std::size_t i = 0; i < connections; ++i) {
      callers.emplace_back([&, i, port] {
        CallPaced(port, requests, start + step * i, step * connections,
                  results[i]);
      });
    }
  }
  for (const auto& result : results) {
    series.micros.insert(series.micros.end(), result.begin(), result.end());
  }
}

void CompareAtHalfLoad(std::uint16_t direct_port,
                       std::uint16_t hop_port,
                       int requests) {
  constexpr std::size_t kConnections = 16;
  double highest = 0;
  for (int round = 0; round < kRounds; ++round) {
    highest = std::max(highest, MeasureRate(hop_port, kConnections, requests));
  }
  Series direct;
  Series hop;
  for (int round = 0; round < kRounds; ++round) {
    RunPacedRound(direct, direct_port, kConnections, requests, highest / 2);
    RunPacedRound(hop, hop_port, kConnections, requests, highest / 2);
  }
  const double added = hop.Quantile(0.99) - direct.Quantile(0.99);
  std::cout << core::LogLine("half_load")
                   .Add("connections", kConnections)
                   .Add("requests", hop.micros.size())
                   .Add("highest_rate_s", highest)
                   .Add("rate_s", highest / 2)
                   .Add("direct_p50_us", direct.Quantile(0.5))
                   .Add("direct_p99_us", direct.Quantile(0.99))
                   .Add("hop_p50_us", hop.Quantile(0.5))
                   .Add("hop_p99_us", hop.Quantile(0.99))
                   .Add("p99_added_us", added)
                   .Add("p99_added_by_direct", added / direct.Quantile(0.99))
                   .text()
            << std::endl;
}

long ResidentKilobytes() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      long kilobytes = 0;
      status >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

void MeasureOpenConnections(const http::Front& front) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  const long before = ResidentKilobytes();
  std::vector<int> sockets;
  while (sockets.size() < kOpenConnections) {
    const int fd = Connect(front.port());
    if (fd < 0) {
      break;
    }
    sockets.push_back(fd);
  }
  const auto until = Clock::now() + std::chrono::seconds(10);
  while (front.connections() < sockets.size() && Clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  std::cout << core::LogLine("open_connections")
                   .Add("opened", sockets.size())
                   .Add("held_by_front", front.connections())
                   .Add("resident_kb_added", ResidentKilobytes() - before)
                   .text()
            << std::endl;
  for (const int fd : sockets) {
    close(fd);
  }
}

void CompareAll(const http::Front& front,
                std::uint16_t direct_port,
                int requests) {
  // First, so that memory freed by the other rounds is not reused.
  MeasureOpenConnections(front);
  for (const std::string path : {"/idempotent", "/once"}) {
    for (const std::size_t connections : {1UL, 4UL, 16UL}) {
      Compare(direct_port, front.port(), path, connections, requests);
    }
  }
}

int Run(bool half_load, int requests) {
  const auto endpoint =
      standin::EndpointStandIn::Start({.slots = 64, .connections = 256});
  runtime::Ring<Message> inbox(8192);
  const auto front = http::Front::Builder().requests(inbox).Start();
  const auto upstream = http::Upstream::Builder().events(inbox).Start();
  if (endpoint == nullptr || front == nullptr || upstream == nullptr) {
    return 1;
  }
  runtime::DutyThread router("router", [&] {
    RunRouter(inbox, *front, *upstream,
              "http://127.0.0.1:" + std::to_string(endpoint->port()));
  });
  if (half_load) {
    CompareAtHalfLoad(endpoint->port(), front->port(), requests);
  } else {
    CompareAll(*front, endpoint->port(), requests);
  }
  front->Shutdown();
  upstream->Shutdown();
  inbox.Close();
  return 0;
}

}  // namespace
}  // namespace hickoryusher

int main(int argc, char** argv) {
  const std::span<char*> arguments(argv + 1,
                                   static_cast<std::size_t>(argc - 1));
  const bool half_load =
      !arguments.empty() && std::string_view(arguments[0]) == "--half-load";
  const auto rest = arguments.subspan(half_load ? 1 : 0);
  const int requests = rest.empty() ? 500 : std::atoi(rest[0]);
  return hickoryusher::Run(half_load, std::max(requests, 1));
}
