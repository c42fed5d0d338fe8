// Tests that the threads of an io_pool outlive exceptions.
#include <criterion/criterion.h>
#include <sys/resource.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <new>
#include <stdexcept>
#include <system_error>

#include "gentian_net/gentian_net.h"

using namespace gentian;

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
