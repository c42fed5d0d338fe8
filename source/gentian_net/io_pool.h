#ifndef GENTIAN_NET_IO_POOL_H_
#define GENTIAN_NET_IO_POOL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gentian_core/steady_time.h"
#include "gentian_net/memory_budget.h"
#include "gentian_net/repeating_task.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace gentian {

/** Threads that run all network I/O of a process. */
class io_pool {
 public:
  /** Receives the message of an exception that a handler threw. Runs on the
      thread of that handler. */
  using exception_handler = std::function<void(const std::string& message)>;

  /** Starts the threads.

      @param on_exception  keeps the threads running after an exception; without
                           it, an exception ends the process
      @throws std::system_error  a thread cannot be started; none is left */
  explicit io_pool(unsigned threads, exception_handler on_exception = nullptr);
  /** Stops the threads. Objects that use the pool must be stopped before. */
  ~io_pool();
  io_pool(const io_pool&) = delete;
  io_pool& operator=(const io_pool&) = delete;

  /** Ends the threads; pending operations are dropped. */
  void Stop();

  /** Runs a function on one of the threads after a delay. */
  void After(duration delay, std::function<void()> action);

  boost::asio::io_context& context();

  /** Number of exceptions that the handler of exceptions failed to take. */
  std::uint64_t unreported_exceptions() const;

  /** Bounds what all clients and servers on the pool hold; without a bound
      unless one is set. */
  memory_budget& message_memory();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/** Stops a pool at the end of a scope, before what its handlers use is gone. */
class io_pool_stop {
 public:
  explicit io_pool_stop(io_pool& pool) : pool_(pool) {}
  ~io_pool_stop() { pool_.Stop(); }
  io_pool_stop(const io_pool_stop&) = delete;
  io_pool_stop& operator=(const io_pool_stop&) = delete;

 private:
  io_pool& pool_;
};

/** Runs a function repeatedly on an io_pool until it is destroyed, also after
   it has thrown. */
class periodic_timer {
 public:
  /** @param action  runs every `interval`, never concurrently with itself;
                     must not destroy the timer
  */
  periodic_timer(io_pool& pool,
                 duration interval,
                 std::function<void()> action);
  /** Stops; waits for an action that is running. */
  ~periodic_timer();
  periodic_timer(const periodic_timer&) = delete;
  periodic_timer& operator=(const periodic_timer&) = delete;

 private:
  struct state;
  std::shared_ptr<state> state_;
  repeating_task task_;
};

}  // namespace gentian

#endif  // GENTIAN_NET_IO_POOL_H_
