#ifndef GENTIAN_DECISIONS_KV_CLIENT_H_
#define GENTIAN_DECISIONS_KV_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gentian_decisions/backoff.h"
#include "gentian_decisions/event.h"
#include "gentian_decisions/kv_access.h"
#include "gentian_decisions/kv_stamp.h"
#include "gentian_decisions/token_bucket.h"

namespace gentian {

/** Calls to the key-value service with bounds, deadlines, retries and
    read-back of lost answers.

    Compare-and-swap and delete are never repeated before a read has shown that
    the key still has the expected version. Such a repeat is safe: of the two
    attempts the service accepts at most one, because the first changes the
    version.
*/
class kv_client : public kv_access {
 public:
  /** Sets the number of daemons that share the service's rates. */
  void SetDaemonCount(std::size_t daemons);

  // kv_access:
  void Call(kv_operation operation,
            priority order,
            answer_handler handler,
            node_context& context) override;

  /** Handles the answer to one attempt. */
  void Handle(const kv_answered& input, node_context& context);

  /** Sends waiting calls and gives up calls past their deadline. */
  void Handle(const tick& input, node_context& context);

  /** Time of the last answer of the service, nothing before the first. */
  const std::optional<steady_time>& last_answer() const { return last_answer_; }

  /** True if no call waits or is in flight, apart from watches. */
  bool IsIdle() const;

 private:
  struct pending_call {
    kv_operation operation;
    priority order = priority::checkpoint;
    answer_handler handler;
    steady_time give_up;
    steady_time not_before;
    backoff delay{milliseconds(100), milliseconds(5'000)};
    // Write number of a compare-and-swap.
    std::uint64_t number = 0;
    // Attempt in flight, 0 if the call waits.
    kv_call_id attempt = 0;
    steady_time attempt_deadline;
    // True if the answer to an attempt was lost. It can still take effect.
    bool may_have_run = false;
    // True if the key has to be read before the next attempt.
    bool unresolved = false;
    // True if the attempt in flight reads the key back.
    bool reading_back = false;
  };
  // Calls by serial number, in the order in which they were made.
  using call_map = std::map<std::uint64_t, pending_call>;

  void MakeRoom(priority order, node_context& context);
  void SendWaiting(node_context& context);
  call_map::iterator NextToSend(node_context& context);
  call_map::iterator FirstWaiting(bool reads, steady_time now);
  static bool Reads(const pending_call& call);
  void Send(pending_call& call, node_context& context);
  kv_operation AttemptOperation(const pending_call& call) const;
  void Resolve(call_map::iterator call,
               kv_answer answer,
               node_context& context);
  void ResolveReadBack(call_map::iterator call,
                       kv_answer answer,
                       node_context& context);
  bool HasTakenEffect(const pending_call& call,
                      const std::vector<kv_entry>& entries) const;
  void Retry(pending_call& call, node_context& context);
  void Finish(call_map::iterator call,
              const kv_answer& answer,
              node_context& context);
  void ExpireCalls(node_context& context);
  void EnsureWriter(random_source& random);

  std::string writer_;
  call_map calls_;
  std::map<kv_call_id, std::uint64_t> in_flight_;
  std::size_t slots_used_ = 0;
  std::vector<answer_handler> rejected_;
  std::uint64_t next_serial_ = 1;
  kv_call_id next_attempt_ = 1;
  std::uint64_t next_write_ = 1;
  token_bucket writes_{300.0, 13.0};
  token_bucket reads_{1'500.0, 13.0};
  std::optional<steady_time> last_answer_;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_KV_CLIENT_H_
