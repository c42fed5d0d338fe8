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
  /** @param withdrawal_bound  time after which a withdrawn key must not work */
  explicit configuration_holder(milliseconds withdrawal_bound);

  /** Records that `reading` was the newest version when it was requested at
      `asked_at`. An older version never replaces the current one.

      @returns  true if the current configuration has changed */
  bool Confirm(shared_configuration reading, steady_time asked_at);

  /** Records that the current version was still the newest at `asked_at`. */
  void ConfirmUnchanged(steady_time asked_at);

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
  shared_configuration current_;
  std::optional<steady_time> confirmed_at_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_CONFIGURATION_HOLDER_H_
