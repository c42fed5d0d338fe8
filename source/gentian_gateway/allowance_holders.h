#ifndef GENTIAN_GATEWAY_ALLOWANCE_HOLDERS_H_
#define GENTIAN_GATEWAY_ALLOWANCE_HOLDERS_H_

#include <map>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/gateway_team.h"

namespace gentian {

/** Says which daemons grant the requests of a team.

    The holders of a team have equal parts of its allowance. All daemons are
    holders where each part admits some requests at once; otherwise as many as
    leave such parts, chosen by rendezvous hash, and the others ask them.
*/
class allowance_holders {
 public:
  /** Takes the daemons and teams as they are now.

      @param members  keys of all daemons that may grant, this one included
      @param self     key of this daemon */
  void Update(const std::vector<std::string>& members,
              const std::vector<gateway_team>& teams,
              const std::string& self,
              steady_time now);

  /** Keys of a team's holders; empty if the team is not known. */
  const std::vector<std::string>& HoldersOf(const std::string& team) const;

  /** True if this daemon is a holder of the team, and whichever daemon was one
      in its place has stopped to grant. */
  bool MayGrant(const std::string& team, steady_time now) const;

 private:
  struct team_holders {
    std::vector<std::string> keys;
    bool self_is_holder = false;
    /** Since when this daemon is a holder. */
    steady_time holder_since;
    /** Every daemon is a holder, so that no part changes hands. */
    bool all_are_holders = false;
  };

  std::map<std::string, team_holders> teams_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_ALLOWANCE_HOLDERS_H_
