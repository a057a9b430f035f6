#ifndef STANDINS_PLATFORM_MAIN_SUPPORT_H_
#define STANDINS_PLATFORM_MAIN_SUPPORT_H_

#include <csignal>

namespace hickoryusher::standins {

/// Blocks SIGTERM and SIGINT. Must run before the first thread starts, so that
/// all threads inherit the mask and WaitForStop receives the signal.
inline void BlockStopSignals(sigset_t& signals) {
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

inline void WaitForStop(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace hickoryusher::standins

#endif  // STANDINS_PLATFORM_MAIN_SUPPORT_H_
