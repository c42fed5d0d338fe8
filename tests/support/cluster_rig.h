#ifndef TESTS_SUPPORT_CLUSTER_RIG_H_
#define TESTS_SUPPORT_CLUSTER_RIG_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gentian_decisions/cluster_service.h"
#include "support/fake_kv_service.h"

namespace gentian {

/** Several cluster_service objects in virtual time with an in-memory service
    and links that deliver with the next tick.
*/
class cluster_rig {
 public:
  struct daemon : cluster_listener {
    daemon(const std::string& host,
           const configuration& settings,
           const settings_tree& tree,
           std::uint64_t seed)
        : random(seed),
          cluster(Identity(host, settings), settings, tree, Build) {
      cluster.SetListener(this);
    }

    void KeyWithdrawn(const std::string& hash, node_context&) override {
      ended_keys.insert(hash);
    }
    void ConfigurationChanged(node_context&) override {
      versions.push_back(cluster.settings().version);
    }
    void IncarnationChanged(node_context&) override {
      epochs.push_back(cluster.self().epoch);
    }

    static node_identity Identity(const std::string& host,
                                  const configuration& settings) {
      const daemon_settings& own = settings.daemons.at(host_id(host));
      return {own.host, own.failure_domain, own.peer_address,
              own.caller_address, false};
    }

    seeded_random random;
    counter_set counters;
    cluster_service cluster;
    std::set<std::string> ended_keys;
    std::vector<std::uint64_t> versions;
    std::vector<std::uint64_t> epochs;
    std::map<request_id, result<json>> replies;
    bool stopped = false;
  };

  explicit cluster_rig(int size) {
    for (int i = 0; i < size; ++i) {
      daemon_settings entry;
      entry.host = host_id("h" + std::to_string(i));
      entry.failure_domain = failure_domain_id("z" + std::to_string(i % 3));
      entry.caller_address = "10.0.0." + std::to_string(i) + ":80";
      entry.peer_address = "10.0.0." + std::to_string(i) + ":90";
      base().daemons[entry.host] = entry;
    }
    tree_.Apply({{"/", "origin", "file"}});
    for (const auto& [host, entry] : base().daemons) {
      Start(host.text());
    }
  }

  ~cluster_rig() { base() = configuration(); }

  /** Builds the fixed daemons plus a team whose keys are in the tree; a value
      "bad" is refused. */
  static std::variant<configuration, std::vector<settings_problem>> Build(
      const settings_tree& tree,
      std::uint64_t version) {
    configuration built = base();
    built.version = version;
    team_settings team;
    team.id = team_id("kiosk");
    for (const auto& [section, values] : tree.sections()) {
      for (const auto& [key, value] : values) {
        if (value == "bad") {
          return std::vector<settings_problem>{
              {"", 0, section, key, "bad", "use another value"}};
        }
        if (key == "key") {
          team.key_hashes.insert(Sha256Hex(value));
        }
      }
    }
    built.teams[team.id] = team;
    return built;
  }

  daemon& at(const std::string& host) { return *daemons_.at(host); }

  /** Starts a daemon, or replaces its process by a new one. */
  void Start(const std::string& host) {
    daemons_[host] = std::make_unique<daemon>(host, base(), tree_, ++seeds_);
    watches_.erase(host);
  }

  /** Lets virtual time pass. */
  void Run(milliseconds time) {
    for (const auto end = now + time; now < end; now += kTickInterval) {
      DeliverMessages();
      service.ExpireLeases(now);
      PollWatches();
      for (auto& [host, entry] : daemons_) {
        daemon& ticked = *entry;
        if (!ticked.stopped) {
          Step(host, [&ticked](node_context& c) {
            ticked.cluster.Handle(tick{}, c);
          });
        }
      }
    }
  }

  /** Asks a daemon as an operator and runs until it has answered. */
  result<json> Ask(const std::string& host, admin_operation operation) {
    const request_id id = ++requests_;
    Step(host, [&](node_context& c) {
      at(host).cluster.Handle(admin_request{id, std::move(operation)}, c);
    });
    for (int i = 0; i < 400 && at(host).replies.count(id) == 0; ++i) {
      Run(kTickInterval);
    }
    return at(host).replies.at(id);
  }

  template <typename Action>
  void Step(const std::string& host, Action action) {
    std::vector<command> commands;
    daemon& entry = at(host);
    node_context context{now, commands, entry.counters, entry.random};
    action(context);
    for (command& next : commands) {
      CarryOut(host, std::move(next));
    }
  }

  fake_kv_service service;
  steady_time now{std::chrono::hours(1)};
  /** Calls are not answered. */
  bool service_down = false;
  /** The next write takes effect and its answer is lost. */
  bool lose_next_write_answer = false;
  /** Daemons that get and send no messages. */
  std::set<std::string> isolated;
  /** Counts messages, their encoded bytes and calls of the service. */
  bool count_traffic = false;
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t service_calls = 0;
  /** Messages about withdrawn keys and versions are lost. */
  bool lose_pushes = false;

 private:
  static configuration& base() {
    static configuration settings;
    return settings;
  }

  void CarryOut(const std::string& host, command next) {
    if (auto* call = std::get_if<call_kv>(&next)) {
      ++service_calls;
      CallService(host, *call);
    } else if (auto* send = std::get_if<send_to_peer>(&next)) {
      if (count_traffic) {
        ++sent_messages;
        sent_bytes += json::to_cbor(EncodePeerMessage(send->message)).size();
      }
      messages_.push_back({host, at(host).cluster.self(), std::move(*send)});
    } else if (auto* reply = std::get_if<reply_to_operator>(&next)) {
      at(host).replies.emplace(reply->id, reply->answer);
    }
  }

  void CallService(const std::string& host, const call_kv& call) {
    if (service_down) {
      answers_.push_back({host, {call.id, {}}});
      return;
    }
    if (std::holds_alternative<kv_watch>(call.operation)) {
      watches_[host].push_back({call, now + std::chrono::seconds(30)});
      return;
    }
    kv_answer answer = *service.Run(call.operation, now);
    const bool write =
        std::holds_alternative<kv_compare_and_swap>(call.operation);
    if (write && std::exchange(lose_next_write_answer, false)) {
      answer = {};
    }
    answers_.push_back({host, {call.id, std::move(answer)}});
  }

  void PollWatches() {
    for (auto& [host, open] : watches_) {
      std::vector<open_watch> kept;
      for (open_watch& watch : open) {
        std::optional<kv_answer> answer =
            service_down ? kv_answer{} : service.Run(watch.call.operation, now);
        if (!answer && now >= watch.ends) {
          answer = kv_answer{kv_answer::status::ok, {}, {}, 0, 0};
          answer->revision = service.List("/none").revision;
        }
        if (answer) {
          answers_.push_back({host, {watch.call.id, std::move(*answer)}});
        } else {
          kept.push_back(watch);
        }
      }
      open = std::move(kept);
    }
  }

  void DeliverMessages() {
    const auto answers = std::exchange(answers_, {});
    for (const auto& answer : answers) {
      daemon& to = at(answer.first);
      if (!to.stopped) {
        Step(answer.first,
             [&](node_context& c) { to.cluster.Handle(answer.second, c); });
      }
    }
    auto messages = std::exchange(messages_, {});
    for (message& next : messages) {
      const std::string to = next.send.to.text();
      const bool push =
          std::holds_alternative<keys_withdrawn>(next.send.message) ||
          std::holds_alternative<config_update>(next.send.message);
      if (daemons_.count(to) == 0 || at(to).stopped || at(next.from).stopped ||
          isolated.count(to) + isolated.count(next.from) > 0 ||
          (push && lose_pushes)) {
        continue;
      }
      Step(to, [&](node_context& c) {
        at(to).cluster.Handle(peer_received{next.sender, next.send.message}, c);
      });
    }
  }

  struct message {
    std::string from;
    incarnation sender;
    send_to_peer send;
  };
  struct open_watch {
    call_kv call;
    steady_time ends;
  };

  settings_tree tree_;
  std::map<std::string, std::unique_ptr<daemon>> daemons_;
  std::deque<message> messages_;
  std::deque<std::pair<std::string, kv_answered>> answers_;
  std::map<std::string, std::vector<open_watch>> watches_;
  std::uint64_t seeds_ = 0;
  request_id requests_ = 0;
};

}  // namespace gentian

#endif  // TESTS_SUPPORT_CLUSTER_RIG_H_
