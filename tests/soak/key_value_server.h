#ifndef TESTS_SOAK_KEY_VALUE_SERVER_H_
#define TESTS_SOAK_KEY_VALUE_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "gentian_net/gentian_net.h"

namespace gentian::soak {

/** A stand-in of the platform's metadata store. Each host reaches it at an
    address of its own and may see other values than the others. */
class key_value_server {
 public:
  /** Rewrites a value as a host sees it. */
  using view = std::function<std::string(const std::string& host,
                                         const std::string& key,
                                         const std::string&)>;

  key_value_server(io_pool& pool, view see);

  /** Serves one host and returns the address for it. */
  std::string Serve(const std::string& host);

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  bool Contains(const std::string& key);

 private:
  struct item {
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
  };
  struct lease {
    milliseconds lifetime{0};
    steady_time until;
  };

  void Answer(const std::string& host,
              const std::shared_ptr<http_exchange>& exchange);
  http_response Execute(const std::string& host, const http_request& request);
  http_response List(const std::string& host, const std::string& target);
  /** Answers a watch, later if nothing has changed. */
  void Watch(const std::string& host,
             const std::shared_ptr<http_exchange>& exchange,
             steady_time until);
  json EventsAfter(const std::string& host,
                   std::uint64_t revision,
                   const std::string& prefix) const;
  http_response Transact(const std::string& host, const json& body);
  json ItemOf(const std::string& host,
              const std::string& key,
              const item& subject) const;
  void Write(const std::string& key, std::string value, std::uint64_t lease);
  void Erase(const std::string& key);
  void Expire();
  void EndLease(std::uint64_t id);

  io_pool& pool_;
  view see_;
  std::mutex mutex_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::uint64_t revision_ = 0;
  /** Keys by the revision of each of their changes. */
  std::map<std::uint64_t, std::string> changes_;
  std::uint64_t last_lease_ = 0;
  std::vector<std::unique_ptr<http_server>> servers_;
};

}  // namespace gentian::soak

#endif  // TESTS_SOAK_KEY_VALUE_SERVER_H_
