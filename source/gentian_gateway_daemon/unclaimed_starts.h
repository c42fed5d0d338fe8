#ifndef GENTIAN_GATEWAY_DAEMON_UNCLAIMED_STARTS_H_
#define GENTIAN_GATEWAY_DAEMON_UNCLAIMED_STARTS_H_

#include <optional>
#include <string>

#include "gentian_adapters/gentian_adapters.h"
#include "gentian_gateway_daemon/gateway_settings.h"
#include "gentian_gateway_daemon/gateway_state.h"

namespace gentian {

/** Longest time for which a program may pause and return. */
milliseconds ProgramRetention(const gateway_state& state);

/** True if all daemons agree on the owners, and did so before the programs'
    current turns started. */
bool IsMembershipStable(const gateway_state& state, steady_time now);

/** Keeps an unclaimed_start_policy informed of the members, of outages of the
    key-value service and of the claims there. Used on the I/O thread only.
*/
class unclaimed_starts {
 public:
  unclaimed_starts(key_value_store& store,
                   const gateway_settings& settings,
                   const gateway_state& state);

  /** Has to be called several times a second. */
  void Update();

  /** True if the first turn of a program that this daemon owns may start before
      its tokens are claimed. */
  bool MayStart(const std::string& program) const;

 private:
  void ApplyRegistration(steady_time now);
  void ApplyMembers(steady_time now);
  void ReadClaims(steady_time now);
  void OnClaims(steady_time asked_at, const kv_answer& answer);
  /** When the owners of programs last changed. */
  steady_time OwnersChangedAt() const;

  key_value_store& store_;
  const gateway_settings& settings_;
  const gateway_state& state_;
  unclaimed_start_policy policy_;
  const steady_time started_at_ = BootTimeNow();
  /** The change of members that the policy knows. */
  steady_time members_changed_at_;
  /** The latest renewal of this daemon's record that is known here. */
  std::optional<steady_time> registered_at_;
  /** When this daemon's record was last written after it could have ended. */
  steady_time record_returned_at_;
  /** When the key-value service was last found not to answer. */
  std::optional<steady_time> outage_seen_at_;
  steady_time next_read_;
  bool is_reading_ = false;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_DAEMON_UNCLAIMED_STARTS_H_
