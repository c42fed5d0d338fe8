#ifndef GENTIAN_DECISIONS_STANDALONE_CLUSTER_H_
#define GENTIAN_DECISIONS_STANDALONE_CLUSTER_H_

#include <map>
#include <utility>
#include <vector>

#include "gentian_decisions/cluster_view.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/node_identity.h"

namespace gentian {

/** A fleet of one daemon without a key-value service, for development: the
    daemon is its only member with epoch 1, and ownership records are kept in
    memory.
*/
class standalone_cluster : public cluster_view, public kv_access {
 public:
  standalone_cluster(const node_identity& identity, configuration settings);

  /** Delivers the answers of calls that were made in earlier steps. */
  void Deliver(node_context& context);

  const incarnation& self() const override { return self_.id; }
  const configuration& settings() const override { return settings_; }
  std::vector<member> LiveMembers() const override { return {self_}; }
  std::optional<member> FindMember(const host_id& host) const override;
  bool IsAlive(const incarnation& id) const override { return id == self_.id; }

  void Call(kv_operation operation,
            priority order,
            answer_handler handler,
            node_context& context) override;

 private:
  kv_answer Answer(const kv_operation& operation);
  kv_answer Get(const std::string& key) const;
  kv_answer Swap(const kv_compare_and_swap& operation);

  member self_;
  configuration settings_;
  std::map<std::string, kv_entry> entries_;
  std::vector<std::pair<kv_operation, answer_handler>> calls_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_STANDALONE_CLUSTER_H_
