#ifndef GENTIAN_DECISIONS_TARGET_ORDERS_H_
#define GENTIAN_DECISIONS_TARGET_ORDERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/node_context.h"

namespace gentian {

/** Sends orders (control requests) to targets and repeats them until they are
    confirmed.

    Orders are idempotent: each states the desired state, not a change, because
    some targets ignore the fencing token and may apply an order late or twice.
    A newer order of the same subject replaces the older one. If a target
    rejects the fencing token as stale, the order is repeated with the newest
    token known here, unless it has been cancelled.
*/
class target_orders {
 public:
  static constexpr milliseconds kFirstRetryDelay{500};
  static constexpr milliseconds kMaxRetryDelay{10'000};
  /** Model loads a second that the whole fleet may start. Not configurable
      yet. */
  static constexpr double kModelLoadsPerSecond = 0.5;

  explicit target_orders(const cluster_view& view) : view_(view) {}

  /** Sets the fencing token of a pool's scheduling term at this daemon. Lower
      tokens than the known one are ignored. */
  void SetFencingToken(const pool_id& pool, std::uint64_t token);

  /** Sends an order and repeats it until it is confirmed.

      @param subject  orders of one target with the same subject replace each
                      other
  */
  order_id Send(const target_id& target,
                const std::string& subject,
                target_order_body body,
                node_context& context);

  /** Sends an order without repeats, for orders that have no use later. */
  order_id SendOnce(const target_id& target,
                    target_order_body body,
                    node_context& context);

  /** Orders an engine to load a model or adapter as soon as this daemon's share
      of kModelLoadsPerSecond allows it. */
  void Load(const target_id& target, load_model body, node_context& context);

  /** Stops repeating an order that is no longer needed.
      @returns  true if there was one */
  bool Cancel(const target_id& target, const std::string& subject);

  /** Handles the answer to an order.
      @returns  the order, or nothing if it is not open here */
  struct answered_order {
    target_id target;
    target_order_body body;
    bool repeats = false;
  };
  std::optional<answered_order> Receive(const target_order_answered& answer,
                                        node_context& context);

  /** Repeats unconfirmed orders and sends pending loads. */
  void Tick(node_context& context);

  /** Number of unconfirmed orders, including pending loads. */
  std::size_t open() const { return open_.size() + pending_loads_.size(); }

 private:
  struct open_order {
    target_id target;
    std::string subject;
    target_order_body body;
    steady_time next_attempt;
    milliseconds retry_delay = kFirstRetryDelay;
    bool repeats = true;
  };
  using subject_key = std::pair<target_id, std::string>;

  void Emit(order_id id, const open_order& order, node_context& context);
  std::uint64_t FencingTokenFor(const target_settings& target) const;

  const cluster_view& view_;
  std::map<order_id, open_order> open_;
  std::map<subject_key, order_id> by_subject_;
  std::map<subject_key, load_model> pending_loads_;
  std::map<pool_id, std::uint64_t> fencing_tokens_;
  order_id last_id_ = 0;
  double load_tokens_ = 1;
  std::optional<steady_time> load_tokens_updated_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_TARGET_ORDERS_H_
