#ifndef GENTIAN_TESTS_DECISIONS_SCHEDULING_FAKES_H_
#define GENTIAN_TESTS_DECISIONS_SCHEDULING_FAKES_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gentian_decisions/gentian_decisions.h"

namespace gentian {

/** Cluster view with members that the test sets. */
class fake_view : public cluster_view {
 public:
  fake_view(std::string host, std::uint64_t epoch, configuration* settings)
      : self_{host_id(std::move(host)), epoch}, settings_(settings) {}

  const incarnation& self() const override { return self_; }
  const configuration& settings() const override { return *settings_; }
  std::vector<member> LiveMembers() const override { return members; }
  std::optional<member> FindMember(const host_id& host) const override {
    for (const member& each : members) {
      if (each.id.host == host) {
        return each;
      }
    }
    return std::nullopt;
  }
  bool IsAlive(const incarnation& id) const override {
    const auto found = FindMember(id.host);
    return found && found->id == id;
  }

  std::vector<member> members;

 private:
  incarnation self_;
  configuration* settings_;
};

/** Records decisions and, by default, enqueues admitted calls; dispatches
    nothing. */
class fake_listener : public call_scheduling::listener {
 public:
  explicit fake_listener(call_scheduler& subject) : subject_(subject) {}

  void CallAdmitted(ticket_id ticket, node_context& context) override {
    admitted.push_back(ticket);
    if (enqueues_admitted) {
      subject_.Enqueue(ticket, context);
    }
  }
  void CallAssigned(ticket_id ticket,
                    const target_settings& target,
                    node_context& /*context*/) override {
    assigned[ticket].push_back(target.id);
  }
  void CallRefused(ticket_id ticket,
                   const error& reason,
                   node_context& /*context*/) override {
    refused.emplace(ticket, reason);
  }

  bool enqueues_admitted = true;
  std::vector<ticket_id> admitted;
  std::map<ticket_id, std::vector<target_id>> assigned;
  std::map<ticket_id, error> refused;

 private:
  call_scheduler& subject_;
};

/** Makes a configuration with daemons d0, d1, …, one pool `p` and engines
    e0, e1, …. */
inline configuration MakeSettings(int daemons,
                                  int engines,
                                  std::uint32_t slots) {
  configuration settings;
  settings.version = 1;
  for (int i = 0; i < daemons; ++i) {
    daemon_settings daemon;
    daemon.host = host_id("d" + std::to_string(i));
    settings.daemons[daemon.host] = daemon;
  }
  settings.pools[pool_id("p")].id = pool_id("p");
  for (int i = 0; i < engines; ++i) {
    target_settings engine;
    engine.id = target_id("e" + std::to_string(i));
    engine.pool = pool_id("p");
    engine.slots = slots;
    engine.cache_tokens = 100'000;
    settings.targets[engine.id] = engine;
  }
  return settings;
}

inline void AddTeam(configuration& settings,
                    const std::string& id,
                    double rate,
                    double burst,
                    double weight = 1) {
  team_settings team;
  team.id = team_id(id);
  team.rate = rate;
  team.burst = burst;
  team.weight = weight;
  settings.teams[team.id] = team;
}

/** Makes a call of a team; without `session` it gets a session of its own. */
inline work_item MakeItem(ticket_id ticket,
                          const std::string& team,
                          const std::string& session = "") {
  work_item item;
  item.ticket = ticket;
  item.team = team_id(team);
  item.program = program_id("program");
  item.session =
      session_id(session.empty() ? "s" + std::to_string(ticket) : session);
  item.root_session = item.session;
  item.pool = pool_id("p");
  item.prompt_tokens = 1'000;
  item.max_tokens = 100;
  return item;
}

/** Time, command list, counters and random numbers for steps of a state
    machine under test. */
struct step_fixture {
  steady_time now = steady_time(std::chrono::hours(1));
  std::vector<command> commands;
  counter_set counters;
  seeded_random random{1};

  node_context Context() {
    return node_context{now, commands, counters, random};
  }
};

}  // namespace gentian

#endif  // GENTIAN_TESTS_DECISIONS_SCHEDULING_FAKES_H_
