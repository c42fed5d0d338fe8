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

/** Decides which shares of the teams' rates this daemon may use: its own, and
    those that others delegated to it as the granter of a group of teams.

    Safety rests on the daemon's own clock and on the rule that a share is used
    by its owner only after every granter has stopped using it.
    @see team_limiter, share_bucket
*/
class share_manager {
 public:
  /** Groups of teams that have one granter each. */
  static constexpr std::uint32_t kGroupCount = 22;
  /** Time between two offers of a granter. */
  static constexpr milliseconds kOfferInterval{1'000};
  /** A granter uses a share until this long after its offer. */
  static constexpr milliseconds kDelegationLifetime{2'000};
  /** A daemon leaves its share alone this long after its last delegation. */
  static constexpr milliseconds kDelegationReclaimDelay{3'000};
  /** Wait after a release, until the tokens granted before have ended. */
  static constexpr milliseconds kReleaseReclaimDelay{450};
  /** Time for which two fleet sizes may be in force at different daemons. */
  static constexpr milliseconds kFleetSizeTransition{15'000};

  explicit share_manager(const cluster_view& view) : view_(view) {}

  /** Group of a team. */
  static std::uint32_t GroupOf(const team_id& team);

  /** The bucket of a configured team, filled up to now. */
  share_bucket& Bucket(const team_settings& team, steady_time now);

  /** Whom to ask for tokens of the group; nothing if this daemon has to wait
      for its own bucket. */
  std::optional<incarnation> Granter(std::uint32_t group) const;

  /** Sends offers, takes back shares and hands back those of others. */
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
    /** Granter that holds the share. */
    std::optional<incarnation> granter;
    steady_time reclaimable_at;
  };
  struct group_state {
    own_share own;
    /** Last sequence received, by delegating incarnation. */
    std::map<incarnation, std::uint64_t> last_received;
    /** Delegators whose share may be in use here. */
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
  /** Granter of each group by the current view. */
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
