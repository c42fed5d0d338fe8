#ifndef GENTIAN_BENCH_BASELINE_ROUTER_H_
#define GENTIAN_BENCH_BASELINE_ROUTER_H_

#include <deque>
#include <map>
#include <vector>

#include "router.h"
#include "virtual_clock.h"

namespace gentian::bench {

/** Round robin or least loaded, each daemon on its own, with a fixed share of
    1 / N of each team's rate and burst. A call waits for its token as long as
    in the policy under test.
*/
class baseline_router : public router {
 public:
  enum class policy { round_robin, least_loaded };

  baseline_router(policy kind,
                  const configuration& settings,
                  virtual_clock& clock,
                  router_host& host);

  void Begin(const call_request& request) override;
  void Finished(call_number call, const call_usage& usage) override;
  void Failed(call_number call, target_failure failure) override;
  void SessionEnded(std::size_t /*daemon*/,
                    const session_id& /*session*/) override {}
  void Receive(std::size_t daemon, const target_load& load) override;
  void Receive(std::size_t /*daemon*/,
               const target_cache_event& /*event*/) override {}
  void Receive(std::size_t /*daemon*/,
               const target_order_answered& /*answer*/) override {}

 private:
  /** Attempts of one call, as in retry_policy. */
  static constexpr int kMaxAttempts = 4;
  static constexpr double kRetryMs = 50;
  /** A target that failed gets no work for this long. */
  static constexpr double kAvoidMs = 5'000;

  struct bucket {
    double level = 0;
    double filled_ms = 0;
  };
  struct target_view {
    target_id id;
    pool_id pool;
    double reported = 0;
    double measured_ms = -1;
    std::deque<double> sent_ms;
    double avoid_until_ms = 0;
  };
  struct daemon {
    std::map<team_id, bucket> buckets;
    std::vector<target_view> targets;
    std::size_t next = 0;
  };
  struct call_state {
    call_request request;
    int attempts = 0;
    target_id target;
  };

  void Send(call_number call);
  target_view* Choose(daemon& at, const pool_id& pool);
  double Load(const target_view& target) const;

  policy kind_;
  const configuration& settings_;
  virtual_clock& clock_;
  router_host& host_;
  std::vector<daemon> daemons_;
  std::map<call_number, call_state> calls_;
};

}  // namespace gentian::bench

#endif  // GENTIAN_BENCH_BASELINE_ROUTER_H_
