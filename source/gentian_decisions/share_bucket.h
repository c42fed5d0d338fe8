#ifndef GENTIAN_DECISIONS_SHARE_BUCKET_H_
#define GENTIAN_DECISIONS_SHARE_BUCKET_H_

#include <cstdint>
#include <map>
#include <optional>

#include "gentian_core/gentian_core.h"

namespace gentian {

/** Token bucket of one team for the shares of the team's rate that this daemon
    holds: its own share and those that other daemons delegated to it.

    The level plus the outstanding tokens never exceed the burst times the
    fraction held. A share is a fraction of the team's fleet-wide rate.
    @see team_limiter
*/
class share_bucket {
 public:
  /** Time after which an issued batch counts as spent. Receivers spend a batch
      within the shorter team_limiter::kGrantLifetime of their request. */
  static constexpr milliseconds kBatchLifetime{1'000};

  /** Refills the bucket up to `now` and ends expired batches. A delegated share
      adds tokens only until its expiry, even if this process was paused and
      the expiry is long past.

      @param rate   requests a second of the team across the fleet
      @param burst  burst of the team across the fleet
  */
  void Advance(double rate, double burst, steady_time now);

  /** Sets the fraction of the rate that is this daemon's own share: 1 / fleet
      size, or 0 while the share is not in use. */
  void SetOwnFraction(double fraction) { own_fraction_ = fraction; }

  /** Adds the share that another daemon delegated, or extends its expiry. */
  void AddDelegated(const host_id& from, double fraction, steady_time expiry);

  /** Removes a delegated share before its expiry. */
  void RemoveDelegated(const host_id& from);

  /** Adds tokens, up to the capacity of the shares held. */
  void AddTokens(double tokens, double burst);

  /** Removes up to `most` tokens, for example to delegate them.
      @returns  the number of tokens removed */
  double TakeTokens(double most);

  /** Takes one token to spend.
      @returns  false if less than one token is left */
  bool TakeOne();

  /** Issues whole tokens to another daemon.
      @returns  the number of tokens issued, at most `wanted` */
  std::uint32_t Issue(std::uint64_t batch,
                      std::uint32_t wanted,
                      steady_time now);

  /** Ends a batch and returns its unused tokens to the level. Unknown batches
      are ignored, so that repeated messages add nothing. */
  void Settle(std::uint64_t batch, std::uint32_t unused, double burst);

  /** Tokens that can be spent now. */
  double level() const { return level_; }

  /** Granted tokens that may still be spent elsewhere. */
  double outstanding() const { return static_cast<double>(outstanding_); }

  /** True if a share of another daemon is held. */
  bool HasDelegated() const { return !delegated_.empty(); }

  /** Fraction of the team's rate that is held, including the own share. */
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
