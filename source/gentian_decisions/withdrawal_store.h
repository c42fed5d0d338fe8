#ifndef GENTIAN_DECISIONS_WITHDRAWAL_STORE_H_
#define GENTIAN_DECISIONS_WITHDRAWAL_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gentian_decisions/cluster_messages.h"
#include "gentian_decisions/key_registry.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/kv_watcher.h"
#include "gentian_decisions/member.h"

namespace gentian {

/** Spreads withdrawn keys to all daemons and to the key-value service.

    The set only grows, so it needs no order: a hash takes effect where it is
    received and is passed on to the neighbours. Heartbeats carry a digest of
    the set, so that a daemon that missed a message gets it from a neighbour.
*/
class withdrawal_store : private kv_watcher::listener {
 public:
  /** Outcome of an operator's withdrawal. */
  struct report {
    /** Daemons that have confirmed, this one included. */
    std::set<host_id> in_force;
    /** Members that have not confirmed. */
    std::set<host_id> missing;
    /** True if the service has stored it. */
    bool durable = false;
  };

  using report_handler = std::function<void(const report&, node_context&)>;
  using withdrawn_handler =
      std::function<void(const std::string& key_hash, node_context&)>;

  /** What the store needs to know about the fleet. */
  struct fleet {
    host_id self;
    std::set<host_id> neighbours;
    std::vector<member> live;
  };

  /** Creates the store.

      @param kv        access to the service; must outlive the store
      @param keys      gets the withdrawn keys; must outlive the store
      @param on_added  called for each hash when it takes effect
  */
  withdrawal_store(kv_access& kv,
                   key_registry& keys,
                   withdrawn_handler on_added);

  withdrawal_store(const withdrawal_store&) = delete;
  withdrawal_store& operator=(const withdrawal_store&) = delete;

  /** Watches, writes what is not durable yet and answers operators. */
  void Tick(const fleet& view, node_context& context);

  /** Withdraws a key on behalf of an operator. Precondition: IsKeyHash. */
  void Withdraw(const std::string& key_hash,
                const std::string& author,
                const fleet& view,
                report_handler handler,
                node_context& context);

  /** Handles withdrawn keys from another daemon. */
  void Handle(const host_id& from,
              const keys_withdrawn& input,
              const fleet& view,
              node_context& context);

  /** Handles a confirmation. */
  void Handle(const host_id& from, const keys_withdrawn_confirmed& input);

  /** Compares with the digest in another daemon's heartbeat. */
  void DigestSeen(const host_id& from,
                  std::uint64_t digest,
                  node_context& context);

  /** Combined hash of the set, the same for equal sets. */
  std::uint64_t digest() const { return digest_; }

 private:
  struct waiting_operator {
    std::set<host_id> confirmed;
    steady_time give_up;
    report_handler handler;
  };
  struct unwritten {
    std::string author;
    steady_time not_before;
    bool writing = false;
  };

  // kv_watcher::listener:
  void ReadAll(kv_watcher& watcher, node_context& context) override;
  void KeysChanged(kv_watcher& watcher,
                   const kv_answer& changes,
                   node_context& context) override;

  bool Add(const std::string& key_hash, node_context& context);
  void UseEntries(const kv_answer& answer, node_context& context);
  void Write(const std::string& key_hash, node_context& context);
  void WriteDue(const fleet& view, node_context& context);
  void AnswerOperators(const fleet& view, node_context& context);
  void Push(const std::vector<std::string>& hashes,
            const host_id& origin,
            const host_id& except,
            const fleet& view,
            node_context& context);

  kv_access& kv_;
  key_registry& keys_;
  withdrawn_handler on_added_;
  kv_watcher watcher_;
  std::uint64_t digest_ = 0;
  std::map<std::string, unwritten> unwritten_;
  std::set<std::string> durable_;
  std::multimap<std::string, waiting_operator> operators_;
  std::map<host_id, steady_time> next_exchange_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_WITHDRAWAL_STORE_H_
