#include "simulation.h"

#include <algorithm>

#include "scenario.h"

namespace gentian::fault_matrix {

namespace {

// A peer link without a byte for 3 s is replaced, and what was under way on
// it is lost.
constexpr milliseconds kLinkDeadline{3'000};
constexpr milliseconds kCallerSilence{3'000};
constexpr milliseconds kRestartAfter{6'000};
constexpr milliseconds kPlatformNewsEvery{1'000};

}  // namespace

simulation::simulation(cell plan)
    : plan_(std::move(plan)),
      random_(17),
      targets_(log_,
               plan_.broken,
               [this](milliseconds delay, std::function<void()> action) {
                 After(delay, std::move(action));
               }) {
  log_.begin = now_;
  log_.healed = now_;
  for (const host_id& host : Scenario().hosts) {
    Start(host);
  }
  After(milliseconds(0), [this] { TickAll(); });
  After(milliseconds(0), [this] { SendPlatformNews(); });
}

void simulation::After(milliseconds delay, std::function<void()> action) {
  queue_.emplace(now_ + delay, std::move(action));
}

void simulation::RunUntil(steady_time end) {
  while (!queue_.empty() && queue_.begin()->first <= end) {
    now_ = queue_.begin()->first;
    const std::function<void()> action = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    action();
  }
  now_ = end;
}

void simulation::Start(const host_id& host) {
  process& p = processes_[host];
  p = process();
  p.number = ++next_process_;
  p.up = true;
  p.random = std::make_unique<seeded_random>(1'000 + p.number);
  p.machine = MakeNode(host, *p.random);
  p.self = incarnation{host, 0};
}

void simulation::TickAll() {
  After(kTickInterval, [this] { TickAll(); });
  service_.ExpireLeases(now_);
  PollWatches();
  CheckConnections();
  for (const host_id& host : Scenario().hosts) {
    process& p = processes_.at(host);
    if (p.up && !IsPaused(p)) {
      StepNode(host, tick{});
    }
  }
}

void simulation::SendPlatformNews() {
  After(kPlatformNewsEvery, [this] { SendPlatformNews(); });
  host_list_received list;
  for (const auto& [id, target] : Scenario().settings.targets) {
    const bool hidden = plan_.broken == sabotage::hide_leaving;
    const bool leaving = targets_.leaving().count(id) > 0 && !hidden;
    list.entries.push_back({id.text(), leaving});
  }
  const auto loads = targets_.Loads();
  const auto changes = targets_.TakeCacheEvents();
  for (const host_id& host : Scenario().hosts) {
    const int number = processes_.at(host).number;
    Deliver(host, number, list);
    for (const target_load& load : loads) {
      Deliver(host, number, load);
    }
    for (const target_cache_event& change : changes) {
      Deliver(host, number, change);
    }
  }
}

void simulation::Deliver(const host_id& host, int number, event input) {
  process& p = processes_.at(host);
  if (!p.up || p.number != number) {
    return;
  }
  if (!IsPaused(p)) {
    StepNode(host, input);
    return;
  }
  // Peers give up the link to a paused process; other connections wait.
  const bool lost = std::holds_alternative<peer_received>(input) &&
                    p.paused_until - now_ > kLinkDeadline;
  if (!lost) {
    p.held_events.push_back(std::move(input));
  }
}

void simulation::StepNode(const host_id& host, const event& input) {
  process& p = processes_.at(host);
  CarryOutAll(host, p.machine->Step(input, now_));
}

void simulation::CarryOutAll(const host_id& host,
                             std::vector<command> commands) {
  const int number = processes_.at(host).number;
  for (command& next : commands) {
    process& p = processes_.at(host);
    if (!p.up || p.number != number) {
      return;
    }
    if (IsPaused(p)) {
      p.held_commands.push_back(std::move(next));
      continue;
    }
    const bool here = armed_ && !step_reached_ && IsStep(plan_.at, next);
    step_reached_ = step_reached_ || here;
    const auto strike = [&] {
      milliseconds delay{0};
      for (const fault what : plan_.faults) {
        if (delay == milliseconds(0)) {
          Inject(what, host);
        } else {
          After(delay, [this, what, host] { Inject(what, host); });
        }
        delay += milliseconds(500);
      }
    };
    if (here && !plan_.after) {
      strike();
    }
    process& current = processes_.at(host);
    if (!current.up || current.number != number) {
      return;
    }
    if (IsPaused(current)) {
      current.held_commands.push_back(std::move(next));
      continue;
    }
    std::visit([&](auto& value) { Do(host, value); }, next);
    if (here && plan_.after) {
      strike();
    }
  }
}

void simulation::Resume(const host_id& host) {
  process& p = processes_.at(host);
  if (!p.up || IsPaused(p)) {
    return;
  }
  const int number = p.number;
  std::vector<command> commands(
      std::make_move_iterator(p.held_commands.begin()),
      std::make_move_iterator(p.held_commands.end()));
  p.held_commands.clear();
  CarryOutAll(host, std::move(commands));
  const auto events = std::exchange(processes_.at(host).held_events, {});
  for (const event& input : events) {
    Deliver(host, number, input);
  }
}

void simulation::Connect(const host_id& host,
                         const std::string& key,
                         caller_operation operation,
                         part_handler on_part,
                         std::function<void()> on_broken) {
  process& p = processes_.at(host);
  if (!p.up) {
    After(milliseconds(5), std::move(on_broken));
    return;
  }
  const request_id id = ++next_request_;
  p.connections[id] = {std::move(on_part), std::move(on_broken), false, now_};
  if (p.stopping) {
    p.open_at_stop.insert(id);
  }
  const int number = p.number;
  After(milliseconds(3),
        [this, host, number, id, key, operation = std::move(operation)] {
          Deliver(host, number, caller_request{id, key, operation});
        });
}

// Callers' streams carry a comment line every second, so that a caller sees
// within 3 s that a connection has gone silent.
void simulation::CheckConnections() {
  for (auto& [host, p] : processes_) {
    std::vector<request_id> broken;
    for (auto& [id, open] : p.connections) {
      if (!open.silent && !IsPaused(p)) {
        open.last_byte = now_;
      } else if (now_ - open.last_byte >= kCallerSilence) {
        broken.push_back(id);
      }
    }
    for (const request_id id : broken) {
      const auto on_broken = std::move(p.connections.at(id).on_broken);
      p.connections.erase(id);
      p.open_at_stop.erase(id);
      Deliver(host, p.number, caller_disconnected{id});
      on_broken();
    }
  }
}

void simulation::BreakConnections(process& p) {
  auto connections = std::exchange(p.connections, {});
  for (auto& entry : connections) {
    After(milliseconds(5), std::move(entry.second.on_broken));
  }
}

void simulation::Kill(const host_id& host) {
  process& p = processes_.at(host);
  if (!p.up) {
    return;
  }
  p.up = false;
  // The machine stays allocated: the kill can happen within its own step.
  BreakConnections(p);
  auto operators = std::exchange(p.operators, {});
  for (auto& entry : operators) {
    After(milliseconds(5), [handler = std::move(entry.second)] {
      handler(error{error_kind::unavailable, "the daemon has died", "",
                    call_outcome::unknown});
    });
  }
  p.watches.clear();
  After(kRestartAfter, [this, host] { Start(host); });
}

void simulation::Stop(const host_id& host) {
  process& p = processes_.at(host);
  if (!p.up || p.stopping) {
    return;
  }
  ++log_.stops_started;
  p.stopping = true;
  for (const auto& entry : p.connections) {
    p.open_at_stop.insert(entry.first);
  }
  if (plan_.broken == sabotage::kill_on_stop) {
    for (const request_id id : p.open_at_stop) {
      log_.cut_off.push_back("request " + std::to_string(id));
    }
    Kill(host);
    return;
  }
  Deliver(host, p.number, stop_requested{});
}

host_id simulation::AnyRunning(const host_id& except) {
  std::vector<host_id> running;
  for (const auto& [host, p] : processes_) {
    if (p.up && !p.stopping && !IsPaused(p) && host != except) {
      running.push_back(host);
    }
  }
  return running.empty() ? Scenario().hosts.front()
                         : running[Random(running.size())];
}

host_id simulation::BusiestOwner() const {
  std::map<std::string, int> sessions;
  for (const execution& entry : log_.executions) {
    const std::string shard = ShardOf(entry.session).text();
    ++sessions[shard.substr(0, shard.find('-'))];
  }
  host_id best = Scenario().hosts.front();
  int most = 0;
  for (const auto& [host, count] : sessions) {
    if (count > most && processes_.count(host_id(host)) > 0) {
      best = host_id(host);
      most = count;
    }
  }
  return best;
}

void simulation::Ask(admin_operation operation, operator_handler handler) {
  const host_id host = AnyRunning();
  process& p = processes_.at(host);
  const request_id id = ++next_request_;
  p.operators[id] = std::move(handler);
  const int number = p.number;
  After(milliseconds(3),
        [this, host, number, id, operation = std::move(operation)] {
          Deliver(host, number, admin_request{id, operation});
        });
}

}  // namespace gentian::fault_matrix
