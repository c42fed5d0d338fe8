#ifndef GENTIAN_NET_CONNECTION_CACHE_H_
#define GENTIAN_NET_CONNECTION_CACHE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "gentian_net/byte_stream.h"

namespace gentian::detail {

/** Idle client connections by address. */
class connection_cache {
 public:
  /** Takes an idle connection that the server has not closed, or nothing. */
  std::shared_ptr<byte_stream> Take(const std::string& address);

  /** Keeps a connection whose last answer is complete. */
  void Put(const std::string& address, std::shared_ptr<byte_stream> stream);

  /** Closes all. */
  void Clear();

 private:
  struct idle_stream {
    std::shared_ptr<byte_stream> stream;
    steady_time since;
  };

  std::mutex mutex_;
  std::map<std::string, std::vector<idle_stream>> idle_;
};

}  // namespace gentian::detail

#endif  // GENTIAN_NET_CONNECTION_CACHE_H_
