#include "gentian_app/signal_waiter.h"

#include <pthread.h>

#include <csignal>
#include <cstdlib>
#include <utility>

namespace gentian {

namespace {

// Wakes the thread when the program ends without a signal.
constexpr int kWakeUp = SIGUSR1;
constexpr int kExitAfterSecondSignal = 130;

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, kWakeUp);
  return signals;
}

void Wait(const std::function<void()>& on_stop) {
  const sigset_t signals = HandledSignals();
  bool stopping = false;
  while (true) {
    int received = 0;
    sigwait(&signals, &received);
    if (received == kWakeUp) {
      return;
    }
    if (stopping) {
      std::_Exit(kExitAfterSecondSignal);
    }
    stopping = true;
    on_stop();
  }
}

}  // namespace

signal_waiter::signal_waiter() {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A connection that the other side closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

signal_waiter::~signal_waiter() {
  if (thread_.joinable()) {
    pthread_kill(thread_.native_handle(), kWakeUp);
    thread_.join();
  }
}

void signal_waiter::Start(std::function<void()> on_stop) {
  thread_ = std::thread(Wait, std::move(on_stop));
}

}  // namespace gentian
