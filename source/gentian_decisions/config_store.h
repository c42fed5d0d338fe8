#ifndef GENTIAN_DECISIONS_CONFIG_STORE_H_
#define GENTIAN_DECISIONS_CONFIG_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "gentian_decisions/backoff.h"
#include "gentian_decisions/config_log.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/kv_watcher.h"

namespace gentian {

/** Keeps this daemon's configuration at the newest accepted version.

    A version is accepted by the create-only write of its slot in the service.
    Daemons learn of it by pushes of their neighbours, by the version in
    heartbeats, by a watch and by reading the next slot every 5 s.
*/
class config_store : private kv_watcher::listener {
 public:
  /** Receives the outcome of a proposal: the version, or an error. */
  using proposal_handler =
      std::function<void(const result<std::uint64_t>&, node_context&)>;

  /** What the store needs to know about the fleet. */
  struct fleet {
    host_id self;
    /** Daemons to push to. */
    std::set<host_id> neighbours;
    /** True if most configured daemons were heard from recently. */
    bool heard_majority = false;
  };

  /** Creates the store of a starting daemon.

      @param kv   access to the service; must outlive the store
      @param log  what is known at the start
  */
  config_store(kv_access& kv, config_log log);

  config_store(const config_store&) = delete;
  config_store& operator=(const config_store&) = delete;

  /** Reads, asks and pushes whatever is due.

      @returns true if the configuration in force has changed
  */
  bool Tick(const fleet& view, node_context& context);

  /** Handles accepted versions from another daemon. */
  void Handle(const host_id& from,
              const config_update& input,
              node_context& context);

  /** Answers another daemon that is behind. */
  void Handle(const host_id& from,
              const config_request& input,
              node_context& context);

  /** Another daemon has a version in force. */
  void VersionSeen(const host_id& from,
                   std::uint64_t version,
                   node_context& context);

  /** Proposes changes on top of the version that an operator saw. */
  void Propose(std::uint64_t expected_version,
               const settings_change_set& changes,
               proposal_handler handler,
               node_context& context);

  /** True if the fleet's configuration is known. */
  bool ready() const { return ready_; }

  /** True if a higher version was seen a while ago and is still missing. */
  bool IsBehind(duration tolerated, steady_time now) const;

  /** The change sets and the configuration in force. */
  const config_log& log() const { return log_; }

 private:
  // kv_watcher::listener:
  void ReadAll(kv_watcher& watcher, node_context& context) override;
  void KeysChanged(kv_watcher& watcher,
                   const kv_answer& changes,
                   node_context& context) override;

  void UseSnapshots(const kv_answer& answer, node_context& context);
  void ReadBlock(std::uint64_t revision, node_context& context);
  void FinishReading(std::uint64_t revision, node_context& context);
  void ServiceFailed(node_context& context);
  void WriteFirstSnapshot(std::uint64_t revision, node_context& context);
  void ReadNextSlot(node_context& context);
  void AddEntry(const kv_entry& entry);
  void AskPeers(const fleet& view, node_context& context);
  void CountAnswer(const host_id& from, const config_update& input);
  void Push(const fleet& view, node_context& context);
  void UpdateBehind(steady_time now);
  void ProposalAnswered(const config_record& record,
                        const kv_answer& answer,
                        const proposal_handler& handler,
                        node_context& context);
  void WriteSnapshot(node_context& context);
  void DeleteSnapshot(std::uint64_t version, node_context& context);
  result<success> CheckProposal(std::uint64_t expected_version,
                                const settings_change_set& changes) const;

  kv_access& kv_;
  config_log log_;
  kv_watcher watcher_;
  bool ready_ = false;
  bool from_service_ = false;
  bool service_failed_ = false;
  std::map<host_id, std::uint64_t> ready_peers_;
  bool slot_read_open_ = false;
  steady_time next_slot_read_;
  steady_time next_ask_;
  steady_time next_request_;
  std::uint64_t highest_seen_ = 0;
  std::optional<steady_time> behind_since_;
  std::uint64_t pushed_ = 0;
  // Who sent the newest version, so that it is not pushed back.
  host_id learned_from_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_CONFIG_STORE_H_
