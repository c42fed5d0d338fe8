#include "gentian_decisions/target_orders.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace gentian {

namespace {

// Time for which the answer to an order of SendOnce is accepted.
constexpr milliseconds kSendOnceRetention{5'000};

}  // namespace

void target_orders::SetFencingToken(const pool_id& pool, std::uint64_t token) {
  std::uint64_t& known = fencing_tokens_[pool];
  known = std::max(known, token);
}

std::uint64_t target_orders::FencingTokenFor(
    const target_settings& target) const {
  const auto found = fencing_tokens_.find(target.pool);
  return found == fencing_tokens_.end() ? 0 : found->second;
}

void target_orders::Emit(order_id id,
                         const open_order& order,
                         node_context& context) {
  const auto target = view_.settings().targets.find(order.target);
  if (target == view_.settings().targets.end()) {
    return;
  }
  context.Emit(order_target{id, order.target, target->second.address,
                            FencingTokenFor(target->second), order.body});
}

order_id target_orders::Send(const target_id& target,
                             const std::string& subject,
                             target_order_body body,
                             node_context& context) {
  Cancel(target, subject);
  const order_id id = ++last_id_;
  open_order order{target, subject, std::move(body),
                   context.now + kFirstRetryDelay};
  Emit(id, order, context);
  by_subject_[{target, subject}] = id;
  open_.emplace(id, std::move(order));
  return id;
}

order_id target_orders::SendOnce(const target_id& target,
                                 target_order_body body,
                                 node_context& context) {
  const order_id id = ++last_id_;
  open_order order{target, "", std::move(body),
                   context.now + kSendOnceRetention};
  order.repeats = false;
  Emit(id, order, context);
  open_.emplace(id, std::move(order));
  return id;
}

void target_orders::Load(const target_id& target,
                         load_model body,
                         node_context& context) {
  pending_loads_[{target, "load"}] = std::move(body);
  Tick(context);
}

bool target_orders::Cancel(const target_id& target,
                           const std::string& subject) {
  const auto found = by_subject_.find({target, subject});
  if (found == by_subject_.end()) {
    return false;
  }
  open_.erase(found->second);
  by_subject_.erase(found);
  return true;
}

std::optional<target_orders::answered_order> target_orders::Receive(
    const target_order_answered& answer,
    node_context& context) {
  const auto found = open_.find(answer.id);
  if (found == open_.end()) {
    return std::nullopt;
  }
  open_order& order = found->second;
  answered_order result{order.target, order.body, order.repeats};
  if (answer.ok || !order.repeats) {
    by_subject_.erase({order.target, order.subject});
    open_.erase(found);
  } else {
    context.counters.Add("order.refused");
  }
  return result;
}

void target_orders::Tick(node_context& context) {
  std::vector<order_id> gone;
  for (auto& [id, order] : open_) {
    if (order.next_attempt > context.now) {
      continue;
    }
    const bool known = view_.settings().targets.count(order.target) > 0;
    if (!order.repeats || !known) {
      gone.push_back(id);
      continue;
    }
    context.counters.Add("order.repeated");
    Emit(id, order, context);
    order.retry_delay = std::min(order.retry_delay * 2, kMaxRetryDelay);
    // Jitter spreads the repeats of many daemons after an outage.
    const auto half = static_cast<std::uint64_t>(order.retry_delay.count() / 2);
    order.next_attempt = context.now + order.retry_delay / 2 +
                         milliseconds(context.random.Below(half + 1));
  }
  for (const order_id id : gone) {
    by_subject_.erase({open_.at(id).target, open_.at(id).subject});
    open_.erase(id);
  }
  const auto daemons =
      std::max<std::size_t>(view_.settings().daemons.size(), 1);
  const double rate = kModelLoadsPerSecond / static_cast<double>(daemons);
  if (load_tokens_updated_) {
    load_tokens_ += rate * ToSeconds(context.now - *load_tokens_updated_);
    load_tokens_ = std::min(load_tokens_, 1.0);
  }
  load_tokens_updated_ = context.now;
  while (!pending_loads_.empty() && load_tokens_ >= 1.0) {
    load_tokens_ -= 1.0;
    const auto first = pending_loads_.begin();
    const subject_key key = first->first;
    const load_model body = std::move(first->second);
    pending_loads_.erase(first);
    Send(key.first, key.second, body, context);
  }
}

}  // namespace gentian
