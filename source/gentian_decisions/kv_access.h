#ifndef GENTIAN_DECISIONS_KV_ACCESS_H_
#define GENTIAN_DECISIONS_KV_ACCESS_H_

#include <functional>

#include "gentian_decisions/kv_operation.h"
#include "gentian_decisions/node_context.h"

namespace gentian {

/** Calls to the key-value service for the parts of a node.

    A compare-and-swap whose answer is lost is read back before the handler
    runs, so that a handler sees `ok` or `conflict` whenever the service can
    be reached again before the deadline, and `no_answer` only otherwise.
*/
class kv_access {
 public:
  /** Receives the answer of one call, within the step that delivers it. */
  using answer_handler = std::function<void(const kv_answer&, node_context&)>;

  /** Order in which waiting calls are sent. */
  enum class priority { lease, ownership, configuration, checkpoint };

  virtual ~kv_access() = default;

  /** Queues a call. The handler runs exactly once, in a later step; with
      `not_sent` if the queue is full.
  */
  virtual void Call(kv_operation operation,
                    priority order,
                    answer_handler handler,
                    node_context& context) = 0;
};

}  // namespace gentian

#endif  // GENTIAN_DECISIONS_KV_ACCESS_H_
