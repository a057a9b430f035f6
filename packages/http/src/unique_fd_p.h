#ifndef HTTP_UNIQUE_FD_P_H_
#define HTTP_UNIQUE_FD_P_H_

#include <unistd.h>

namespace hickoryusher::http {

/// Owns a file descriptor.
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : fd_(fd) {}
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;
  ~UniqueFd() { reset(-1); }

  int get() const { return fd_; }

  void reset(int fd) {
    if (fd_ >= 0) {
      close(fd_);
    }
    fd_ = fd;
  }

 private:
  int fd_ = -1;
};

}  // namespace hickoryusher::http

#endif  // HTTP_UNIQUE_FD_P_H_
