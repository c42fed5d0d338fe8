#ifndef GENTIAN_ADAPTERS_TARGET_GATEWAY_H_
#define GENTIAN_ADAPTERS_TARGET_GATEWAY_H_

#include <functional>
#include <string>

#include "gentian_decisions/command.h"
#include "gentian_decisions/event.h"

namespace gentian {

/** Model engines and tool services, as the daemon reaches them. Both kinds
    take calls over the same protocol; only engines have a cache.
*/
class target_gateway {
 public:
  /** Receives target events, on any thread. */
  using event_sink = std::function<void(event)>;

  virtual ~target_gateway() = default;

  /** Sets who receives events. Must be called before all others. */
  virtual void SetSink(event_sink sink) = 0;

  /** Starts a call. Ends with one target_finished or target_failed, unless
      it is cancelled.
  */
  virtual void Dispatch(const dispatch_call& call) = 0;

  /** Stops a call and tells the target. */
  virtual void Cancel(dispatch_id id) = 0;

  /** Sends a control request; target_order_answered follows. */
  virtual void Order(const order_target& order) = 0;

  /** Asks for a load report; target_load follows if the target answers. */
  virtual void PollLoad(const target_id& target,
                        const std::string& address) = 0;

  /** Asks for cache events that are not known yet; target_cache_event
      follows for each.
  */
  virtual void PollCacheEvents(const target_id& target,
                               const std::string& address) = 0;
};

}  // namespace gentian

#endif  // GENTIAN_ADAPTERS_TARGET_GATEWAY_H_
