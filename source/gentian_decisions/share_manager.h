#ifndef GENTIAN_DECISIONS_SHARE_MANAGER_H_
#define GENTIAN_DECISIONS_SHARE_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/node_context.h"
#include "gentian_decisions/share_bucket.h"

namespace gentian {

/** Decides which shares of the teams' rates this daemon may use.

    Each daemon owns one share, 1 / fleet size, of every team's rate. Teams are
    divided into groups; the first live daemon in the rendezvous order of a
    group is its granter. The granter offers to hold the shares of the others,
    which delegate them for a limited time, and grants tokens on request.

    A rate is never exceeded, because an owner uses its share again only after
    its granter has stopped using it. Each daemon times this with its own
    monotonic clock.
    @see team_limiter, share_bucket
*/
class share_manager {
 public:
  /** Number of groups of teams; each group has one granter. */
  static constexpr std::uint32_t kGroupCount = 22;
  /** Interval between the offers of a granter. */
  static constexpr milliseconds kOfferInterval{1'000};
  /** A granter uses a delegated share for this time after its offer. */
  static constexpr milliseconds kDelegationLifetime{2'000};
  /** A daemon uses its own share again no earlier than this time after its last
      delegation, unless the granter releases the share earlier. */
  static constexpr milliseconds kDelegationReclaimDelay{3'000};
  /** Delay between the release of a share by the granter and its use by the
      owner, until tokens granted from it have expired. */
  static constexpr milliseconds kReleaseReclaimDelay{450};
  /** Time for which daemons may use different fleet sizes after a
      configuration change. */
  static constexpr milliseconds kFleetSizeTransition{15'000};

  explicit share_manager(const cluster_view& view) : view_(view) {}

  /** Group of a team. */
  static std::uint32_t GroupOf(const team_id& team);

  /** Returns the bucket of a configured team, refilled up to now. */
  share_bucket& Bucket(const team_settings& team, steady_time now);

  /** Daemon that grants tokens of the group; nothing if this daemon takes
      tokens only from its own bucket. */
  std::optional<incarnation> Granter(std::uint32_t group) const;

  /** Sends offers, reclaims own shares, and releases the shares of others in
      groups whose granter this daemon no longer is. */
  void Tick(node_context& context);

  void Receive(const incarnation& from,
               const share_offer& offer,
               node_context& context);
  void Receive(const incarnation& from,
               const share_delegation& message,
               node_context& context);
  void Receive(const incarnation& from,
               const share_release& message,
               node_context& context);

 private:
  struct own_share {
    bool in_use = false;
    /** Granter to which the share is delegated. */
    std::optional<incarnation> granter;
    steady_time reclaimable_at;
  };
  struct group_state {
    own_share own;
    /** Last delegation sequence received, by delegator. */
    std::map<incarnation, std::uint64_t> last_received;
    /** Daemons whose delegated share this daemon may still use. */
    std::set<incarnation> delegators;
    std::optional<steady_time> last_offer;
    std::uint64_t last_sent_sequence = 0;
  };

  bool TryStart(steady_time now);
  void UpdateFleetSize(steady_time now);
  double OwnFraction(std::uint32_t group) const;
  bool IsGranter(std::uint32_t group) const;
  void ReclaimOwnShare(std::uint32_t group, steady_time now);
  void ReleaseDelegatedShares(std::uint32_t group, node_context& context);
  void SendOffers(std::uint32_t group, node_context& context);
  bool MayDelegate(std::uint32_t group, steady_time now);

  template <typename Action>
  void ForEachTeam(std::uint32_t group, Action action);

  const cluster_view& view_;
  std::map<team_id, share_bucket> buckets_;
  std::map<std::uint32_t, group_state> groups_;
  /** Granter of each group according to the current view. */
  std::map<std::uint32_t, incarnation> group_granters_;
  std::optional<steady_time> started_;
  bool starts_full_ = false;
  std::uint32_t fleet_size_ = 0;
  std::uint32_t previous_fleet_size_ = 0;
  steady_time fleet_size_changed_;
  steady_time ranked_at_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARE_MANAGER_H_
