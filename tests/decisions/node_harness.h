#ifndef TESTS_DECISIONS_NODE_HARNESS_H_
#define TESTS_DECISIONS_NODE_HARNESS_H_

#include <string>
#include <vector>

#include "gentian_decisions/gentian_decisions.h"

namespace gentian {

/** Settings with one team (key "secret"), one program, one engine and one tool
    service.
*/
inline configuration SmallSettings() {
  configuration settings;
  settings.version = 1;
  team_settings team;
  team.id = team_id("kiosk");
  team.key_hashes = {Sha256Hex("secret")};
  team.programs = {program_id("agent")};
  settings.teams[team.id] = team;
  team_settings other = team;
  other.id = team_id("other");
  other.key_hashes = {Sha256Hex("other-secret")};
  settings.teams[other.id] = other;
  program_settings program;
  program.id = program_id("agent");
  program.pool = pool_id("models");
  program.tools = {"refund", "lookup"};
  settings.programs[program.id] = program;
  pool_settings models;
  models.id = pool_id("models");
  models.model = "small";
  settings.pools[models.id] = models;
  target_settings engine;
  engine.id = target_id("engine-1");
  engine.pool = models.id;
  settings.targets[engine.id] = engine;
  target_settings service;
  service.id = target_id("service-1");
  service.pool = pool_id("services");
  service.reports_not_run = true;
  settings.targets[service.id] = service;
  tool_settings refund;
  refund.name = "refund";
  refund.pool = service.pool;
  refund.path = "/refund";
  settings.tools[refund.name] = refund;
  tool_settings lookup = refund;
  lookup.name = "lookup";
  lookup.repeatable = true;
  settings.tools[lookup.name] = lookup;
  return settings;
}

/** One node, stepped with a clock that the test moves. */
class node_harness {
 public:
  explicit node_harness(const configuration& settings = SmallSettings())
      : subject(Identity(), settings, random_) {
    Pass(milliseconds(100));
  }

  /** Steps the node and keeps the commands. */
  void Step(const event& input) {
    last = subject.Step(input, now_);
    all.insert(all.end(), last.begin(), last.end());
  }

  /** Moves the clock with a tick every 50 ms. */
  void Pass(milliseconds time) {
    for (milliseconds gone{0}; gone < time; gone += kTickInterval) {
      now_ += kTickInterval;
      Step(tick{});
    }
  }

  /** Sends a request with the key of team "kiosk" and returns its id. */
  request_id Ask(caller_operation operation, std::string key = "secret") {
    Step(caller_request{++last_request_, std::move(key), std::move(operation)});
    return last_request_;
  }

  session_id Open(budget_request budget = {}) {
    const request_id id =
        Ask(open_session{program_id("agent"), budget, std::nullopt});
    return session_id(Final(id).body.at("id").get<std::string>());
  }

  /** All dispatches so far, oldest first. */
  std::vector<dispatch_call> Dispatches() const {
    return Select<dispatch_call>();
  }

  std::vector<answer_part> Parts(request_id id) const {
    std::vector<answer_part> parts;
    for (const auto& reply : Select<reply_to_caller>()) {
      if (reply.id == id) {
        parts.push_back(reply.part);
      }
    }
    return parts;
  }

  final_answer Final(request_id id) const {
    return std::get<final_answer>(Parts(id).back());
  }

  error Error(request_id id) const { return std::get<error>(Parts(id).back()); }

  /** Ends a dispatch with a chat answer of 10 + 5 tokens. */
  void Answer(dispatch_id id, const std::string& text = "hi") {
    json message{{"role", "assistant"}, {"content", text}};
    json body{{"choices", json::array({json{{"message", message}}})}};
    Step(target_finished{id, body, 10, 0, 5});
  }

  template <typename Command>
  std::vector<Command> Select() const {
    std::vector<Command> found;
    for (const command& entry : all) {
      if (const auto* match = std::get_if<Command>(&entry)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  std::vector<command> last;
  std::vector<command> all;

 private:
  static node_identity Identity() {
    node_identity identity;
    identity.host = host_id("a");
    return identity;
  }

  seeded_random random_{1};
  steady_time now_;
  request_id last_request_ = 0;

 public:
  node subject;
};

inline model_call Chat(const session_id& session,
                       const std::string& text,
                       bool stream = false) {
  model_call call;
  call.session = session;
  call.body = {
      {"messages", json::array({json{{"role", "user"}, {"content", text}}})},
      {"max_tokens", 20}};
  call.stream = stream;
  return call;
}

inline tool_call Tool(const session_id& session,
                      const std::string& tool,
                      const std::string& key) {
  tool_call call;
  call.session = session;
  call.tool = tool;
  call.idempotency_key = key;
  call.repeatable = true;
  call.body = {{"amount", 5}};
  return call;
}

}  // namespace gentian

#endif  // TESTS_DECISIONS_NODE_HARNESS_H_
