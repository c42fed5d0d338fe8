#ifndef GENTIAN_NET_CONNECTION_CACHE_H_
#define GENTIAN_NET_CONNECTION_CACHE_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gentian_net/byte_stream.h"

namespace gentian::detail {

/** Idle client connections by address. */
class connection_cache {
 public:
  /** Takes an idle connection that the server has not closed, or nothing. */
  std::shared_ptr<byte_stream> Take(const std::string& address);

  /** Keeps a connection whose last answer is complete.

      @param announced  time after which the server closes it when idle, if
                        the server has said so */
  void Put(const std::string& address,
           std::shared_ptr<byte_stream> stream,
           std::optional<duration> announced = std::nullopt);

  /** Closes all. */
  void Clear();

 private:
  struct idle_stream {
    std::shared_ptr<byte_stream> stream;
    steady_time usable_until;
  };

  /** Closes those that can't be used again, also to servers that no request
      goes to any more. */
  void Sweep(steady_time now);

  std::mutex mutex_;
  steady_time swept_at_;
  std::map<std::string, std::vector<idle_stream>> idle_;
};

/** The time that a Keep-Alive header announces, or nothing. */
std::optional<duration> KeepAliveTime(std::string_view header);

}  // namespace gentian::detail

#endif  // GENTIAN_NET_CONNECTION_CACHE_H_
