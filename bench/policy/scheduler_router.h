#ifndef GENTIAN_BENCH_SCHEDULER_ROUTER_H_
#define GENTIAN_BENCH_SCHEDULER_ROUTER_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "decisions/scheduling_fakes.h"
#include "router.h"
#include "virtual_clock.h"

namespace gentian::bench {

/** One call_scheduler a daemon, with delayed messages between them. */
class scheduler_router : public router {
 public:
  scheduler_router(configuration settings,
                   virtual_clock& clock,
                   router_host& host,
                   std::uint64_t seed);
  ~scheduler_router() override;

  void Begin(const call_request& request) override;
  void Finished(call_number call, const call_usage& usage) override;
  void Failed(call_number call, target_failure failure) override;
  void SessionEnded(std::size_t daemon, const session_id& session) override;
  void Receive(std::size_t daemon, const target_load& load) override;
  void Receive(std::size_t daemon, const target_cache_event& event) override;
  void Receive(std::size_t daemon,
               const target_order_answered& answer) override;

  /** Sum of a counter over the daemons. */
  std::uint64_t Counter(const std::string& name) const;

 private:
  class daemon_listener;
  struct daemon {
    std::unique_ptr<fake_view> view;
    std::unique_ptr<call_scheduler> scheduler;
    std::unique_ptr<daemon_listener> heard;
    std::unique_ptr<seeded_random> random;
    counter_set counters;
  };

  // Not a template: a step sends messages whose delivery is a step again.
  using step_action = std::function<void(call_scheduler&, node_context&)>;
  void Run(std::size_t daemon, const step_action& action);
  void Tick(std::size_t daemon);
  double DelayMs(std::size_t from, std::size_t to) const;

  configuration settings_;
  virtual_clock& clock_;
  router_host& host_;
  std::vector<daemon> daemons_;
  std::map<host_id, std::size_t> index_;
  std::map<call_number, std::size_t> owners_;
};

}  // namespace gentian::bench

#endif  // GENTIAN_BENCH_SCHEDULER_ROUTER_H_
