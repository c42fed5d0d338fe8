#ifndef GENTIAN_DECISIONS_REPLICATOR_H_
#define GENTIAN_DECISIONS_REPLICATOR_H_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "gentian_decisions/record_log.h"
#include "gentian_decisions/session.h"
#include "gentian_decisions/session_messages.h"

namespace gentian {

/** Owner side of replication: copies records to the replicas of a shard and
    says when enough of them have acknowledged.

    @see replica_store for the other side
*/
class replicator : public record_log {
 public:
  using replica_set = std::vector<incarnation>;
  /** Gives a session with its records, nothing if it is not here. */
  using record_source = std::function<const session*(const session_id&)>;
  using forgotten_handler = std::function<void(const session_id&)>;

  /** @param records    gives records to send again
      @param forgotten  is told when an ended session needs no copies any more
  */
  replicator(record_source records, forgotten_handler forgotten)
      : records_(std::move(records)), forgotten_(std::move(forgotten)) {}

  /** Starts to copy a shard.

      @param sessions  sessions that exist already; they are copied at once
  */
  void Start(const shard_id& shard,
             std::uint64_t generation,
             const replica_set& replicas,
             const std::vector<session_id>& sessions,
             node_context& context);

  /** Stops a shard. Handlers that wait are dropped without a call. */
  void Stop(const shard_id& shard) { shards_.erase(shard); }

  /** Goes on with a shard under a higher generation: everything is copied
      again, and records that wait for acknowledgements go on waiting.
  */
  void Raise(const shard_id& shard,
             std::uint64_t generation,
             node_context& context);

  /** From now on commits need acknowledgements in this set too. */
  void AddSet(const shard_id& shard,
              const replica_set& replicas,
              node_context& context);

  /** Ends the time of two sets: keeps the first or the added one. */
  void KeepSet(const shard_id& shard, bool added, node_context& context);

  /** True if the replicas of the newest set hold all records that existed
      when the set was chosen.

      @param enough  true to ask for enough replicas to commit, false for all
  */
  bool IsCopied(const shard_id& shard, bool enough) const;

  /** Records of a session that enough replicas have acknowledged. */
  std::uint64_t CommittedRecords(const session_id& session) const;

  /** Tells the replicas that everything was copied. */
  void AnnounceCopied(const shard_id& shard, node_context& context);

  /** Replicas that have not answered for 2 s though records wait. */
  replica_set SilentReplicas(const shard_id& shard, steady_time now) const;

  void Replicate(const session_id& session,
                 const session_record& record,
                 commit_handler handler,
                 node_context& context) override;
  void Retire(const session_id& session, node_context& context) override;

  void Handle(const incarnation& from,
              const records_stored& message,
              node_context& context);

  /** Sends again what was not acknowledged. */
  void Tick(node_context& context);

 private:
  struct replica_state {
    std::uint64_t acknowledged = 0;
    /** Last record that was sent. */
    std::uint64_t sent_number = 0;
    steady_time sent;
  };
  struct session_log {
    std::uint64_t size = 0;
    std::uint64_t committed = 0;
    /** Records that existed when the newest set was chosen. */
    std::uint64_t copy_mark = 0;
    std::map<incarnation, replica_state> replicas;
    std::deque<std::pair<std::uint64_t, commit_handler>> waiting;
    bool retired = false;
  };
  struct shard_log {
    std::uint64_t generation = 0;
    /** One set, or two while the set changes. */
    std::vector<replica_set> sets;
    std::map<session_id, session_log> sessions;
    /** Sessions with a replica that does not hold all records. */
    std::set<session_id> lagging;
    /** Last sign of life, or when something was first sent to it. */
    std::map<incarnation, steady_time> heard;
  };

  shard_log* Find(const shard_id& shard);
  static std::set<incarnation> AllReplicas(const shard_log& shard);
  static std::uint64_t Committed(const shard_log& shard,
                                 const session_log& log);
  static std::size_t Holders(const replica_set& replicas,
                             const session_log& log,
                             std::uint64_t number);
  void SendTo(const shard_id& id,
              shard_log& shard,
              const session_id& session,
              const incarnation& replica,
              bool again,
              node_context& context);
  void SendToLagging(const shard_id& id,
                     shard_log& shard,
                     const session_id& session,
                     bool only_late,
                     node_context& context);
  void Advance(const shard_id& id,
               const session_id& changed,
               node_context& context);
  void CheckHeld(const shard_id& id,
                 const session_id& session,
                 node_context& context);
  void Reconsider(const shard_id& id, node_context& context);

  record_source records_;
  forgotten_handler forgotten_;
  std::map<shard_id, shard_log> shards_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_REPLICATOR_H_
