// Tests that the threads of an io_pool and what repeats on them outlive
// exceptions.
#include <criterion/criterion.h>
#include <sys/resource.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <new>
#include <stdexcept>
#include <system_error>
#include <thread>

#include "gentian_net/gentian_net.h"
#include "net/failing_allocations.h"

using namespace gentian;
using namespace gentian::testing;

namespace {

constexpr std::chrono::seconds kWait{5};

// Returns false if no handler of the pool runs any more.
bool IsAlive(io_pool& pool) {
  const auto ran = std::make_shared<std::promise<void>>();
  boost::asio::post(pool.context(), [ran] { ran->set_value(); });
  return ran->get_future().wait_for(kWait) == std::future_status::ready;
}

}  // namespace

// Guards against an exception that is no std::exception, or one of the handler
// of exceptions itself, ending the process.
Test(io_pool, lives_on_after_any_exception, .timeout = 30) {
  std::atomic<int> exceptions{0};
  io_pool pool(1, [&exceptions](const std::string&) {
    ++exceptions;
    throw std::bad_alloc();
  });
  boost::asio::post(pool.context(), [] { throw 1; });
  boost::asio::post(pool.context(), [] { throw std::runtime_error("odd"); });
  cr_assert(IsAlive(pool));
  cr_assert(exceptions == 2);
  pool.Stop();
}

// Guards against the process ending where a thread can't be started after
// others were.
Test(io_pool, reports_a_thread_that_cannot_be_started, .timeout = 30) {
  constexpr unsigned kThreads = 64;
  // Less than the stacks of all threads.
  constexpr rlim_t kMemory = 256UL * 1024 * 1024;
  const rlimit limit{kMemory, kMemory};
  cr_assert(setrlimit(RLIMIT_AS, &limit) == 0);
  bool is_reported = false;
  try {
    io_pool pool(kThreads);
  } catch (const std::system_error&) {
    is_reported = true;
  }
  cr_assert(is_reported);
}

// Guards against a timer that never runs again after its action has thrown.
Test(periodic_timer, runs_again_after_an_exception, .timeout = 30) {
  io_pool pool(1, [](const std::string&) {});
  std::promise<void> ran_again;
  int runs = 0;
  periodic_timer timer(pool, milliseconds(1), [&] {
    if (++runs == 2) {
      ran_again.set_value();
    }
    throw std::runtime_error("unexpected");
  });
  cr_assert(ran_again.get_future().wait_for(kWait) ==
            std::future_status::ready);
  pool.Stop();
}

// Guards against a chain of calls that ends for good with an exception in one
// of its handlers, or with a handler that is dropped.
Test(repeating_task, runs_again_whatever_becomes_of_a_round, .timeout = 30) {
  using round = repeating_task::round;
  io_pool pool(1, [](const std::string&) {});
  std::promise<void> ended;
  int runs = 0;
  repeating_task task(pool, milliseconds(1), [&](const round& current) {
    switch (++runs) {
      case 1:
        throw std::runtime_error("in the step");
      case 2:
        boost::asio::post(pool.context(), [current] {
          throw std::runtime_error("in a handler");
        });
        return;
      case 3:
        // Copies a handler that is never called.
        boost::asio::post(pool.context(), [handler = [current] {}] {});
        return;
      case 4:
        throw 1;
      case 5:
        current.RunAgainAfter(milliseconds(2));
        throw std::runtime_error("after the decision");
      default:
        current.End();
        ended.set_value();
    }
  });
  task.StartAfter(milliseconds(1));
  cr_assert(ended.get_future().wait_for(kWait) == std::future_status::ready);
  std::this_thread::sleep_for(milliseconds(50));
  // Ended, and the decision of round 5 has armed one run.
  cr_assert(runs == 6);
  pool.Stop();
}

// Guards against a chain that ends since nothing is left to arm its timer with.
Test(repeating_task, goes_on_without_memory, .timeout = 30) {
  using round = repeating_task::round;
  io_pool pool(1, [](const std::string&) {});
  std::promise<void> ended;
  int runs = 0;
  repeating_task task(pool, milliseconds(1), [&](const round& current) {
    constexpr int kRuns = 100;
    if (++runs < kRuns) {
      // Those of the next rounds.
      FailNextAllocations(2);
      return;
    }
    current.End();
    ended.set_value();
  });
  task.StartAfter(milliseconds(1));
  cr_assert(ended.get_future().wait_for(kWait) == std::future_status::ready);
  pool.Stop();
}
