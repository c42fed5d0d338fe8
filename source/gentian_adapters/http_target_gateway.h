#ifndef GENTIAN_ADAPTERS_HTTP_TARGET_GATEWAY_H_
#define GENTIAN_ADAPTERS_HTTP_TARGET_GATEWAY_H_

#include <memory>
#include <string>

#include "gentian_adapters/target_gateway.h"
#include "gentian_net/http_client.h"

namespace gentian {

/** Reaches engines and tool services over HTTP (design page, section 6.1). */
class http_target_gateway : public target_gateway {
 public:
  /** @param tls  nothing for plain HTTP */
  explicit http_target_gateway(io_pool& pool,
                               std::shared_ptr<tls_context> tls = nullptr);
  ~http_target_gateway() override;

  void SetSink(event_sink sink) override;
  void Dispatch(const dispatch_call& call) override;
  void Cancel(dispatch_id id) override;
  void Order(const order_target& order) override;
  void PollLoad(const target_id& target, const std::string& address) override;
  void PollCacheEvents(const target_id& target,
                       const std::string& address) override;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_HTTP_TARGET_GATEWAY_H_
