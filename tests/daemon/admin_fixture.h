#ifndef TESTS_DAEMON_ADMIN_FIXTURE_H_
#define TESTS_DAEMON_ADMIN_FIXTURE_H_

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <memory>

#include "gentian_daemon/gentian_daemon.h"

/** A served administration API over a configuration log in memory: version n
    is the n-th accepted change set.
*/
class admin_fixture {
 public:
  admin_fixture()
      : pool_(1),
        api_([this](const gentian::event& input) { Answer(input); },
             [this](const gentian::write_log& line) { audit_.push_back(line); },
             {{gentian::Sha256Hex("operator-key"), "ana"}},
             latencies_),
        server_(pool_,
                [this](const auto& exchange) { api_.Handle(exchange); }) {
    server_.Listen("127.0.0.1:0");
  }

  ~admin_fixture() { server_.Stop(); }

  struct outcome {
    int status = -1;
    std::string output;
  };

  /** Runs `gentianrun admin` against the API. */
  outcome Admin(const std::string& arguments,
                const std::string& key = "operator-key") {
    return Run("printf %s " + key +
               " | " GENTIAN_BINARY " admin --key-file - --address " +
               server_.address() + " " + arguments + " 2>&1");
  }

  static outcome Run(const std::string& command) {
    outcome result;
    FILE* const pipe = popen(command.c_str(), "r");
    std::array<char, 4096> buffer{};
    std::size_t size = 0;
    while ((size = fread(buffer.data(), 1, buffer.size(), pipe)) > 0) {
      result.output.append(buffer.data(), size);
    }
    result.status = WEXITSTATUS(pclose(pipe));
    return result;
  }

  const std::vector<gentian::accepted_change>& history() const {
    return history_;
  }
  const std::vector<gentian::write_log>& audit() const { return audit_; }
  const std::vector<std::string>& withdrawn() const { return withdrawn_; }
  gentian::settings_tree Tree() const {
    return ValueOf(gentian::TreeOfVersion(history_, history_.size()));
  }

  /** Another operator's change comes in just before the next one. */
  bool race = false;
  /** The next change takes effect and its answer is lost. */
  bool lose_answer = false;
  /** What the answer to rollouts says. */
  gentian::json lagging = gentian::json::object();

 private:
  using json = gentian::json;

  void Answer(const gentian::event& input) {
    const auto& request = std::get<gentian::admin_request>(input);
    std::visit(
        [&](const auto& operation) {
          const gentian::result<json> answer = Run(operation);
          if (!silent_) {
            api_.Reply({request.id, answer});
          } else {
            api_.Expire(gentian::steady_time::max());
          }
          silent_ = false;
        },
        request.operation);
  }

  json Run(const gentian::read_status& /*input*/) {
    return {{"ready", true},
            {"members", {{{"host", "h1"}, {"state", "alive"}}}},
            {"counters", {{"refused.rate_limited", 3u}}}};
  }
  json Run(const gentian::read_settings& /*input*/) {
    return {{"version", history_.size()}, {"settings", Tree()}};
  }
  json Run(const gentian::read_changes& /*input*/) {
    return {{"version", history_.size()}, {"changes", history_}};
  }
  json Run(const gentian::read_rollout& input) {
    return {{"version", input.version},
            {"in_force_on", 1},
            {"lagging", lagging},
            {"no_answer", json::array()}};
  }
  json Run(const gentian::withdraw_key& input) {
    withdrawn_.push_back(input.key_hash);
    return {{"durable", true}, {"in_force_on", 1}, {"not_confirmed", {}}};
  }
  gentian::result<json> Run(const gentian::apply_changes& input) {
    if (race) {
      race = false;
      history_.push_back(
          {history_.size() + 1, {"bob", "race", {{"/", "weight", "2"}}}});
    }
    if (input.expected_version != history_.size()) {
      return gentian::error{gentian::error_kind::conflict, "moved on", "read"};
    }
    history_.push_back({history_.size() + 1, input.changes});
    silent_ = lose_answer;
    lose_answer = false;
    return json{{"version", history_.size()}};
  }

  gentian::io_pool pool_;
  gentian::latency_recorder latencies_;
  gentian::admin_api api_;
  gentian::http_server server_;
  bool silent_ = false;
  std::vector<gentian::accepted_change> history_;
  std::vector<std::string> withdrawn_;
  std::vector<gentian::write_log> audit_;
};

#endif  // TESTS_DAEMON_ADMIN_FIXTURE_H_
