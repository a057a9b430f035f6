#ifndef RUNTIME_DUTY_THREAD_H_
#define RUNTIME_DUTY_THREAD_H_

#include <functional>
#include <string_view>
#include <thread>

namespace hickoryusher::runtime {

/// A named thread that does one duty until its function returns. The
/// destructor joins it.
class DutyThread {
 public:
  DutyThread() = default;

  /// @param name shown by debuggers and `top`; the first 15 bytes are used.
  /// @param duty runs once; it returns when its inbound ring is finished.
  DutyThread(std::string_view name, std::function<void()> duty);

  DutyThread(DutyThread&&) = default;
  DutyThread& operator=(DutyThread&&) = default;

  /// Waits until the duty has returned.
  void Join();

 private:
  std::jthread thread_;
};

}  // namespace hickoryusher::runtime

#endif  // RUNTIME_DUTY_THREAD_H_
