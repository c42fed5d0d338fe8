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

/** Which sessions hold cache at which engine, what has to be released, and
    which targets are leaving.

    Holdings are learned from finished calls, cache events and listings. A
    release is repeated until the engine confirms it or the cache events show
    that the holding is gone.
*/
class engine_memory {
 public:
  /** Sessions unused for this long lose their cache, so that nothing stays
      held for a session whose owner died without a release. */
  static constexpr milliseconds kIdleTimeout{600'000};
  /** An ended session is remembered for late cache events. */
  static constexpr milliseconds kEndedRetention{120'000};
  /** Time between two looks at idle sessions. */
  static constexpr milliseconds kSweepInterval{1'000};
  /** Part of an engine's memory above which idle sessions are released. */
  static constexpr double kHighWatermark = 0.9;

  explicit engine_memory(const cluster_view& view)
      : view_(view), orders_(view) {}

  /** A call of the session starts at an engine. */
  void RecordCallStart(const session_id& session,
                       const target_id& target,
                       steady_time now);

  /** The engine holds this much of the session now. */
  void RecordCallEnd(const session_id& session,
                     const target_id& target,
                     std::uint64_t tokens,
                     steady_time now);

  /** The target has lost its memory, for example because it restarted. */
  void ClearHoldings(const target_id& target);

  /** Applies a cache event; orders a listing if events are missing. */
  void Receive(const target_cache_event& change, node_context& context);

  /** Handles the answer to an order.
      @returns  true if the order was sent from here */
  bool Receive(const target_order_answered& answer, node_context& context);

  /** Takes over which targets the platform takes away. */
  void Receive(const host_list_received& list);

  /** Orders the release of all that engines hold for a session. */
  void EndSession(const session_id& session, node_context& context);

  /** Copies a session's cache between engines.
      @returns  id of the order, answered or timed out by the shell */
  order_id Import(const session_id& session,
                  const target_id& from,
                  const target_id& to,
                  node_context& context);

  /** Repeats orders, releases idle sessions.
      @param schedules  pools whose engines this daemon looks after */
  void Tick(const std::set<pool_id>& schedules, node_context& context);

  /** Prompt tokens that an engine is believed to hold for a session. */
  std::uint64_t CachedTokens(const target_id& target,
                             const session_id& session) const;

  /** Engines that hold cache of a session. */
  std::map<target_id, std::uint64_t> Holders(const session_id& session) const;

  /** True if the platform's list says that the target is leaving. */
  bool IsLeaving(const target_id& target) const {
    return leaving_.count(target) > 0;
  }

  /** The orders to targets, for models and roles. */
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
  /** Calls in progress, by session; their cache is in use. */
  std::map<session_id, int> active_calls_;
  std::set<target_id> leaving_;
  steady_time last_sweep_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_ENGINE_MEMORY_H_
