#ifndef GENTIAN_BENCH_SIMULATION_H_
#define GENTIAN_BENCH_SIMULATION_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine_fake.h"
#include "router.h"
#include "virtual_clock.h"
#include "workload.h"

namespace gentian::bench {

/** What one run measured. */
struct run_result {
  std::string deployment;
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 0;
  double program_latency_p50_ms = 0;
  double program_latency_p99_ms = 0;
  double worst_team_p99_ms = 0;
  std::uint64_t wrongful_refusals = 0;
  std::uint64_t refusals = 0;
  std::uint64_t overspend_requests = 0;
  double cache_hit_ratio = 0;
  double recomputed_tokens = 0;
  std::uint64_t programs_finished = 0;
  std::uint64_t programs_started = 0;
  double utilization = 0;
  std::uint64_t given_up = 0;
  /** Averages over the model calls of all teams but the noisy one, which show
      where their time goes; no bound applies to them. */
  double others_hit_ratio = 0;
  double others_wait_ms = 0;
  double others_engine_ms = 0;
};

/** Runs the programs of a scenario under one policy in virtual time. */
class simulation : public router_host {
 public:
  /** Programs start during this time and then run to their end. */
  static constexpr double kLengthMs = 300'000;
  /** Programs that start earlier find empty caches and do not count. */
  static constexpr double kWarmUpMs = 20'000;
  /** A program that has not ended by then counts as starved. */
  static constexpr double kLimitMs = 1'500'000;

  simulation(const deployment& where,
             const scenario& what,
             const std::string& policy,
             std::uint64_t seed);
  ~simulation() override;

  /** Runs to the end. */
  run_result Run();

  void NoteAdmitted(call_number call) override;
  void StartAt(call_number call, const target_id& target) override;
  void Refuse(call_number call, double retry_after_ms) override;
  void GiveUp(call_number call) override;
  void Order(std::size_t daemon, const order_target& order) override;

 private:
  /** One session: a program or a sub-agent. */
  struct agent {
    const program_plan* program = nullptr;
    const std::vector<turn_plan>* turns = nullptr;
    agent* parent = nullptr;
    std::size_t turn = 0;
    bool in_tool = false;
    double history = 0;
    session_id session;
    session_id root;
    std::size_t running_children = 0;
  };
  struct call_state {
    agent* caller = nullptr;
    call_request request;
    target_work work;
    /** True if the request was within the team's rate and burst. */
    bool conforming = false;
    double sent_ms = 0;
    double assigned_ms = 0;
  };
  /** Sums over the model calls of all teams but the noisy one. */
  struct call_sums {
    double calls = 0;
    double prompt_tokens = 0;
    double cached_tokens = 0;
    double wait_ms = 0;
    double engine_ms = 0;
  };
  /** Reference of what rate × time + burst allows. */
  struct reference_bucket {
    double level = 0;
    double filled_ms = 0;
    /** Takes a token, below zero if none is left.
        @returns  true if there was one */
    bool Take(const team_settings& team, double now_ms);
  };

  void StartAgent(agent* started);
  void SendCall(agent* caller);
  void SendRequest(call_number call);
  void Deliver(call_number call,
               bool ok,
               const call_usage& usage,
               bool was_started);
  void CallEnded(agent* caller);
  void AfterTurn(agent* caller);
  void NextTurn(agent* caller);
  void EndAgent(agent* ended);
  void SendReports();
  void Broadcast(const target_cache_event& event);
  double DelayMs(std::size_t daemon, const target_id& target) const;
  void Carry(std::size_t daemon, const order_target& order);
  run_result Summarize() const;
  bool IsNoisy(const program_plan& program) const;
  void CountCall(const call_state& call, const call_usage& usage);

  deployment where_;
  scenario what_;
  std::string policy_;
  std::uint64_t seed_;
  configuration settings_;
  virtual_clock clock_;
  std::map<target_id, std::unique_ptr<engine_fake>> targets_;
  std::vector<program_plan> programs_;
  std::unique_ptr<router> router_;
  seeded_random random_;
  std::vector<std::unique_ptr<agent>> agents_;
  std::map<call_number, call_state> calls_;
  std::map<team_id, reference_bucket> arrivals_;
  std::map<team_id, reference_bucket> admissions_;
  std::map<const program_plan*, double> latency_ms_;
  call_number last_call_ = 0;
  std::size_t unfinished_ = 0;
  double utilization_ = 0;
  run_result counted_;
  double prompt_tokens_ = 0;
  double cached_tokens_ = 0;
  call_sums others_;
};

}  // namespace gentian::bench

#endif  // GENTIAN_BENCH_SIMULATION_H_
