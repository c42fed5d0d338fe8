#ifndef TESTS_DECISIONS_SESSION_FLEET_H_
#define TESTS_DECISIONS_SESSION_FLEET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decisions/node_harness.h"
#include "support/direct_scheduling.h"

namespace gentian {

/** In-memory key-value service with compare-and-swap that the daemons share. */
struct fake_store {
  std::map<std::string, kv_entry> entries;
  bool down = false;
  /** Number of next writes that take effect but whose answers are lost. */
  int lose_answers = 0;
  /** Prefix of the keys that lose_answers applies to. */
  std::string lose_under = "/";

  /** Keys of all entries with a prefix. */
  std::vector<std::string> Keys(const std::string& prefix) const {
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries) {
      if (key.compare(0, prefix.size(), prefix) == 0 && entry.version > 0) {
        keys.push_back(key);
      }
    }
    return keys;
  }

  kv_answer Answer(const kv_operation& operation) {
    kv_answer answer;
    if (down) {
      return answer;
    }
    answer.outcome = kv_answer::status::ok;
    if (const auto* get = std::get_if<kv_get>(&operation)) {
      if (entries.count(get->key) > 0) {
        answer.entries = {entries[get->key]};
      }
    } else if (const auto* list = std::get_if<kv_list>(&operation)) {
      for (const auto& [key, entry] : entries) {
        if (key.compare(0, list->prefix.size(), list->prefix) == 0) {
          answer.entries.push_back(entry);
        }
      }
    } else if (const auto* remove = std::get_if<kv_delete>(&operation)) {
      const auto found = entries.find(remove->key);
      if (found == entries.end() ||
          found->second.version != remove->expected_version) {
        answer.outcome = kv_answer::status::conflict;
      } else {
        entries.erase(found);
      }
    } else if (const auto* swap =
                   std::get_if<kv_compare_and_swap>(&operation)) {
      Swap(*swap, answer);
    }
    return answer;
  }

 private:
  void Swap(const kv_compare_and_swap& swap, kv_answer& answer) {
    kv_entry& entry = entries[swap.key];
    if (entry.version != swap.expected_version) {
      answer.outcome = kv_answer::status::conflict;
      answer.entries = {entry};
      return;
    }
    entry = kv_entry{swap.key, swap.value, entry.version + 1};
    answer.entries = {entry};
    const bool lossy = swap.key.compare(0, lose_under.size(), lose_under) == 0;
    if (lossy && lose_answers > 0) {
      --lose_answers;
      answer = kv_answer{};
    }
  }
};

class session_fleet;

/** A session_service with fakes of its cluster view and key-value service. */
class fake_daemon : public cluster_view, public kv_access {
 public:
  fake_daemon(session_fleet& fleet, const std::string& host);

  const incarnation& self() const override { return id; }
  const configuration& settings() const override;
  std::vector<member> LiveMembers() const override;
  std::optional<member> FindMember(const host_id& host) const override;
  bool IsAlive(const incarnation& other) const override;
  void Call(kv_operation operation,
            priority order,
            answer_handler handler,
            node_context& context) override;

  void Step(const std::function<void(node_context&)>& action);
  void DeliverStoreAnswers();

  session_fleet& fleet;
  incarnation id;
  bool dead = false;
  bool paused = false;
  counter_set counters;
  seeded_random random;
  direct_scheduling scheduling{*this};
  session_service service{*this, *this, scheduling};
  std::vector<std::pair<kv_operation, answer_handler>> store_calls;
  std::vector<dispatch_call> dispatches;
  std::map<request_id, std::vector<answer_part>> answers;
  std::vector<write_log> logs;
  bool stopped = false;
};

/** Daemons in three failure domains that exchange messages, four by default. */
class session_fleet {
 public:
  explicit session_fleet(int daemons = 4) {
    const char* domains[] = {"valley", "midway", "summit"};
    for (int i = 0; i < daemons; ++i) {
      const std::string host(1, static_cast<char>('a' + i));
      daemon_settings row;
      row.host = host_id(host);
      row.failure_domain = failure_domain_id(domains[i % 3]);
      row.caller_address = "address-" + host;
      settings.daemons[row.host] = row;
    }
    for (const auto& [host, row] : settings.daemons) {
      daemons_[host.text()] = std::make_unique<fake_daemon>(*this, host.text());
      store.entries["/daemon/" + host.text()] = {"/daemon/" + host.text(),
                                                 R"({"epoch":1})", 1};
    }
    Pass(milliseconds(300));
  }

  fake_daemon& operator[](const std::string& host) { return *daemons_[host]; }
  std::map<std::string, std::unique_ptr<fake_daemon>>& daemons() {
    return daemons_;
  }

  /** Advances the clock in ticks; delivers messages and store answers after
      each. */
  void Pass(milliseconds time) {
    for (milliseconds gone{0}; gone < time; gone += kTickInterval) {
      now += kTickInterval;
      for (auto& [host, daemon] : daemons_) {
        fake_daemon& ticked = *daemon;
        if (!ticked.dead && !ticked.paused) {
          ticked.Step([&ticked](node_context& context) {
            ticked.service.Handle(tick{}, context);
          });
        }
      }
      Deliver();
    }
  }

  /** Delivers store answers and messages until no message is left. */
  void Deliver() {
    for (auto& [host, daemon] : daemons_) {
      daemon->DeliverStoreAnswers();
    }
    while (!network.empty()) {
      const incarnation from = network.front().first;
      const send_to_peer message = std::move(network.front().second);
      network.pop_front();
      const auto found = daemons_.find(message.to.text());
      if (found == daemons_.end() || found->second->dead ||
          found->second->paused ||
          cut.count({from.host.text(), message.to.text()}) > 0) {
        continue;
      }
      // Encodes and decodes the message so that a field that the codec omits
      // makes tests fail.
      const auto copy = DecodePeerMessage(EncodePeerMessage(message.message));
      found->second->Step([&](node_context& context) {
        found->second->service.Handle(peer_received{from, ValueOf(copy)},
                                      context);
      });
      for (auto& [host, daemon] : daemons_) {
        daemon->DeliverStoreAnswers();
      }
    }
  }

  /** Ends the process and removes its membership entry. */
  void Kill(const std::string& host) {
    daemons_[host]->dead = true;
    store.entries.erase("/daemon/" + host);
  }

  /** Replaces the process by a new incarnation of the daemon. */
  void Restart(const std::string& host) {
    const std::uint64_t epoch = daemons_[host]->id.epoch + 1;
    daemons_[host] = std::make_unique<fake_daemon>(*this, host);
    daemons_[host]->id.epoch = epoch;
    kv_entry& entry = store.entries["/daemon/" + host];
    entry.key = "/daemon/" + host;
    entry.value = json{{"epoch", epoch}}.dump();
    ++entry.version;
  }

  /** Sends a caller's request to a daemon. */
  request_id Ask(const std::string& host, caller_operation operation) {
    const request_id id = ++last_request;
    fake_daemon& daemon = *daemons_[host];
    daemon.Step([&](node_context& context) {
      daemon.service.Handle(caller_request{id, "secret", std::move(operation)},
                            context);
    });
    Deliver();
    return id;
  }

  /** Opens a root session at a daemon. */
  session_id Open(const std::string& host) {
    const request_id id =
        Ask(host, open_session{program_id("agent"), {}, std::nullopt});
    return session_id(Final(host, id).body.at("id").get<std::string>());
  }

  /** Passes an event of a target to a daemon. */
  template <typename Event>
  void Target(const std::string& host, Event input) {
    fake_daemon& daemon = *daemons_[host];
    daemon.Step(
        [&](node_context& context) { daemon.service.Handle(input, context); });
    Deliver();
  }

  final_answer Final(const std::string& host, request_id id) {
    return std::get<final_answer>(daemons_[host]->answers[id].back());
  }
  error Error(const std::string& host, request_id id) {
    return std::get<error>(daemons_[host]->answers[id].back());
  }
  bool Answered(const std::string& host, request_id id) {
    return !daemons_[host]->answers[id].empty();
  }

  /** Number of calls that all daemons have dispatched to targets. */
  std::size_t Dispatched() const {
    std::size_t sum = 0;
    for (const auto& [host, daemon] : daemons_) {
      sum += daemon->dispatches.size();
    }
    return sum;
  }

  /** Sum of a counter over all daemons. */
  std::uint64_t Counter(const std::string& name) const {
    std::uint64_t sum = 0;
    for (const auto& [host, daemon] : daemons_) {
      sum += daemon->counters.Value(name);
    }
    return sum;
  }

  /** Host of the running daemon that serves the session's shard, empty if
      none. */
  std::string OwnerOf(const session_id& session) const {
    for (const auto& [host, daemon] : daemons_) {
      const json status = daemon->service.Status();
      for (const json& row : status.at("shards")) {
        if (!daemon->dead && !daemon->paused && row.at("serving") &&
            row.at("shard") == ShardOf(session).text()) {
          return host;
        }
      }
    }
    return "";
  }

  configuration settings = SmallSettings();
  fake_store store;
  steady_time now;
  std::deque<std::pair<incarnation, send_to_peer>> network;
  /** Pairs of sender and receiver between which messages are dropped. */
  std::set<std::pair<std::string, std::string>> cut;
  request_id last_request = 0;

 private:
  std::map<std::string, std::unique_ptr<fake_daemon>> daemons_;
};

inline fake_daemon::fake_daemon(session_fleet& owner, const std::string& host)
    : fleet(owner), id{host_id(host), 1}, random(host[0]) {}

inline const configuration& fake_daemon::settings() const {
  return fleet.settings;
}

inline std::vector<member> fake_daemon::LiveMembers() const {
  std::vector<member> members;
  for (const auto& [host, daemon] : fleet.daemons()) {
    if (!daemon->dead && (!daemon->paused || daemon.get() == this)) {
      members.push_back(*FindMember(host_id(host)));
    }
  }
  return members;
}

inline std::optional<member> fake_daemon::FindMember(
    const host_id& host) const {
  const auto found = fleet.daemons().find(host.text());
  if (found == fleet.daemons().end()) {
    return std::nullopt;
  }
  member entry;
  entry.id = found->second->id;
  entry.failure_domain = fleet.settings.daemons.at(host).failure_domain;
  entry.caller_address = fleet.settings.daemons.at(host).caller_address;
  return entry;
}

inline bool fake_daemon::IsAlive(const incarnation& other) const {
  const auto found = fleet.daemons().find(other.host.text());
  return found != fleet.daemons().end() && !found->second->dead &&
         !found->second->paused && found->second->id == other;
}

inline void fake_daemon::Call(kv_operation operation,
                              priority /*order*/,
                              answer_handler handler,
                              node_context& /*context*/) {
  store_calls.emplace_back(std::move(operation), std::move(handler));
}

inline void fake_daemon::DeliverStoreAnswers() {
  if (dead || paused) {
    return;
  }
  const auto calls = std::move(store_calls);
  store_calls.clear();
  for (const auto& [operation, handler] : calls) {
    const kv_answer answer = fleet.store.Answer(operation);
    const answer_handler& receive = handler;
    Step([&](node_context& context) { receive(answer, context); });
  }
}

inline void fake_daemon::Step(
    const std::function<void(node_context&)>& action) {
  std::vector<command> commands;
  node_context context{fleet.now, commands, counters, random};
  action(context);
  for (command& entry : commands) {
    if (auto* message = std::get_if<send_to_peer>(&entry)) {
      fleet.network.emplace_back(id, std::move(*message));
    } else if (auto* sent = std::get_if<dispatch_call>(&entry)) {
      dispatches.push_back(std::move(*sent));
    } else if (auto* reply = std::get_if<reply_to_caller>(&entry)) {
      answers[reply->id].push_back(std::move(reply->part));
    } else if (auto* line = std::get_if<write_log>(&entry)) {
      logs.push_back(std::move(*line));
    } else if (std::holds_alternative<stop_completed>(entry)) {
      stopped = true;
    }
  }
}

}  // namespace gentian

#endif  // TESTS_DECISIONS_SESSION_FLEET_H_
