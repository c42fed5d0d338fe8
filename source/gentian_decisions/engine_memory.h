#ifndef GENTIAN_DECISIONS_ENGINE_MEMORY_H_
#define GENTIAN_DECISIONS_ENGINE_MEMORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/pause_estimate.h"
#include "gentian_decisions/target_orders.h"

namespace gentian {

/** Tracks which sessions hold cache at which engines, orders the release of
    cache that is no longer needed, and tracks which targets are leaving.

    Holdings are learned from finished calls, cache events and listings. A
    release order is resent until the engine confirms it or a cache event or
    listing shows that the holding is gone.
*/
class engine_memory {
 public:
  /** The cache of a session that is idle for this long is released. This also
      covers sessions whose owner died before it released the cache. */
  static constexpr milliseconds kIdleTimeout{600'000};
  /** Retention of ended sessions, so that late cache events of them lead to a
      release. */
  static constexpr milliseconds kEndedRetention{120'000};
  /** Interval between checks for idle sessions. */
  static constexpr milliseconds kSweepInterval{1'000};
  /** Share of an engine's cache capacity in use above which the cache of idle
      sessions is released. */
  static constexpr double kHighWatermark = 0.9;

  explicit engine_memory(const cluster_view& view)
      : view_(view), orders_(view) {}

  /** Records that a call of the session starts at an engine. */
  void RecordCallStart(const session_id& session,
                       const target_id& target,
                       steady_time now);

  /** Records that a call of the session ended at an engine.
      @param tokens  tokens that the engine now holds for the session; 0 leaves
                     the recorded holding unchanged */
  void RecordCallEnd(const session_id& session,
                     const target_id& target,
                     std::uint64_t tokens,
                     steady_time now);

  /** Drops all holdings of a target that lost its cache, for example because
      it restarted. */
  void ClearHoldings(const target_id& target);

  /** Applies a cache event; requests a listing if events are missing. */
  void Receive(const target_cache_event& change, node_context& context);

  /** Handles the answer to an order.
      @returns  true if this object sent the order */
  bool Receive(const target_order_answered& answer, node_context& context);

  /** Updates the set of leaving targets. */
  void Receive(const host_list_received& list);

  /** Orders all engines that hold cache of a session to release it. */
  void EndSession(const session_id& session, node_context& context);

  /** Orders an engine to copy a session's cache from another one. The order is
      sent once; the caller bounds the wait for its answer.
      @returns  id of the order */
  order_id Import(const session_id& session,
                  const target_id& from,
                  const target_id& to,
                  node_context& context);

  /** Resends unconfirmed orders and releases the cache of idle sessions.
      @param schedules  pools that this daemon schedules */
  void Tick(const std::set<pool_id>& schedules, node_context& context);

  /** Tokens that an engine holds for a session, as far as known. */
  std::uint64_t CachedTokens(const target_id& target,
                             const session_id& session) const;

  /** Engines that hold cache of a session, with the number of tokens. */
  std::map<target_id, std::uint64_t> Holders(const session_id& session) const;

  /** True if the platform's host list marks the target as leaving. */
  bool IsLeaving(const target_id& target) const {
    return leaving_.count(target) > 0;
  }

  /** Used directly for orders that do not concern sessions, such as loading a
      model. */
  target_orders& orders() { return orders_; }

 private:
  struct holding {
    std::uint64_t tokens = 0;
    steady_time last_used;
  };
  struct engine_record {
    std::map<session_id, holding> holdings;
    std::optional<std::uint64_t> last_event;
    bool needs_listing = false;
    std::uint64_t used_tokens = 0;
  };

  void SetHolding(const target_id& target,
                  const session_id& session,
                  std::uint64_t tokens,
                  steady_time now);
  void EraseHolding(const target_id& target, const session_id& session);
  void Release(const target_id& target,
               const session_id& session,
               node_context& context);
  void ApplyListing(const target_cache_listing& listing, node_context& context);
  void Sweep(const std::set<pool_id>& schedules, node_context& context);
  void RelievePressure(const target_settings& target,
                       engine_record& engine,
                       node_context& context);

  const cluster_view& view_;
  target_orders orders_;
  pause_estimate pauses_;
  std::map<target_id, engine_record> engines_;
  std::map<session_id, std::set<target_id>> holders_;
  std::map<session_id, steady_time> ended_sessions_;
  /** Number of calls in progress, by session. Their cache is not released. */
  std::map<session_id, int> active_calls_;
  std::set<target_id> leaving_;
  steady_time last_sweep_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_ENGINE_MEMORY_H_
