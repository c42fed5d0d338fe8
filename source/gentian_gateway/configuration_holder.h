#ifndef GENTIAN_GATEWAY_CONFIGURATION_HOLDER_H_
#define GENTIAN_GATEWAY_CONFIGURATION_HOLDER_H_

#include <optional>

#include "gentian_gateway/gateway_configuration.h"

namespace gentian {

/** The current configuration, and whether it is still fresh.

    A withdrawn key must stop working on every daemon within a time bound, even
    on a daemon that can't reach the key-value service. A daemon therefore
    serves requests that carry keys only while its last confirmation is younger
    than a fraction of that bound.
*/
class configuration_holder {
 public:
  /** @param withdrawal_bound  time after which a withdrawn key must not work
      @param change_bound      time after which a change must apply */
  explicit configuration_holder(
      milliseconds withdrawal_bound,
      milliseconds change_bound = milliseconds(2'000));

  /** Records that `reading` was the newest version when it was requested at
      `asked_at`. An older version never replaces the current one.

      @param uncertain  time before `asked_at` that the answer leaves open
      @returns          true if the current configuration has changed */
  bool Confirm(shared_configuration reading,
               steady_time asked_at,
               duration uncertain = duration(0));

  /** Records that the current version was still the newest at `asked_at`. */
  void ConfirmUnchanged(steady_time asked_at, duration uncertain = duration(0));

  /** Records that something else of the key-value service was heard.

      @param asked_at  when it was asked for */
  void OnServiceHeard(steady_time asked_at);

  /** True if the current version may have been replaced for longer than the
      bound of changes although the key-value service could be heard. In an
      outage that all daemons share, the current version goes on. */
  bool IsBehind(steady_time now) const;

  /** The current version; null before the first reading. */
  const shared_configuration& current() const { return current_; }

  /** Time for which a confirmed configuration counts as fresh. */
  milliseconds max_age() const { return max_age_; }

  /** True if keys of the current version may still be accepted. */
  bool IsFresh(steady_time now) const;

  /** Age of the last confirmation; nothing before the first one. */
  std::optional<milliseconds> Age(steady_time now) const;

 private:
  milliseconds max_age_;
  milliseconds change_bound_;
  shared_configuration current_;
  std::optional<steady_time> confirmed_at_;
  /** As confirmed_at_, less what the confirmations leave open. */
  steady_time proven_at_{};
  steady_time heard_at_{};
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_CONFIGURATION_HOLDER_H_
