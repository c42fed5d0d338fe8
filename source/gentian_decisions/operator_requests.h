#ifndef GENTIAN_DECISIONS_OPERATOR_REQUESTS_H_
#define GENTIAN_DECISIONS_OPERATOR_REQUESTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "gentian_decisions/config_store.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/membership.h"
#include "gentian_decisions/withdrawal_store.h"

namespace gentian {

/** Answers the operators' requests and writes an audit line for each change. */
class operator_requests {
 public:
  /** Creates the part; all arguments must outlive it. */
  operator_requests(kv_access& kv,
                    membership& members,
                    config_store& store,
                    withdrawal_store& withdrawals);

  /** Adds a section to the answer to read_status. */
  void AddStatus(const std::string& name, std::function<json()> source);

  /** Handles a request; reply_to_operator follows, perhaps in a later step. */
  void Handle(const admin_request& input, node_context& context);

  /** Tells a daemon which version is in force here. */
  void Handle(const host_id& from,
              const rollout_request& input,
              node_context& context);

  /** Notes which version another daemon has in force. */
  void Handle(const host_id& from, const rollout_answer& input);

  /** Answers rollout requests that are complete or past their deadline. */
  void Tick(node_context& context);

 private:
  struct rollout {
    std::uint64_t version = 0;
    steady_time give_up;
    std::map<host_id, std::uint64_t> in_force;
    std::set<host_id> waiting;
  };

  void Run(request_id id, const read_status& input, node_context& context);
  void Run(request_id id, const read_settings& input, node_context& context);
  void Run(request_id id, const read_changes& input, node_context& context);
  void Run(request_id id, const apply_changes& input, node_context& context);
  void Run(request_id id, const withdraw_key& input, node_context& context);
  void Run(request_id id, const read_rollout& input, node_context& context);

  json MembersAsJson() const;
  void AnswerChanges(request_id id,
                     std::uint64_t from_version,
                     const kv_answer& stored,
                     node_context& context) const;

  kv_access& kv_;
  membership& members_;
  config_store& store_;
  withdrawal_store& withdrawals_;
  std::map<std::string, std::function<json()>> status_;
  std::map<request_id, rollout> rollouts_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_OPERATOR_REQUESTS_H_
