#ifndef GENTIAN_ADAPTERS_ETCD_FAKE_SERVER_H_
#define GENTIAN_ADAPTERS_ETCD_FAKE_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gentian_adapters/key_value_fake.h"
#include "gentian_net/http_server.h"

namespace gentian {

/** Serves a key_value_fake over the part of the etcd v3 JSON gateway that
    etcd_key_value_store uses. Thread-safe.
*/
class etcd_fake_server {
 public:
  /** @param store  must outlive the server */
  etcd_fake_server(io_pool& pool, key_value_fake& store);
  ~etcd_fake_server();
  etcd_fake_server(const etcd_fake_server&) = delete;
  etcd_fake_server& operator=(const etcd_fake_server&) = delete;

  /** Answers one request; the handler of an http_server. */
  void Serve(const std::shared_ptr<http_exchange>& exchange);

  /** While not available, connections are closed without an answer. */
  void SetAvailable(bool available);

  /** The next changes take effect but their answers are lost. */
  void LoseAnswers(int count);

  /** Calls so far by path, a watch counted as one. */
  std::map<std::string, std::uint64_t> Calls() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
  std::unique_ptr<periodic_timer> timer_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_ETCD_FAKE_SERVER_H_
