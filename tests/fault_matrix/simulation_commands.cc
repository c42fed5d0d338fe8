// Carries out the commands of the nodes.
#include <algorithm>
#include <utility>

#include "scenario.h"
#include "simulation.h"

namespace gentian::fault_matrix {

namespace {

constexpr milliseconds kToCaller{3};
constexpr milliseconds kToService{2};
constexpr milliseconds kToTarget{2};
constexpr std::uint64_t kLongestDisorder = 2'000;

}  // namespace

void simulation::Do(const host_id& host, reply_to_caller& value) {
  process& p = processes_.at(host);
  const auto found = p.connections.find(value.id);
  if (found == p.connections.end() || found->second.silent) {
    return;
  }
  const bool last = !std::holds_alternative<answer_event>(value.part);
  const part_handler on_part = found->second.on_part;
  if (last) {
    p.connections.erase(found);
    p.open_at_stop.erase(value.id);
  }
  Forge(value.part);
  After(kToCaller, [on_part, part = value.part] { on_part(part); });
}

// Breaks answers for the self-test.
void simulation::Forge(answer_part& part) {
  auto* answer = std::get_if<final_answer>(&part);
  const bool tool =
      answer && answer->body.is_object() && answer->body.contains("echo");
  if (tool && plan_.broken == sabotage::swap_answers) {
    std::swap(answer->body, other_answer_);
  }
  auto* failure = std::get_if<error>(&part);
  if (failure && plan_.broken == sabotage::deny_execution &&
      failure->kind == error_kind::outcome_unknown) {
    failure->outcome = call_outcome::not_run;
  }
}

void simulation::Do(const host_id& host, reply_to_operator& value) {
  process& p = processes_.at(host);
  const auto found = p.operators.find(value.id);
  if (found == p.operators.end()) {
    return;
  }
  After(kToCaller, [handler = std::move(found->second), answer = value.answer] {
    handler(answer);
  });
  p.operators.erase(found);
}

// Breaks messages for the self-test.
void simulation::Forge(send_to_peer& value) {
  json encoded = EncodePeerMessage(value.message);
  if (plan_.broken == sabotage::multiply_grants &&
      encoded["type"] == "grant_answer") {
    encoded["body"]["tokens"] = encoded["body"]["tokens"].get<int>() * 20;
  }
  const bool forget = plan_.broken == sabotage::forget_version &&
                      !log_.accepted.empty() && encoded["type"] == "heartbeat";
  if (forget) {
    // The sender seems to have gone back to the version before.
    log_.versions.push_back({now_, incarnation{host_id("h0"), 1}, 1, 0});
  }
  const auto decoded = DecodePeerMessage(encoded);
  if (Failed(decoded)) {
    ++log_.undecodable;
    return;
  }
  value.message = ValueOf(decoded);
}

void simulation::Do(const host_id& host, send_to_peer& value) {
  process& p = processes_.at(host);
  if (const auto* beat = std::get_if<heartbeat>(&value.message)) {
    p.self = beat->sender;
    log_.versions.push_back(
        {now_, beat->sender, p.number, beat->config_version});
  }
  Forge(value);
  const host_id to = value.to;
  if (processes_.count(to) == 0 || IsCut(host, to)) {
    return;
  }
  milliseconds delay(1 + Random(2));
  int copies = 1;
  const bool disorderly = now_ < disorderly_until_[host];
  if (disorderly) {
    delay += milliseconds(Random(kLongestDisorder));
    copies += static_cast<int>(Random(2));
  }
  steady_time& last = last_arrival_[{host, to}];
  steady_time arrival = now_ + delay;
  if (!disorderly) {
    arrival = std::max(arrival, last);
    last = arrival;
  }
  const int number = processes_.at(to).number;
  for (int i = 0; i < copies; ++i) {
    queue_.emplace(arrival, [this, host, to, number, from = p.self,
                             message = value.message] {
      if (!IsCut(host, to)) {
        Deliver(to, number, peer_received{from, message});
      }
    });
    arrival += milliseconds(Random(kLongestDisorder));
  }
}

void simulation::AnswerKv(const host_id& host,
                          kv_call_id id,
                          milliseconds delay,
                          kv_answer answer) {
  const int number = processes_.at(host).number;
  After(delay, [this, host, number, id, answer = std::move(answer)] {
    Deliver(host, number, kv_answered{id, answer});
  });
}

void simulation::Do(const host_id& host, call_kv& value) {
  if (now_ < service_down_until_) {
    kv_answer refused;
    refused.outcome = kv_answer::status::not_sent;
    AnswerKv(host, value.id, kToService, refused);
    return;
  }
  if (IsCutFromService(host)) {
    AnswerKv(host, value.id, value.deadline, {});
    return;
  }
  if (std::holds_alternative<kv_watch>(value.operation)) {
    const auto& watch = std::get<kv_watch>(value.operation);
    processes_.at(host).watches.push_back({value, now_ + watch.wait});
    return;
  }
  const bool slow = now_ < service_slow_until_;
  const milliseconds there =
      slow ? milliseconds(500 + Random(2'500)) : kToService;
  const bool write =
      std::holds_alternative<kv_compare_and_swap>(value.operation) ||
      std::holds_alternative<kv_delete>(value.operation);
  const bool lost = write && answers_to_lose_ > 0;
  answers_to_lose_ -= lost ? 1 : 0;
  const int number = processes_.at(host).number;
  // The call takes effect although its caller may have given up or died.
  After(there, [this, host, number, value, there, lost] {
    kv_answer answer = *service_.Run(value.operation, now_);
    const bool late = there + kToService > value.deadline;
    if (processes_.at(host).number == number && !lost && !late) {
      AnswerKv(host, value.id, kToService, std::move(answer));
    }
  });
  if (lost || there + kToService > value.deadline) {
    AnswerKv(host, value.id, value.deadline, {});
  }
}

void simulation::PollWatches() {
  for (auto& [host, p] : processes_) {
    std::vector<open_watch> open = std::exchange(p.watches, {});
    for (open_watch& watch : open) {
      const bool broken = now_ < service_down_until_ || IsCutFromService(host);
      auto answer = broken ? std::optional<kv_answer>(kv_answer{})
                           : service_.Run(watch.call.operation, now_);
      if (!answer && now_ >= watch.ends) {
        answer = service_.List("/none");
      }
      if (answer) {
        AnswerKv(host, watch.call.id, kToService, std::move(*answer));
      } else {
        p.watches.push_back(std::move(watch));
      }
    }
  }
}

void simulation::Do(const host_id& host, dispatch_call& value) {
  const int number = processes_.at(host).number;
  auto arrived = std::make_shared<arrived_call>();
  arrived->call = value;
  const std::weak_ptr<arrived_call> self = arrived;
  arrived->answer = [this, host, number, self](milliseconds delay,
                                               event input) {
    const auto call = self.lock();
    After(delay + kToTarget,
          [this, host, number, call, input = std::move(input)] {
            if (!call->cancelled && !call->silent) {
              Deliver(host, number, input);
            }
          });
  };
  processes_.at(host).dispatches[value.id] = arrived;
  After(kToTarget, [this, arrived] { targets_.Arrive(arrived, now_); });
  // The shell reports the deadline of a call that never ends; the parts
  // ignore it for a call that has ended.
  After(value.deadline, [this, host, number, arrived] {
    if (!arrived->cancelled) {
      Deliver(host, number,
              target_failed{arrived->call.id, target_failure::deadline,
                            "the deadline has passed"});
    }
  });
}

void simulation::Do(const host_id& host, cancel_dispatch& value) {
  auto& dispatches = processes_.at(host).dispatches;
  const auto found = dispatches.find(value.id);
  if (found != dispatches.end()) {
    found->second->cancelled = true;
  }
}

void simulation::Do(const host_id& host, order_target& value) {
  const int number = processes_.at(host).number;
  After(kToTarget, [this, host, number, value] {
    const target_order_answered answer = targets_.Order(value);
    After(kToTarget,
          [this, host, number, answer] { Deliver(host, number, answer); });
  });
}

void simulation::Do(const host_id& /*host*/, write_log& /*value*/) {}

void simulation::Do(const host_id& host, stop_completed& /*value*/) {
  process& p = processes_.at(host);
  ++log_.stops_completed;
  if (!p.disturbed) {
    for (const request_id id : p.open_at_stop) {
      log_.cut_off.push_back(host.text() + " request " + std::to_string(id));
    }
  }
  BreakConnections(p);
  p.up = false;
}

bool simulation::IsCut(const host_id& a, const host_id& b) const {
  const auto silent = [this](const host_id& host) {
    const auto found = silent_until_.find(host);
    return found != silent_until_.end() && now_ < found->second;
  };
  const bool apart = (IdentityOf(a).failure_domain == partitioned_) !=
                     (IdentityOf(b).failure_domain == partitioned_);
  return silent(a) || silent(b) || (now_ < partition_until_ && apart);
}

bool simulation::IsCutFromService(const host_id& host) const {
  return now_ < partition_until_ &&
         IdentityOf(host).failure_domain == partitioned_;
}

}  // namespace gentian::fault_matrix
