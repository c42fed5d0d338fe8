#include "gentian_gateway/allowance_holders.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <set>

#include "gentian_gateway/allowance_meter.h"

using namespace gentian;

namespace {

steady_time At(int ms) {
  return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

std::vector<std::string> Members(int count) {
  std::vector<std::string> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.push_back("host-" + std::to_string(i));
  }
  return members;
}

gateway_team Team(double rate, double burst) {
  gateway_team team;
  team.name = "t";
  team.rate = rate;
  team.burst = burst;
  return team;
}

std::vector<std::string> HoldersOf(const gateway_team& team, int members) {
  allowance_holders holders;
  holders.Update(Members(members), {team}, "host-0", At(0));
  return holders.HoldersOf(team.name);
}

// Requests that a team gets in five seconds, if it asks each holder every 2 ms.
int GrantedIn5Seconds(const gateway_team& team, int members) {
  std::vector<allowance_meter> meters(HoldersOf(team, members).size());
  int granted = 0;
  for (int ms = 0; ms < 5'000; ms += 2) {
    for (allowance_meter& meter : meters) {
      granted += meter.Take(team, meters.size(), At(ms)) ? 0 : 1;
    }
  }
  return granted;
}

struct arrival_outcome {
  int refused = 0;
  int asked = 0;
  /** When the requests run that were not refused, in order. */
  std::vector<int> starts_ms;
};

enum class share_policy {
  /** The share of one daemon decides. */
  one_share,
  /** A second daemon is asked, then the request waits for the first token of
      both. */
  two_shares_then_wait,
};

allowance_meter::reservation TakeFrom(allowance_meter& first,
                                      allowance_meter& second,
                                      const gateway_team& team,
                                      std::size_t daemons,
                                      share_policy policy,
                                      int ms) {
  constexpr milliseconds kAtOnce{0};
  constexpr milliseconds kMaxWait{300};
  const auto own = first.Reserve(team, daemons, kAtOnce, At(ms));
  if (own.made || policy == share_policy::one_share) {
    return own;
  }
  const auto other = second.Reserve(team, daemons, kAtOnce, At(ms));
  if (other.made) {
    return other;
  }
  return (own.wait <= other.wait ? first : second)
      .Reserve(team, daemons, kMaxWait, At(ms));
}

// Requests of a team that come in clusters of five, each at a random one of the
// daemons, at a share of the team's rate.
arrival_outcome SendClusters(const gateway_team& team,
                             std::size_t daemons,
                             double share,
                             share_policy policy) {
  constexpr int kDurationMs = 20'000;
  constexpr int kCluster = 5;
  std::mt19937 random(7);
  std::vector<allowance_meter> meters(daemons);
  const double per_ms = team.rate * share / 1'000;
  std::uniform_real_distribution<double> chance(0, 1);
  std::uniform_int_distribution<std::size_t> daemon(0, daemons - 1);
  arrival_outcome outcome;
  for (int ms = 0; ms < kDurationMs; ++ms) {
    if (chance(random) >= per_ms / kCluster) {
      continue;
    }
    for (int i = 0; i < kCluster; ++i) {
      allowance_meter& first = meters[daemon(random)];
      allowance_meter& second = meters[daemon(random)];
      const allowance_meter::reservation taken =
          TakeFrom(first, second, team, daemons, policy, ms);
      ++outcome.asked;
      if (taken.made) {
        outcome.starts_ms.push_back(ms + static_cast<int>(taken.wait.count()));
      } else {
        ++outcome.refused;
      }
    }
  }
  std::sort(outcome.starts_ms.begin(), outcome.starts_ms.end());
  return outcome;
}

// Most requests that run in any five seconds.
std::size_t MostIn5Seconds(const std::vector<int>& starts_ms) {
  constexpr int kWindowMs = 5'000;
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < starts_ms.size(); ++last) {
    while (starts_ms[last] - starts_ms[first] >= kWindowMs) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

}  // namespace

// The load: a team that stays below its rate, and sends clusters of requests to
// 64 daemons whose shares refill every 0.25 s. Guards against refusals by one
// share while the others have tokens left: a second daemon is asked, and the
// request waits for its token.
Test(allowance_meter, requests_wait_for_a_small_share) {
  constexpr std::size_t kDaemons = 64;
  const gateway_team team = Team(256, 256);
  const arrival_outcome at_once =
      SendClusters(team, kDaemons, 0.9, share_policy::one_share);
  const arrival_outcome waiting =
      SendClusters(team, kDaemons, 0.9, share_policy::two_shares_then_wait);
  cr_assert(at_once.refused > at_once.asked / 50, "%d of %d", at_once.refused,
            at_once.asked);
  cr_assert(waiting.refused < at_once.refused / 4, "%d and %d", waiting.refused,
            at_once.refused);
}

// The load: a team that sends four times its rate. Guards against waits by
// which a team gets more than its allowance.
Test(allowance_meter, waiting_requests_stay_within_the_allowance) {
  for (const std::size_t daemons : {std::size_t{16}, std::size_t{64}}) {
    const gateway_team team = Team(256, 64);
    const arrival_outcome outcome =
        SendClusters(team, daemons, 4, share_policy::two_shares_then_wait);
    // The users' bound: 10 % more, plus 20 requests.
    const auto most = static_cast<double>(MostIn5Seconds(outcome.starts_ms));
    cr_assert(most <= (team.rate * 5 + team.burst) * 1.1 + 20, "%f", most);
    cr_assert(outcome.refused > outcome.asked / 2);
  }
}

// The load: all hosts lose power for a second, and every caller comes back at
// once. Guards against holders that refuse for five seconds although nobody
// took over their shares meanwhile.
Test(allowance_holders, a_holder_that_was_not_missed_grants_at_once) {
  const gateway_team team = Team(10, 10);
  const std::string self = HoldersOf(team, 64).front();
  allowance_holders restarted;
  // The configuration comes before the list of members.
  restarted.Update({self}, {team}, self, At(0));
  restarted.Update(Members(64), {team}, self, At(10), true);
  cr_assert(restarted.MayGrant(team.name, At(10)));
  restarted.Update(Members(63), {team}, self, At(20));
  cr_assert(restarted.MayGrant(team.name, At(20)));

  allowance_holders new_holder;
  new_holder.Update({self}, {team}, self, At(0));
  new_holder.Update(Members(64), {team}, self, At(10));
  cr_assert(!new_holder.MayGrant(team.name, At(4'900)));
}

// Guards against a team that exceeds its allowance by using many daemons, and
// against one whose requests are refused because each daemon's share is less
// than one request. With 64 daemons, half of all requests of a day were
// refused.
Test(allowance_holders, a_team_gets_its_allowance_from_any_number_of_daemons) {
  for (const int members : {1, 2, 6, 7, 9, 20, 64, 620}) {
    for (const double rate : {2.0, 8.0, 40.0, 300.0}) {
      for (const double burst : {1.0, 8.0, 40.0, 300.0}) {
        const int granted = GrantedIn5Seconds(Team(rate, burst), members);
        // The users' bound: 10 % more, plus 20 requests.
        cr_assert(granted <= (rate * 5 + burst) * 1.1 + 20,
                  "%d daemons, rate %f, burst %f: %d", members, rate, burst,
                  granted);
        cr_assert(granted >= rate * 5 * 0.8,
                  "%d daemons, rate %f, burst %f: %d", members, rate, burst,
                  granted);
      }
    }
  }
}

// Guards against allowances that move to other holders whenever a daemon joins
// or leaves.
Test(allowance_holders, one_daemon_less_moves_one_part) {
  const gateway_team team = Team(10, 10);
  const std::vector<std::string> before = HoldersOf(team, 64);
  const std::vector<std::string> after = HoldersOf(team, 63);
  cr_assert(before.size() < 64);
  const std::set<std::string> kept(after.begin(), after.end());
  const auto moved = std::count_if(
      before.begin(), before.end(),
      [&](const auto& holder) { return kept.count(holder) == 0; });
  cr_assert(moved <= 1);
}

// Guards against two daemons that grant the same share: the previous holder may
// not know yet that it has been replaced.
Test(allowance_holders, a_new_holder_waits_for_the_one_before_it) {
  const gateway_team team = Team(10, 10);
  const std::string first = HoldersOf(team, 64).front();
  std::vector<std::string> others = Members(64);
  others.erase(std::find(others.begin(), others.end(), first));
  // The view of the daemon that replaces the first one.
  allowance_holders with;
  with.Update(others, {team}, others.front(), At(0));
  const std::string successor = with.HoldersOf("t").back();
  allowance_holders subject;
  subject.Update(Members(64), {team}, successor, At(0));
  const bool held = subject.MayGrant("t", At(60'000));
  subject.Update(others, {team}, successor, At(60'000));
  cr_assert(!held);
  cr_assert(!subject.MayGrant("t", At(64'900)));
  cr_assert(subject.MayGrant("t", At(65'000)));
  // A list that stays the same does not start the wait again.
  subject.Update(others, {team}, successor, At(66'000));
  cr_assert(subject.MayGrant("t", At(66'000)));
}

// Guards against a delay in a small fleet, where no share moves.
Test(allowance_holders, all_daemons_of_a_small_fleet_grant_at_once) {
  const gateway_team team = Team(40, 40);
  allowance_holders subject;
  subject.Update(Members(7), {team}, "host-3", At(0));
  cr_assert(subject.HoldersOf("t").size() == 7);
  cr_assert(subject.MayGrant("t", At(0)));
  cr_assert(!subject.MayGrant("unknown", At(0)));
}
