#ifndef GENTIAN_GATEWAY_GATEWAY_MEMBERS_H_
#define GENTIAN_GATEWAY_GATEWAY_MEMBERS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/member_record.h"

namespace gentian {

/** The daemons that serve callers, from listings of their records.

    A record that vanishes means that its daemon has failed, unless most vanish
    at once: those daemons have lost their leases with the key-value service and
    register again.
*/
class gateway_members {
 public:
  /** @param self  key of this daemon's record */
  explicit gateway_members(std::string self) : self_(std::move(self)) {}

  /** Takes a complete listing.

      @param listed    records by key
      @param asked_at  when the listing was asked for
      @returns         true if members were added, removed or began to stop */
  bool Update(std::map<std::string, member_record> listed,
              steady_time asked_at);

  /** Daemons that serve, as far as known, by key. */
  const std::map<std::string, member_record>& members() const {
    return members_;
  }

  /** Keys of the daemons that may still grant allowances: this one, the members
      and those whose records vanished a short time ago. */
  std::vector<std::string> PossibleGranters() const;

 private:
  std::string self_;
  std::map<std::string, member_record> members_;
  /** When each record was last listed; time in which no listing was answered
      does not count. */
  std::map<std::string, steady_time> last_seen_;
  std::optional<steady_time> last_listing_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_GATEWAY_MEMBERS_H_
