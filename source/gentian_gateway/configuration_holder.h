#ifndef GENTIAN_GATEWAY_CONFIGURATION_HOLDER_H_
#define GENTIAN_GATEWAY_CONFIGURATION_HOLDER_H_

#include <optional>

#include "gentian_gateway/gateway_configuration.h"

namespace gentian {

/** The configuration in force and how long it may be relied upon.

    A withdrawn key has to stop working on every daemon within a bound, also on
    one that has lost the key-value service. A daemon therefore serves requests
    that carry keys only while its last confirmed reading is younger than a
    part of that bound.
*/
class configuration_holder {
 public:
  /** @param withdrawal_bound  time after which a withdrawn key must not work */
  explicit configuration_holder(milliseconds withdrawal_bound);

  /** A reading that was asked for at a time showed that no newer version than
      `reading` existed then. Older versions than the one in force never
      replace it.

      @returns  true if the configuration in force has changed */
  bool Confirm(shared_configuration reading, steady_time asked_at);

  /** A reading showed that the version in force was still the newest. */
  void ConfirmUnchanged(steady_time asked_at);

  /** The version in force; nothing before the first reading. */
  const shared_configuration& current() const { return current_; }

  /** True if keys of the version in force may still be relied upon. */
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
