#ifndef TESTS_SOAK_UNFINISHED_BODIES_H_
#define TESTS_SOAK_UNFINISHED_BODIES_H_

#include <atomic>
#include <string>
#include <thread>

namespace gentian::soak {

/** Connections to a gateway on each of which most of a large request is sent,
    and the rest never. */
class unfinished_bodies {
 public:
  /** Begins to send. */
  explicit unfinished_bodies(std::string gateway);
  ~unfinished_bodies();
  unfinished_bodies(const unfinished_bodies&) = delete;
  unfinished_bodies& operator=(const unfinished_bodies&) = delete;

  /** Closes all connections. */
  void Stop() { is_stopped_ = true; }

 private:
  void Run();

  const std::string gateway_;
  std::atomic<bool> is_stopped_{false};
  std::thread thread_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_UNFINISHED_BODIES_H_
