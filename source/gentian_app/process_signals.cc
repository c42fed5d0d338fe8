#include "gentian_app/process_signals.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <system_error>
#include <utility>

namespace gentian {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int kExitAfterSecondInterrupt = 130;

// Signals that came and were not taken yet. A signal handler writes it at any
// time, also at the end of the process, so that it is never destroyed.
struct held_signals {
  static constexpr std::array<int, 3> kNumbers = {SIGHUP, SIGINT, SIGTERM};

  /** In the order of kNumbers. */
  std::array<std::atomic<bool>, kNumbers.size()> came{};
  /** Gets a byte after each signal; -1 for none. */
  std::atomic<int> wake_descriptor{-1};
};
static_assert(std::atomic<bool>::is_always_lock_free &&
              std::atomic<int>::is_always_lock_free);

held_signals held;

extern "C" void HoldSignal(int number) {
  const int saved = errno;
  for (std::size_t i = 0; i < held_signals::kNumbers.size(); ++i) {
    if (held_signals::kNumbers[i] == number) {
      held.came[i] = true;
    }
  }
  const int descriptor = held.wake_descriptor;
  if (descriptor >= 0) {
    const char byte = 0;
    // A full pipe wakes its reader, too.
    [[maybe_unused]] const ssize_t written = ::write(descriptor, &byte, 1);
  }
  errno = saved;
}

void SetHandler(int number, void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  action.sa_flags = SA_RESTART;
  ::sigaction(number, &action, nullptr);
}

// The loader runs this before the constructors of libraries, which take a
// millisecond and may start threads.
__attribute__((section(".preinit_array"),
               used)) void (*const kHoldSignalsEarly)() = &HoldSignals;

// Wakes the current signal_watch. It stays open, because a signal handler may
// be about to write to it.
struct wake_pipe {
  wake_pipe() {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
      throw std::system_error(errno, std::generic_category(),
                              "no pipe for signals");
    }
    read_end = ends[0];
    write_end = ends[1];
  }
  int read_end = -1;
  int write_end = -1;
};

const wake_pipe& WakePipe() {
  static const wake_pipe pipe;
  return pipe;
}

}  // namespace

void HoldSignals() {
  for (const int number : held_signals::kNumbers) {
    // nohup and shells have a process ignore some of them.
    struct sigaction inherited {};
    ::sigaction(number, nullptr, &inherited);
    if (inherited.sa_handler != SIG_IGN || number == SIGTERM) {
      SetHandler(number, &HoldSignal);
    }
  }
  for (const int number : {SIGPIPE, SIGXFSZ}) {
    SetHandler(number, SIG_IGN);
  }
}

void ReleaseSignals() {
  for (std::size_t i = 0; i < held_signals::kNumbers.size(); ++i) {
    const int number = held_signals::kNumbers[i];
    struct sigaction current {};
    ::sigaction(number, nullptr, &current);
    if (current.sa_handler == &HoldSignal) {
      SetHandler(number, SIG_DFL);
    }
    if (held.came[i]) {
      ::raise(number);
    }
  }
}

bool IsStopHeld() {
  for (std::size_t i = 0; i < held_signals::kNumbers.size(); ++i) {
    if (held_signals::kNumbers[i] != SIGHUP && held.came[i]) {
      return true;
    }
  }
  return false;
}

struct signal_watch::state : std::enable_shared_from_this<state> {
  state(io_pool& pool, std::function<void(int)> handler)
      : descriptor(pool.context(), WakePipe().read_end),
        on_signal(std::move(handler)) {}

  void Await() {
    descriptor.async_read_some(
        asio::buffer(space),
        [me = shared_from_this()](error_code failure, std::size_t) {
          if (failure != asio::error::operation_aborted) {
            me->Take();
          }
        });
  }

  // Also called once at the start, for what came before.
  void Take() {
    const std::lock_guard<std::mutex> lock(mutex);
    if (stopped) {
      return;
    }
    // Armed before the handler runs, which may throw an exception.
    Await();
    for (std::size_t i = 0; i < held_signals::kNumbers.size(); ++i) {
      if (held.came[i].exchange(false)) {
        on_signal(held_signals::kNumbers[i]);
      }
    }
  }

  asio::posix::stream_descriptor descriptor;
  std::function<void(int)> on_signal;
  std::array<char, 64> space{};
  std::mutex mutex;
  bool stopped = false;
};

signal_watch::signal_watch(io_pool& pool, std::function<void(int)> on_signal)
    : state_(std::make_shared<state>(pool, std::move(on_signal))) {
  held.wake_descriptor = WakePipe().write_end;
  asio::post(pool.context(), [me = state_] { me->Take(); });
}

signal_watch::~signal_watch() {
  held.wake_descriptor = -1;
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->stopped = true;
  state_->descriptor.cancel();
  state_->descriptor.release();
}

void terminal_stop::OnSignal(int number) {
  if (!stopping_) {
    stopping_ = true;
    on_stop_();
  } else if (number == SIGINT) {
    std::_Exit(kExitAfterSecondInterrupt);
  }
}

}  // namespace gentian
