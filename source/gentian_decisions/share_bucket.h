#ifndef GENTIAN_DECISIONS_SHARE_BUCKET_H_
#define GENTIAN_DECISIONS_SHARE_BUCKET_H_

#include <cstdint>
#include <map>
#include <optional>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** The tokens of one team that this daemon may spend or grant: its own share
    and the shares that other daemons have delegated to it.

    Level plus outstanding grants never exceed the part of the burst that
    belongs to the shares held.
    @see team_limiter
*/
class share_bucket {
 public:
  /** Time after which an issued batch counts as spent. Daemons spend a grant
      within kGrantLifetime of their request, which is less. */
  static constexpr milliseconds kBatchLifetime{1'000};

  /** Fills up to a time. Delegated shares stop counting at their expiry, also
      if the time lies in the past because this process was paused.

      @param rate   requests a second of the team across the fleet
      @param burst  burst of the team across the fleet
  */
  void Advance(double rate, double burst, steady_time now);

  /** Starts or stops counting this daemon's own share.
      @param part  1 / N, or 0 to stop */
  void SetOwnFraction(double part) { own_fraction_ = part; }

  /** Adds a share that another daemon delegated, or extends it. */
  void AddDelegated(const host_id& from, double part, steady_time expiry);

  /** Drops a delegated share at once. */
  void RemoveDelegated(const host_id& from);

  /** Adds tokens that moved here, as far as the shares held allow. */
  void AddTokens(double tokens, double burst);

  /** Takes up to `most` tokens out, for instance to delegate them. */
  double TakeTokens(double most);

  /** Takes one whole token to spend. */
  bool TakeOne();

  /** Issues whole tokens to another daemon.
      @returns  the number of tokens issued, at most `wanted` */
  std::uint32_t Issue(std::uint64_t batch,
                      std::uint32_t wanted,
                      steady_time now);

  /** Ends a batch; unused tokens return to the level. Unknown batches are
      ignored, so that repeated messages do no harm. */
  void Settle(std::uint64_t batch, std::uint32_t unused, double burst);

  /** Tokens that can be spent now. */
  double level() const { return level_; }

  /** Granted tokens that may still be spent elsewhere. */
  double outstanding() const { return static_cast<double>(outstanding_); }

  /** True if another daemon's share is in use. */
  bool HasDelegated() const { return !delegated_.empty(); }

  /** Sum of the parts held, own share included. */
  double FractionHeld() const;

 private:
  struct delegated_share {
    double fraction = 0;
    steady_time expiry;
  };
  struct issued_batch {
    std::uint32_t tokens = 0;
    steady_time issued;
  };

  void Refill(double rate, double burst, steady_time until);
  void ClampLevel(double burst);

  double own_fraction_ = 0;
  std::map<host_id, delegated_share> delegated_;
  std::map<std::uint64_t, issued_batch> issued_;
  std::uint64_t outstanding_ = 0;
  double level_ = 0;
  std::optional<steady_time> filled_until_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_SHARE_BUCKET_H_
