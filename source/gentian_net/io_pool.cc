#include "gentian_net/io_pool.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace gentian {

namespace asio = boost::asio;

struct io_pool::state {
  // First, because handlers that the context drops at its end hold parts of it.
  memory_budget message_memory;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work{
      context.get_executor()};
  std::vector<std::thread> threads;
  exception_handler on_exception;
  std::atomic<std::uint64_t> unreported_exceptions{0};

  void Run() {
    while (true) {
      try {
        context.run();
        return;
      } catch (const std::exception& failure) {
        if (!on_exception) {
          throw;
        }
        Report(failure.what());
      } catch (...) {
        if (!on_exception) {
          throw;
        }
        Report("an exception of an unknown type");
      }
    }
  }

  // Without memory, the report can fail as well; the thread goes on without it.
  void Report(const char* message) noexcept {
    try {
      on_exception(message);
    } catch (...) {
      ++unreported_exceptions;
    }
  }
};

io_pool::io_pool(unsigned threads, exception_handler on_exception)
    : state_(std::make_unique<state>()) {
  state_->on_exception = std::move(on_exception);
  try {
    for (unsigned i = 0; i < threads; ++i) {
      state_->threads.emplace_back([this] { state_->Run(); });
    }
  } catch (...) {
    Stop();
    throw;
  }
}

io_pool::~io_pool() {
  Stop();
}

void io_pool::Stop() {
  state_->work.reset();
  state_->context.stop();
  for (std::thread& thread : state_->threads) {
    thread.join();
  }
  state_->threads.clear();
}

void io_pool::After(duration delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(state_->context, delay);
  timer->async_wait(
      [timer, action = std::move(action)](boost::system::error_code failure) {
        if (!failure) {
          action();
        }
      });
}

std::uint64_t io_pool::unreported_exceptions() const {
  return state_->unreported_exceptions;
}

memory_budget& io_pool::message_memory() {
  return state_->message_memory;
}

asio::io_context& io_pool::context() {
  return state_->context;
}

struct periodic_timer::state {
  std::function<void()> action;
  std::mutex mutex;
  bool stopped = false;
};

periodic_timer::periodic_timer(io_pool& pool,
                               duration interval,
                               std::function<void()> action)
    : state_(std::make_shared<state>()),
      task_(pool,
            interval,
            [me = state_](const repeating_task::round& /*current*/) {
              const std::lock_guard<std::mutex> lock(me->mutex);
              if (!me->stopped) {
                me->action();
              }
            }) {
  state_->action = std::move(action);
  task_.StartAfter(interval);
}

periodic_timer::~periodic_timer() {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->stopped = true;
}

}  // namespace gentian
