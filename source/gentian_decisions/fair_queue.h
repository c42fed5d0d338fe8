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
  /** When the call began to wait, including time at previous schedulers. */
  steady_time waiting_since;
  /** When its owner last confirmed that the call is still waiting. */
  steady_time last_refreshed;
};

/** Waiting calls of one pool, in the order of service.

    Between teams: start-time fair queueing of served tokens by weight. Within a
    team: calls that have reached the maximum wait come first, then higher
    priority classes, and within a class the calls of the root session with the
    least attained service, with aging.
*/
class fair_queue {
 public:
  /** Attained service in tokens that one second of waiting offsets. */
  static constexpr double kAgingTokensPerSecond = 2'000;
  /** Retention of a root session's attained service after its last call. */
  static constexpr milliseconds kAttainedRetention{600'000};

  /** Precondition: the call is not in the queue. */
  void Add(queued_call call);

  /** @returns  the call, or nullptr if it is not in the queue */
  queued_call* Find(const call_key& key);

  /** Removes a call without serving it. */
  void Remove(const call_key& key);

  /** Visits calls in the order of service, at most `per_team` of each team,
      until `visit` returns false.

      @param max_wait  waiting time after which a call goes first in its team
  */
  void Visit(std::size_t per_team,
             milliseconds max_wait,
             steady_time now,
             const std::function<bool(const queued_call&)>& visit) const;

  /** Removes a call that gets a slot and charges its team.

      @param tokens  expected tokens of service
  */
  queued_call Dequeue(const call_key& key,
                      double weight,
                      double tokens,
                      steady_time now);

  /** Adjusts the charge of a served call.

      @param tokens  used tokens minus charged tokens
  */
  void AdjustCharge(const work_item& item,
                    double weight,
                    double tokens,
                    steady_time now);

  /** Removes calls that were last refreshed before `limit`. */
  void DropStale(steady_time limit);

  /** Drops attained service older than kAttainedRetention. */
  void ExpireAttainedService(steady_time now);

  /** Adds the number of waiting calls of each team that has any. */
  void CountByTeam(std::map<team_id, std::size_t>& counts) const;

  std::size_t size() const { return calls_.size(); }

 private:
  /** Sort key within a priority class, lowest first: attained service plus the
      aging rate times the arrival time. This sorts like attained service minus
      aging over the wait, but does not change as time passes. */
  using rank = std::tuple<double, steady_time, call_key>;
  using age = std::pair<steady_time, call_key>;

  struct team_queue {
    std::map<int, std::set<rank>, std::greater<>> priority_classes;
    std::set<age> by_age;
    /** Virtual start time of the team's next call. */
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
