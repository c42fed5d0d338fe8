#ifndef GENTIAN_GATEWAY_ALLOWANCE_HOLDERS_H_
#define GENTIAN_GATEWAY_ALLOWANCE_HOLDERS_H_

#include <map>
#include <string>
#include <vector>

#include "gentian_core/gentian_core.h"
#include "gentian_gateway/gateway_team.h"

namespace gentian {

/** Determines which daemons grant the requests of a team.

    The holders of a team have equal shares of its rate and burst. All daemons
    are holders if each share admits at least a few requests at once. Otherwise
    rendezvous hashing picks as many holders as keep their shares that large,
    and the other daemons request grants from them.
*/
class allowance_holders {
 public:
  /** Recomputes the holders from the current daemons and teams.

      @param members  keys of all daemons that may grant, this one included
      @param self     key of this daemon
      @param resumes  this daemon has restarted so soon that the others never
                      missed it, so that nobody has taken over its shares */
  void Update(const std::vector<std::string>& members,
              const std::vector<gateway_team>& teams,
              const std::string& self,
              steady_time now,
              bool resumes = false);

  /** Keys of a team's holders; empty if the team is not known. */
  const std::vector<std::string>& HoldersOf(const std::string& team) const;

  /** True if this daemon is a holder of the team and its predecessor can no
      longer grant. */
  bool MayGrant(const std::string& team, steady_time now) const;

 private:
  struct team_holders {
    std::vector<std::string> keys;
    bool self_is_holder = false;
    /** When this daemon became a holder. */
    steady_time holder_since;
    /** Every daemon is a holder, so no share moves between daemons. */
    bool all_are_holders = false;
  };

  std::map<std::string, team_holders> teams_;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_ALLOWANCE_HOLDERS_H_
