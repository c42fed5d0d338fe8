#include "gentian_gateway/allowance_holders.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "gentian_gateway/allowance_meter.h"

namespace gentian {

namespace {

// Least number of requests that a holder's share must admit at once. A share
// below one request would never admit any.
constexpr double kMinShareCapacity = 3;
// Delay before a new holder grants. Its predecessor, once it is no longer
// listed, keeps serving for up to 4.5 s, until its lease and its configuration
// expire; a daemon sees a new member within 1.5 s.
constexpr milliseconds kTakeoverDelay{5'000};

std::size_t HolderCount(const gateway_team& team, std::size_t members) {
  const double max_holders =
      (team.burst + allowance_meter::kMaxTotalExtraBurst) / kMinShareCapacity;
  return std::min(
      members, std::max<std::size_t>(1, static_cast<std::size_t>(max_holders)));
}

std::vector<std::string> ChooseHolders(
    const std::string& team,
    std::size_t count,
    const std::vector<std::string>& members) {
  const std::uint64_t seed = StableHash("allowance " + team);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(members.size());
  for (const std::string& member : members) {
    ranked.emplace_back(StableHash(member, seed), member);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<std::string> holders;
  holders.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    holders.push_back(std::move(ranked[i].second));
  }
  return holders;
}

}  // namespace

void allowance_holders::Update(const std::vector<std::string>& members,
                               const std::vector<gateway_team>& teams,
                               const std::string& self,
                               steady_time now,
                               bool resumes) {
  std::map<std::string, team_holders> updated;
  for (const gateway_team& team : teams) {
    team_holders& next = updated[team.name];
    const std::size_t count = HolderCount(team, members.size());
    next.all_are_holders = count == members.size();
    next.keys = ChooseHolders(team.name, count, members);
    next.self_is_holder =
        std::find(next.keys.begin(), next.keys.end(), self) != next.keys.end();
    const auto before = teams_.find(team.name);
    if (resumes) {
      next.holder_since = now - kTakeoverDelay;
    } else if (before != teams_.end() && before->second.self_is_holder) {
      next.holder_since = before->second.holder_since;
    } else {
      next.holder_since = now;
    }
  }
  teams_ = std::move(updated);
}

const std::vector<std::string>& allowance_holders::HoldersOf(
    const std::string& team) const {
  static const std::vector<std::string> none;
  const auto found = teams_.find(team);
  return found == teams_.end() ? none : found->second.keys;
}

bool allowance_holders::MayGrant(const std::string& team,
                                 steady_time now) const {
  const auto found = teams_.find(team);
  return found != teams_.end() && found->second.self_is_holder &&
         (found->second.all_are_holders ||
          now - found->second.holder_since >= kTakeoverDelay);
}

}  // namespace gentian
