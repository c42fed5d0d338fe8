#ifndef GENTIAN_GATEWAY_GATEWAY_TEAM_H_
#define GENTIAN_GATEWAY_GATEWAY_TEAM_H_

#include <optional>
#include <string>
#include <vector>

namespace gentian {

/** A team, its keys and its allowance across all daemons. */
struct gateway_team {
  std::string name;
  std::vector<std::string> keys;
  /** Requests per second; 0 for no limit. */
  double rate = 0;
  /** Requests beyond the rate that may arrive at once. */
  double burst = 0;
  /** Overrides the priority of the route; 0 is the most urgent. */
  std::optional<int> priority;
  /** Regions in which the team's requests may be handled; empty for any. */
  std::vector<std::string> allowed_regions;
};

}  // namespace gentian

#endif  // GENTIAN_GATEWAY_GATEWAY_TEAM_H_
