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

    A missing record means that its daemon has failed. If most records disappear
    at once, their leases expired in an outage of the key-value service, and
    the daemons stay members while they register again.
*/
class gateway_members {
 public:
  /** @param self  key of this daemon's record */
  explicit gateway_members(std::string self) : self_(std::move(self)) {}

  /** Applies a complete listing.

      @param listed    records by key
      @param asked_at  when the listing was requested
      @returns         true if members were added, removed or began to stop */
  bool Update(std::map<std::string, member_record> listed,
              steady_time asked_at);

  /** Daemons that are believed to serve callers, by key. */
  const std::map<std::string, member_record>& members() const {
    return members_;
  }

  /** True if a record was listed at a time or later. Those of members that stay
      through an outage of the key-value service were not. */
  bool WasListed(const std::string& key, steady_time since) const;

  /** When the latest listing was asked for; nothing before the first one. */
  const std::optional<steady_time>& last_listing() const {
    return last_listing_;
  }

  /** Keys of the daemons that may still grant allowances: this one, the members
      and those whose records disappeared less than 5 s ago. */
  std::vector<std::string> PossibleGranters() const;

 private:
  std::string self_;
  std::map<std::string, member_record> members_;
  /** When each record was last listed, moved forward by the length of each
      outage of the key-value service. */
  std::map<std::string, steady_time> last_seen_;
  /** When each member's record was last listed. */
  std::map<std::string, steady_time> listed_at_;
  std::optional<steady_time> last_listing_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_GATEWAY_MEMBERS_H_
