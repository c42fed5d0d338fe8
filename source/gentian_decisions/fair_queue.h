#ifndef GENTIAN_DECISIONS_FAIR_QUEUE_H_
#define GENTIAN_DECISIONS_FAIR_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "gentian_decisions/call_key.h"

namespace gentian {

/** A call in a queue. */
struct queued_call {
  call_key key;
  work_item item;
  /** When the call began to wait, also at daemons before this one. */
  steady_time waiting_since;
  /** When its owner last repeated that it still waits. */
  steady_time last_refreshed;
};

/** Order of the calls of one pool.

    Between teams: start-time fair queueing by weight in served tokens. Within
    a team: priority class, where a call that has waited for the longest
    allowed time goes first; then least attained service of the root program
    with aging.
*/
class fair_queue {
 public:
  /** Tokens of attained service that one second of waiting makes up for. */
  static constexpr double kAgingTokensPerSecond = 2'000;
  /** Programs without service for this long are forgotten. */
  static constexpr milliseconds kAttainedRetention{600'000};

  /** Adds a call. Precondition: it is not in the queue. */
  void Add(queued_call call);

  /** The call with a key, or nothing. */
  queued_call* Find(const call_key& key);

  /** Removes a call without serving it. */
  void Remove(const call_key& key);

  /** Visits calls in the order in which they should be served, at most
      `per_team` of each team, until `visit` returns false.

      @param max_wait  wait after which a call goes first in its team
  */
  void Visit(std::size_t per_team,
             milliseconds max_wait,
             steady_time now,
             const std::function<bool(const queued_call&)>& visit) const;

  /** Removes a call that gets a slot and charges its team.

      @param weight  the team's weight
      @param tokens  expected tokens of service
  */
  queued_call Dequeue(const call_key& key,
                      double weight,
                      double tokens,
                      steady_time now);

  /** Corrects the charge of a served call by the difference to what it used.
   */
  void AdjustCharge(const work_item& item,
                    double weight,
                    double tokens,
                    steady_time now);

  /** Drops calls that their owner has not refreshed since a time. */
  void DropStale(steady_time limit);

  /** Forgets attained service of programs that ended long ago. */
  void ExpireAttainedService(steady_time now);

  /** Adds the number of waiting calls of each team that has any. */
  void CountByTeam(std::map<team_id, std::size_t>& counts) const;

  std::size_t size() const { return calls_.size(); }

 private:
  /** Order within a class: attained service plus aging at the time of
      arrival, which sorts as service minus aging of the wait. */
  using rank = std::tuple<double, steady_time, call_key>;
  using age = std::pair<steady_time, call_key>;

  struct team_queue {
    std::map<int, std::set<rank>, std::greater<>> priority_classes;
    std::set<age> by_age;
    /** Virtual time at which the team's next service starts. */
    double virtual_start = 0;
  };
  struct entry {
    queued_call call;
    double rank_value = 0;
  };
  struct attained_service {
    double tokens = 0;
    steady_time last_served;
    std::set<call_key> waiting;
  };

  void AddAttainedService(const session_id& root,
                          double tokens,
                          steady_time now);
  double RankOf(const queued_call& call) const;
  void AddToOrder(const call_key& key);
  void RemoveFromOrder(const call_key& key);
  std::vector<const queued_call*> NextCalls(const team_queue& team,
                                            std::size_t count,
                                            milliseconds max_wait,
                                            steady_time now) const;

  std::map<call_key, entry> calls_;
  std::map<team_id, team_queue> teams_;
  std::map<session_id, attained_service> attained_;
  double virtual_time_ = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_FAIR_QUEUE_H_
