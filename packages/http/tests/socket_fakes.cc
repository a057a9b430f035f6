#include "socket_fakes.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace hickoryusher::http {
namespace {

// A hang of the code under test becomes a failed check after this time.
constexpr timeval kReadLimit{.tv_sec = 20, .tv_usec = 0};

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

int BindLoopback(std::uint16_t& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    close(fd);
    return -1;
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

RawClient::RawClient(std::uint16_t port)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &kReadLimit, sizeof kReadLimit);
  const sockaddr_in address = Loopback(port);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    Close();
  }
}

RawClient::~RawClient() {
  Close();
}

void RawClient::Close() {
  if (fd_ >= 0) {
    close(fd_);
  }
  fd_ = -1;
}

void RawClient::Reset() {
  const linger abort{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
  Close();
}

bool RawClient::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool RawClient::ReadMore() {
  std::array<char, 16384> chunk;
  const ssize_t size = recv(fd_, chunk.data(), chunk.size(), 0);
  if (size <= 0) {
    return false;
  }
  buffer_.append(chunk.data(), static_cast<std::size_t>(size));
  return true;
}

std::string RawClient::ReadResponse() {
  std::size_t head_end = 0;
  while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore()) {
      return {};
    }
  }
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t length_at = buffer_.find(kLength);
  const std::size_t body =
      length_at < head_end
          ? std::stoul(buffer_.substr(length_at + kLength.size()))
          : 0;
  const std::size_t total = head_end + 4 + body;
  while (buffer_.size() < total) {
    if (!ReadMore()) {
      return {};
    }
  }
  std::string response = buffer_.substr(0, total);
  buffer_.erase(0, total);
  return response;
}

bool RawClient::ReadEnd() {
  std::array<char, 1> chunk;
  return buffer_.empty() && recv(fd_, chunk.data(), chunk.size(), 0) == 0;
}

ScriptedServer::ScriptedServer(std::string answer)
    : answer_(std::move(answer)) {
  std::uint16_t port = 0;
  listen_fd_ = BindLoopback(port);
  listen(listen_fd_, 8);
  thread_ = std::thread([this] { Serve(); });
}

ScriptedServer::~ScriptedServer() {
  shutdown(listen_fd_, SHUT_RDWR);
  thread_.join();
  close(listen_fd_);
}

std::string ScriptedServer::url() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listen_fd_, reinterpret_cast<sockaddr*>(&address), &size);
  return "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
}

void ScriptedServer::Serve() {
  const int fd = accept(listen_fd_, nullptr, nullptr);
  if (fd < 0) {
    return;
  }
  std::string request;
  std::array<char, 4096> chunk;
  while (request.find("\r\n\r\n") == std::string::npos) {
    const ssize_t size = recv(fd, chunk.data(), chunk.size(), 0);
    if (size <= 0) {
      break;
    }
    request.append(chunk.data(), static_cast<std::size_t>(size));
  }
  send(fd, answer_.data(), answer_.size(), MSG_NOSIGNAL);
  close(fd);
}

}  // namespace hickoryusher::http
