#ifndef GENTIAN_APP_POOL_CALL_H_
#define GENTIAN_APP_POOL_CALL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <future>

#include "gentian_net/gentian_net.h"

namespace gentian {

/** Runs a function on a thread of the pool and waits for its result. Throws
   what the function throws. */
template <typename Function>
auto RunOnPool(io_pool& pool, const Function& function) {
  std::promise<decltype(function())> done;
  boost::asio::post(pool.context(), [&function, &done] {
    try {
      done.set_value(function());
    } catch (...) {
      // The caller describes it: after a lack of memory, this thread may have
      // none for the text.
      done.set_exception(std::current_exception());
    }
  });
  return done.get_future().get();
}

}  // namespace gentian

#endif  // GENTIAN_APP_POOL_CALL_H_
