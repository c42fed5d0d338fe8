#ifndef GENTIAN_ADAPTERS_ETCD_KEY_VALUE_STORE_H_
#define GENTIAN_ADAPTERS_ETCD_KEY_VALUE_STORE_H_

#include <functional>
#include <memory>
#include <string>

#include "gentian_adapters/key_value_store.h"
#include "gentian_net/http_client.h"

namespace gentian {

/** Reaches the key-value service over the JSON gateway of the etcd v3 API. */
class etcd_key_value_store : public key_value_store {
 public:
  /** @param address  `ip:port` of the service
      @param tls      nothing for plain HTTP
  */
  etcd_key_value_store(io_pool& pool,
                       std::string address,
                       std::shared_ptr<tls_context> tls = nullptr);

  void Call(const kv_operation& operation,
            milliseconds deadline,
            answer_handler handler) override;

 private:
  // Starts one kind of operation.
  void Start(const kv_get& operation, milliseconds deadline, answer_handler h);
  void Start(const kv_list& operation, milliseconds deadline, answer_handler h);
  void Start(const kv_compare_and_swap& operation,
             milliseconds deadline,
             answer_handler handler);
  void Start(const kv_write_batch& operation,
             milliseconds deadline,
             answer_handler handler);
  void Start(const kv_delete& operation,
             milliseconds deadline,
             answer_handler handler);
  void Start(const kv_grant_lease& operation,
             milliseconds deadline,
             answer_handler handler);
  void Start(const kv_renew_lease& operation,
             milliseconds deadline,
             answer_handler handler);
  void Start(const kv_watch& operation,
             milliseconds deadline,
             answer_handler handler);

  void Post(const char* path,
            const json& body,
            milliseconds deadline,
            answer_handler handler,
            std::function<kv_answer(const json&)> read);

  io_pool& pool_;
  http_client client_;
  std::string address_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_ETCD_KEY_VALUE_STORE_H_
