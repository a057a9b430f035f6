#include "runtime/duty_thread.h"

#include <pthread.h>

#include <string>
#include <utility>

namespace hickoryusher::runtime {
namespace {

// Longest thread name that Linux takes, without the terminating zero.
constexpr std::size_t kMaxThreadName = 15;

}  // namespace

DutyThread::DutyThread(std::string_view name, std::function<void()> duty)
    : thread_(std::move(duty)) {
  const std::string short_name(name.substr(0, kMaxThreadName));
  pthread_setname_np(thread_.native_handle(), short_name.c_str());
}

void DutyThread::Join() {
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace hickoryusher::runtime
