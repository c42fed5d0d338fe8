#ifndef GENTIAN_ADAPTERS_HTTP_HOST_LIST_H_
#define GENTIAN_ADAPTERS_HTTP_HOST_LIST_H_

#include <string>

#include "gentian_adapters/host_list.h"
#include "gentian_net/http_client.h"

namespace gentian {

/** Reads the host list from `GET /hosts`. */
class http_host_list : public host_list {
 public:
  /** @param address  `ip:port` of the service */
  http_host_list(io_pool& pool, std::string address);

  void Read(answer_handler handler) override;

 private:
  http_client client_;
  std::string address_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_HTTP_HOST_LIST_H_
